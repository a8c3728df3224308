//! A steady clock, set once against the Unix clock: a step of that one moves no time limit.

use larchfall::time::{At, Span};
use std::time::{Duration, Instant, SystemTime};

#[derive(Clone, Copy)]
pub struct Clock {
    from: Instant,
    unix: Span,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { from: Instant::now(), unix: Span::from_micros(unix.as_micros() as u64) }
    }

    pub fn now(&self) -> At {
        At::from_micros(self.unix.micros()) + Span::from_micros(self.from.elapsed().as_micros() as u64)
    }

    /// The time left until then, as a wait; zero once it has come.
    pub fn left(&self, until: At) -> Duration {
        wait(until.since(self.now()))
    }
}

/// A span as a wait, in whole milliseconds and never rounded down: the coroutine crate keeps waits as whole
/// milliseconds, and takes none for a wait without end.
pub fn wait(span: Span) -> Duration {
    Duration::from_millis(span.micros().div_ceil(1000))
}
