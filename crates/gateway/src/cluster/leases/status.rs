//! Status of leases and quotas: the rows of `larchfall leases` and `larchfall quotas`, and log lines.

use super::LeaseService;
use crate::cluster::counters::counter_value;
use crate::state::{State, lock};
use larchfall_leases::load_sharing::ReportAges;
use larchfall_leases::manager::{LastEnd, ListedLease, RoleStatus};
use larchfall_policy::time::Timestamp;
use larchfall_quotas::fairness::Fairness;
use larchfall_quotas::manager::{AllocationStatus, QuotaStatus};
use slog::info;
use std::collections::BTreeMap;

/// A lease in force, held by this gateway or by another.
struct ActiveLease {
    holder: String,
    token: u64,
    expires_at: Timestamp,
}

impl LeaseService {
    /// One row for each role: name, lease holder (empty if unknown), fencing token (0 if unknown), remaining time of
    /// the lease in milliseconds, and why and how long ago this gateway last gave up the role (empty if it never
    /// did).
    pub(in crate::cluster) fn lease_rows(&self) -> Vec<Vec<String>> {
        let now = self.now();
        let row = |status: RoleStatus| {
            let own_lease = status.held_lease.map(|held| ActiveLease {
                holder: self.member_id.name.clone(),
                token: held.token,
                expires_at: held.expires_at,
            });
            let to_active_lease = |known: &ListedLease| ActiveLease {
                holder: known.holder.name.clone(),
                token: known.token,
                expires_at: known.expires_at,
            };
            let lease = own_lease.or_else(|| status.listed_lease.map(to_active_lease));
            let remaining_ms = lease.as_ref().map_or(0, |lease| lease.expires_at.since(now).micros() / 1000);
            let last_end = status.last_end.map_or(String::new(), |LastEnd { reason, ended_at }| {
                format!("{} {:.1} s ago", reason.status_word(), now.since(ended_at).secs())
            });
            vec![
                status.role.to_owned(),
                lease.as_ref().map_or(String::new(), |lease| lease.holder.clone()),
                lease.as_ref().map_or(0, |lease| lease.token).to_string(),
                remaining_ms.to_string(),
                last_end,
            ]
        };
        lock(&self.manager).role_statuses(now).map(row).collect()
    }

    /// One row for each capacity: name, this gateway's quota fraction, and `handed out` if the quota was granted or
    /// `by itself` for the default fraction. If this gateway allocates the capacity, the cells of [`fairness_cells`]
    /// follow.
    pub(in crate::cluster) fn quota_rows(&self) -> Vec<Vec<String>> {
        let Some(exchange) = &self.quota_exchange else { return Vec::new() };
        let now = self.now();
        let manager = lock(&exchange.manager);
        let by_capacity = |status: AllocationStatus| (status.capacity, status.fairness);
        let allocations: BTreeMap<u64, Fairness> = manager.allocations(now).map(by_capacity).collect();
        let row = |QuotaStatus { capacity, fraction, granted }| {
            let origin = if granted { "handed out" } else { "by itself" };
            let mut row = vec![exchange.capacity_name(capacity), format!("{fraction:.4}"), origin.to_owned()];
            if let Some(fairness) = allocations.get(&capacity) {
                row.extend(fairness_cells(fairness));
            }
            row
        };
        let mut rows: Vec<Vec<String>> = manager.quotas(now).map(row).collect();
        rows.sort();
        rows
    }

    pub(in crate::cluster) fn log_status(&self, state: &State) {
        self.log_counters(state);
        self.log_quotas(state);
        for row in self.lease_rows() {
            info!(state.log, "lease"; "name" => &row[0], "holder" => &row[1], "token" => &row[2],
                "remaining_ms" => &row[3], "last_change" => &row[4]);
        }
    }

    fn log_counters(&self, state: &State) {
        let counters = &self.counters;
        let mut rejected_reports = 0;
        let mut report_ages = ReportAges::default();
        if let Some(sharing) = &state.shared_load_reports {
            let engine_ids = state.policy.ready_engines().into_iter().map(|engine| u64::from(engine.id));
            let sharing = lock(sharing);
            rejected_reports = sharing.rejected_messages();
            report_ages = sharing.report_ages(engine_ids, state.clock.now());
        }
        info!(state.log, "lease counters"; "received" => counter_value(&counters.received),
            "sent" => counter_value(&counters.sent), "unknown" => counter_value(&counters.unknown_members),
            "corrupt" => counter_value(&counters.corrupt),
            "records_written" => counter_value(&counters.record_writes),
            "records_failed" => counter_value(&counters.failed_record_writes),
            "load_reports" => counter_value(&counters.load_reports), "load_reports_rejected" => rejected_reports,
            "quota_messages" => counter_value(&counters.quota_grants),
            "load_reports_age_ms" => report_ages.mean_age.micros() / 1000,
            "engines_without_report" => report_ages.engines_without_report);
    }

    fn log_quotas(&self, state: &State) {
        let Some(exchange) = &self.quota_exchange else { return };
        let now = self.now();
        let manager = lock(&exchange.manager);
        let granted = manager.quotas(now).filter(|quota| quota.granted).count();
        let fractions: Vec<String> = manager
            .quotas(now)
            .map(|quota| format!("{}:{:.4}", exchange.capacity_name(quota.capacity), quota.fraction))
            .collect();
        info!(state.log, "quotas"; "fractions" => fractions.join(" "),
            "allocated" => manager.allocations(now).count(), "granted" => granted);
        for AllocationStatus { capacity, fairness } in manager.allocations(now) {
            info!(state.log, "quota allocation"; "capacity" => exchange.capacity_name(capacity),
                "gateways" => fairness.gateways, "in_use" => fairness.in_use, "jain" => fairness.jain_index,
                "factor" => fairness.max_to_min_ratio.unwrap_or(f64::INFINITY));
        }
    }
}

/// Fairness of an allocation: number of gateways with a quota, fraction of the capacity that may be in use, Jain's
/// fairness index, and ratio of the best to the worst share (`none` if the worst gateway has nothing).
fn fairness_cells(fairness: &Fairness) -> [String; 4] {
    [
        fairness.gateways.to_string(),
        format!("{:.4}", fairness.in_use),
        format!("{:.4}", fairness.jain_index),
        fairness.max_to_min_ratio.map_or("none".to_owned(), |ratio| format!("{ratio:.2}")),
    ]
}
