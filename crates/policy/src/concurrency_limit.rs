//! Limits of running threads at one engine, one for each request class, moved by asymmetric AIMD on the congestion signal.
//!
//! Guards against queues inside engines: beyond the limits of a congested engine requests go elsewhere or are rejected
//! at once. The limits bind only while the last tick found the engine congested.

use crate::capacity_pool::CapacityPool;
use crate::congestion::{CongestionSignal, MINIMUM_ANSWERS, POOLED_ANSWERS};
use crate::request_class::{AIMD_BY_RANK, RankedClass};
use crate::time::Duration;

/// Time between two ticks. Shorter than a second, with the steps scaled to it, since queues build up in less than that.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
const THREADS_PER_CORE: f64 = 1.5;
/// Weight of one tick in the running mean of the threads in use.
const MEAN_WEIGHT_PER_TICK: f64 = 0.125;
/// Few of many gateways peak at once: a peak counts in a pool as this part of itself.
const PEAK_TO_MEAN: f64 = 3.0;
/// Fastest growth of the observed capacity, in even parts of an AIMD step.
const CAPACITY_GROWTH: f64 = 3.0;
/// Late fraction of all engines at which that growth ends.
const GROWTH_LATE_FRACTION: f64 = 0.06;
/// Fraction of the observed capacity that requests of a tenant beyond its quota may fill.
const BEYOND_QUOTA_CAPACITY: f64 = 0.7;

#[derive(Clone, Copy, Debug, Default)]
struct ClassLimit {
    threads: f64,
    in_use: f64,
}

/// The limits of one engine, as far as this gateway uses it.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    classes: Vec<ClassLimit>,
    /// Threads that the engine can run at most.
    capacity: f64,
    /// Threads of all classes together that this gateway has seen the engine bear in time.
    observed_capacity: f64,
    mean_in_use: f64,
    attempts_in_flight: usize,
    /// Part of the engine that is this gateway's: the steps of all gateways add up, and each sees its part of the answers.
    gateway_fraction: f64,
    pub signal: CongestionSignal,
}

impl ConcurrencyLimit {
    /// Limits for an engine with so many cores, used by so many gateways, split by the threads that each class wanted lately.
    pub(crate) fn new(cores: f64, gateways: usize, thread_demand: &[f64]) -> ConcurrencyLimit {
        let capacity = (cores * THREADS_PER_CORE).max(1.0);
        let all_wanted = thread_demand.iter().sum::<f64>().max(1e-9);
        let even_capacity = capacity / gateways as f64;
        let limit = |wanted: &f64| ClassLimit { threads: even_capacity * (wanted / all_wanted), in_use: 0.0 };
        let gateway_fraction = 1.0 / gateways as f64;
        ConcurrencyLimit {
            classes: thread_demand.iter().map(limit).collect(),
            capacity,
            observed_capacity: capacity * gateway_fraction,
            gateway_fraction,
            ..ConcurrencyLimit::default()
        }
    }

    /// Another part of the engine is this gateway's: what it has learned scales with it.
    pub(crate) fn set_gateway_fraction(&mut self, fraction: f64) {
        let factor = fraction / self.gateway_fraction;
        self.observed_capacity = (self.observed_capacity * factor).min(self.capacity);
        self.gateway_fraction = fraction;
        for class in &mut self.classes {
            class.threads *= factor;
        }
    }

    pub(crate) fn start_attempt(&mut self, class: usize, threads: f64) {
        self.classes[class].in_use += threads;
        self.attempts_in_flight += 1;
    }

