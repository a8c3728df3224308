//! The operator's programs that run while this gateway holds their lease.

use super::LeaseService;
use crate::cluster::Cluster;
use crate::platform::boot_time;
use crate::state::{State, lock};
use slog::info;

impl LeaseService {
    /// Releases the leases of programs that exited, and lets others run for as long as their lease lasts.
    pub(super) fn update_programs(&self, state: &State, cluster: &Cluster) {
        for exited in self.supervisor.take_exited(self.now()) {
            info!(state.log, "supervised program exited"; "status" => exited.status, "token" => exited.token,
                "lease" => &exited.lease);
            let effects = lock(&self.leases).on_work_stopped(&exited.lease, self.now());
            self.apply(state, cluster, effects);
        }
        for lease in self.supervisor.leases() {
            let now = self.now();
            let boot_now = boot_time();
            // Looked at immediately before: the supervising process is told what is left from here on.
            let held =
                lock(&self.leases).permit(&lease, now).map(|permit| (permit.token, permit.remaining(now)));
            if let Some((token, remaining)) = held {
                self.supervisor.may_run(&lease, token, boot_now + remaining, now);
            }
        }
    }
}
