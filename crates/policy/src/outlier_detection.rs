//! Outlier detection: engines that fail more of their attempts than all engines do are ejected, probed, and restored.
//!
//! A sequential test: the log-likelihood ratio of "unhealthy" over "healthy" adds up over outcomes. Guards against
//! engines that answer fast with errors and so look idle, and against ejecting engines for what all of them share.

use crate::time::{Duration, Timestamp};

/// Fraction of bad outcomes of a healthy engine, at least.
const HEALTHY_BAD_MINIMUM: f64 = 0.05;
/// And at most, where all engines are bad alike.
const HEALTHY_BAD_MAXIMUM: f64 = 0.6;
/// A healthy engine may be so many times as bad as all engines are.
const HEALTHY_TIMES_BASELINE: f64 = 3.0;
/// Fraction of bad outcomes of an unhealthy engine, while a healthy one has the minimum.
const UNHEALTHY_BAD: f64 = 0.5;
/// Good outcomes that the baseline starts with.
const BASELINE_PRIOR: f64 = 100.0;
/// What is left of the baseline's counts after each further outcome.
const BASELINE_DECAY: f64 = 0.997;
/// Log-likelihood ratio at which an engine is ejected.
const EJECTION_EVIDENCE: f64 = 4.0;
/// Part of it down to which good probes must bring an ejected engine.
const RESTORE_FRACTION: f64 = 0.5;
/// Fraction of ejected engines above which the verdict itself is in doubt: then none is left out.
const MAX_EJECTED_FRACTION: f64 = 0.5;
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
const LONGEST_PROBE_INTERVAL: Duration = Duration::from_millis(8000);

/// Bad outcomes and all outcomes at engines that are not ejected, decayed.
#[derive(Debug, Default)]
pub(crate) struct FailureBaseline {
    bad: f64,
    all: f64,
}

impl FailureBaseline {
    /// Fraction of bad outcomes that a healthy engine may have: cut connections and mistakes of clients hit all alike.
    fn healthy_bad_fraction(&self) -> f64 {
        let times_baseline = HEALTHY_TIMES_BASELINE * self.bad / (self.all + BASELINE_PRIOR);
        times_baseline.clamp(HEALTHY_BAD_MINIMUM, HEALTHY_BAD_MAXIMUM)
    }

    fn record(&mut self, bad: bool) {
        self.bad = self.bad * BASELINE_DECAY + f64::from(bad);
        self.all = self.all * BASELINE_DECAY + 1.0;
    }
}

/// What an outcome changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    Ejected,
    Restored,
}

/// The test on one engine.
#[derive(Default)]
pub(crate) struct OutlierDetector {
    /// Log-likelihood ratio of unhealthy over healthy.
    evidence: f64,
    ejected: bool,
    next_probe_time: Timestamp,
    probe_interval: Duration,
}

impl OutlierDetector {
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected
    }

    /// Whether a probe may go out now, where the engine is ejected.
    pub(crate) fn is_probe_due(&self, now: Timestamp) -> bool {
        now >= self.next_probe_time
    }

    /// For how long a probe has been due.
    pub(crate) fn probe_overdue(&self, now: Timestamp) -> Duration {
        now.since(self.next_probe_time)
    }

    /// An attempt goes there: until its outcome the next probe waits.
    pub(crate) fn on_attempt_sent(&mut self, now: Timestamp) {
        self.next_probe_time = now + self.probe_interval;
    }

    /// Takes in one outcome, and tells whether the verdict changes by it.
    pub(crate) fn record(
        &mut self,
        bad: bool,
        baseline: &mut FailureBaseline,
        now: Timestamp,
    ) -> Option<HealthChange> {
        self.evidence = (self.evidence + evidence_of(bad, baseline)).clamp(0.0, EJECTION_EVIDENCE);
        if self.ejected { self.record_probe(bad, now) } else { self.record_attempt(bad, baseline, now) }
    }

    fn record_attempt(
        &mut self,
        bad: bool,
        baseline: &mut FailureBaseline,
        now: Timestamp,
    ) -> Option<HealthChange> {
        baseline.record(bad);
        self.ejected = self.evidence >= EJECTION_EVIDENCE;
        self.probe_interval = FIRST_PROBE_INTERVAL;
        self.next_probe_time = now + FIRST_PROBE_INTERVAL;
        self.ejected.then_some(HealthChange::Ejected)
    }

    /// An ejected engine comes back by the same test, over probes one after the other: a single good answer would restore
    /// one that errors on every other request.
    fn record_probe(&mut self, bad: bool, now: Timestamp) -> Option<HealthChange> {
        let backoff = if bad { 2.0 } else { 1.0 };
        self.probe_interval = (self.probe_interval * backoff).min(LONGEST_PROBE_INTERVAL);
        self.next_probe_time = if bad { now + self.probe_interval } else { now };
        self.ejected = self.evidence > EJECTION_EVIDENCE * RESTORE_FRACTION;
        (!self.ejected).then_some(HealthChange::Restored)
    }
}

fn evidence_of(bad: bool, baseline: &FailureBaseline) -> f64 {
    let healthy = baseline.healthy_bad_fraction();
    let unhealthy = UNHEALTHY_BAD + (healthy - HEALTHY_BAD_MINIMUM) / 2.0;
    let ratio = if bad { unhealthy / healthy } else { (1.0 - unhealthy) / (1.0 - healthy) };
    ratio.ln()
}

/// Whether ejections among the engines in reach count: with most of them ejected it is the network or the work.
pub(crate) fn is_ejection_trusted(in_reach: usize, ejected: usize) -> bool {
    ejected as f64 <= in_reach as f64 * MAX_EJECTED_FRACTION
}
