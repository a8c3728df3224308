//! Rule 5: requests of one key run one after the other, in the order in which they were admitted.
//!
//! The next request of a key may go once nothing before it may still run, and not when the outcome of the one before
//! arrives: a call that was cut off can reach its engine late.

use crate::attempt_ledger::{AttemptLedger, proves_end};
use crate::time::{Duration, Timestamp};
use crate::types::{AttemptEvidence, LastObservation};
use std::collections::{BTreeMap, VecDeque};

/// Requests of one key in the order admitted, and what of the key may run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct KeyQueue {
    admitted: VecDeque<usize>,
    attempts: AttemptLedger,
}

/// All keys with a request in flight or an attempt that may run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyOrder {
    /// How long a key rests after an outcome that leaves open whether its attempt runs.
    cooldown: Duration,
    /// How long an attempt that nobody observes may run on, since its engine may have stalled or drains.
    unobserved_lifetime: Duration,
    keys: BTreeMap<u64, KeyQueue>,
}

impl KeyOrder {
    /// An order without keys.
    pub fn new(cooldown: Duration, unobserved_lifetime: Duration) -> KeyOrder {
        KeyOrder { cooldown, unobserved_lifetime, keys: BTreeMap::new() }
    }

    /// A request takes the last place of its key.
    pub fn admit(&mut self, key: u64, request: usize) {
        self.keys.entry(key).or_default().admitted.push_back(request);
    }

    /// Whether the request is the first of its key, with nothing of another that may run. Beside its own attempts it may go.
    pub fn is_next(&self, key: u64, request: usize, now: Timestamp) -> bool {
        let Some(queue) = self.keys.get(&key) else { return true };
        queue.admitted.front() == Some(&request) && queue.attempts.allows(request, now)
    }

    /// An attempt is about to be sent.
    pub fn on_attempt_started(&mut self, key: u64, request: usize, attempt: u8, engine: usize) {
        self.keys.entry(key).or_default().attempts.open(request, attempt, engine);
    }

    /// An attempt has its outcome; `uncertain` where the rule asks for a cooldown, as after all that was given up.
    pub fn on_attempt_finished(
        &mut self,
        key: u64,
        request: usize,
        attempt: u8,
        evidence: AttemptEvidence,
        uncertain: bool,
        now: Timestamp,
    ) {
        let Some(queue) = self.keys.get_mut(&key) else { return };
        let end_unproven = !proves_end(evidence) && self.unobserved_lifetime > Duration::ZERO;
        let over_time = if proves_end(evidence) { now } else { now + self.unobserved_lifetime };
        let stopped = matches!(evidence.last, LastObservation::Stopped | LastObservation::Unknown);
        let rests = uncertain || end_unproven || stopped;
        let cooldown = if rests { self.cooldown } else { Duration::ZERO };
        queue.attempts.close(request, attempt, over_time + cooldown, end_unproven);
        queue.attempts.remove_over(now);
    }

    /// What was not seen to end at an engine that drains may run on until that is gone, however late.
    pub fn hold(&mut self, until: Timestamp, is_draining: impl Fn(usize) -> bool) {
        for queue in self.keys.values_mut() {
            queue.attempts.hold(until, &is_draining);
        }
    }

    /// A request has finished: what may run of it stays in the ledger.
    pub fn remove(&mut self, key: u64, request: usize) {
        let Some(queue) = self.keys.get_mut(&key) else { return };
        queue.admitted.retain(|other| *other != request);
        queue.attempts.forget_request(request);
    }

    /// Removes keys with nothing admitted and nothing that may run.
    pub fn remove_idle_keys(&mut self, now: Timestamp) {
        self.keys.retain(|_, queue| {
            queue.attempts.remove_over(now);
            !queue.admitted.is_empty() || !queue.attempts.is_empty()
        });
    }
}
