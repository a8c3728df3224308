//! Helpers for tests of single modules: timestamps, timers with a timer thread, and a coroutine to run a test in.

use larchfall_gateway::platform::unix_time;
use larchfall_gateway::state::clock::Clock;
use larchfall_gateway::state::timers::Timers;
use larchfall_policy::time::{Duration, Timestamp};
use may::sync::Blocker;
use std::sync::Arc;
use std::thread;
use std::time::Duration as StdDuration;

const MAX_PARK: StdDuration = StdDuration::from_millis(20);

/// The timestamp `offset` milliseconds after a fixed time.
pub(crate) fn at_ms(offset: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000) + Duration::from_millis(offset)
}

/// Creates timers and a thread that wakes the waiters that are due. The thread ends once the last reference to the timers
/// is dropped.
pub(crate) fn timers() -> Arc<Timers> {
    let clock = Clock::start(unix_time());
    let timers = Arc::new(Timers::new(clock));
    let weak = Arc::downgrade(&timers);
    thread::spawn(move || {
        let timer_thread = Blocker::current();
        while let Some(timers) = weak.upgrade() {
            let next_deadline = timers.wake_due(&timer_thread);
            drop(timers);
            let remaining = next_deadline.map_or(MAX_PARK, |deadline| clock.remaining(deadline));
            let _ = timer_thread.park(Some(remaining.min(MAX_PARK)));
        }
    });
    timers
}

/// Runs a closure in a coroutine on a single worker, as the program does: its connections only work in coroutines.
pub(crate) fn in_coroutine(run: impl FnOnce() + Send + 'static) {
    may::config().set_workers(1).set_stack_size(16 * 1024);
    may::go!(run).join().unwrap();
}
