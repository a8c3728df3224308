//! What happens when, in order of time; events of the same time in the order in which they were scheduled.

use larchfall_policy::time::Timestamp;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event, and when it happens.
pub(crate) struct Scheduled<E> {
    pub(crate) at: Timestamp,
    number: u64,
    pub(crate) event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    /// Reversed: the heap's greatest is the one that happens first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// The events of a simulation that are still to happen.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    scheduled: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> EventQueue<E> {
        EventQueue { heap: BinaryHeap::new(), scheduled: 0 }
    }

    pub(crate) fn schedule(&mut self, at: Timestamp, event: E) {
        self.scheduled += 1;
        self.heap.push(Scheduled { at, number: self.scheduled, event });
    }

    /// Takes the next event out, if it happens by then.
    pub(crate) fn next_until(&mut self, limit: Timestamp) -> Option<Scheduled<E>> {
        if self.heap.peek()?.at > limit {
            return None;
        }
        self.heap.pop()
    }
}
