//! Sharing of engine load reports between gateways.
//!
//! The holder of a health-check role requests load reports from the engines of that role and sends the reports, with
//! its fencing token, to all gateways. A gateway that has a fresh shared report doesn't request a report from the
//! engine itself. Engines are divided among several health-check roles by a hash of the engine id, so that no single
//! lease holder has to check all engines.

use crate::fencing::{Fenced, SafeAfterExpiry, TokenFence};
use larchfall_policy::time::{Duration, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of engines whose report times are kept. Each gateway requests the load of further engines itself.
const MAX_ENGINES: usize = 4096;

/// Load report of an engine as a lease holder sends it to other gateways. The encoding is positional: the order and
/// types of the fields are the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedLoadReport {
    /// Id of the engine.
    pub engine: u64,
    /// Age of the report when it was sent, in microseconds.
    pub age_us: u32,
    /// Requests in flight at the engine; `None` if the engine didn't report them.
    pub in_flight: Option<f32>,
    /// Fraction of the engine's cores that is busy; `None` if the engine didn't report it.
    pub busy_fraction: Option<f32>,
}

/// A request to an engine for a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthCheck {
    /// Index of the engine in the policy.
    pub engine: usize,
}

impl SafeAfterExpiry for HealthCheck {
    const EFFECT_AFTER_EXPIRY: &'static str =
        "one more health check of the engine, which doesn't change the engine's state";
}

/// Settings for sharing load reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSharingSettings {
    /// Number of health-check roles that the engines are divided among.
    pub role_count: usize,
    /// Time between two health checks of an engine by the lease holder.
    pub check_interval: Duration,
    /// Age from which on a report is stale, so that each gateway requests a load report from the engine itself.
    pub max_report_age: Duration,
}

/// Returns the name of the health-check role with this index.
pub fn health_check_role(index: usize) -> String {
    format!("probing:{index}")
}

/// Returns the name of the quota allocator role with this index.
pub fn quota_allocator_role(index: usize) -> String {
    format!("keeper:{index}")
}

/// Returns the index, below `role_count`, of the role that an engine id or a capacity key is assigned to.
pub fn role_index(key: u64, role_count: usize) -> usize {
    (xxh3_64(&key.to_le_bytes()) % role_count.max(1) as u64) as usize
}

/// Freshness of the load reports of a group of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportAges {
    /// Mean age of the fresh reports; zero if there are none.
    pub mean_age: Duration,
    /// Number of engines without a fresh report.
    pub engines_without_report: usize,
}

struct UnsentReport {
    report: SharedLoadReport,
    read_at: Timestamp,
}

/// State that one gateway keeps to share load reports.
pub struct LoadReportSharing {
    settings: LoadSharingSettings,
    fence: TokenFence,
    /// When the latest load report was read by this gateway or by the lease holder that sent it, by engine id.
    read_at: BTreeMap<u64, Timestamp>,
    /// Reports that this gateway read as lease holder and hasn't sent yet, by role index.
    unsent: BTreeMap<usize, Vec<UnsentReport>>,
    next_health_checks_at: Timestamp,
}

impl LoadReportSharing {
    /// Creates the state with the first health checks due at `now`.
    pub fn new(settings: LoadSharingSettings, now: Timestamp) -> LoadReportSharing {
        LoadReportSharing {
            settings,
            fence: TokenFence::default(),
            read_at: BTreeMap::new(),
            unsent: BTreeMap::new(),
            next_health_checks_at: now,
        }
    }

    /// Returns the number of health-check roles that the engines are divided among.
    pub fn role_count(&self) -> usize {
        self.settings.role_count
    }

    /// Returns when lease holders are to check their engines next.
    pub fn next_health_checks_at(&self) -> Timestamp {
        self.next_health_checks_at
    }