    pub(crate) fn finish_attempt(&mut self, class: usize, threads: f64) {
        let class = &mut self.classes[class];
        class.in_use = (class.in_use - threads).max(0.0);
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
    }

    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts_in_flight
    }

    pub(crate) fn capacity(&self) -> f64 {
        self.capacity
    }

    pub(crate) fn observed_capacity(&self) -> f64 {
        self.observed_capacity
    }

    /// Fraction of the engine's load that other gateways are estimated to cause, in 0..=1.
    pub(crate) fn peer_load_fraction(&self) -> f64 {
        1.0 / (1.0 + self.observed_capacity)
    }

    /// Threads left within a class's limit; negative beyond it.
    pub(crate) fn headroom(&self, class: usize) -> f64 {
        self.classes[class].threads - self.classes[class].in_use
    }

    /// Threads in use as a pool counts them: the mean, or a high peak.
    pub(crate) fn sustained_in_use(&self) -> f64 {
        self.mean_in_use.max(self.in_use() / PEAK_TO_MEAN)
    }

    /// Whether an attempt with so many threads may start. The pool is that of the engine's kind.
    pub(crate) fn admits(&self, class: usize, threads: f64, within_quota: bool, pool: &CapacityPool) -> bool {
        let congested = self.signal.is_congested();
        if !within_quota && (congested || self.is_saturated(threads, pool, BEYOND_QUOTA_CAPACITY)) {
            return false;
        }
        if !(congested || self.is_saturated(threads, pool, 1.0)) || self.headroom(class) >= threads {
            return true;
        }
        // A limit below one request admits it while the limits of all engines add up to that.
        let limit = self.classes[class];
        limit.threads < threads && limit.in_use <= 0.0 && pool.headroom >= threads
    }

    /// Whether more is in use than `fraction` of what the engine has borne in time. An observed capacity below one request
    /// is judged by the pool. Lateness alone would show only after the latency objective, when an engine is overfull.
    pub(crate) fn is_saturated(&self, threads: f64, pool: &CapacityPool, fraction: f64) -> bool {
        self.in_use() >= self.observed_capacity * fraction
            || self.observed_capacity < threads && pool.in_use >= pool.observed_capacity * fraction
    }

    fn in_use(&self) -> f64 {
        self.classes.iter().map(|class| class.in_use).sum()
    }

    /// Moves all limits by what was seen since the last tick. The observed capacity stays within `max_fraction` of the
    /// engine's capacity.
    pub(crate) fn tick(
        &mut self,
        classes: &[RankedClass],
        all_engines: &CapacityPool,
        saturated: bool,
        max_fraction: f64,
    ) {
        let was_congested = self.signal.is_congested();
        self.mean_in_use += (self.in_use() - self.mean_in_use) * MEAN_WEIGHT_PER_TICK;
        let late = self.signal.is_late(self.attempts_in_flight, all_engines);
        if late {
            self.observed_capacity *= AIMD_BY_RANK[0].decrease_factor.powf(TICK_INTERVAL.secs());
        } else if saturated && all_engines.answers > MINIMUM_ANSWERS {
            self.grow_observed_capacity(all_engines, max_fraction);
        }
        self.signal.update(late, saturated, self.attempts_in_flight);
        let becomes_congested = self.signal.is_congested() && !was_congested;
        self.move_class_limits(classes, late, becomes_congested);
        self.signal.decay();
    }

    /// Few gateways overshoot by the grain of a request, many learn slowly: growth is fast without late answers while the
    /// observed capacity is below one request.
    fn grow_observed_capacity(&mut self, all_engines: &CapacityPool, max_fraction: f64) {
        let late_fraction = all_engines.late_fraction(POOLED_ANSWERS);
        let calm = (1.0 - late_fraction / GROWTH_LATE_FRACTION).max(0.0);
        let below_one_request = CAPACITY_GROWTH * calm / (1.0 + self.observed_capacity.powi(2));
        let pace =
            self.gateway_fraction * (2.0 * self.gateway_fraction * (1.0 + 2.0 * calm) + below_one_request);
        let step = AIMD_BY_RANK[0].increase_threads_per_second * TICK_INTERVAL.secs() * pace.min(1.0);
        self.observed_capacity = (self.observed_capacity + step).min(self.capacity * max_fraction);
    }

    fn move_class_limits(&mut self, classes: &[RankedClass], late: bool, becomes_congested: bool) {
        let step = TICK_INTERVAL.secs();
        let congested = self.signal.is_congested();
        let even_capacity = self.capacity * self.gateway_fraction;
        let all_threads = classes.iter().map(|class| class.settings.threads).sum::<f64>();
        // Floors of many gateways add up to overload: then each keeps a part of them.
        let floor_factor = (even_capacity / all_threads).min(1.0);
        for (limit, class) in self.classes.iter_mut().zip(classes) {
            if becomes_congested {
                // Room that was never used says nothing of what the engine bears.
                limit.threads = limit.threads.min(limit.in_use);
            }
            // Saturation alone shows no overload: the limit binds where it stands, and only lateness cuts it.
            let increase = if congested { 0.0 } else { class.aimd.increase_threads_per_second * step };
            let moved = if late {
                limit.threads * class.aimd.decrease_factor.powf(step)
            } else {
                limit.threads + increase
            };
            let threads = class.settings.threads;
            limit.threads = moved.min(self.capacity.max(threads)).max(threads * floor_factor);
        }
    }
}
