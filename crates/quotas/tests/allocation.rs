//! Tests of quota allocation with clock drift, partitions, delayed grants and changes of the allocator.

use larchfall_policy::time::{Duration, Timestamp};
use larchfall_quotas::allocator::Allocator;
use larchfall_quotas::capacity::Capacity;
use larchfall_quotas::demand::{Arrivals, CapacityDemand, Demand};
use larchfall_quotas::held_quota::HeldQuota;
use larchfall_quotas::manager::{QuotaManager, QuotaRequest, QuotaSettings, QuotaStatus, RequestTerms};
use larchfall_quotas::{QuotaDemand, QuotaGrant, QuotaTerms};
use nanorand::{Rng, WyRand};
use std::collections::VecDeque;

const LIFETIME: Duration = Duration::from_millis(1000);
const USAGE_WINDOW: Duration = Duration::from_millis(400);
/// The usage window in simulation steps of 10 ms: 400 ms on a clock that runs 3 % fast are 388 ms of simulated time.
const STEPS_PER_WINDOW: usize = 38;

fn terms(max_gateways: usize) -> QuotaTerms {
    QuotaTerms {
        max_gateways,
        lifetime: LIFETIME,
        drift_margin_per_mille: 60,
        usage_window: USAGE_WINDOW,
        strict: true,
    }
}

/// A grant that has not reached its gateway yet.
struct GrantInTransit {
    /// Simulated time in microseconds.
    arrives_at_us: u64,
    gateway: usize,
    fraction: f64,
    token: u64,
    requested_at: Timestamp,
}

/// Simulates gateways that request quotas from one allocator at a time. Some gateways can't reach the allocator,
/// clocks run up to 3 % fast or slow, grants arrive up to 1.2 s late, and the allocator changes at random times.
struct Simulation {
    random: WyRand,
    /// Clock rate of each gateway relative to simulated time.
    clock_rates: Vec<f64>,
    held: Vec<HeldQuota>,
    /// Index of the gateway that runs the allocator.
    allocator_index: usize,
    token: u64,
    allocator: Allocator,
    reaches_allocator: Vec<bool>,
    in_transit: Vec<GrantInTransit>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut random = WyRand::new_seed(seed);
        let n = random.generate_range(2..30_usize);
        let clock_rates: Vec<f64> = (0..n).map(|_| 0.97 + 0.06 * random.generate::<f64>()).collect();
        let allocator = Allocator::new(terms(n), clock(0, clock_rates[0]));
        Simulation {
            random,
            clock_rates,
            held: vec![HeldQuota::new(terms(n)); n],
            allocator_index: 0,
            token: 1,
            allocator,
            reaches_allocator: vec![true; n],
            in_transit: Vec::new(),
        }
    }

    fn clock(&self, at_us: u64, gateway: usize) -> Timestamp {
        clock(at_us, self.clock_rates[gateway])
    }

    fn step(&mut self, at_us: u64) {
        let n = self.held.len();
        let gateway = self.random.generate_range(0..n);
        if self.reaches_allocator[gateway] {
            let requested_at = self.clock(at_us, gateway);
            let weight = if gateway.is_multiple_of(3) { 9.0 } else { self.random.generate::<f64>() };
            let now = self.clock(at_us, self.allocator_index);
            if let Some(fraction) = self.allocator.allocate(&format!("{gateway}"), weight, 1.0, now) {
                let arrives_at_us = at_us + self.random.generate_range(0..1_200_000_u64);
                let token = self.token;
                self.in_transit.push(GrantInTransit {
                    arrives_at_us,
                    gateway,
                    fraction,
                    token,
                    requested_at,
                });
            }
        }
        for grant in self.in_transit.extract_if(.., |grant| grant.arrives_at_us <= at_us) {
            let now = clock(at_us, self.clock_rates[grant.gateway]);
            self.held[grant.gateway].on_grant(grant.fraction, grant.token, grant.requested_at, now);
        }
        match self.random.generate_range(0..200_u32) {
            0 => {
                for reaches in &mut self.reaches_allocator {
                    *reaches = self.random.generate::<f64>() < 0.6;
                }
            }
            1 => {
                // Another gateway acquires the allocator's role; the previous allocator grants nothing any more.
                self.allocator_index = self.random.generate_range(0..n);
                self.token += 1;
                self.allocator = Allocator::new(terms(n), self.clock(at_us, self.allocator_index));
            }
            _ => {}
        }
    }
}

fn clock(at_us: u64, rate: f64) -> Timestamp {
    Timestamp::from_micros(((at_us + 10_000_000) as f64 * rate) as u64)
}

