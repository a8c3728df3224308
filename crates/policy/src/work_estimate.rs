//! Estimates of the work of a request, in seconds of one thread, learned from answers by request class.

use crate::time::Duration;
use crate::types::RequestClass;

/// Hints after which the mean of hints moves no faster.
const MAX_HINTS: f64 = 500.0;
/// Weight of the assumption before the first hints, in hints.
const PRIOR_HINTS: f64 = 4.0;
/// Time taken over the estimated time, before any answer.
const FIRST_STRETCH: f64 = 1.5;
/// An attempt whose pace predicts so many times the usual time has gone off its estimate.
const OFF_ESTIMATE_FACTOR: f64 = 4.0;
/// Weights of one answer in the learned factors and in the mean of the work that answers report.
const FACTOR_WEIGHT: f64 = 0.03;
const MEAN_WEIGHT: f64 = 0.02;

/// What is known of the work of one request class.
pub(crate) struct WorkEstimate {
    /// Mean of the hints that came with requests, in seconds.
    mean_hint: f64,
    /// Work over hint, as answers show it.
    hint_correction: f64,
    /// Mean of the work that answers report, in seconds.
    mean_reported: Option<f64>,
    hints: f64,
    /// Time taken over estimated time, as it mostly is lately.
    stretch: f64,
}

/// One answer, as far as it tells of work.
pub(crate) struct ObservedWork {
    pub hint: Option<Duration>,
    /// The estimate when the request was admitted, in seconds.
    pub estimate: Option<f64>,
    /// The work that the answer reports.
    pub reported: Option<Duration>,
    /// Time taken times the threads of the class, in seconds.
    pub thread_seconds: f64,
}

impl WorkEstimate {
    /// Until hints come, the work that the latency objective has room for: slow start needs some.
    pub(crate) fn new(class: &RequestClass) -> WorkEstimate {
        WorkEstimate {
            mean_hint: class.latency_objective.secs() * class.threads,
            hint_correction: 1.0,
            mean_reported: None,
            hints: 0.0,
            stretch: FIRST_STRETCH,
        }
    }

    /// The work of a request with this hint, in seconds; none before anything is known of its class.
    pub(crate) fn estimate(&self, hint: Option<Duration>) -> Option<f64> {
        let mean_hint = (self.hints > 0.0).then_some(self.mean_hint * self.hint_correction);
        hint.map(|hint| hint.secs() * self.hint_correction).or(self.mean_reported).or(mean_hint)
    }

    /// Usual work of a request in seconds, as slow start counts it.
    pub(crate) fn mean_secs(&self) -> f64 {
        self.mean_reported.unwrap_or(self.mean_hint * self.hint_correction.max(1.0)).max(0.001)
    }

    pub(crate) fn record_hint(&mut self, hint: Option<Duration>) {
        let Some(hint) = hint else { return };
        self.hints = (self.hints + 1.0).min(MAX_HINTS);
        self.mean_hint += (hint.secs() - self.mean_hint) / (self.hints + PRIOR_HINTS);
    }

    /// An attempt whose pace predicts more than this has gone off its estimate; without an estimate none has.
    pub(crate) fn off_estimate_after(&self, estimate: Option<f64>, threads: f64) -> Duration {
        let Some(work) = estimate else { return Duration::from_secs(f64::MAX) };
        Duration::from_secs(work / threads * self.stretch * OFF_ESTIMATE_FACTOR)
    }

    /// Learns from an answer. Where answers report the work it is learned as reported. Elsewhere the correction follows a low
    /// quantile of the time over the hint: an answer is never faster than its work, and most wait a little.
    pub(crate) fn record_answer(&mut self, observed: &ObservedWork) {
        if let Some(estimate) = observed.estimate {
            let ratio = (observed.thread_seconds / estimate.max(0.001)).clamp(0.5, 20.0);
            self.stretch *= (ratio / self.stretch).powf(FACTOR_WEIGHT);
        }
        if let Some(reported) = observed.reported {
            let mean = self.mean_reported.get_or_insert(reported.secs());
            *mean += (reported.secs() - *mean) * MEAN_WEIGHT;
        }
        let Some(hint) = observed.hint.filter(|hint| hint.micros() > 0) else { return };
        self.correct_hints(hint, observed);
    }

    fn correct_hints(&mut self, hint: Duration, observed: &ObservedWork) {
        self.hint_correction *= match observed.reported {
            Some(reported) => ((reported / hint).max(0.01) / self.hint_correction).powf(FACTOR_WEIGHT),
            None if observed.thread_seconds / hint.secs() < self.hint_correction => 0.98,
            None => 1.01,
        };
        self.hint_correction = self.hint_correction.clamp(0.1, 10.0);
    }
}
