//! Outlier detection: an engine that fails clearly more of its attempts than all engines do is ejected, probed and
//! restored.
//!
//! A sequential test adds up the log-likelihood ratio of "unhealthy" over "healthy" over the outcomes of an engine. It
//! finds engines that answer quickly with errors and would look idle. Failures that all engines share eject none of
//! them, since the failure fraction of a healthy engine follows the baseline over all engines.

use crate::time::{Duration, Timestamp};

/// Minimum of the failure fraction that a healthy engine is assumed to have.
const MIN_HEALTHY_FAILURE_FRACTION: f64 = 0.05;
/// Maximum of the failure fraction that a healthy engine is assumed to have, reached where all engines fail alike.
const MAX_HEALTHY_FAILURE_FRACTION: f64 = 0.6;
/// Failure fraction that a healthy engine is assumed to have, as a multiple of that of all engines.
const HEALTHY_BASELINE_FACTOR: f64 = 3.0;
/// Failure fraction that an unhealthy engine is assumed to have, where that of a healthy engine is the minimum.
const UNHEALTHY_FAILURE_FRACTION: f64 = 0.5;
/// Successful outcomes that the baseline assumes before the first outcome.
const BASELINE_PRIOR_SUCCESSES: f64 = 100.0;
/// Factor by which each further outcome multiplies the earlier counts of the baseline.
const BASELINE_DECAY: f64 = 0.997;
/// Log-likelihood ratio at which an engine is ejected.
const EJECTION_THRESHOLD: f64 = 4.0;
/// Fraction of the ejection threshold to which successful probes must lower the ratio of an ejected engine to restore
/// it.
const RESTORE_THRESHOLD_FRACTION: f64 = 0.5;
/// Fraction of ejected engines above which ejections are ignored: a failure of so many engines has another cause.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// Time from an ejection to the first probe. Each failed probe doubles the interval up to the maximum.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(8000);

/// Exponentially decayed counts of the outcomes at engines that are not ejected.
#[derive(Debug, Default)]
pub(crate) struct FailureBaseline {
    failed: f64,
    total: f64,
}

impl FailureBaseline {
    /// Failure fraction that a healthy engine is assumed to have. The fraction follows the baseline, since broken
    /// connections and invalid statements of clients fail attempts at all engines alike.
    fn healthy_failure_fraction(&self) -> f64 {
        let fraction = HEALTHY_BASELINE_FACTOR * self.failed / (self.total + BASELINE_PRIOR_SUCCESSES);
        fraction.clamp(MIN_HEALTHY_FAILURE_FRACTION, MAX_HEALTHY_FAILURE_FRACTION)
    }

    fn record(&mut self, failed: bool) {
        self.failed = self.failed * BASELINE_DECAY + f64::from(failed);
        self.total = self.total * BASELINE_DECAY + 1.0;
    }
}

/// Change of an engine's health by an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    Ejected,
    Restored,
}

/// The sequential test of one engine.
#[derive(Default)]
pub(crate) struct OutlierDetector {
    /// Sum of the log-likelihood ratios of unhealthy over healthy, in 0..=EJECTION_THRESHOLD.
    log_likelihood_ratio: f64,
    ejected: bool,
    next_probe_time: Timestamp,
    probe_interval: Duration,
}

impl OutlierDetector {
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected
    }

    /// Whether the next probe may be sent now, if the engine is ejected.
    pub(crate) fn is_probe_due(&self, now: Timestamp) -> bool {
        now >= self.next_probe_time
    }

    /// Time since the next probe became due; zero before.
    pub(crate) fn probe_overdue(&self, now: Timestamp) -> Duration {
        now.since(self.next_probe_time)
    }

    /// Delays the next probe by the probe interval after an attempt was sent, so that the attempt ends first.
    pub(crate) fn on_attempt_sent(&mut self, now: Timestamp) {
        self.next_probe_time = now + self.probe_interval;
    }

    /// Records one outcome. Returns the ejection or restoration that follows from it, if any.
    pub(crate) fn record(
        &mut self,
        failed: bool,
        baseline: &mut FailureBaseline,
        now: Timestamp,
    ) -> Option<HealthChange> {
        self.log_likelihood_ratio = (self.log_likelihood_ratio + log_likelihood_ratio_of(failed, baseline))
            .clamp(0.0, EJECTION_THRESHOLD);
        if self.ejected { self.record_probe(failed, now) } else { self.record_attempt(failed, baseline, now) }
    }

    fn record_attempt(
        &mut self,
        failed: bool,
        baseline: &mut FailureBaseline,
        now: Timestamp,
    ) -> Option<HealthChange> {
        baseline.record(failed);
        self.ejected = self.log_likelihood_ratio >= EJECTION_THRESHOLD;
        self.probe_interval = FIRST_PROBE_INTERVAL;
        self.next_probe_time = now + FIRST_PROBE_INTERVAL;
        self.ejected.then_some(HealthChange::Ejected)
    }

    /// Records the outcome of a probe. The same test restores an ejected engine, over several successive probes: a
    /// single successful probe is not enough, or an engine that fails every other request would be restored.
    fn record_probe(&mut self, failed: bool, now: Timestamp) -> Option<HealthChange> {
        let backoff = if failed { 2.0 } else { 1.0 };
        self.probe_interval = (self.probe_interval * backoff).min(MAX_PROBE_INTERVAL);
        self.next_probe_time = if failed { now + self.probe_interval } else { now };
        self.ejected = self.log_likelihood_ratio > EJECTION_THRESHOLD * RESTORE_THRESHOLD_FRACTION;
        (!self.ejected).then_some(HealthChange::Restored)
    }
}

/// Log-likelihood ratio of unhealthy over healthy for one outcome: positive after a failure, negative after a success.
fn log_likelihood_ratio_of(failed: bool, baseline: &FailureBaseline) -> f64 {
    let healthy = baseline.healthy_failure_fraction();
    let unhealthy = UNHEALTHY_FAILURE_FRACTION + (healthy - MIN_HEALTHY_FAILURE_FRACTION) / 2.0;
    let ratio = if failed { unhealthy / healthy } else { (1.0 - unhealthy) / (1.0 - healthy) };
    ratio.ln()
}

/// Whether ejections apply among the engines that a request can reach. With most of them ejected, the network or the
/// requests are the likely cause, and ejections are ignored.
pub(crate) fn is_ejection_trusted(in_reach: usize, ejected: usize) -> bool {
    ejected as f64 <= in_reach as f64 * MAX_EJECTED_FRACTION
}
