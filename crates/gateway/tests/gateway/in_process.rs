//! What tests of single parts share: times, timers with their thread, and a coroutine to run in.

use larchfall_gateway::platform::unix_time;
use larchfall_gateway::state::clock::Clock;
use larchfall_gateway::state::timers::Timers;
use larchfall_policy::time::{Duration, Timestamp};
use may::sync::Blocker;
use std::sync::Arc;
use std::thread;
use std::time::Duration as StdDuration;

const LONGEST_PARK: StdDuration = StdDuration::from_millis(20);

/// A time so many milliseconds after a fixed one.
pub(crate) fn ms(n: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000) + Duration::from_millis(n)
}

/// Timers, and a thread that wakes who is due for as long as somebody has them.
pub(crate) fn timers() -> Arc<Timers> {
    let clock = Clock::start(unix_time());
    let timers = Arc::new(Timers::new(clock));
    let weak = Arc::downgrade(&timers);
    thread::spawn(move || {
        let timer_thread = Blocker::current();
        while let Some(timers) = weak.upgrade() {
            let next_deadline = timers.wake_due(&timer_thread);
            drop(timers);
            let remaining = next_deadline.map_or(LONGEST_PARK, |deadline| clock.remaining(deadline));
            let _ = timer_thread.park(Some(remaining.min(LONGEST_PARK)));
        }
    });
    timers
}

/// Runs this as the program does: on coroutines of one worker, which is what its connections are made for.
pub(crate) fn in_coroutine(run: impl FnOnce() + Send + 'static) {
    may::config().set_workers(1).set_stack_size(16 * 1024);
    may::go!(run).join().unwrap();
}