/// The use of all gateways together, including gateways that the allocator doesn't know, never exceeds the whole.
#[test]
fn total_use_never_exceeds_the_capacity() {
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed);
        let n = simulation.held.len();
        let mut max_used: f64 = 0.0;
        let mut recent: Vec<VecDeque<f64>> = vec![VecDeque::new(); n];
        for step in 0..1500_u64 {
            let at_us = step * 10_000;
            simulation.step(at_us);
            // Within a usage window each gateway may have used the largest fraction that it held in the window.
            for (gateway, recent) in recent.iter_mut().enumerate() {
                recent.push_back(simulation.held[gateway].fraction(simulation.clock(at_us, gateway)));
                recent.drain(..recent.len().saturating_sub(STEPS_PER_WINDOW));
            }
            let used: f64 = recent.iter().map(|recent| recent.iter().copied().fold(0.0, f64::max)).sum();
            assert!(used <= 1.0 + 1e-6, "seed {seed}, step {step}: {used} of the whole capacity in use");
            max_used = max_used.max(used);
        }
        assert!(max_used > 0.55, "seed {seed}: the largest use was only {max_used}");
    }
}

/// Quotas follow the weights. After some gateways stop, all of their quotas except the reserved fractions are
/// reallocated.
#[test]
fn quotas_follow_weights_and_those_of_stopped_gateways_are_reallocated() {
    let n = 12;
    let mut allocator = Allocator::new(terms(n), Timestamp::default());
    let mut now = Timestamp::default() + LIFETIME + USAGE_WINDOW;
    let mut shares = vec![0.0; n];
    let mut request_quotas = |allocator: &mut Allocator, live_count: usize, shares: &mut Vec<f64>| {
        for _ in 0..30 {
            now = now + LIFETIME * 0.25;
            for (i, share) in shares.iter_mut().enumerate().take(live_count) {
                let weight = if i == 0 { 5.0 } else { 1.0 };
                *share = allocator.allocate(&format!("{i}"), weight, 1.0, now).unwrap();
            }
        }
        shares[..live_count].iter().sum::<f64>()
    };
    let total = request_quotas(&mut allocator, n, &mut shares);
    assert!(total > 0.99, "{total}");
    assert!(shares[0] > 4.0 * shares[1], "{shares:?}");
    let live_total = request_quotas(&mut allocator, 5, &mut shares);
    // The seven stopped gateways keep their reserved fractions; the five live gateways share the rest.
    let reserved = terms(n).reserved_fraction();
    assert!((live_total - (1.0 - 7.0 * reserved)).abs() < 0.01, "{live_total}");
    assert_eq!(allocator.gateways(), 5);
}

/// The gateway's clock runs slow by half of the drift margin of 6 %, and the allocator's clock runs fast by the same.
#[test]
fn a_quota_expires_at_the_gateway_before_it_expires_at_the_allocator() {
    let terms = terms(3);
    let mut held = HeldQuota::new(terms);
    let requested_at = Timestamp::from_micros(5_000_000);
    assert!(held.on_grant(0.4, 7, requested_at, requested_at));
    for true_ms in 0..1200_u64 {
        let gateway_time = requested_at + Duration::from_micros((true_ms as f64 * 1000.0 * 0.97) as u64);
        let has_expired_at_allocator = true_ms as f64 * 1.03 >= LIFETIME.secs() * 1000.0;
        assert!(!(has_expired_at_allocator && held.is_granted(gateway_time)), "at {true_ms} ms");
    }
    // A grant with an older fencing token and a grant that arrives after its expiry are ignored.
    assert!(!held.on_grant(0.9, 6, requested_at + LIFETIME, requested_at + LIFETIME));
    assert!(!held.on_grant(0.9, 8, requested_at, requested_at + LIFETIME));
    assert_eq!(held.fraction(requested_at + LIFETIME), terms.reserved_fraction());
}

