//! Allocators and gateways under what may come between them, by seed.

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
const WINDOW: Duration = Duration::from_millis(400);
/// The same in steps of ten milliseconds, as the slowest clock has it.
const STEPS: usize = 38;

fn terms(max_gateways: usize) -> QuotaTerms {
    QuotaTerms {
        max_gateways,
        lifetime: LIFETIME,
        drift_margin_per_mille: 60,
        usage_window: WINDOW,
        strict: true,
    }
}

/// A grant on its way to a gateway.
struct LateGrant {
    arrives_at: u64,
    gateway: usize,
    fraction: f64,
    token: u64,
    requested_at: Timestamp,
}

/// Gateways that ask one allocator at a time; some see it and some do not, some are dead, clocks run three in a hundred
/// off, answers come late, and the allocator changes whenever its lease may have ended.
struct Play {
    random: WyRand,
    /// How fast each gateway's clock runs.
    rates: Vec<f64>,
    held: Vec<HeldQuota>,
    /// Which gateway allocates, and under which token.
    allocating: usize,
    token: u64,
    allocator: Allocator,
    sees_allocator: Vec<bool>,
    late: Vec<LateGrant>,
}

impl Play {
    fn new(seed: u64) -> Play {
        let mut random = WyRand::new_seed(seed);
        let n = random.generate_range(2..30_usize);
        let rates: Vec<f64> = (0..n).map(|_| 0.97 + 0.06 * random.generate::<f64>()).collect();
        let allocator = Allocator::new(terms(n), clock(0, rates[0]));
        Play {
            random,
            rates,
            held: vec![HeldQuota::new(terms(n)); n],
            allocating: 0,
            token: 1,
            allocator,
            sees_allocator: vec![true; n],
            late: Vec::new(),
        }
    }

    fn clock(&self, at: u64, gateway: usize) -> Timestamp {
        clock(at, self.rates[gateway])
    }

    fn step(&mut self, at: u64) {
        let n = self.held.len();
        let gateway = self.random.generate_range(0..n);
        if self.sees_allocator[gateway] {
            let requested_at = self.clock(at, gateway);
            let weight = if gateway.is_multiple_of(3) { 9.0 } else { self.random.generate::<f64>() };
            let now = self.clock(at, self.allocating);
            if let Some(fraction) = self.allocator.allocate(&format!("{gateway}"), weight, 1.0, now) {
                let arrives_at = at + self.random.generate_range(0..1_200_000_u64);
                let token = self.token;
                self.late.push(LateGrant { arrives_at, gateway, fraction, token, requested_at });
            }
        }
        for grant in self.late.extract_if(.., |grant| grant.arrives_at <= at) {
            let now = clock(at, self.rates[grant.gateway]);
            self.held[grant.gateway].on_grant(grant.fraction, grant.token, grant.requested_at, now);
        }
        match self.random.generate_range(0..200_u32) {
            0 => {
                for sees in &mut self.sees_allocator {
                    *sees = self.random.generate::<f64>() < 0.6;
                }
            }
            1 => {
                // Another has the role now; the one before hands nothing out any more.
                self.allocating = self.random.generate_range(0..n);
                self.token += 1;
                self.allocator = Allocator::new(terms(n), self.clock(at, self.allocating));
            }
            _ => {}
        }
    }
}

fn clock(at: u64, rate: f64) -> Timestamp {
    Timestamp::from_micros(((at + 10_000_000) as f64 * rate) as u64)
}

/// What all use at any time, those that nobody sees among them, is within the whole.
#[test]
fn what_is_used_never_adds_up_to_more_than_the_whole() {
    for seed in 0..60 {
        let mut play = Play::new(seed);
        let n = play.held.len();
        let mut most: f64 = 0.0;
        let mut recent: Vec<VecDeque<f64>> = vec![VecDeque::new(); n];
        for step in 0..1500_u64 {
            let at = step * 10_000;
            play.step(at);
            // Within any window each may have used the most that it had in it.
            for (gateway, recent) in recent.iter_mut().enumerate() {
                recent.push_back(play.held[gateway].fraction(play.clock(at, gateway)));
                recent.drain(..recent.len().saturating_sub(STEPS));
            }
            let used: f64 = recent.iter().map(|recent| recent.iter().copied().fold(0.0, f64::max)).sum();
            assert!(used <= 1.0 + 1e-6, "seed {seed}, step {step}: {used} of the whole");
            most = most.max(used);
        }
        assert!(most > 0.55, "seed {seed}: never more than {most} was used");
    }
}

