//! Key order: requests of one ordering key run one after the other, in the order in which they were admitted.
//!
//! The next request of a key is sent only when no earlier attempt of the key can be running any more. The outcome of
//! the earlier attempt alone is not enough: a call on a broken connection can reach its engine late.

use crate::attempt_ledger::{AttemptLedger, proves_end};
use crate::time::{Duration, Timestamp};
use crate::types::{AttemptEvidence, LastObservation};
use std::collections::{BTreeMap, VecDeque};

/// Requests of one key in the order of admission, and the attempts of the key that may be running.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct KeyQueue {
    admitted: VecDeque<usize>,
    attempts: AttemptLedger,
}

/// The queues of all keys that have an unfinished request or an attempt that may be running.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyOrder {
    /// How long the next request of a key waits after an outcome that leaves open whether the attempt still runs.
    cooldown: Duration,
    /// How long an attempt may run on without being observed, as at an engine that stalls or drains.
    unobserved_lifetime: Duration,
    keys: BTreeMap<u64, KeyQueue>,
}

impl KeyOrder {
    /// Creates a key order without keys. With an `unobserved_lifetime` of zero, every outcome ends its attempt, also
    /// without proof.
    pub fn new(cooldown: Duration, unobserved_lifetime: Duration) -> KeyOrder {
        KeyOrder { cooldown, unobserved_lifetime, keys: BTreeMap::new() }
    }

    /// Appends an admitted request to the queue of its key.
    pub fn admit(&mut self, key: u64, request: usize) {
        self.keys.entry(key).or_default().admitted.push_back(request);
    }

    /// Whether a request is the first in the queue of its key and no attempt of another request of the key may be
    /// running. Attempts of the request itself do not count. True for an unknown key.
    pub fn is_next(&self, key: u64, request: usize, now: Timestamp) -> bool {
        let Some(queue) = self.keys.get(&key) else { return true };
        queue.admitted.front() == Some(&request) && queue.attempts.allows_request(request, now)
    }

    /// Records an attempt. To be called before the first byte of the attempt is sent.
    pub fn on_attempt_started(&mut self, key: u64, request: usize, attempt: u8, engine: usize) {
        self.keys.entry(key).or_default().attempts.record_start(request, attempt, engine);
    }

    /// Records the end of an attempt. `uncertain` requests the cooldown whatever the evidence says, for an attempt
    /// that the gateway gave up on: a timeout, a reset or a cancellation.
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
        let end_time = if proves_end(evidence) { now } else { now + self.unobserved_lifetime };
        let stopped = matches!(evidence.last, LastObservation::Stopped | LastObservation::Unknown);
        let needs_cooldown = uncertain || end_unproven || stopped;
        let cooldown = if needs_cooldown { self.cooldown } else { Duration::ZERO };
        queue.attempts.record_outcome(request, attempt, end_time + cooldown, end_unproven);
        queue.attempts.remove_ended(now);
    }

    /// Keeps keys blocked at least until `until` by attempts at draining engines whose end is unproven: such an
    /// attempt may run until its engine is gone.
    pub fn extend_unproven(&mut self, until: Timestamp, is_draining: impl Fn(usize) -> bool) {
        for queue in self.keys.values_mut() {
            queue.attempts.extend_unproven(until, &is_draining);
        }
    }

    /// Removes a finished request from the queue of its key. Its attempts that may be running still block the key.
    pub fn remove_request(&mut self, key: u64, request: usize) {
        let Some(queue) = self.keys.get_mut(&key) else { return };
        queue.admitted.retain(|other| *other != request);
        queue.attempts.detach_request(request);
    }

    /// Removes keys without unfinished requests and without attempts that may be running.
    pub fn remove_idle_keys(&mut self, now: Timestamp) {
        self.keys.retain(|_, queue| {
            queue.attempts.remove_ended(now);
            !queue.admitted.is_empty() || !queue.attempts.is_empty()
        });
    }
}
