//! Concurrency limits on the threads in use at one engine, one limit per request class, adjusted by
//! asymmetric AIMD: the increase and decrease rates depend on the rank of the class.
//!
//! The limits prevent queues inside engines: a request beyond the limit of a congested engine goes to another
//! engine or is rejected at once. A limit is enforced while the last tick found the engine congested, and
//! while the threads in use have reached the observed capacity.

use crate::capacity_pool::CapacityPool;
use crate::congestion::{CongestionSignal, MINIMUM_ANSWERS, POOLED_ANSWERS};
use crate::request_class::{AIMD_BY_RANK, RankedClass};
use crate::time::Duration;

/// Time between two ticks. Queues build up in less than a second, so ticks are shorter than that, and the
/// rates per second are scaled to the interval.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Threads that an engine can run per core.
const THREADS_PER_CORE: f64 = 1.5;
/// Weight of one tick in the running mean of the threads in use.
const MEAN_WEIGHT_PER_TICK: f64 = 0.125;
/// A pool counts a peak of the threads in use as the peak divided by this ratio, since only a few of many
/// gateways peak at the same time.
const PEAK_TO_MEAN_RATIO: f64 = 3.0;
/// Largest bonus on the growth of an observed capacity below one request. The unit is the AIMD increase of
/// the highest rank multiplied by the gateway fraction.
const SMALL_CAPACITY_GROWTH: f64 = 3.0;
/// Fraction of late answers over all engines from which an observed capacity no longer grows faster than its
/// base rate.
const FAST_GROWTH_MAX_LATE_FRACTION: f64 = 0.06;
/// Fraction of the observed capacity that requests of a tenant beyond its quota may fill.
const BEYOND_QUOTA_CAPACITY_FRACTION: f64 = 0.7;

/// The concurrency limit of one request class and the use of it, both in threads.
#[derive(Clone, Copy, Debug, Default)]
struct ClassLimit {
    max_threads: f64,
    threads_in_use: f64,
}

/// The concurrency limits of one engine. They cover only the attempts of this gateway.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    /// Limits by class index.
    classes: Vec<ClassLimit>,
    /// Largest number of threads that the engine can run for all gateways.
    capacity: f64,
    /// Threads of all classes that this gateway has seen the engine serve without late answers.
    observed_capacity: f64,
    /// Running mean of the threads in use by this gateway.
    mean_threads_in_use: f64,
    attempts_in_flight: usize,
    /// Fraction of the engine that is assigned to this gateway. It scales the AIMD steps, since the steps of
    /// all gateways add up at the engine and each gateway sees only a fraction of the answers.
    gateway_fraction: f64,
    pub signal: CongestionSignal,
}

impl ConcurrencyLimit {
    /// Creates limits for an engine with `cores` cores that is shared evenly by `gateways` gateways. The
    /// limits of the classes are proportional to `thread_demand`, the recent demand of each class in threads.
    pub(crate) fn new(cores: f64, gateways: usize, thread_demand: &[f64]) -> ConcurrencyLimit {
        let capacity = (cores * THREADS_PER_CORE).max(1.0);
        let total_demand = thread_demand.iter().sum::<f64>().max(1e-9);
        let even_capacity = capacity / gateways as f64;
        let limit = |demand: &f64| ClassLimit {
            max_threads: even_capacity * (demand / total_demand),
            threads_in_use: 0.0,
        };
        let gateway_fraction = 1.0 / gateways as f64;
        ConcurrencyLimit {
            classes: thread_demand.iter().map(limit).collect(),
            capacity,
            observed_capacity: capacity * gateway_fraction,
            gateway_fraction,
            ..ConcurrencyLimit::default()
        }
    }

    /// Changes the fraction of the engine that is assigned to this gateway, and scales the observed capacity
    /// and the limits by the same factor.
    pub(crate) fn set_gateway_fraction(&mut self, fraction: f64) {
        let factor = fraction / self.gateway_fraction;
        self.observed_capacity = (self.observed_capacity * factor).min(self.capacity);
        self.gateway_fraction = fraction;
        for class in &mut self.classes {
            class.max_threads *= factor;
        }
    }

    pub(crate) fn start_attempt(&mut self, class: usize, threads: f64) {
        self.classes[class].threads_in_use += threads;
        self.attempts_in_flight += 1;
    }

