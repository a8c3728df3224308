//! Shared load reports: the holder of a health-check lease requests load reports from its engines and sends them to
//! all members.

use super::{LeaseService, MAX_LIST_BYTES};
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
    /// Starts a round of health checks if one is due: requests load reports from the engines of each health-check
    /// lease that this gateway holds, and sends the reports of a lease to all members once its last health check has
    /// ended.
    pub(super) fn request_load_reports(
        &self,
        state: &Arc<State>,
        cluster: &Arc<Cluster>,
        ready_engines: &[ReadyEngine],
    ) {
        let Some(sharing) = &state.shared_load_reports else { return };
        let role_count = {
            let mut sharing = lock(sharing);
            if sharing.start_health_checks(state.clock.now()) { sharing.role_count() } else { 0 }
        };
        for index in 0..role_count {
            let engines: Vec<ReadyEngine> = ready_engines
                .iter()
                .copied()
                .filter(|engine| role_index(u64::from(engine.id), role_count) == index)
                .collect();
            let pending_checks = Arc::new(AtomicUsize::new(engines.len()));
            for ReadyEngine { index: engine, id, .. } in engines {
                let permit = lock(&self.manager)
                    .permit(&health_check_role(index), self.now())
                    .map(|permit| permit.allow(HealthCheck { engine }));
                let Some(allowed) = permit else { break };
                let state = state.clone();
                let cluster = cluster.clone();
                let pending_checks = pending_checks.clone();
                may::go!(move || {
                    let report = load_report::fetch(&state, allowed.into_action().engine);
                    if let (Some(report), Some(sharing)) = (report, &state.shared_load_reports) {
                        lock(sharing).record_own_report(to_shared_report(id, report), state.clock.now());
                    }
                    let is_last = pending_checks.fetch_sub(1, Ordering::Relaxed) == 1;
                    if let Some(leases) = cluster.leases.as_ref().filter(|_| is_last) {
                        leases.send_load_reports(&state, &cluster, index);
                    }
                });
            }
        }
    }

    /// Sends the unsent reports of one health-check role to all other members, fenced by the token of its lease.
    /// Stops when the lease is no longer held.
    fn send_load_reports(&self, state: &State, cluster: &Cluster, index: usize) {
        let Some(sharing) = &state.shared_load_reports else { return };
        let reports = lock(sharing).take_unsent_reports(index, state.clock.now());
        let role = health_check_role(index);
        for page in paginate(reports, MAX_LIST_BYTES) {
            let fenced = lock(&self.manager).permit(&role, self.now()).map(|permit| permit.fence(page));
            let Some(fenced) = fenced else { return };
            let peers: Vec<String> = lock(&cluster.membership)
                .live_members()
                .map(|(name, _)| name)
                .filter(|name| **name != self.member_id.name)
                .cloned()
                .collect();
            for peer in peers {
                self.send(cluster, &peer, Payload::LoadReports(fenced.clone()));
            }
        }
    }

    /// Passes the accepted reports of a lease holder to the policy; reports with an outdated token are rejected.
    pub(super) fn on_load_reports(&self, state: &State, reports: &Fenced<Vec<SharedLoadReport>>) {
        let Some(sharing) = &state.shared_load_reports else { return };
        let accepted: Option<Vec<SharedLoadReport>> = lock(sharing)
            .accept_reports(reports, state.clock.now())
            .map(|accepted| accepted.into_iter().copied().collect());
        let Some(accepted) = accepted else {
            warn!(state.log, "load reports rejected"; "token" => reports.token, "lease" => &reports.role);
            return;
        };
        for shared in accepted {
            increment(&self.counters.load_reports);
            let report = LoadReport {
                in_flight: shared.in_flight.map(f64::from),
                busy_fraction: shared.busy_fraction.map(f64::from),
            };
            state.policy.record_shared_load_report(shared.engine, report);
        }
    }
}

/// Converts a report that was just received from an engine; its age is set when it is sent.
fn to_shared_report(engine_id: u32, report: LoadReport) -> SharedLoadReport {
    let to_f32 = |value: Option<f64>| value.map(|value| value as f32);
    SharedLoadReport {
        engine: u64::from(engine_id),
        age_us: 0,
        in_flight: to_f32(report.in_flight),
        busy_fraction: to_f32(report.busy_fraction),
    }
}
