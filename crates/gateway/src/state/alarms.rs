//! Waits that end by their time, all of them in one order that the one timer goes through.
//!
//! Nobody waits by the coroutine crate's own times but on sockets, whose times the worker itself looks after. Its `park`
//! sets the time before it has put the coroutine where that time looks for it: where the worker's thread loses its core in
//! between for longer than the wait, the coroutine stays there for good. Once, with fourteen fleets on six cores, a gateway's
//! timer came by no more, and no request that rested had its answer; that this was the cause is inferred. And a coroutine that
//! the crate's timer lets go on does so on that timer's thread, beside the worker, where a wait on a socket spoils lists that
//! only the worker may touch.

use super::clock::Clock;
use super::due::Due;
use super::lock;
use larchfall_policy::time::{Duration, Timestamp};
use may::sync::Blocker;
use slab::Slab;
use std::sync::{Arc, Mutex};

pub struct Alarms {
    inner: Mutex<Inner>,
    clock: Clock,
}

#[derive(Default)]
struct Inner {
    due: Due,
    asleep: Slab<Arc<Blocker>>,
    timer: Option<Arc<Blocker>>,
}

impl Alarms {
    pub fn new(clock: Clock) -> Alarms {
        Alarms { inner: Mutex::default(), clock }
    }

    /// Parks until somebody wakes this blocker or that time has come, and goes on at the worker.
    pub fn park(&self, blocker: &Arc<Blocker>, until: Timestamp) {
        let at = {
            let mut inner = lock(&self.inner);
            let at = inner.asleep.insert(blocker.clone());
            if inner.due.insert(until, at)
                && let Some(timer) = &inner.timer
            {
                timer.unpark();
            }
            at
        };
        let _ = blocker.park(None);
        let mut inner = lock(&self.inner);
        inner.due.remove(until, at);
        inner.asleep.remove(at);
    }

    pub fn sleep(&self, duration: Duration) {
        self.park(&Blocker::current(), self.clock.now() + duration);
    }

    /// The timer came by, which is to be woken by this where something earlier comes: whoever is due goes on. The time
    /// of the next.
    pub fn ring(&self, timer: &Arc<Blocker>) -> Option<Timestamp> {
        let mut inner = lock(&self.inner);
        inner.timer = Some(timer.clone());
        for at in inner.due.take(self.clock.now()) {
            if let Some(blocker) = inner.asleep.get(at) {
                blocker.unpark();
            }
        }
        inner.due.first()
    }

    /// How many wait.
    pub fn asleep(&self) -> usize {
        lock(&self.inner).asleep.len()
    }
}
