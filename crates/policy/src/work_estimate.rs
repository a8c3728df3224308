//! Estimates of the work of a request, learned by request class from work hints and answers. Work is measured
//! in seconds of one thread.

use crate::time::Duration;
use crate::types::RequestClass;

/// The running mean of hints weighs a new hint as if at most this many hints had been recorded.
const MAX_HINTS: f64 = 500.0;
/// Weight, in hints, of the assumed mean before the first hint.
const PRIOR_HINTS: f64 = 4.0;
/// Initial ratio of the measured time of an attempt to its estimated time.
const INITIAL_STRETCH: f64 = 1.5;
/// An attempt is off its estimate if its progress predicts a duration of more than this multiple of the usual
/// duration for its estimate.
const OFF_ESTIMATE_FACTOR: f64 = 4.0;
/// Weight of one answer in the learned stretch, and in the hint correction where answers report work.
const FACTOR_WEIGHT: f64 = 0.03;
/// Weight of one answer in the mean of the reported work.
const MEAN_WEIGHT: f64 = 0.02;

/// Learned estimates of the work of one request class.
pub(crate) struct WorkEstimate {
    /// Mean of the work hints of requests, in seconds of one thread.
    mean_hint_secs: f64,
    /// Learned ratio of the actual work to the hint.
    hint_correction: f64,
    /// Mean of the work that answers report, in seconds of one thread. `None` until an answer reports work.
    mean_reported_secs: Option<f64>,
    /// Number of recorded hints, at most [`MAX_HINTS`].
    hints: f64,
    /// Running geometric mean of the ratio of the measured time of an attempt to its estimated time.
    stretch: f64,
}

/// What one answer shows about the work of its request.
pub(crate) struct ObservedWork {
    /// The hint that came with the request.
    pub hint: Option<Duration>,
    /// The estimate at the admission of the request, in seconds of one thread.
    pub estimate: Option<f64>,
    /// The work that the answer reports.
    pub reported: Option<Duration>,
    /// Duration of the attempt in seconds, multiplied by the threads per request of the class.
    pub thread_seconds: f64,
}

impl WorkEstimate {
    /// Before the first hint the mean is the work that fits into the latency objective, since slow start
    /// needs a value.
    pub(crate) fn new(class: &RequestClass) -> WorkEstimate {
        WorkEstimate {
            mean_hint_secs: class.latency_objective.secs() * class.threads,
            hint_correction: 1.0,
            mean_reported_secs: None,
            hints: 0.0,
            stretch: INITIAL_STRETCH,
        }
    }

    /// Estimated work of a request with this hint, in seconds of one thread. `None` if the request has no
    /// hint and its class has had neither hints nor reported work.
    pub(crate) fn estimate(&self, hint: Option<Duration>) -> Option<f64> {
        let corrected_mean_hint = (self.hints > 0.0).then_some(self.mean_hint_secs * self.hint_correction);
        hint.map(|hint| hint.secs() * self.hint_correction)
            .or(self.mean_reported_secs)
            .or(corrected_mean_hint)
    }

    /// Mean work of a request in seconds of one thread, for the budgets of slow start.
    pub(crate) fn mean_secs(&self) -> f64 {
        self.mean_reported_secs.unwrap_or(self.mean_hint_secs * self.hint_correction.max(1.0)).max(0.001)
    }

    pub(crate) fn record_hint(&mut self, hint: Option<Duration>) {
        let Some(hint) = hint else { return };
        self.hints = (self.hints + 1.0).min(MAX_HINTS);
        self.mean_hint_secs += (hint.secs() - self.mean_hint_secs) / (self.hints + PRIOR_HINTS);
    }

    /// Predicted duration beyond which an attempt is off its estimate. Without an estimate no attempt is.
    pub(crate) fn off_estimate_after(&self, estimate: Option<f64>, threads: f64) -> Duration {
        let Some(work) = estimate else { return Duration::from_secs(f64::MAX) };
        Duration::from_secs(work / threads * self.stretch * OFF_ESTIMATE_FACTOR)
    }

    /// Updates the estimates with an answer. If answers report the work, the mean and the hint correction
    /// follow the reported work. Otherwise the correction follows a low quantile of the ratio of the measured
    /// time to the hint, because an attempt never takes less time than its work and most attempts also wait a
    /// little.
    pub(crate) fn record_answer(&mut self, observed: &ObservedWork) {
        if let Some(estimate) = observed.estimate {
            let ratio = (observed.thread_seconds / estimate.max(0.001)).clamp(0.5, 20.0);
            self.stretch *= (ratio / self.stretch).powf(FACTOR_WEIGHT);
        }
        if let Some(reported) = observed.reported {
            let mean = self.mean_reported_secs.get_or_insert(reported.secs());
            *mean += (reported.secs() - *mean) * MEAN_WEIGHT;
        }
        let Some(hint) = observed.hint.filter(|hint| hint.micros() > 0) else { return };
        self.update_hint_correction(hint, observed);
    }

    fn update_hint_correction(&mut self, hint: Duration, observed: &ObservedWork) {
        self.hint_correction *= match observed.reported {
            Some(reported) => ((reported / hint).max(0.01) / self.hint_correction).powf(FACTOR_WEIGHT),
            None if observed.thread_seconds / hint.secs() < self.hint_correction => 0.98,
            None => 1.01,
        };
        self.hint_correction = self.hint_correction.clamp(0.1, 10.0);
    }
}
