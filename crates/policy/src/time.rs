//! A point in time and a length of time, kept apart so that neither can be taken for the other.
//!
//! Own types, since the clock is the caller's, simulated or real, and arithmetic saturates: a length is never negative.

use std::ops::{Add, Div, Mul, Sub};

const MICROS_PER_SECOND: f64 = 1e6;

/// A point on the clock that the caller hands in, in microseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

/// A length of time in microseconds, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duration(u64);

impl Timestamp {
    /// The point so many microseconds after the start.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the start.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// The time since an earlier point; zero when that point is still to come.
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Duration {
    /// No time.
    pub const ZERO: Duration = Duration(0);

    /// So many microseconds.
    pub const fn from_micros(micros: u64) -> Duration {
        Duration(micros)
    }

    /// So many milliseconds.
    pub const fn from_millis(millis: u64) -> Duration {
        Duration(millis * 1000)
    }

    /// So many seconds, down to whole microseconds; zero for a negative number.
    pub fn from_secs(seconds: f64) -> Duration {
        Duration((seconds.max(0.0) * MICROS_PER_SECOND) as u64)
    }

    /// Microseconds.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// The difference, zero where `other` is longer.
    pub const fn saturating_sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }

    /// Seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
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
    fn mul(self, factor: f64) -> Duration {
        Duration::from_secs(self.secs() * factor)
    }
}

impl Div<Duration> for Duration {
    type Output = f64;
    fn div(self, divisor: Duration) -> f64 {
        self.0 as f64 / (divisor.0.max(1)) as f64
    }
}
