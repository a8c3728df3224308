//! A monotonic clock that counts from the Unix epoch. The system clock is read only once, at startup, so later changes
//! of the system time move no deadline.

use larchfall_policy::time::{Duration, Timestamp};
use std::time::{Duration as StdDuration, Instant};

/// The gateway's clock. All copies return the same time.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_start: Duration,
}

impl Clock {
    /// Starts the clock at `unix_now`, the time since the Unix epoch.
    pub fn start(unix_now: Duration) -> Clock {
        Clock { started: Instant::now(), unix_start: unix_now }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.unix_start.micros())
            + Duration::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Returns the time until `deadline` as a timeout; zero once the deadline has passed.
    pub fn remaining(&self, deadline: Timestamp) -> StdDuration {
        to_std_timeout(deadline.since(self.now()))
    }
}

/// Converts a duration to a timeout for sockets and parked threads, rounded up to whole milliseconds. The coroutine
/// library counts in whole milliseconds and treats zero as an unlimited wait, so a short timeout must not become zero.
pub fn to_std_timeout(duration: Duration) -> StdDuration {
    StdDuration::from_millis(duration.micros().div_ceil(1000))
}