/// Quotas follow demand, and grow by steps; gateways that are gone leave what they had but for the reserved fraction.
#[test]
fn busy_gateways_get_more_and_what_the_dead_had_is_handed_on() {
    let n = 12;
    let mut allocator = Allocator::new(terms(n), Timestamp::default());
    let mut now = Timestamp::default() + LIFETIME + WINDOW;
    let mut shares = vec![0.0; n];
    let mut ask = |allocator: &mut Allocator, up: usize, shares: &mut Vec<f64>| {
        for _ in 0..30 {
            now = now + LIFETIME * 0.25;
            for (i, share) in shares.iter_mut().enumerate().take(up) {
                let weight = if i == 0 { 5.0 } else { 1.0 };
                *share = allocator.allocate(&format!("{i}"), weight, 1.0, now).unwrap();
            }
        }
        shares[..up].iter().sum::<f64>()
    };
    let all = ask(&mut allocator, n, &mut shares);
    assert!(all > 0.99, "{all}");
    assert!(shares[0] > 4.0 * shares[1], "{shares:?}");
    let five = ask(&mut allocator, 5, &mut shares);
    // Half of it is for whoever is not seen; of the other half and their own parts those five have all.
    let reserved = terms(n).reserved_fraction();
    assert!((five - (1.0 - 7.0 * reserved)).abs() < 0.01, "{five}");
    assert_eq!(allocator.gateways(), 5);
}

/// A gateway whose clock runs slow by half of the margin, an allocator whose clock runs fast by as much.
#[test]
fn a_quota_ends_at_its_gateway_before_it_ends_at_its_allocator() {
    let terms = terms(3);
    let mut held = HeldQuota::new(terms);
    let requested_at = Timestamp::from_micros(5_000_000);
    assert!(held.on_grant(0.4, 7, requested_at, requested_at));
    for true_ms in 0..1200_u64 {
        let here = requested_at + Duration::from_micros((true_ms as f64 * 1000.0 * 0.97) as u64);
        let over_there = true_ms as f64 * 1.03 >= LIFETIME.secs() * 1000.0;
        assert!(!(over_there && held.is_granted(here)), "at {true_ms} ms");
    }
    // An older allocator's answer and one that comes too late do not count.
    assert!(!held.on_grant(0.9, 6, requested_at + LIFETIME, requested_at + LIFETIME));
    assert!(!held.on_grant(0.9, 8, requested_at, requested_at + LIFETIME));
    assert_eq!(held.fraction(requested_at + LIFETIME), terms.reserved_fraction());
}