    pub(crate) fn finish_attempt(&mut self, class: usize, threads: f64) {
        let class = &mut self.classes[class];
        class.threads_in_use = (class.threads_in_use - threads).max(0.0);
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

    /// Estimated fraction, in 0..=1, of the engine's load that other gateways cause.
    pub(crate) fn peer_load_fraction(&self) -> f64 {
        1.0 / (1.0 + self.observed_capacity)
    }

    /// Threads left within the limit of a class. The headroom is negative while more threads than the limit
    /// are in use.
    pub(crate) fn headroom(&self, class: usize) -> f64 {
        self.classes[class].max_threads - self.classes[class].threads_in_use
    }

    /// Threads in use as a capacity pool counts them: the running mean, or the present number divided by
    /// [`PEAK_TO_MEAN_RATIO`] if that is larger.
    pub(crate) fn sustained_threads_in_use(&self) -> f64 {
        self.mean_threads_in_use.max(self.threads_in_use() / PEAK_TO_MEAN_RATIO)
    }

    /// Whether an attempt of `class` that uses `threads` threads may start. `pool` is the capacity pool of
    /// the engine's kind. A request beyond the quota of its tenant is admitted only while the engine is not
    /// congested and has spare capacity.
    pub(crate) fn admits(&self, class: usize, threads: f64, within_quota: bool, pool: &CapacityPool) -> bool {
        let congested = self.signal.is_congested();
        if !within_quota && (congested || self.is_saturated(threads, pool, BEYOND_QUOTA_CAPACITY_FRACTION)) {
            return false;
        }
        if !(congested || self.is_saturated(threads, pool, 1.0)) || self.headroom(class) >= threads {
            return true;
        }
        // With many gateways the limit of a single engine can be smaller than one request. The engine then
        // admits one request while the limits of all engines in the pool add up to the threads of that
        // request.
        let limit = self.classes[class];
        limit.max_threads < threads && limit.threads_in_use <= 0.0 && pool.headroom >= threads
    }

    /// Whether the threads in use have reached `fraction` of the observed capacity. If the observed capacity
    /// is smaller than one request of `threads` threads, the use of the whole pool decides too. Late
    /// answers alone would show an overload only after the latency objective, when the engine already has too
    /// many requests.
    pub(crate) fn is_saturated(&self, threads: f64, pool: &CapacityPool, fraction: f64) -> bool {
        self.threads_in_use() >= self.observed_capacity * fraction
            || self.observed_capacity < threads && pool.threads_in_use >= pool.observed_capacity * fraction
    }

    fn threads_in_use(&self) -> f64 {
        self.classes.iter().map(|class| class.threads_in_use).sum()
    }

    /// Adjusts the observed capacity and all limits by the signals since the last tick. Growth of the
    /// observed capacity ends at `max_fraction` of the engine's capacity.
    pub(crate) fn tick(
        &mut self,
        classes: &[RankedClass],
        all_engines: &CapacityPool,
        saturated: bool,
        max_fraction: f64,
    ) {
        let was_congested = self.signal.is_congested();
        self.mean_threads_in_use += (self.threads_in_use() - self.mean_threads_in_use) * MEAN_WEIGHT_PER_TICK;
        let late = self.signal.is_late(self.attempts_in_flight, all_engines);
        if late {
            self.observed_capacity *= AIMD_BY_RANK[0].decrease_factor.powf(TICK_INTERVAL.secs());
        } else if saturated && all_engines.answers > MINIMUM_ANSWERS {
            self.grow_observed_capacity(all_engines, max_fraction);
        }
        self.signal.update(late, saturated, self.attempts_in_flight);
        let becomes_congested = self.signal.is_congested() && !was_congested;
        self.adjust_class_limits(classes, late, becomes_congested);
        self.signal.decay();
    }

    /// Increases the observed capacity by one step. With few gateways fast growth overshoots by whole
    /// requests, and with many gateways each one learns slowly. Growth is therefore fast while few answers
    /// are late and the observed capacity is below one request.
    fn grow_observed_capacity(&mut self, all_engines: &CapacityPool, max_fraction: f64) {
        let late_fraction = all_engines.late_fraction(POOLED_ANSWERS);
        // 1 without late answers, falling to 0 at the largest late fraction with fast growth.
        let on_time_factor = (1.0 - late_fraction / FAST_GROWTH_MAX_LATE_FRACTION).max(0.0);
        let small_capacity_bonus =
            SMALL_CAPACITY_GROWTH * on_time_factor / (1.0 + self.observed_capacity.powi(2));
        let rate = self.gateway_fraction
            * (2.0 * self.gateway_fraction * (1.0 + 2.0 * on_time_factor) + small_capacity_bonus);
        let step = AIMD_BY_RANK[0].increase_threads_per_second * TICK_INTERVAL.secs() * rate.min(1.0);
        self.observed_capacity = (self.observed_capacity + step).min(self.capacity * max_fraction);
    }

    fn adjust_class_limits(&mut self, classes: &[RankedClass], late: bool, becomes_congested: bool) {
        let tick_secs = TICK_INTERVAL.secs();
        let congested = self.signal.is_congested();
        let even_capacity = self.capacity * self.gateway_fraction;
        let threads_of_all_classes = classes.iter().map(|class| class.settings.threads).sum::<f64>();
        // The lower bound of a limit is one request per class. With many gateways those bounds add up to an
        // overload of the engine, so each gateway scales its bounds down to its even part of the capacity.
        let floor_factor = (even_capacity / threads_of_all_classes).min(1.0);
        for (limit, class) in self.classes.iter_mut().zip(classes) {
            if becomes_congested {
                // Unused headroom does not show that the engine could have served more threads.
                limit.max_threads = limit.max_threads.min(limit.threads_in_use);
            }
            // Saturation without late answers is not overload: the limit stays as it is, and only late
            // answers decrease it.
            let increase = if congested { 0.0 } else { class.aimd.increase_threads_per_second * tick_secs };
            let adjusted = if late {
                limit.max_threads * class.aimd.decrease_factor.powf(tick_secs)
            } else {
                limit.max_threads + increase
            };
            let threads = class.settings.threads;
            limit.max_threads = adjusted.min(self.capacity.max(threads)).max(threads * floor_factor);
        }
    }
}
