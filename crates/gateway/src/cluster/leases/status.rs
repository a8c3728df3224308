//! Leases and quotas as `larchfall leases` and `larchfall quotas` show them, and in the log.

use super::LeaseService;
use crate::cluster::counters::count;
use crate::state::{State, lock};
use larchfall_leases::load_sharing::ReportAges;
use larchfall_leases::manager::{KnownLease, LastEnd, RoleStatus};
use larchfall_policy::time::Timestamp;
use larchfall_quotas::fairness::Fairness;
use larchfall_quotas::manager::{AllocationStatus, QuotaStatus};
use slog::info;
use std::collections::BTreeMap;

/// A lease as this gateway knows it.
struct Holding {
    holder: String,
    token: u64,
    expires: Timestamp,
}

impl LeaseService {
    /// By lease: its name, its holder, its token, what remains in milliseconds, why and when it last ended here.
    pub(in crate::cluster) fn lease_rows(&self) -> Vec<Vec<String>> {
        let now = self.now();
        let row = |status: RoleStatus| {
            let here = status.held.map(|held| Holding {
                holder: self.me.name.clone(),
                token: held.token,
                expires: held.expires_at,
            });
            let elsewhere = |known: &KnownLease| Holding {
                holder: known.holder.name.clone(),
                token: known.token,
                expires: known.expires_at,
            };
            let holding = here.or_else(|| status.known.map(elsewhere));
            let remaining = holding.as_ref().map_or(0, |held| held.expires.since(now).micros() / 1000);
            let last_end = status.last_end.map_or(String::new(), |LastEnd { reason, at }| {
                format!("{} {:.1} s ago", reason.status_word(), now.since(at).secs())
            });
            vec![
                status.role.to_owned(),
                holding.as_ref().map_or(String::new(), |held| held.holder.clone()),
                holding.as_ref().map_or(0, |held| held.token).to_string(),
                remaining.to_string(),
                last_end,
            ]
        };
        lock(&self.leases).statuses(now).map(row).collect()
    }

    /// By capacity: its name, this gateway's fraction, whether that was granted; where it is allocated here, how many
    /// gateways have a quota, what may be in use, and how fair that is.
    pub(in crate::cluster) fn quota_rows(&self) -> Vec<Vec<String>> {
        let Some(exchange) = &self.quotas else { return Vec::new() };
        let now = self.now();
        let quotas = lock(&exchange.quotas);
        let by_capacity = |status: AllocationStatus| (status.capacity, status.fairness);
        let allocated: BTreeMap<u64, Fairness> = quotas.allocations(now).map(by_capacity).collect();
        let row = |QuotaStatus { capacity, fraction, granted }| {
            let source = if granted { "handed out" } else { "by itself" };
            let mut row = vec![exchange.capacity_name(capacity), format!("{fraction:.4}"), source.to_owned()];
            if let Some(fairness) = allocated.get(&capacity) {
                row.extend(fairness_cells(fairness));
            }
            row
        };
        let mut rows: Vec<Vec<String>> = quotas.quotas(now).map(row).collect();
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
        let mut rejected = 0;
        let mut ages = ReportAges::default();
        if let Some(sharing) = &state.shared_load_reports {
            let ids = state.policy.ready_engines().into_iter().map(|engine| u64::from(engine.id));
            let sharing = lock(sharing);
            rejected = sharing.rejected();
            ages = sharing.report_ages(ids, state.clock.now());
        }
        info!(state.log, "lease counters"; "received" => count(&counters.received), "sent" => count(&counters.sent),
            "unknown" => count(&counters.unknown), "corrupt" => count(&counters.corrupt),
            "records_written" => count(&counters.records), "records_failed" => count(&counters.records_failed),
            "load_reports" => count(&counters.load_reports), "load_reports_rejected" => rejected,
            "quota_messages" => count(&counters.quotas), "load_reports_age_ms" => ages.mean_age.micros() / 1000,
            "engines_without_report" => ages.engines_without_report);
    }

    fn log_quotas(&self, state: &State) {
        let Some(exchange) = &self.quotas else { return };
        let now = self.now();
        let quotas = lock(&exchange.quotas);
        let granted = quotas.quotas(now).filter(|quota| quota.granted).count();
        let fractions: Vec<String> = quotas
            .quotas(now)
            .map(|quota| format!("{}:{:.4}", exchange.capacity_name(quota.capacity), quota.fraction))
            .collect();
        info!(state.log, "quotas"; "fractions" => fractions.join(" "), "allocated" => quotas.allocations(now).count(),
            "granted" => granted);
        for AllocationStatus { capacity, fairness } in quotas.allocations(now) {
            info!(state.log, "quota allocation"; "capacity" => exchange.capacity_name(capacity),
                "gateways" => fairness.gateways, "in_use" => fairness.in_use, "jain" => fairness.jain_index,
                "factor" => fairness.best_to_worst.unwrap_or(f64::INFINITY));
        }
    }
}

fn fairness_cells(fairness: &Fairness) -> [String; 4] {
    [
        fairness.gateways.to_string(),
        format!("{:.4}", fairness.in_use),
        format!("{:.4}", fairness.jain_index),
        fairness.best_to_worst.map_or("none".to_owned(), |factor| format!("{factor:.2}")),
    ]
}
