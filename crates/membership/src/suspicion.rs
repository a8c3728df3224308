//! How long a suspected member has to refute it, after Lifeguard (section IV.B): long while one gateway alone had no
//! answer, which may be that one's own fault, and shorter with each further reporter.

use larchfall_policy::time::{Duration, Timestamp};

/// Further reporters that bring the timeout down to the shortest.
const MAX_CONFIRMATIONS: usize = 3;
/// Rounds of gossip that a refutation may need, times the logarithm of how many pass it on.
const MIN_TIMEOUT_ROUNDS: f64 = 3.0;
/// How much longer the timeout is with a single reporter.
const MAX_TIMEOUT_MULTIPLE: f64 = 4.0;

/// The suspicion of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Suspicion {
    since: Timestamp,
    /// The first is the one whose report began it.
    reporters: Vec<String>,
    min_timeout: Duration,
}

impl Suspicion {
    /// `members` are those who pass updates on; `period` is this gateway's own, as its health stretches it.
    pub fn new(reporter: String, members: usize, period: Duration, now: Timestamp) -> Suspicion {
        let rounds = MIN_TIMEOUT_ROUNDS * ((members + 1) as f64).log2().max(1.0);
        Suspicion { since: now, reporters: vec![reporter], min_timeout: period * rounds }
    }

    /// Another gateway had no answer either; the same one counts once. Returns whether it is a new reporter.
    pub fn confirm(&mut self, reporter: String) -> bool {
        let is_new = self.reporters.len() <= MAX_CONFIRMATIONS && !self.reporters.contains(&reporter);
        if is_new {
            self.reporters.push(reporter);
        }
        is_new
    }

    /// Whom to name when it is passed on: this gateway where it reported it itself, else the first who did. A gateway that
    /// only passes on what it heard is no further reporter.
    pub fn reporter(&self, me: &str) -> &str {
        self.reporters.iter().find(|reporter| *reporter == me).unwrap_or(&self.reporters[0])
    }

    /// When the member counts as dead.
    pub fn deadline(&self) -> Timestamp {
        let confirmations = (self.reporters.len() - 1).min(MAX_CONFIRMATIONS) as f64;
        let progress = (confirmations + 1.0).ln() / ((MAX_CONFIRMATIONS + 1) as f64).ln();
        let multiple = MAX_TIMEOUT_MULTIPLE - (MAX_TIMEOUT_MULTIPLE - 1.0) * progress;
        self.since + self.min_timeout * multiple
    }

    /// Time in which this gateway did not run is nobody's silence.
    pub fn postpone(&mut self, by: Duration) {
        self.since = self.since + by;
    }
}
