//! Connection permits: how many attempts may be in flight at a time. Whoever waits for a permit is served by the
//! priority that the policy gave, then in order of arrival: while permits are short this is where requests compete
//! first, and a plain queue would let many short ones keep out the few of a higher priority.

use super::lock;
use super::timers::Timers;
use larchfall_policy::time::Timestamp;
use may::sync::Blocker;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// A counting semaphore whose waiters are ordered by priority.
pub struct ConnectionPermits {
    queue: Mutex<Queue>,
}

struct Queue {
    available: usize,
    waiting: BTreeMap<QueuePosition, Arc<Blocker>>,
    arrivals: u64,
}

/// The highest priority first, then whoever came first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: Reverse<u8>,
    arrival: u64,
}

/// How long to wait for a permit, and on which timers.
pub struct PermitWait<'a> {
    /// The timers that wake the waiter.
    pub timers: &'a Timers,
    /// When to stop waiting.
    pub deadline: Timestamp,
}

impl ConnectionPermits {
    /// So many permits, all available.
    pub fn new(available: usize) -> ConnectionPermits {
        ConnectionPermits { queue: Mutex::new(Queue { available, waiting: BTreeMap::new(), arrivals: 0 }) }
    }

    /// Takes a permit, or waits for one; false when none became available in time.
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
        queue.waiting.insert(position, blocker.clone());
        drop(queue);
        wait.timers.park_until(&blocker, wait.deadline);
        // Whoever is no longer in the queue was handed a permit, be it at the last moment.
        lock(&self.queue).waiting.remove(&position).is_none()
    }

    /// Gives a permit back: the first in the queue has it next.
    pub fn release(&self) {
        let mut queue = lock(&self.queue);
        match queue.waiting.pop_first() {
            Some((_, first)) => first.unpark(),
            None => queue.available += 1,
        }
    }

    /// How many wait for a permit.
    pub fn waiting(&self) -> usize {
        lock(&self.queue).waiting.len()
    }
}
