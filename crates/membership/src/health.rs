//! How well this gateway itself keeps up, after Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness
//! for More Accurate Failure Detection", 2018, section IV.A). One that is slow would find everybody else silent: the
//! worse its own health, the longer it waits before it blames another.

use larchfall_policy::time::Duration;

/// The paper's bound.
const WORST: u32 = 8;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Health {
    score: u32,
}

/// What tells of this gateway's own health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A probe was answered in time.
    Answered,
    /// A probe was not, nor did those who were asked for help say that they had no answer either.
    NobodyAnswered,
    /// It had to refute that it is dead.
    Refuted,
    /// It stood still for longer than a period.
    StoodStill,
}

impl Health {
    pub fn see(&mut self, sign: Sign) {
        self.score = match sign {
            Sign::Answered => self.score.saturating_sub(1),
            Sign::NobodyAnswered | Sign::Refuted => (self.score + 1).min(WORST),
            Sign::StoodStill => (self.score + 2).min(WORST),
        };
    }

    /// What it waits for others, longer while its own health is poor.
    pub fn stretch(self, duration: Duration) -> Duration {
        duration * f64::from(self.score + 1)
    }

    pub fn score(self) -> u32 {
        self.score
    }
}