    /// Returns whether health checks are due, and schedules the next ones. Health checks that come late are not
    /// repeated for the intervals that were missed. Also drops stale report times.
    pub fn start_health_checks(&mut self, now: Timestamp) -> bool {
        if now < self.next_health_checks_at {
            return false;
        }
        self.next_health_checks_at = now + self.settings.check_interval;
        let max_age = self.settings.max_report_age;
        self.read_at.retain(|_, read_at| now.since(*read_at) < max_age);
        true
    }

    /// Returns whether the engine's latest report is fresh, so that this gateway need not request another one.
    pub fn has_fresh_report(&self, engine: u64, now: Timestamp) -> bool {
        self.read_at.get(&engine).is_some_and(|read_at| now.since(*read_at) < self.settings.max_report_age)
    }

    /// Returns the freshness of these engines' load reports.
    pub fn report_ages(&self, engines: impl Iterator<Item = u64>, now: Timestamp) -> ReportAges {
        let mut total_age = Duration::ZERO;
        let mut fresh_reports = 0_u32;
        let mut engines_without_report = 0;
        for engine in engines {
            let age = self.read_at.get(&engine).map(|read_at| now.since(*read_at));
            if let Some(age) = age.filter(|age| *age < self.settings.max_report_age) {
                total_age = total_age + age;
                fresh_reports += 1;
            } else {
                engines_without_report += 1;
            }
        }
        let mean_age = total_age * (1.0 / f64::from(fresh_reports.max(1)));
        ReportAges { mean_age, engines_without_report }
    }

    /// Records a report that this gateway read as holder of the engine's health-check role, to be sent to other
    /// gateways. An unsent older report of the same engine is replaced.
    pub fn record_own_report(&mut self, report: SharedLoadReport, now: Timestamp) {
        if !self.has_room_for(report.engine) {
            return;
        }
        self.read_at.insert(report.engine, now);
        let role = role_index(report.engine, self.settings.role_count);
        let unsent = self.unsent.entry(role).or_default();
        unsent.retain(|other| other.report.engine != report.engine);
        unsent.push(UnsentReport { report, read_at: now });
    }

    /// Removes and returns the unsent reports of one role, with their age at `now`.
    pub fn take_unsent_reports(&mut self, role_index: usize, now: Timestamp) -> Vec<SharedLoadReport> {
        let unsent = self.unsent.remove(&role_index).unwrap_or_default();
        let with_current_age = |UnsentReport { report, read_at }| SharedLoadReport {
            age_us: now.since(read_at).micros() as u32,
            ..report
        };
        unsent.into_iter().map(with_current_age).collect()
    }

    /// Accepts the reports of a lease holder that are fresh and newer than what this gateway has, and returns them.
    /// Returns `None` if the holder's fencing token is outdated or its role isn't a health-check role.
    pub fn accept_reports<'a>(
        &mut self,
        reports: &'a Fenced<Vec<SharedLoadReport>>,
        now: Timestamp,
    ) -> Option<Vec<&'a SharedLoadReport>> {
        let sender_role = (0..self.settings.role_count).find(|i| health_check_role(*i) == reports.role)?;
        if !self.fence.admits(&reports.role, reports.token) {
            return None;
        }
        let mut accepted = Vec::new();
        for report in &reports.content {
            let read_at = now - Duration::from_micros(u64::from(report.age_us));
            let is_outdated = self.read_at.get(&report.engine).is_some_and(|latest| *latest >= read_at);
            let belongs_to_sender = role_index(report.engine, self.settings.role_count) == sender_role;
            let is_fresh = now.since(read_at) < self.settings.max_report_age;
            if belongs_to_sender && is_fresh && !is_outdated && self.has_room_for(report.engine) {
                self.read_at.insert(report.engine, read_at);
                accepted.push(report);
            }
        }
        Some(accepted)
    }

    fn has_room_for(&self, engine: u64) -> bool {
        self.read_at.len() < MAX_ENGINES || self.read_at.contains_key(&engine)
    }

    /// Returns the number of messages that were rejected because of an outdated fencing token.
    pub fn rejected_messages(&self) -> u64 {
        self.fence.rejected
    }
}
