//! A monotonic clock that reads as Unix time. It is set once, at the start, so a step of the system clock moves no
//! deadline.

use larchfall_policy::time::{Duration, Timestamp};
use std::time::{Duration as StdDuration, Instant};

/// The gateway's clock; copies read the same time.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_start: Duration,
}

impl Clock {
    /// Starts the clock at `unix_now`, the time since 1970.
    pub fn start(unix_now: Duration) -> Clock {
        Clock { started: Instant::now(), unix_start: unix_now }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.unix_start.micros())
            + Duration::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// The time left until the deadline, as a timeout; zero once the deadline has passed.
    pub fn remaining(&self, deadline: Timestamp) -> StdDuration {
        to_std_timeout(deadline.since(self.now()))
    }
}

/// A duration as a timeout of a socket or a thread: whole milliseconds, rounded up. The coroutine crate counts in
/// whole milliseconds and takes zero for a wait without end.
pub fn to_std_timeout(duration: Duration) -> StdDuration {
    StdDuration::from_millis(duration.micros().div_ceil(1000))
}
