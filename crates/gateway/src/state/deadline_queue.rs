//! The deadlines of all waiting coroutines, in order.

use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeSet;

/// Ordered by time, then by waiter.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    deadline: Timestamp,
    waiter: usize,
}

/// Deadlines of waiters, which are known by their index.
#[derive(Default)]
pub struct DeadlineQueue {
    entries: BTreeSet<Entry>,
}

impl DeadlineQueue {
    /// Adds a deadline; true when it is now the earliest of all.
    pub fn insert(&mut self, deadline: Timestamp, waiter: usize) -> bool {
        let entry = Entry { deadline, waiter };
        self.entries.insert(entry);
        self.entries.first() == Some(&entry)
    }

    /// Removes a deadline, if it is still there.
    pub fn remove(&mut self, deadline: Timestamp, waiter: usize) {
        self.entries.remove(&Entry { deadline, waiter });
    }

    /// The earliest deadline.
    pub fn earliest(&self) -> Option<Timestamp> {
        self.entries.first().map(|entry| entry.deadline)
    }

    /// Removes all deadlines that have passed and returns their waiters, in order.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<usize> {
        let first_later = Entry { deadline: now + Duration::from_micros(1), waiter: 0 };
        let later = self.entries.split_off(&first_later);
        let due = std::mem::replace(&mut self.entries, later);
        due.into_iter().map(|entry| entry.waiter).collect()
    }
}
