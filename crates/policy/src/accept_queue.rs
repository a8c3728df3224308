//! How long an accepted connection may have waited in the listener's queue. The operating system completes connections
//! and keeps them there, first in, first out, until they are accepted; requests may already have been sent on them.

use crate::time::Timestamp;
use std::collections::VecDeque;

/// The queue of one listener, as far as its accepts tell.
#[derive(Clone, Debug)]
pub struct AcceptQueue {
    /// Largest number of connections that wait in the queue.
    max_waiting: usize,
    /// When the queue was last seen without connections.
    empty_at: Timestamp,
    /// When the latest `max_waiting + 1` connections were accepted, the oldest first.
    accepted_at: VecDeque<Timestamp>,
}

impl AcceptQueue {
    /// A queue that is empty at `now` and holds at most `max_waiting` connections.
    pub fn new(max_waiting: usize, now: Timestamp) -> AcceptQueue {
        AcceptQueue { max_waiting, empty_at: now, accepted_at: VecDeque::new() }
    }

    /// Records that no connection waited in the queue at `time`.
    pub fn record_empty(&mut self, time: Timestamp) {
        self.empty_at = self.empty_at.max(time);
    }

    /// Records that a connection is accepted at `now`, and returns the earliest time at which it may have entered the
    /// queue: it came after the queue was empty, and after the accept that was followed by as many others as fit into the
    /// queue, since the connections before it were accepted first.
    pub fn record_accept(&mut self, now: Timestamp) -> Timestamp {
        let has_passed_all = self.accepted_at.len() > self.max_waiting;
        let passed_at = if has_passed_all { self.accepted_at.pop_front() } else { None };
        self.accepted_at.push_back(now);
        self.empty_at.max(passed_at.unwrap_or_default()).min(now)
    }
}
