//! Connection permits limit the number of attempts in flight. Waiting requests get permits by the priority that the
//! policy assigned, then in order of arrival. While permits are scarce, requests compete here before they compete for
//! engines, and a FIFO queue would let many short requests delay the few with a higher priority.

use super::lock;
use super::timers::Timers;
use larchfall_policy::time::Timestamp;
use may::sync::Blocker;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// A counting semaphore that serves waiters by priority, then in order of arrival.
pub struct ConnectionPermits {
    queue: Mutex<PermitQueue>,
}

struct PermitQueue {
    available: usize,
    waiters: BTreeMap<QueuePosition, Arc<Blocker>>,
    /// Number of waiters queued so far; orders waiters of equal priority.
    arrivals: u64,
}

/// Sort key of a waiter: the highest priority first, then the earliest arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: Reverse<u8>,
    arrival: u64,
}

/// Options for waiting until a permit becomes available.
pub struct PermitWait<'a> {
    /// Timers that wake the waiter at its deadline.
    pub timers: &'a Timers,
    /// Time at which the waiter gives up.
    pub deadline: Timestamp,
}

impl ConnectionPermits {
    /// Creates a semaphore with `available` permits.
    pub fn new(available: usize) -> ConnectionPermits {
        ConnectionPermits {
            queue: Mutex::new(PermitQueue { available, waiters: BTreeMap::new(), arrivals: 0 }),
        }
    }

    /// Acquires a permit, waiting for a free permit if `wait` is given. Returns false if no permit became available by
    /// the deadline, or immediately if all are taken and `wait` is `None`.
    pub fn acquire(&self, priority: u8, wait: Option<PermitWait>) -> bool {
        let blocker = Blocker::current();
        let mut queue = lock(&self.queue);
        if queue.available > 0 {
            queue.available -= 1;
            return true;
        }
        let Some(wait) = wait else { return false };
        queue.arrivals += 1;
        let position = QueuePosition { priority: Reverse(priority), arrival: queue.arrivals };
        queue.waiters.insert(position, blocker.clone());
        drop(queue);
        wait.timers.park_until(&blocker, wait.deadline);
        // `release` removes a waiter from the queue when it hands the waiter a permit. A waiter that is no longer
        // queued therefore holds a permit, even if its deadline has passed.
        lock(&self.queue).waiters.remove(&position).is_none()
    }

    /// Releases a permit and passes it to the first waiter in the queue, if any.
    pub fn release(&self) {
        let mut queue = lock(&self.queue);
        match queue.waiters.pop_first() {
            Some((_, first_waiter)) => first_waiter.unpark(),
            None => queue.available += 1,
        }
    }

    /// Number of coroutines that wait for a permit.
    pub fn waiting(&self) -> usize {
        lock(&self.queue).waiters.len()
    }
}
