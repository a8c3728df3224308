//! Capacity, use and answers of several engines added up.
//!
//! Guards against a gateway that is one of many: its even part of one engine may be less than one request, and what it
//! sees of that engine next to nothing. Both add up over engines, however many gateways there are.

use crate::concurrency_limit::ConcurrencyLimit;
use std::collections::BTreeMap;

/// Sums over some engines, all of them or those of one kind.
#[derive(Default)]
pub(crate) struct CapacityPool {
    /// Threads that the engines are known to bear, less in slow start.
    pub observed_capacity: f64,
    pub in_use: f64,
    /// Threads left within the limits of one request class.
    pub headroom: f64,
    pub answers: f64,
    late: f64,
    /// Answers and attempts in flight.
    seen: f64,
}

impl CapacityPool {
    fn add(&mut self, limit: &ConcurrencyLimit, class: usize, warm_up_factor: f64) {
        self.observed_capacity += limit.observed_capacity() * warm_up_factor;
        self.in_use += limit.sustained_in_use();
        self.headroom += limit.headroom(class);
        self.answers += limit.signal.answers();
        self.late += limit.signal.late();
        self.seen += limit.signal.answers() + limit.attempts_in_flight() as f64;
    }

    /// Fraction of what was seen that was late, as if `prior` more answers in time had come.
    pub(crate) fn late_fraction(&self, prior: f64) -> f64 {
        self.late / (self.seen + prior)
    }

    /// Unused part of the capacity, negative where more is in use.
    pub(crate) fn spare_fraction(&self) -> f64 {
        (1.0 - self.in_use / self.observed_capacity.max(1e-9)).clamp(-1.0, 1.0)
    }
}

/// The pool of all engines that count, and one for each engine kind.
#[derive(Default)]
pub(crate) struct CapacityPools {
    pub all: CapacityPool,
    pub by_kind: BTreeMap<usize, CapacityPool>,
}

impl CapacityPools {
    pub(crate) fn add(&mut self, kind: usize, limit: &ConcurrencyLimit, class: usize, warm_up_factor: f64) {
        self.all.add(limit, class, warm_up_factor);
        self.by_kind.entry(kind).or_default().add(limit, class, warm_up_factor);
    }
}
