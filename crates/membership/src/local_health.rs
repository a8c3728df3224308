//! How well this gateway itself keeps up, after Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness
//! for More Accurate Failure Detection", 2018, section IV.A). One that is slow would find everybody else silent: the worse
//! its own health, the longer it waits before it suspects another.

use larchfall_policy::time::Duration;

/// The paper's bound.
const MAX_SCORE: u32 = 8;

/// This gateway's own health: 0 is healthy, 8 the worst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LocalHealth {
    score: u32,
}

/// What tells of this gateway's own health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvent {
    /// A probe was acknowledged in time.
    Acked,
    /// A probe was not, nor did any helper say that it had no answer either.
    Unanswered,
    /// It had to refute a claim about itself.
    Refuted,
    /// It did not run for longer than a period.
    Stalled,
}

impl LocalHealth {
    /// Takes an event into account.
    pub fn record(&mut self, event: HealthEvent) {
        self.score = match event {
            HealthEvent::Acked => self.score.saturating_sub(1),
            HealthEvent::Unanswered | HealthEvent::Refuted => (self.score + 1).min(MAX_SCORE),
            HealthEvent::Stalled => (self.score + 2).min(MAX_SCORE),
        };
    }

    /// How long it waits for others: longer while its own health is poor.
    pub fn stretch(self, duration: Duration) -> Duration {
        duration * f64::from(self.score + 1)
    }

    /// The score.
    pub fn score(self) -> u32 {
        self.score
    }
}
