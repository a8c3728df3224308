//! Time that a suspected member has to refute the suspicion, after Lifeguard (section IV.B). The timeout is long while only
//! one gateway reports a missing acknowledgement, because that gateway may be at fault itself. Each further reporter
//! shortens the timeout.

use larchfall_policy::time::{Duration, Timestamp};

/// Number of reporters after the first with which the timeout reaches its minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// Minimum timeout in probe intervals, per unit of log2 of the number of members. Estimates the gossip rounds that a
/// refutation may need.
const MIN_TIMEOUT_ROUNDS: f64 = 3.0;
/// Ratio of the timeout with a single reporter to the minimum timeout.
const MAX_TIMEOUT_MULTIPLE: f64 = 4.0;

/// Suspicion of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Suspicion {
    started_at: Timestamp,
    /// Names of the gateways that reported the member. The first one started the suspicion.
    reporters: Vec<String>,
    min_timeout: Duration,
}

impl Suspicion {
    /// Starts a suspicion. `members` is the number of live members that gossip updates. `interval` is the probe interval,
    /// scaled by the local health.
    pub fn new(reporter: String, members: usize, interval: Duration, now: Timestamp) -> Suspicion {
        let rounds = MIN_TIMEOUT_ROUNDS * ((members + 1) as f64).log2().max(1.0);
        Suspicion { started_at: now, reporters: vec![reporter], min_timeout: interval * rounds }
    }

    /// Adds a further gateway that reports the member. Returns `false` if the reporter is already known or if the timeout is
    /// at its minimum.
    pub fn add_reporter(&mut self, reporter: String) -> bool {
        let is_new = self.reporters.len() <= MAX_CONFIRMATIONS && !self.reporters.contains(&reporter);
        if is_new {
            self.reporters.push(reporter);
        }
        is_new
    }

    /// Returns the reporter to name in gossip: `own_name` if this gateway reported the member itself, otherwise the first
    /// reporter. A gateway that only passes on a suspicion is not a reporter.
    pub fn reporter_to_send(&self, own_name: &str) -> &str {
        self.reporters.iter().find(|reporter| *reporter == own_name).unwrap_or(&self.reporters[0])
    }

    /// Returns the time at which the member is declared dead unless the suspicion is refuted.
    pub fn deadline(&self) -> Timestamp {
        let confirmations = (self.reporters.len() - 1).min(MAX_CONFIRMATIONS) as f64;
        let progress = (confirmations + 1.0).ln() / ((MAX_CONFIRMATIONS + 1) as f64).ln();
        let multiple = MAX_TIMEOUT_MULTIPLE - (MAX_TIMEOUT_MULTIPLE - 1.0) * progress;
        self.started_at + self.min_timeout * multiple
    }

    /// Extends the deadline by the time for which this gateway did not run and could not receive a refutation.
    pub fn postpone(&mut self, by: Duration) {
        self.started_at = self.started_at + by;
    }
}
