//! The congestion signal of one engine: late answers, attempts in flight past their latency objective,
//! rejections for lack of capacity, and timeouts.
//!
//! An overloaded engine may stop answering before any late answer arrives. Attempts in flight therefore count
//! as late once they are past their latency objective.

use crate::capacity_pool::CapacityPool;

/// An engine is late when more than this fraction of its recent answers and attempts in flight is late.
const MAX_LATE_FRACTION: f64 = 0.2;
/// Factor on the counted answers from one tick to the next. The counts span several ticks because at a low
/// request rate a single late answer is chance.
const DECAY_PER_TICK: f64 = 0.8;
/// Number of answers, at the late fraction of all engines, that are added to the answers of each engine. One
/// of many gateways sees too few answers of a single engine.
pub(crate) const POOLED_ANSWERS: f64 = 4.0;
/// Smallest decayed number of answers that counts as information about an engine.
pub(crate) const MINIMUM_ANSWERS: f64 = 0.25;

/// Recent observations of the attempts at one engine.
#[derive(Default)]
pub(crate) struct CongestionSignal {
    /// Number of answers, decayed per tick.
    answers: f64,
    /// Number of late answers, decayed per tick.
    late_answers: f64,
    /// Attempts in flight in this tick that are past their latency objective or predicted to miss it.
    overdue_attempts: f64,
    /// Whether in this tick the engine rejected an attempt for lack of capacity, or an attempt timed out.
    rejected: bool,
    congested: bool,
}

impl CongestionSignal {
    /// Whether the last tick found the engine congested.
    pub(crate) fn is_congested(&self) -> bool {
        self.congested
    }

    /// Marks the engine as not congested. Called when a new process has replaced the one that was observed at
    /// the engine's address.
    pub(crate) fn clear(&mut self) {
        self.congested = false;
    }

    pub(crate) fn record_answer(&mut self, late: bool) {
        self.answers += 1.0;
        self.late_answers += f64::from(late);
    }

    pub(crate) fn record_rejection(&mut self) {
        self.rejected = true;
    }

    pub(crate) fn record_overdue_attempt(&mut self) {
        self.overdue_attempts += 1.0;
    }

    /// Recent number of answers, decayed per tick.
    pub(crate) fn answers(&self) -> f64 {
        self.answers
    }

    /// Recent late answers plus overdue attempts in flight.
    pub(crate) fn late(&self) -> f64 {
        self.late_answers + self.overdue_attempts
    }

    /// Whether the engine's answers are late. [`POOLED_ANSWERS`] answers at the late fraction of all engines
    /// are added to the engine's own answers.
    pub(crate) fn is_late(&self, attempts_in_flight: usize, all_engines: &CapacityPool) -> bool {
        let pooled_late_fraction = all_engines.late_fraction(POOLED_ANSWERS);
        let observed = self.answers + attempts_in_flight as f64 + POOLED_ANSWERS;
        let late = self.late_answers + self.overdue_attempts + POOLED_ANSWERS * pooled_late_fraction;
        self.rejected || late > MINIMUM_ANSWERS.max(observed * MAX_LATE_FRACTION)
    }

    /// Updates the congestion state at the end of a tick. An engine without answers but with attempts in
    /// flight has given no new information, so it stays congested if it was.
    pub(crate) fn update(&mut self, late: bool, saturated: bool, attempts_in_flight: usize) {
        let unknown = self.answers <= MINIMUM_ANSWERS && attempts_in_flight > 0;
        self.congested = late || saturated || (self.congested && unknown);
    }

    /// Decays the counted answers and resets the observations that hold for a single tick.
    pub(crate) fn decay(&mut self) {
        self.answers *= DECAY_PER_TICK;
        self.late_answers *= DECAY_PER_TICK;
        self.rejected = false;
        self.overdue_attempts = 0.0;
    }
}