/// Requests go to the allocator of each capacity at the right times with the right weights, and grants are used. Covers
/// requests with other terms, a new fencing token, grants of an unknown round, and a capacity that is no longer wanted.
#[test]
fn gateways_request_quotas_from_allocators_and_use_the_grants() {
    let strict = terms(4);
    let soft = QuotaTerms { strict: false, usage_window: Duration::ZERO, ..strict };
    let settings = QuotaSettings { strict, soft, allocators: 2, max_capacities: 10 };
    let mut gateway = QuotaManager::new(settings, Timestamp::default());
    let mut allocator = QuotaManager::new(settings, Timestamp::default());
    let capacities = [Capacity::SlowStart(4), Capacity::Threads(5), Capacity::Tenant(7)];
    let demands_of = |demand: &Demand| {
        capacities.map(|capacity| CapacityDemand { capacity, weight: demand.tenant_demand(0) }).to_vec()
    };
    let arrivals = |n: u64| Arrivals { classes: vec![], tenants: vec![n] };
    let allocator_of = |key: u64| key as usize % 2;
    let at = |ms: u64| Timestamp::from_micros(ms * 1000);
    let terms = gateway.request_terms();
    let mut last_requests = Vec::new();
    for round in 0..12 {
        let now = at(1 + round * 250);
        last_requests = gateway.due_requests(|| arrivals(round * 10), demands_of, allocator_of, now);
        let again = gateway.due_requests(|| arrivals(round * 10), demands_of, allocator_of, now);
        assert_eq!(again, [], "requests are due once in a quarter of a quota lifetime");
        if round == 0 {
            let fractions: Vec<f64> = gateway.quotas(now).map(|quota| quota.fraction).collect();
            assert_eq!(fractions, [0.125, 0.25, 0.25], "without grants the default fractions apply");
        }
        for request in &last_requests {
            let grants = allocator.on_request(7, "here", terms, &request.demands, now);
            gateway.on_grants(request.round, 7, &grants, now);
        }
    }
    let requested_keys =
        |request: &QuotaRequest| request.demands.iter().map(|demand| demand.capacity).collect::<Vec<_>>();
    let requested: Vec<(usize, Vec<u64>)> =
        last_requests.iter().map(|request| (request.allocator, requested_keys(request))).collect();
    assert_eq!(
        requested,
        [(0, vec![capacities[0].key()]), (1, vec![capacities[1].key(), capacities[2].key()])]
    );
    assert!(last_requests[0].demands[0].weight > 10.0, "{last_requests:?}");
    let now = at(2751);
    assert_eq!(gateway.quotas(now).filter(|quota| quota.granted).count(), 3);
    assert_eq!(allocator.allocations(now).count(), 3);
    assert!(gateway.quotas(now).all(|quota| quota.fraction > 2.0 * strict.reserved_fraction()));
    // No grants with other terms, from an allocator that just started, or for an unknown round.
    let demands = [QuotaDemand { capacity: capacities[0].key(), weight: 1.0 }];
    let other_terms = RequestTerms { max_gateways: 5, ..terms };
    assert_eq!(allocator.on_request(7, "there", other_terms, &demands, now), []);
    assert_eq!(allocator.on_request(8, "here", terms, &demands, now), []);
    let grant = QuotaGrant { capacity: capacities[0].key(), fraction: 0.9 };
    assert_eq!(gateway.on_grants(999, 9, &[grant], now), 0);
    let only_threads = |_: &Demand| vec![CapacityDemand { capacity: capacities[1], weight: 1.0 }];
    gateway.due_requests(|| arrivals(0), only_threads, allocator_of, at(9000));
    let expected = QuotaStatus { capacity: capacities[1].key(), fraction: 0.25, granted: false };
    assert_eq!(gateway.quotas(at(9000)).collect::<Vec<_>>(), [expected]);
}

/// A gateway claims very large, infinite and NaN weights. The other gateways keep their reserved fractions, and no
/// claim takes quotas from the others before their grants expire.
#[test]
fn excessive_claims_leave_other_gateways_their_reserved_fraction() {
    let n = 12;
    let mut allocator = Allocator::new(terms(n), Timestamp::default());
    let mut now = Timestamp::default() + LIFETIME + USAGE_WINDOW;
    let mut min_fraction = 1.0_f64;
    for round in 0..60 {
        now = now + LIFETIME * 0.25;
        let weight = [1e300, f64::INFINITY, f64::NAN, 1e9][round % 4];
        allocator.allocate("greedy", weight, f64::INFINITY, now);
        for i in 1..n {
            min_fraction = min_fraction.min(allocator.allocate(&format!("{i}"), 1.0, 1.0, now).unwrap());
        }
    }
    assert!(min_fraction >= terms(n).reserved_fraction() - 1e-12, "{min_fraction}");
    let mut fraction = 0.0;
    for _ in 0..12 {
        now = now + LIFETIME * 0.25;
        fraction = allocator.allocate("greedy", 1e9, 1.0, now).unwrap();
    }
    assert!(fraction > 0.4, "{fraction}");
}

/// Of a capacity that isn't strict, gateways without a quota use equal shares. However many gateways have quotas, the
/// total use is at most 1.5 times the whole.
#[test]
fn use_of_a_soft_capacity_stays_within_one_and_a_half_times_the_whole() {
    for n in [2, 5, 12, 300] {
        let soft = QuotaTerms { strict: false, usage_window: Duration::ZERO, ..terms(n) };
        for with_quota in 1..=n {
            let mut allocator = Allocator::new(soft, Timestamp::default());
            let mut now = Timestamp::default() + LIFETIME;
            let mut fractions = vec![0.0; with_quota];
            for _ in 0..16 {
                now = now + LIFETIME * 0.25;
                for (i, share) in fractions.iter_mut().enumerate() {
                    *share = allocator
                        .allocate(&format!("{i}"), if i == 0 { 99.0 } else { 1.0 }, 1.0, now)
                        .unwrap();
                }
                if n == 300 && with_quota % 60 != 1 {
                    break;
                }
            }
            let total = fractions.iter().sum::<f64>() + soft.default_fraction() * (n - with_quota) as f64;
            assert!(total <= 1.5 + 1e-9, "{with_quota} of {n} gateways with quotas: total use {total}");
        }
    }
}
