//! Local health of this gateway, after Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
//! Accurate Failure Detection", 2018, section IV.A). A slow gateway processes replies late and would suspect healthy
//! members. The worse its local health, the longer a gateway waits before it suspects a member.

use larchfall_policy::time::Duration;

/// Worst score, as in the Lifeguard paper.
const MAX_SCORE: u32 = 8;

/// Health score of this gateway, from 0 (healthy) to 8 (worst).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LocalHealth {
    score: u32,
}

/// Event that changes the health score of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvent {
    /// A probe was acknowledged in time.
    ProbeAcked,
    /// A probe was not acknowledged in time, and no helper reported a missing acknowledgement either.
    ProbeUnanswered,
    /// This gateway refuted a claim that it is suspected or dead.
    ClaimRefuted,
    /// This gateway did not run for longer than one probe interval.
    Stalled,
}

impl LocalHealth {
    /// Updates the score: an acknowledged probe improves it by 1, a stall worsens it by 2, any other event by 1.
    pub fn record(&mut self, event: HealthEvent) {
        self.score = match event {
            HealthEvent::ProbeAcked => self.score.saturating_sub(1),
            HealthEvent::ProbeUnanswered | HealthEvent::ClaimRefuted => (self.score + 1).min(MAX_SCORE),
            HealthEvent::Stalled => (self.score + 2).min(MAX_SCORE),
        };
    }

    /// Multiplies a timeout or interval by the score plus one.
    pub fn scale_timeout(self, duration: Duration) -> Duration {
        duration * f64::from(self.score + 1)
    }

    /// Returns the score, from 0 (healthy) to 8 (worst).
    pub fn score(self) -> u32 {
        self.score
    }
}
