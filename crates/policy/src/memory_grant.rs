//! Memory grants of attempts: the estimated memory multiplied by a factor per request class, which is
//! adjusted so that few attempts spill.

/// Initial ratio of the memory grant to the estimate.
const INITIAL_FACTOR: f64 = 1.25;
/// Factor on the ratio after an attempt that spilled. Together with [`STEP_WITHOUT_SPILL`] the ratio settles
/// where about one attempt in eight spills.
const STEP_AFTER_SPILL: f64 = 1.07;
/// Factor on the ratio after an attempt that did not spill.
const STEP_WITHOUT_SPILL: f64 = 0.99;
/// Smallest ratio of the memory grant to the estimate.
const MIN_FACTOR: f64 = 0.3;
/// Largest ratio of the memory grant to the estimate.
const MAX_FACTOR: f64 = 5.0;

/// The learned memory grant of one request class.
pub(crate) struct MemoryGrant {
    /// Ratio of the memory grant to the estimate.
    factor: f64,
}

impl MemoryGrant {
    pub(crate) fn new() -> MemoryGrant {
        MemoryGrant { factor: INITIAL_FACTOR }
    }

    /// Memory grant in MB for an attempt with an estimate in MB.
    pub(crate) fn grant_mb(&self, estimate_mb: f64) -> f64 {
        estimate_mb * self.factor
    }

    /// Adjusts the factor by whether an attempt with a memory grant spilled to disk.
    pub(crate) fn record(&mut self, spilled: bool) {
        let step = if spilled { STEP_AFTER_SPILL } else { STEP_WITHOUT_SPILL };
        self.factor = (self.factor * step).clamp(MIN_FACTOR, MAX_FACTOR);
    }
}
