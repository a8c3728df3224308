//! What gateways saw of engines, brought together. Each gateway tells only what it saw itself, in counts that only grow, so that
//! order, doubling and loss of letters do not matter and nothing is passed round; how much another's word counts is worked out
//! from how independent it is. And whose turn it is to try what was left out. Without input or output.

pub mod books;
pub mod desk;
pub mod sights;
pub mod turns;
pub mod weigh;
pub mod wire;

use larchfall_policy::time::Duration;
use serde::{Deserialize, Serialize};

/// A process of an engine: its id, and when the list says that it started. Another process at its address is another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    pub id: u32,
    pub started_ms: u64,
}

/// What a gateway saw of one process so far. Counts never shrink while its gateway lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub answered: u32,
    /// Connections refused or reset, errors, silence.
    pub failed: u32,
    /// Answered after the response goal, or turned away.
    pub late: u32,
    /// Of them, what came in about the last second.
    pub lately: Lately,
}

/// Outcomes that fade, in sixteenths: where each gateway hears of another every few seconds at best, what came since the last
/// letter is mostly of before an engine broke.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lately {
    pub answered: u8,
    pub failed: u8,
}

/// What is left of an outcome after so long is 1 / e of it.
pub const FADES: Duration = Duration::from_millis(1_000);
const PARTS: f64 = 16.0;

impl Lately {
    pub fn of(answered: f64, failed: f64) -> Lately {
        let parts = |n: f64| (n * PARTS).round().clamp(0.0, 255.0) as u8;
        Lately { answered: parts(answered), failed: parts(failed) }
    }

    /// Answered and failed.
    pub fn outcomes(self) -> (f64, f64) {
        (f64::from(self.answered) / PARTS, f64::from(self.failed) / PARTS)
    }
}

/// What is left of something after this time.
pub(crate) fn faded(n: f64, after: Duration) -> f64 {
    n * (-(after / FADES)).exp()
}

impl Counts {
    pub fn all(self) -> u32 {
        self.answered.saturating_add(self.failed)
    }

    /// Whether it fails more than it answers: lately, or in all where nothing came lately.
    pub fn is_failing(self) -> bool {
        match self.lately {
            Lately { answered: 0, failed: 0 } => self.failed > self.answered,
            Lately { answered, failed } => failed > answered,
        }
    }

    pub fn is_none(self) -> bool {
        (self.answered, self.failed, self.late) == (0, 0, 0)
    }

    /// What came since then; nothing where the one before is not of the same counting.
    pub fn since(self, before: Counts) -> Counts {
        let grew =
            self.answered >= before.answered && self.failed >= before.failed && self.late >= before.late;
        let less = |now: u32, then: u32| if grew { now - then } else { 0 };
        Counts {
            answered: less(self.answered, before.answered),
            failed: less(self.failed, before.failed),
            late: less(self.late, before.late),
            lately: if grew { self.lately } else { Lately::default() },
        }
    }
}
