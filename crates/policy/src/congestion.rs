//! The congestion signal of one engine: late answers, attempts past their objective, and refusals for lack of room.
//!
//! Guards against overload that would show only once an engine has stopped answering: attempts that are past their
//! objective count as late before they end.

use crate::capacity_pool::CapacityPool;

/// Fraction of the answers and attempts seen in a tick that may be late without congestion.
const LATE_FRACTION: f64 = 0.2;
/// Weight that what was seen keeps from one tick to the next: single late answers on thin traffic are chance.
const DECAY_PER_TICK: f64 = 0.8;
/// Answers of all engines, at their late fraction, added to each engine's own: one of many gateways sees few.
pub(crate) const POOLED_ANSWERS: f64 = 4.0;
/// Fewer decayed answers than this are no information.
pub(crate) const MINIMUM_ANSWERS: f64 = 0.25;

/// What the attempts at one engine showed lately.
#[derive(Default)]
pub(crate) struct CongestionSignal {
    answers: f64,
    late_answers: f64,
    /// Attempts in flight past their latency objective, or predicted to be.
    overdue_attempts: f64,
    /// The engine rejected an attempt for lack of room, or one timed out there.
    rejected: bool,
    congested: bool,
}

impl CongestionSignal {
    /// Whether the last tick found the engine congested.
    pub(crate) fn is_congested(&self) -> bool {
        self.congested
    }

    /// Another process runs at the engine's address: what the last one showed says nothing of it.
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

    /// Answers since long enough ago to count, decayed.
    pub(crate) fn answers(&self) -> f64 {
        self.answers
    }

    /// Late answers and overdue attempts together.
    pub(crate) fn late(&self) -> f64 {
        self.late_answers + self.overdue_attempts
    }

    /// Whether the engine is late by what it showed, with a little of what all engines showed mixed in.
    pub(crate) fn is_late(&self, attempts_in_flight: usize, all_engines: &CapacityPool) -> bool {
        let pooled_late_fraction = all_engines.late_fraction(POOLED_ANSWERS);
        let seen = self.answers + attempts_in_flight as f64 + POOLED_ANSWERS;
        let late = self.late_answers + self.overdue_attempts + POOLED_ANSWERS * pooled_late_fraction;
        self.rejected || late > MINIMUM_ANSWERS.max(seen * LATE_FRACTION)
    }

    /// Ends a tick's reading. A tick without answers while attempts are in flight has read nothing: the last reading stands.
    pub(crate) fn update(&mut self, late: bool, saturated: bool, attempts_in_flight: usize) {
        let unread = self.answers <= MINIMUM_ANSWERS && attempts_in_flight > 0;
        self.congested = late || saturated || (self.congested && unread);
    }

    /// Lets what was seen fade before the next tick.
    pub(crate) fn decay(&mut self) {
        self.answers *= DECAY_PER_TICK;
        self.late_answers *= DECAY_PER_TICK;
        self.rejected = false;
        self.overdue_attempts = 0.0;
    }
}
