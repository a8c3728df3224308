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

    /// The time left until then, for calls of the operating system.
    pub fn left(&self, until: At) -> Duration {
        std(until.since(self.now()))
    }
}

pub fn std(span: Span) -> Duration {
    Duration::from_micros(span.micros())
}
