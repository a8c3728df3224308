//! Load reports, shared between gateways: the holder of a health-checking lease asks its engines for their load, and
//! sends what they say to all members.

use super::{LIST_BYTES, LeaseService};
use crate::cluster::Cluster;
use crate::cluster::counters::increment;
use crate::engine::load_report;
use crate::state::engine_table::ReadyEngine;
use crate::state::{State, lock};
use larchfall_leases::fencing::Fenced;
use larchfall_leases::load_sharing::{HealthCheck, SharedLoadReport, health_check_role, role_index};
use larchfall_leases::messages::{Payload, paginate};
use larchfall_policy::types::LoadReport;
use slog::warn;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

impl LeaseService {
    /// Where it is time, asks the engines of each lease held here for their load, and sends the reports to all members once
    /// the last engine has answered.
    pub(super) fn request_load_reports(
        &self,
        state: &Arc<State>,
        cluster: &Arc<Cluster>,
        ready: &[ReadyEngine],
    ) {
        let Some(sharing) = &state.shared_load_reports else { return };
        let roles = {
            let mut sharing = lock(sharing);
            if sharing.start_round(state.clock.now()) { sharing.roles() } else { 0 }
        };
        for number in 0..roles {
            let engines: Vec<ReadyEngine> = ready
                .iter()
                .copied()
                .filter(|engine| role_index(u64::from(engine.id), roles) == number)
                .collect();
            let outstanding = Arc::new(AtomicUsize::new(engines.len()));
            for ReadyEngine { index, id, .. } in engines {
                let permit = lock(&self.leases)
                    .permit(&health_check_role(number), self.now())
                    .map(|permit| permit.allow(HealthCheck { engine: index }));
                let Some(allowed) = permit else { break };
                let state = state.clone();
                let cluster = cluster.clone();
                let outstanding = outstanding.clone();
                may::go!(move || {
                    let report = load_report::fetch(&state, allowed.into_action().engine);
                    if let (Some(report), Some(sharing)) = (report, &state.shared_load_reports) {
                        lock(sharing).record_own(encode_report(id, report), state.clock.now());
                    }
                    let is_last = outstanding.fetch_sub(1, Ordering::Relaxed) == 1;
                    if let Some(leases) = cluster.leases.as_ref().filter(|_| is_last) {
                        leases.send_load_reports(&state, &cluster, number);
                    }
                });
            }
        }
    }

    /// Sends what was reported under a lease to all members, with its token, while it still lasts.
    fn send_load_reports(&self, state: &State, cluster: &Cluster, number: usize) {
        let Some(sharing) = &state.shared_load_reports else { return };
        let reports = lock(sharing).take_unsent(number, state.clock.now());
        let lease = health_check_role(number);
        for page in paginate(reports, LIST_BYTES) {
            let fenced = lock(&self.leases).permit(&lease, self.now()).map(|permit| permit.fence(page));
            let Some(fenced) = fenced else { return };
            let others: Vec<String> = lock(&cluster.members)
                .live()
                .map(|(name, _)| name)
                .filter(|name| **name != self.me.name)
                .cloned()
                .collect();
            for to in others {
                self.send(cluster, &to, Payload::LoadReports(fenced.clone()));
            }
        }
    }

    pub(super) fn on_load_reports(&self, state: &State, reports: &Fenced<Vec<SharedLoadReport>>) {
        let Some(sharing) = &state.shared_load_reports else { return };
        let accepted: Option<Vec<SharedLoadReport>> = lock(sharing)
            .on_reports(reports, state.clock.now())
            .map(|accepted| accepted.into_iter().copied().collect());
        let Some(accepted) = accepted else {
            warn!(state.log, "load reports rejected"; "token" => reports.token, "lease" => &reports.role);
            return;
        };
        for reading in accepted {
            increment(&self.counters.load_reports);
            let report = LoadReport {
                in_flight: reading.in_flight.map(f64::from),
                busy_fraction: reading.busy.map(f64::from),
            };
            state.policy.record_shared_load_report(reading.engine, report);
        }
    }
}

fn encode_report(engine: u32, report: LoadReport) -> SharedLoadReport {
    let narrow = |value: Option<f64>| value.map(|value| value as f32);
    SharedLoadReport {
        engine: u64::from(engine),
        age_us: 0,
        in_flight: narrow(report.in_flight),
        busy: narrow(report.busy_fraction),
    }
}
