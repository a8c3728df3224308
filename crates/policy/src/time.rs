//! Types for points in time and durations, in whole microseconds.
//!
//! The types of `std::time` do not fit: the caller supplies the clock, which may be simulated, and arithmetic
//! here saturates instead of panicking, so that a duration is never negative.

use std::ops::{Add, Div, Mul, Sub};

const MICROS_PER_SECOND: f64 = 1e6;

/// A point in time on the caller's clock, in microseconds since an arbitrary start that is the same for all
/// calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duration(u64);

impl Timestamp {
    /// The point in time `micros` microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the start of the clock.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// The duration since `earlier`, or zero if `earlier` is later than this point in time.
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Duration {
    /// A duration of zero.
    pub const ZERO: Duration = Duration(0);

    /// A duration of `micros` microseconds.
    pub const fn from_micros(micros: u64) -> Duration {
        Duration(micros)
    }

    /// A duration of `millis` milliseconds. The product with 1000 must fit into 64 bits.
    pub const fn from_millis(millis: u64) -> Duration {
        Duration(millis * 1000)
    }

    /// A duration of `seconds` seconds, rounded down to whole microseconds. Negative values and NaN give
    /// zero, and values that are too large give the longest duration.
    pub fn from_secs(seconds: f64) -> Duration {
        Duration((seconds.max(0.0) * MICROS_PER_SECOND) as u64)
    }

    /// The duration in microseconds.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// The difference between two durations, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }

    /// The duration in seconds, including fractions.
    pub fn secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }
}

/// Saturates at the last representable point in time.
impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.0))
    }
}

/// Saturates at the start of the clock.
impl Sub<Duration> for Timestamp {
    type Output = Timestamp;
    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.0))
    }
}

/// Saturates at the longest representable duration.
impl Add for Duration {
    type Output = Duration;
    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}

/// Rounds down to whole microseconds, with negative results as zero.
impl Mul<f64> for Duration {
    type Output = Duration;
    fn mul(self, factor: f64) -> Duration {
        Duration::from_secs(self.secs() * factor)
    }
}

/// The ratio of two durations. A divisor of zero counts as one microsecond.
impl Div<Duration> for Duration {
    type Output = f64;
    fn div(self, divisor: Duration) -> f64 {
        self.0 as f64 / (divisor.0.max(1)) as f64
    }
}
