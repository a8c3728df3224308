//! Counts of outcomes, as gateways report them.

use crate::EngineProcess;
use larchfall_policy::time::Duration;
use serde::{Deserialize, Serialize};

/// Time in which a recent outcome decays to 1/e of its weight.
pub const DECAY_TIME: Duration = Duration::from_millis(1_000);
/// Unit of recent outcomes on the wire.
const UNITS_PER_OUTCOME: f64 = 16.0;

/// What a gateway observed of one process so far. Counts never shrink while its gateway runs. Encoded by position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Attempts that were answered, late ones among them.
    pub answered: u32,
    /// Connections refused or reset, errors, silence.
    pub failed: u32,
    /// Attempts that were answered after the latency objective.
    pub late: u32,
    /// What of them came in about the last second.
    pub recent: RecentOutcomes,
}

/// Outcomes that decay, in sixteenths. Where each gateway hears of another every few seconds at best, what came since the
/// last datagram is mostly of before an engine broke. Encoded by position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentOutcomes {
    /// Answered attempts.
    pub answered: u8,
    /// Failed attempts.
    pub failed: u8,
}

/// Outcomes that decay, while they are computed with.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayedOutcomes {
    /// Answered attempts.
    pub answered: f64,
    /// Failed attempts.
    pub failed: f64,
}

/// What is left of `amount` after this time.
pub(crate) fn decayed(amount: f64, after: Duration) -> f64 {
    amount * (-(after / DECAY_TIME)).exp()
}

impl DecayedOutcomes {
    /// What is left of them after this time.
    pub fn decayed_over(self, time: Duration) -> DecayedOutcomes {
        DecayedOutcomes { answered: decayed(self.answered, time), failed: decayed(self.failed, time) }
    }
}

impl From<DecayedOutcomes> for RecentOutcomes {
    fn from(outcomes: DecayedOutcomes) -> RecentOutcomes {
        let units = |outcomes: f64| (outcomes * UNITS_PER_OUTCOME).round().clamp(0.0, 255.0) as u8;
        RecentOutcomes { answered: units(outcomes.answered), failed: units(outcomes.failed) }
    }
}

impl From<RecentOutcomes> for DecayedOutcomes {
    fn from(outcomes: RecentOutcomes) -> DecayedOutcomes {
        DecayedOutcomes {
            answered: f64::from(outcomes.answered) / UNITS_PER_OUTCOME,
            failed: f64::from(outcomes.failed) / UNITS_PER_OUTCOME,
        }
    }
}

impl OutcomeCounts {
    /// Attempts that were answered or failed.
    pub fn total(self) -> u32 {
        self.answered.saturating_add(self.failed)
    }

    /// Whether more fails than is answered: recently, or in all where nothing came recently.
    pub fn is_failing(self) -> bool {
        match self.recent {
            RecentOutcomes { answered: 0, failed: 0 } => self.failed > self.answered,
            RecentOutcomes { answered, failed } => failed > answered,
        }
    }

    /// Whether nothing was counted.
    pub fn is_empty(self) -> bool {
        self.answered == 0 && self.failed == 0 && self.late == 0
    }

    /// What came since `before`; nothing where that is not of the same counting.
    pub fn since(self, before: OutcomeCounts) -> OutcomeCounts {
        let has_grown =
            self.answered >= before.answered && self.failed >= before.failed && self.late >= before.late;
        if !has_grown {
            return OutcomeCounts::default();
        }
        OutcomeCounts {
            answered: self.answered - before.answered,
            failed: self.failed - before.failed,
            late: self.late - before.late,
            recent: self.recent,
        }
    }
}

/// The counts of one process. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessCounts {
    /// The process.
    pub process: EngineProcess,
    /// Its counts.
    pub counts: OutcomeCounts,
}
