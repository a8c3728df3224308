//! How much memory an attempt is granted over its estimate, by request class: enough that few of them spill.

/// Memory granted over the estimate at first.
const FIRST_FACTOR: f64 = 1.25;
/// Steps after an attempt that spilled and after one that did not: they balance at one spill in eight.
const STEP_AFTER_SPILL: f64 = 1.07;
const STEP_AFTER_FIT: f64 = 0.99;
const MIN_FACTOR: f64 = 0.3;
const MAX_FACTOR: f64 = 5.0;

/// The factor of one request class.
pub(crate) struct MemoryGrant {
    factor: f64,
}

impl MemoryGrant {
    pub(crate) fn new() -> MemoryGrant {
        MemoryGrant { factor: FIRST_FACTOR }
    }

    pub(crate) fn grant_mb(&self, estimate_mb: f64) -> f64 {
        estimate_mb * self.factor
    }

    pub(crate) fn record(&mut self, spilled: bool) {
        let step = if spilled { STEP_AFTER_SPILL } else { STEP_AFTER_FIT };
        self.factor = (self.factor * step).clamp(MIN_FACTOR, MAX_FACTOR);
    }
}
