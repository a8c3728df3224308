//! A point in time and a span, kept apart so that neither can be taken for the other.

use std::ops::{Add, Div, Mul, Sub};

/// A point on the clock that the caller hands in, in microseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

/// A length of time in microseconds, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duration(u64);

impl Timestamp {
    pub const fn from_micros(us: u64) -> Timestamp {
        Timestamp(us)
    }
    pub const fn micros(self) -> u64 {
        self.0
    }
    /// The span since an earlier point; none when that point is still to come.
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Duration {
    pub const ZERO: Duration = Duration(0);
    pub const fn from_micros(us: u64) -> Duration {
        Duration(us)
    }
    pub const fn from_millis(ms: u64) -> Duration {
        Duration(ms * 1000)
    }
    pub fn from_secs(s: f64) -> Duration {
        Duration((s.max(0.0) * 1e6) as u64)
    }
    pub const fn micros(self) -> u64 {
        self.0
    }
    pub const fn saturating_sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.0))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;
    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.0))
    }
}

impl Add for Duration {
    type Output = Duration;
    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}

impl Mul<f64> for Duration {
    type Output = Duration;
    fn mul(self, by: f64) -> Duration {
        Duration::from_secs(self.secs() * by)
    }
}

impl Div<Duration> for Duration {
    type Output = f64;
    fn div(self, by: Duration) -> f64 {
        self.0 as f64 / (by.0.max(1)) as f64
    }
}
