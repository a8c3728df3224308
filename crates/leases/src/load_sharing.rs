//! Sharing of engines' load reports: the holder of a health-check role asks its engines for their load and sends what it
//! read to all gateways, with its fencing token. They use a fresh report instead of asking themselves, and ask again once
//! it is old. Engines are divided among a few such roles by a hash of their id, so that no one holder asks all.

use crate::fencing::{Fenced, SafeAfterExpiry, TokenFence};
use larchfall_policy::time::{Duration, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Engines beyond this many are asked by each gateway itself.
const MAX_ENGINES: usize = 4096;

/// An engine's load report as a holder passes it on. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedLoadReport {
    /// The engine's id.
    pub engine: u64,
    /// Its age when it was sent, in microseconds.
    pub age_us: u32,
    /// Requests in flight at the engine.
    pub in_flight: Option<f32>,
    /// How busy its cores are.
    pub busy_fraction: Option<f32>,
}

/// A request to an engine for its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthCheck {
    /// Index of the engine in the policy.
    pub engine: usize,
}

impl SafeAfterExpiry for HealthCheck {
    const EFFECT_AFTER_EXPIRY: &'static str =
        "one more health check of the engine, which changes nothing there";
}

/// How load reports are shared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSharingSettings {
    /// Roles that the engines are divided among.
    pub role_count: usize,
    /// Time between two health checks of an engine by its holder.
    pub check_interval: Duration,
    /// Older reports do not count, and a gateway asks by itself.
    pub max_report_age: Duration,
}

/// The health-check role of this index.
pub fn health_check_role(index: usize) -> String {
    format!("probing:{index}")
}

/// The quota allocator's role of this index.
pub fn quota_allocator_role(index: usize) -> String {
    format!("keeper:{index}")
}

/// Which of `roles` roles an engine or capacity belongs to.
pub fn role_index(key: u64, role_count: usize) -> usize {
    (xxh3_64(&key.to_le_bytes()) % role_count.max(1) as u64) as usize
}

/// How fresh what is known of some engines is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportAges {
    /// Mean age of the fresh reports.
    pub mean_age: Duration,
    /// Engines without a fresh report.
    pub engines_without_report: usize,
}

struct UnsentReport {
    report: SharedLoadReport,
    read_at: Timestamp,
}

/// One gateway's part in sharing load reports.
pub struct LoadReportSharing {
    settings: LoadSharingSettings,
    fence: TokenFence,
    /// By engine: when its load was read, here or by a holder that reported it.
    read_at: BTreeMap<u64, Timestamp>,
    /// By role: what was read here as its holder and not sent yet.
    unsent: BTreeMap<usize, Vec<UnsentReport>>,
    next_health_checks_at: Timestamp,
}

impl LoadReportSharing {
    /// The first round is due at once.
    pub fn new(settings: LoadSharingSettings, now: Timestamp) -> LoadReportSharing {
        LoadReportSharing {
            settings,
            fence: TokenFence::default(),
            read_at: BTreeMap::new(),
            unsent: BTreeMap::new(),
            next_health_checks_at: now,
        }
    }

    /// Roles that the engines are divided among.
    pub fn role_count(&self) -> usize {
        self.settings.role_count
    }

    /// When holders are to ask their engines next.
    pub fn next_health_checks_at(&self) -> Timestamp {
        self.next_health_checks_at
    }

    /// Starts a round of health checks where one is due; at most one each interval, however late.
    pub fn start_health_checks(&mut self, now: Timestamp) -> bool {
        if now < self.next_health_checks_at {
            return false;
        }
        self.next_health_checks_at = now + self.settings.check_interval;
        let max_age = self.settings.max_report_age;
        self.read_at.retain(|_, read_at| now.since(*read_at) < max_age);
        true
    }

    /// Whether this gateway need not ask the engine itself.
    pub fn has_fresh_report(&self, engine: u64, now: Timestamp) -> bool {
        self.read_at.get(&engine).is_some_and(|read_at| now.since(*read_at) < self.settings.max_report_age)
    }

    /// How fresh what is known of these engines is.
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

    /// Records what this gateway read itself as the holder of the engine's role.
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

    /// Takes the reports of one role's engines that are to be sent, with their age.
    pub fn take_unsent_reports(&mut self, role_index: usize, now: Timestamp) -> Vec<SharedLoadReport> {
        let unsent = self.unsent.remove(&role_index).unwrap_or_default();
        let with_age = |UnsentReport { report, read_at }| SharedLoadReport {
            age_us: now.since(read_at).micros() as u32,
            ..report
        };
        unsent.into_iter().map(with_age).collect()
    }

    /// The reports of a holder that are news here. `None` where its token is older than one seen before, or its role is
    /// no health-check role.
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
            let is_known = self.read_at.get(&report.engine).is_some_and(|known| *known >= read_at);
            let is_senders = role_index(report.engine, self.settings.role_count) == sender_role;
            let is_fresh = now.since(read_at) < self.settings.max_report_age;
            if is_senders && is_fresh && !is_known && self.has_room_for(report.engine) {
                self.read_at.insert(report.engine, read_at);
                accepted.push(report);
            }
        }
        Some(accepted)
    }

    fn has_room_for(&self, engine: u64) -> bool {
        self.read_at.len() < MAX_ENGINES || self.read_at.contains_key(&engine)
    }

    /// Messages that came with an outdated token.
    pub fn rejected_messages(&self) -> u64 {
        self.fence.rejected
    }
}
