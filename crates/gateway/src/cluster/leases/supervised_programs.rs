//! The operator's programs, each of which runs while this gateway holds the lease of its role.

use super::LeaseService;
use crate::cluster::Cluster;
use crate::platform::boot_time;
use crate::state::{State, lock};
use slog::info;

impl LeaseService {
    /// Releases the leases of programs that exited, and starts or extends the programs of the other held leases.
    pub(super) fn update_programs(&self, state: &State, cluster: &Cluster) {
        for exited in self.supervisor.take_exited(self.now()) {
            info!(state.log, "supervised program exited"; "status" => exited.status, "token" => exited.token,
                "lease" => &exited.role);
            let output = lock(&self.manager).on_work_stopped(&exited.role, self.now());
            self.apply_output(state, cluster, output);
        }
        for role in self.supervisor.roles() {
            // Both clocks are read back to back, right before the permit is requested: the supervising process
            // measures the remaining time of the lease on the boot-time clock, from `boot_now` on.
            let now = self.now();
            let boot_now = boot_time();
            let held =
                lock(&self.manager).permit(&role, now).map(|permit| (permit.token, permit.remaining(now)));
            if let Some((token, remaining)) = held {
                self.supervisor.start_or_extend(&role, token, boot_now + remaining, now);
            }
        }
    }
}
