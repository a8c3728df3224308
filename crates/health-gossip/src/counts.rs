//! Counts of attempt outcomes that gateways report to each other.

use crate::EngineProcess;
use larchfall_policy::time::Duration;
use serde::{Deserialize, Serialize};

/// Time in which the weight of a recent outcome falls to 1/e.
pub const DECAY_TIME: Duration = Duration::from_millis(1_000);
/// Recent outcomes on the wire are in units of 1/16 outcome.
const UNITS_PER_OUTCOME: f64 = 16.0;

/// Outcomes that a gateway has observed of one engine process so far. While the gateway runs, the counts never
/// decrease, except `recent`. Encoded by position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Number of answered attempts, including late answers.
    pub answered: u32,
    /// Number of failed attempts: connections refused, reset or silent, and errors.
    pub failed: u32,
    /// Number of attempts that were answered after the latency objective.
    pub late: u32,
    /// Outcomes of about the last second, weighted by exponential decay over [`DECAY_TIME`].
    pub recent: RecentOutcomes,
}

/// Decaying counts of recent outcomes, in units of 1/16 outcome. The difference between successive cumulative counts
/// isn't enough: a gateway hears from another gateway every few seconds at best, so that most outcomes in the
/// difference would be from before an engine failed. Encoded by position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentOutcomes {
    /// Answered attempts in 1/16, at most 255.
    pub answered: u8,
    /// Failed attempts in 1/16, at most 255.
    pub failed: u8,
}

/// Decaying counts of recent outcomes, in outcomes. Used in computations; [`RecentOutcomes`] is the wire form.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayedOutcomes {
    /// Decayed number of answered attempts.
    pub answered: f64,
    /// Decayed number of failed attempts.
    pub failed: f64,
}

/// The part of `amount` that remains after exponential decay for `elapsed`.
pub(crate) fn decayed(amount: f64, elapsed: Duration) -> f64 {
    amount * (-(elapsed / DECAY_TIME)).exp()
}

impl DecayedOutcomes {
    /// The counts after exponential decay for `elapsed`.
    pub fn decayed_over(self, elapsed: Duration) -> DecayedOutcomes {
        DecayedOutcomes { answered: decayed(self.answered, elapsed), failed: decayed(self.failed, elapsed) }
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
    /// Number of attempts that were answered or failed.
    pub fn total(self) -> u32 {
        self.answered.saturating_add(self.failed)
    }

    /// Whether more attempts failed than were answered: among recent outcomes, or if there are none, among all
    /// outcomes.
    pub fn is_failing(self) -> bool {
        match self.recent {
            RecentOutcomes { answered: 0, failed: 0 } => self.failed > self.answered,
            RecentOutcomes { answered, failed } => failed > answered,
        }
    }

    /// Whether all cumulative counts are zero.
    pub fn is_empty(self) -> bool {
        self.answered == 0 && self.failed == 0 && self.late == 0
    }

    /// The increase since the earlier counts `previous`, with the recent outcomes of `self`. All zero if a count is
    /// lower than in `previous`, because then the two aren't counts of the same gateway process.
    pub fn since(self, previous: OutcomeCounts) -> OutcomeCounts {
        let has_grown = self.answered >= previous.answered
            && self.failed >= previous.failed
            && self.late >= previous.late;
        if !has_grown {
            return OutcomeCounts::default();
        }
        OutcomeCounts {
            answered: self.answered - previous.answered,
            failed: self.failed - previous.failed,
            late: self.late - previous.late,
            recent: self.recent,
        }
    }
}

/// The counts of one engine process. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessCounts {
    /// The engine process.
    pub process: EngineProcess,
    /// Outcomes of attempts that were sent to the process.
    pub counts: OutcomeCounts,
}
