//! A steady clock, set once against the Unix clock: a step of that one moves no time limit.

use larchfall_policy::time::{Duration, Timestamp};
use std::time::{Duration as StdDuration, Instant};

#[derive(Clone, Copy)]
pub struct Clock {
    from: Instant,
    unix: Duration,
}

impl Clock {
    /// `unix` is what that clock says now, since 1970.
    pub fn start(unix: Duration) -> Clock {
        Clock { from: Instant::now(), unix }
    }

    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.unix.micros())
            + Duration::from_micros(self.from.elapsed().as_micros() as u64)
    }

    /// The time left until then, as a wait; zero once it has come.
    pub fn left(&self, until: Timestamp) -> StdDuration {
        wait(until.since(self.now()))
    }
}

/// A span as a wait, in whole milliseconds and never rounded down: the coroutine crate keeps waits as whole
/// milliseconds, and takes none for a wait without end.
pub fn wait(duration: Duration) -> StdDuration {
    StdDuration::from_millis(duration.micros().div_ceil(1000))
}
