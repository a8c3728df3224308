//! Priority queue of the deadlines of waiting coroutines.

use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeSet;

/// A queued deadline, ordered by time, then by waiter index.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    deadline: Timestamp,
    waiter: usize,
}

/// Deadlines of waiters in ascending order. A waiter is identified by an index that the caller assigns.
#[derive(Default)]
pub struct DeadlineQueue {
    entries: BTreeSet<Entry>,
}

impl DeadlineQueue {
    /// Adds a deadline; returns whether the new entry is now the first in the queue.
    pub fn insert(&mut self, deadline: Timestamp, waiter: usize) -> bool {
        let entry = Entry { deadline, waiter };
        self.entries.insert(entry);
        self.entries.first() == Some(&entry)
    }

    /// Removes a waiter's deadline if it is still queued.
    pub fn remove(&mut self, deadline: Timestamp, waiter: usize) {
        self.entries.remove(&Entry { deadline, waiter });
    }

    /// Returns the earliest deadline; `None` if the queue is empty.
    pub fn earliest(&self) -> Option<Timestamp> {
        self.entries.first().map(|entry| entry.deadline)
    }

    /// Removes all deadlines up to and including `now`; returns their waiters in order of deadline.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<usize> {
        let first_later = Entry { deadline: now + Duration::from_micros(1), waiter: 0 };
        let later = self.entries.split_off(&first_later);
        let due = std::mem::replace(&mut self.entries, later);
        due.into_iter().map(|entry| entry.waiter).collect()
    }
}