/// What is requested of whom, by which weight, and what comes of it: an allocator, one with other terms, one under a newer
/// token, an engine that is in slow start no more.
#[test]
fn gateways_ask_the_allocator_of_each_capacity_and_use_what_it_grants() {
    let strict = terms(4);
    let soft = QuotaTerms { strict: false, usage_window: Duration::ZERO, ..strict };
    let settings = QuotaSettings { strict, soft, allocators: 2, max_capacities: 10 };
    let mut here = QuotaManager::new(settings, Timestamp::default());
    let mut allocator = QuotaManager::new(settings, Timestamp::default());
    let all = [Capacity::SlowStart(4), Capacity::Threads(5), Capacity::Tenant(7)];
    let wanted = |demand: &Demand| {
        all.map(|capacity| CapacityDemand { capacity, weight: demand.tenant_demand(0) }).to_vec()
    };
    let arrivals = |n: u64| Arrivals { classes: vec![], tenants: vec![n] };
    let allocator_of = |key: u64| key as usize % 2;
    let at = |ms: u64| Timestamp::from_micros(ms * 1000);
    let terms_here = here.request_terms();
    let mut last = Vec::new();
    for turn in 0..12 {
        let now = at(1 + turn * 250);
        last = here.due_requests(|| arrivals(turn * 10), wanted, allocator_of, now);
        let again = here.due_requests(|| arrivals(turn * 10), wanted, allocator_of, now);
        assert_eq!(again, [], "once a quarter of a quota's length");
        if turn == 0 {
            let fractions: Vec<f64> = here.quotas(now).map(|quota| quota.fraction).collect();
            assert_eq!(fractions, [0.125, 0.25, 0.25], "default fractions");
        }
        for request in &last {
            let grants = allocator.on_request(7, "here", terms_here, &request.demands, now);
            here.on_grants(request.round, 7, &grants, now);
        }
    }
    let keys = |request: &QuotaRequest| request.demands.iter().map(|d| d.capacity).collect::<Vec<_>>();
    let asked: Vec<(usize, Vec<u64>)> = last.iter().map(|r| (r.allocator, keys(r))).collect();
    assert_eq!(asked, [(0, vec![all[0].key()]), (1, vec![all[1].key(), all[2].key()])]);
    assert!(last[0].demands[0].weight > 10.0, "{last:?}");
    let now = at(2751);
    assert_eq!(here.quotas(now).filter(|quota| quota.granted).count(), 3);
    assert_eq!(allocator.allocations(now).count(), 3);
    assert!(here.quotas(now).all(|quota| quota.fraction > 2.0 * strict.reserved_fraction()));
    // Other terms, an allocator that only began, an answer to a round that was not requested.
    let demands = [QuotaDemand { capacity: all[0].key(), weight: 1.0 }];
    let other_terms = RequestTerms { max_gateways: 5, ..terms_here };
    assert_eq!(allocator.on_request(7, "there", other_terms, &demands, now), []);
    assert_eq!(allocator.on_request(8, "here", terms_here, &demands, now), []);
    let grant = QuotaGrant { capacity: all[0].key(), fraction: 0.9 };
    assert_eq!(here.on_grants(999, 9, &[grant], now), 0);
    let one = |_: &Demand| vec![CapacityDemand { capacity: all[1], weight: 1.0 }];
    here.due_requests(|| arrivals(0), one, allocator_of, at(9000));
    let expected = QuotaStatus { capacity: all[1].key(), fraction: 0.25, granted: false };
    assert_eq!(here.quotas(at(9000)).collect::<Vec<_>>(), [expected]);
}

/// A gateway that always claims everything, an infinite weight among its claims: others keep their floors, and no claim
/// takes from what others have before that has expired.
#[test]
fn a_greedy_gateway_leaves_all_others_their_floor() {
    let n = 12;
    let mut allocator = Allocator::new(terms(n), Timestamp::default());
    let mut now = Timestamp::default() + LIFETIME + WINDOW;
    let mut least = 1.0_f64;
    for turn in 0..60 {
        now = now + LIFETIME * 0.25;
        let greedy = [1e300, f64::INFINITY, f64::NAN, 1e9][turn % 4];
        allocator.allocate("greedy", greedy, f64::INFINITY, now);
        for i in 1..n {
            least = least.min(allocator.allocate(&format!("{i}"), 1.0, 1.0, now).unwrap());
        }
    }
    assert!(least >= terms(n).reserved_fraction() - 1e-12, "{least}");
    let mut got = 0.0;
    for _ in 0..12 {
        now = now + LIFETIME * 0.25;
        got = allocator.allocate("greedy", 1e9, 1.0, now).unwrap();
    }
    assert!(got > 0.4, "{got}");
}

/// Of a capacity that is not strict, gateways without a quota use equal parts: with any split of the fleet into those with
/// and without a quota, never more than half beyond the whole.
#[test]
fn soft_quotas_go_no_more_than_half_beyond_the_whole() {
    for n in [2, 5, 12, 300] {
        let soft = QuotaTerms { strict: false, usage_window: Duration::ZERO, ..terms(n) };
        for with in 1..=n {
            let mut allocator = Allocator::new(soft, Timestamp::default());
            let mut now = Timestamp::default() + LIFETIME;
            let mut out = vec![0.0; with];
            for _ in 0..16 {
                now = now + LIFETIME * 0.25;
                for (i, share) in out.iter_mut().enumerate() {
                    *share = allocator
                        .allocate(&format!("{i}"), if i == 0 { 99.0 } else { 1.0 }, 1.0, now)
                        .unwrap();
                }
                if n == 300 && with % 60 != 1 {
                    break;
                }
            }
            let all = out.iter().sum::<f64>() + soft.default_fraction() * (n - with) as f64;
            assert!(all <= 1.5 + 1e-9, "{with} of {n}: {all}");
        }
    }
}
