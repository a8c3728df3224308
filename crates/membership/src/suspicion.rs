//! How long a suspected gateway has to refute it, after Lifeguard (section IV.B): long while one gateway alone finds it
//! silent, which may be that one's own fault, and shorter with each further one that does.

use larchfall_policy::time::{Duration, Timestamp};

/// So many that find it silent on their own bring the time down to the least.
const ENOUGH: usize = 3;
/// Rounds of rumours that a refutation may need, times the logarithm of how many pass them on.
const LEAST_ROUNDS: f64 = 3.0;
/// How much longer a single gateway's suspicion waits.
const ALONE: f64 = 4.0;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Suspicion {
    since: Timestamp,
    by: Vec<String>,
    least: Duration,
}

impl Suspicion {
    /// `members` are those who pass rumours on; `period` is this gateway's own, as its health stretches it.
    pub fn new(by: String, members: usize, period: Duration, now: Timestamp) -> Suspicion {
        let rounds = LEAST_ROUNDS * ((members + 1) as f64).log2().max(1.0);
        Suspicion { since: now, by: vec![by], least: period * rounds }
    }

    /// Another finds it silent as well; the same one counts once.
    pub fn confirm(&mut self, by: String) -> bool {
        let new = self.by.len() <= ENOUGH && !self.by.contains(&by);
        if new {
            self.by.push(by);
        }
        new
    }

    /// Who to name when it is passed on: this gateway, where it found the silence itself, else the first who did. A voice
    /// that only passes on what it heard is no further one.
    pub fn voice(&self, me: &str) -> &str {
        self.by.iter().find(|by| *by == me).unwrap_or(&self.by[0])
    }

    /// When it counts as dead.
    pub fn ends(&self) -> Timestamp {
        let others = (self.by.len() - 1).min(ENOUGH) as f64;
        let part = (others + 1.0).ln() / ((ENOUGH + 1) as f64).ln();
        self.since + self.least * (ALONE - (ALONE - 1.0) * part)
    }

    /// Time in which this gateway stood still is nobody's silence.
    pub fn put_off(&mut self, by: Duration) {
        self.since = self.since + by;
    }
}
