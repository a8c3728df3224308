//! Capacity, use and answers summed over several engines.
//!
//! With many gateways the part of one engine that is assigned to a gateway can be smaller than one request,
//! and the gateway sees almost no answers of that engine. The sums over all engines are large enough to
//! decide on, for any number of gateways.

use crate::concurrency_limit::ConcurrencyLimit;
use std::collections::BTreeMap;

/// Sums over all engines, or over all engines of one kind.
#[derive(Default)]
pub(crate) struct CapacityPool {
    /// Observed capacity in threads, where engines in slow start count with their warm-up factor.
    pub observed_capacity: f64,
    /// Sustained number of threads in use by this gateway.
    pub threads_in_use: f64,
    /// Threads left within the concurrency limits of one request class.
    pub headroom: f64,
    /// Recent number of answers, decayed per tick.
    pub answers: f64,
    /// Recent late answers plus overdue attempts in flight.
    late: f64,
    /// Recent answers plus all attempts in flight.
    observed: f64,
}

impl CapacityPool {
    fn add(&mut self, limit: &ConcurrencyLimit, class: usize, warm_up_factor: f64) {
        self.observed_capacity += limit.observed_capacity() * warm_up_factor;
        self.threads_in_use += limit.sustained_threads_in_use();
        self.headroom += limit.headroom(class);
        self.answers += limit.signal.answers();
        self.late += limit.signal.late();
        self.observed += limit.signal.answers() + limit.attempts_in_flight() as f64;
    }

    /// Late fraction of the recent answers and attempts in flight, after adding `prior` answers that were in
    /// time.
    pub(crate) fn late_fraction(&self, prior: f64) -> f64 {
        self.late / (self.observed + prior)
    }

    /// Unused fraction of the observed capacity, in -1..=1. The fraction is negative while more threads than
    /// the observed capacity are in use.
    pub(crate) fn spare_fraction(&self) -> f64 {
        (1.0 - self.threads_in_use / self.observed_capacity.max(1e-9)).clamp(-1.0, 1.0)
    }
}

/// The capacity pool over all engines that a caller selects, and one capacity pool per engine kind.
#[derive(Default)]
pub(crate) struct CapacityPools {
    pub all: CapacityPool,
    /// Pools by index of the engine kind.
    pub by_kind: BTreeMap<usize, CapacityPool>,
}

impl CapacityPools {
    /// Adds one engine. `class` is the request class whose headroom the pools sum up.
    pub(crate) fn add(&mut self, kind: usize, limit: &ConcurrencyLimit, class: usize, warm_up_factor: f64) {
        self.all.add(limit, class, warm_up_factor);
        self.by_kind.entry(kind).or_default().add(limit, class, warm_up_factor);
    }
}
