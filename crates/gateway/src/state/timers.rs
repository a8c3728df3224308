//! Waits with a deadline. Coroutines park here, and the timer thread wakes each coroutine whose deadline has passed.
//!
//! The timeouts of the coroutine library are used for sockets only, where the worker itself handles them. They are
//! unsafe for `park`, for two reasons. First, `park` starts the timeout before it registers the coroutine with the
//! timer: if the worker's thread loses its core between the two steps for longer than the timeout, the coroutine is
//! never woken. Second, a coroutine that the library's timer wakes runs on the timer's thread, concurrently with the
//! worker, and a wait on a socket there corrupts lists that only the worker may access.

use super::client_connections::ClientConnection;
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
    waiters: Slab<Waiter>,
    /// Wakes the timer thread; `None` until the timer thread has run for the first time.
    timer_thread: Option<Arc<Blocker>>,
}

/// What is woken at a deadline.
enum Waiter {
    /// A coroutine that is parked.
    Parked(Arc<Blocker>),
    /// The coroutine of a client connection, which waits for its socket.
    Connection(Arc<ClientConnection>),
}

impl Waiter {
    fn wake(&self) {
        match self {
            Waiter::Parked(blocker) => blocker.unpark(),
            Waiter::Connection(connection) => connection.wake(),
        }
    }
}

/// Wakes the coroutine of a client connection at a deadline, unless it is dropped before.
pub struct WakeUp {
    timers: Arc<Timers>,
    deadline: Timestamp,
    waiter: usize,
}

impl Drop for WakeUp {
    fn drop(&mut self) {
        self.timers.remove(self.deadline, self.waiter);
    }
}

impl Timers {
    /// Creates timers without waiters, whose deadlines refer to `clock`.
    pub fn new(clock: Clock) -> Timers {
        Timers { waiters: Mutex::default(), clock }
    }

    /// Returns the clock to which deadlines refer.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Parks the calling coroutine until `blocker` is woken or the deadline has passed. The coroutine resumes on the
    /// worker's thread in either case.
    pub fn park_until(&self, blocker: &Arc<Blocker>, deadline: Timestamp) {
        let waiter = self.register(Waiter::Parked(blocker.clone()), deadline);
        let _ = blocker.park(None);
        self.remove(deadline, waiter);
    }

    /// Wakes the coroutine of a connection at a deadline.
    pub fn wake_at(self: &Arc<Timers>, deadline: Timestamp, connection: &Arc<ClientConnection>) -> WakeUp {
        let waiter = self.register(Waiter::Connection(connection.clone()), deadline);
        WakeUp { timers: self.clone(), deadline, waiter }
    }

    /// Adds a waiter, and wakes the timer thread if the waiter's deadline is now the earliest.
    fn register(&self, waiter: Waiter, deadline: Timestamp) -> usize {
        let mut waiters = lock(&self.waiters);
        let waiter = waiters.waiters.insert(waiter);
        if waiters.deadlines.insert(deadline, waiter)
            && let Some(timer_thread) = &waiters.timer_thread
        {
            timer_thread.unpark();
        }
        waiter
    }

    fn remove(&self, deadline: Timestamp, waiter: usize) {
        let mut waiters = lock(&self.waiters);
        waiters.deadlines.remove(deadline, waiter);
        waiters.waiters.remove(waiter);
    }

    /// Blocks the calling coroutine for this long.
    pub fn sleep(&self, duration: Duration) {
        self.park_until(&Blocker::current(), self.clock.now() + duration);
    }

    /// Wakes all waiters whose deadline has passed and returns the next deadline. Called by the timer thread, whose
    /// blocker `timer_thread` is woken from then on when an earlier deadline is added.
    pub fn wake_due(&self, timer_thread: &Arc<Blocker>) -> Option<Timestamp> {
        let mut waiters = lock(&self.waiters);
        waiters.timer_thread = Some(timer_thread.clone());
        for waiter in waiters.deadlines.take_due(self.clock.now()) {
            if let Some(waiter) = waiters.waiters.get(waiter) {
                waiter.wake();
            }
        }
        waiters.deadlines.earliest()
    }

    /// Number of waiting coroutines.
    pub fn waiting(&self) -> usize {
        lock(&self.waiters).waiters.len()
    }
}
