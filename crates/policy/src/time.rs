//! A point in time and a span, kept apart so that neither can be taken for the other.

use std::ops::{Add, Div, Mul, Sub};

/// A point on the clock that the caller hands in, in microseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct At(u64);

/// A length of time in microseconds, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl At {
    pub const fn from_micros(us: u64) -> At {
        At(us)
    }
    pub const fn micros(self) -> u64 {
        self.0
    }
    /// The span since an earlier point; none when that point is still to come.
    pub const fn since(self, earlier: At) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);
    pub const fn from_micros(us: u64) -> Span {
        Span(us)
    }
    pub const fn from_millis(ms: u64) -> Span {
        Span(ms * 1000)
    }
    pub fn from_secs(s: f64) -> Span {
        Span((s.max(0.0) * 1e6) as u64)
    }
    pub const fn micros(self) -> u64 {
        self.0
    }
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Span> for At {
    type Output = At;
    fn add(self, span: Span) -> At {
        At(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for At {
    type Output = At;
    fn sub(self, span: Span) -> At {
        At(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, by: f64) -> Span {
        Span::from_secs(self.secs() * by)
    }
}

impl Div<Span> for Span {
    type Output = f64;
    fn div(self, by: Span) -> f64 {
        self.0 as f64 / (by.0.max(1)) as f64
    }
}
