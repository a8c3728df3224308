//! Waits with a deadline: whoever waits parks here, and the timer thread wakes those that are due.
//!
//! The coroutine crate's own timeouts are used on sockets only, where the worker itself looks after them. Its `park`
//! sets the time before it has put the coroutine where that time looks for it: if the worker's thread loses its core in
//! between for longer than the wait, the coroutine is never woken. And a coroutine that the crate's timer wakes runs on
//! that timer's thread, beside the worker, where a wait on a socket corrupts lists that only the worker may touch.

use super::clock::Clock;
use super::deadline_queue::DeadlineQueue;
use super::lock;
use larchfall_policy::time::{Duration, Timestamp};
use may::sync::Blocker;
use slab::Slab;
use std::sync::{Arc, Mutex};

/// All coroutines that wait with a deadline.
pub struct Timers {
    waiters: Mutex<Waiters>,
    clock: Clock,
}

#[derive(Default)]
struct Waiters {
    deadlines: DeadlineQueue,
    blockers: Slab<Arc<Blocker>>,
    /// The timer thread, once it has come by.
    timer_thread: Option<Arc<Blocker>>,
}

impl Timers {
    /// No waiters, on this clock.
    pub fn new(clock: Clock) -> Timers {
        Timers { waiters: Mutex::default(), clock }
    }

    /// The clock that deadlines are read on.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Parks until the blocker is woken or the deadline has passed, and goes on at the worker.
    pub fn park_until(&self, blocker: &Arc<Blocker>, deadline: Timestamp) {
        let waiter = self.register(blocker, deadline);
        let _ = blocker.park(None);
        let mut waiters = lock(&self.waiters);
        waiters.deadlines.remove(deadline, waiter);
        waiters.blockers.remove(waiter);
    }

    /// Adds a waiter, and wakes the timer thread if this one comes before all others.
    fn register(&self, blocker: &Arc<Blocker>, deadline: Timestamp) -> usize {
        let mut waiters = lock(&self.waiters);
        let waiter = waiters.blockers.insert(blocker.clone());
        if waiters.deadlines.insert(deadline, waiter)
            && let Some(timer_thread) = &waiters.timer_thread
        {
            timer_thread.unpark();
        }
        waiter
    }

    /// Blocks for this long.
    pub fn sleep(&self, duration: Duration) {
        self.park_until(&Blocker::current(), self.clock.now() + duration);
    }

    /// Called by the timer thread: wakes all whose deadline has passed and returns the next deadline. From now on
    /// `timer_thread` is woken when an earlier one is added.
    pub fn wake_due(&self, timer_thread: &Arc<Blocker>) -> Option<Timestamp> {
        let mut waiters = lock(&self.waiters);
        waiters.timer_thread = Some(timer_thread.clone());
        for waiter in waiters.deadlines.take_due(self.clock.now()) {
            if let Some(blocker) = waiters.blockers.get(waiter) {
                blocker.unpark();
            }
        }
        waiters.deadlines.earliest()
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        lock(&self.waiters).blockers.len()
    }
}
