//! Quota manager of one gateway: sends requests for quotas to the allocators, keeps the granted quotas, and answers the
//! requests for capacities of which this gateway is the allocator.

use crate::allocator::Allocator;
use crate::capacity::Capacity;
use crate::demand::{Arrivals, CapacityDemand, Demand};
use crate::fairness::Fairness;
use crate::held_quota::HeldQuota;
use crate::{QuotaDemand, QuotaGrant, QuotaTerms};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Number of requests for each quota in one quota lifetime.
const REQUESTS_PER_LIFETIME: f64 = 4.0;
/// Number of latest request rounds whose answers are accepted; answers to earlier rounds are ignored.
const MAX_ACCEPTED_ROUNDS: usize = 16;
/// Demand of each gateway as a fraction of the whole. Only the weights of the gateways determine the division.
const FULL_DEMAND: f64 = 1.0;

/// Quota settings from the operator's configuration file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Terms for strict capacities.
    pub strict: QuotaTerms,
    /// Terms for all other capacities.
    pub soft: QuotaTerms,
    /// Number of leased allocator roles among which the capacities are divided.
    pub allocators: usize,
    /// Maximum number of capacities with quotas; further capacities are used with the default fraction.
    pub max_capacities: usize,
}

impl QuotaSettings {
    fn terms(&self, capacity: u64) -> QuotaTerms {
        let is_strict = Capacity::from_key(capacity).is_none_or(Capacity::is_strict);
        if is_strict { self.strict } else { self.soft }
    }
}

/// A request to one allocator.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaRequest {
    /// Index of the allocator's leased role.
    pub allocator: usize,
    /// Number of the request round; the answer repeats it.
    pub round: u32,
    /// One demand for each capacity of this allocator.
    pub demands: Vec<QuotaDemand>,
}

/// The terms that a request carries. An allocator grants quotas only if the terms equal its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTerms {
    /// Maximum number of gateways in the fleet.
    pub max_gateways: usize,
    /// Lifetime of a quota, before the drift margin is subtracted.
    pub lifetime: Duration,
}

/// The part of one capacity that a gateway may use now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaStatus {
    /// Key of the capacity, see [`Capacity::key`].
    pub capacity: u64,
    /// Fraction of the whole capacity, in 0..=1.
    pub fraction: f64,
    /// Whether an allocator granted the fraction; otherwise it is the default fraction.
    pub granted: bool,
}

/// State of a capacity of which this gateway is the allocator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllocationStatus {
    /// Key of the capacity, see [`Capacity::key`].
    pub capacity: u64,
    /// Fairness of the current division.
    pub fairness: Fairness,
}

/// A round of requests to all allocators.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u32,
    requested_at: Timestamp,
}

/// An allocator and the fencing token of the lease under which it grants.
struct ActiveAllocator {
    token: u64,
    allocator: Allocator,
}

/// Holds the quotas of one gateway, and the allocators that run on the gateway.
pub struct QuotaManager {
    settings: QuotaSettings,
    /// By key of the capacity.
    held_quotas: BTreeMap<u64, HeldQuota>,
    /// By key of the capacity.
    allocators: BTreeMap<u64, ActiveAllocator>,
    rounds: VecDeque<Round>,
    last_round: u32,
    next_request: Timestamp,
    demand: Demand,
}

impl QuotaManager {
    /// Creates a manager whose first requests are due at `now`.
    pub fn new(settings: QuotaSettings, now: Timestamp) -> QuotaManager {
        QuotaManager {
            settings,
            held_quotas: BTreeMap::new(),
            allocators: BTreeMap::new(),
            rounds: VecDeque::new(),
            last_round: 0,
            next_request: now,
            demand: Demand::default(),
        }
    }

    /// The terms that this gateway's requests carry.
    pub fn request_terms(&self) -> RequestTerms {
        let QuotaTerms { max_gateways, lifetime, .. } = self.settings.strict;
        RequestTerms { max_gateways, lifetime }
    }

    /// Number of leased allocator roles among which the capacities are divided.
    pub fn allocators(&self) -> usize {
        self.settings.allocators
    }

    /// Time when the next requests are due.
    pub fn next_request(&self) -> Timestamp {
        self.next_request
    }

    /// Returns the requests to the allocators if they are due, else nothing. `arrivals` counts all requests that
    /// arrived at this gateway so far, `demands` derives the wanted capacities from the demand, and `allocator_of`
    /// maps the key of a capacity to the index of its allocator. Removes quotas of capacities that are no longer
    /// wanted.
    pub fn due_requests(
        &mut self,
        arrivals: impl FnOnce() -> Arrivals,
        demands: impl FnOnce(&Demand) -> Vec<CapacityDemand>,
        allocator_of: impl Fn(u64) -> usize,
        now: Timestamp,
    ) -> Vec<QuotaRequest> {
        if now < self.next_request {
            return Vec::new();
        }
        self.next_request = now + self.settings.strict.lifetime * (1.0 / REQUESTS_PER_LIFETIME);
        self.demand.observe(arrivals());
        let demands = demands(&self.demand).into_iter().take(self.settings.max_capacities);
        let weights: BTreeMap<u64, f64> =
            demands.map(|demand| (demand.capacity.key(), demand.weight)).collect();
        self.held_quotas.retain(|capacity, _| weights.contains_key(capacity));
        for capacity in weights.keys() {
            let terms = self.settings.terms(*capacity);
            self.held_quotas.entry(*capacity).or_insert_with(|| HeldQuota::new(terms));
        }
        // Other gateways may still use granted quotas of a capacity that this gateway no longer wants.
        self.allocators
            .retain(|capacity, active| weights.contains_key(capacity) || !active.allocator.is_idle(now));
        let round = self.start_round(now);
        let mut by_allocator: BTreeMap<usize, Vec<QuotaDemand>> = BTreeMap::new();
        for (capacity, weight) in weights {
            let demand = QuotaDemand { capacity, weight: weight as f32 };
            by_allocator.entry(allocator_of(capacity)).or_default().push(demand);
        }
        let request = |(allocator, demands)| QuotaRequest { allocator, round, demands };
        by_allocator.into_iter().map(request).collect()
    }

    fn start_round(&mut self, now: Timestamp) -> u32 {
        self.last_round = self.last_round.wrapping_add(1);
        self.rounds.push_back(Round { number: self.last_round, requested_at: now });
        if self.rounds.len() > MAX_ACCEPTED_ROUNDS {
            self.rounds.pop_front();
        }
        self.last_round
    }

    /// Answers a request as the allocator that holds the lease with this fencing token. Grants no quota of a capacity
    /// whose allocator is still waiting for grants of its predecessor to end. Grants nothing to a gateway with other
    /// terms, because the gateway would use a quota longer or in another amount than this allocator accounts for.
    pub fn on_request(
        &mut self,
        token: u64,
        gateway: &str,
        terms: RequestTerms,
        demands: &[QuotaDemand],
        now: Timestamp,
    ) -> Vec<QuotaGrant> {
        if terms != self.request_terms() {
            return Vec::new();
        }
        let mut grants = Vec::new();
        for QuotaDemand { capacity, weight } in demands {
            let Some(allocator) = self.allocator(token, *capacity, now) else { continue };
            let fraction = allocator.allocate(gateway, f64::from(*weight), FULL_DEMAND, now);
            grants.extend(fraction.map(|fraction| QuotaGrant { capacity: *capacity, fraction }));
        }
        grants
    }

    /// The allocator of a capacity under this fencing token; `None` if there are too many capacities. A new token
    /// means that the lease was lost in between, so a new allocator starts that doesn't rely on the earlier grants.
    fn allocator(&mut self, token: u64, capacity: u64, now: Timestamp) -> Option<&mut Allocator> {
        let is_known = self.allocators.contains_key(&capacity);
        if !is_known && self.allocators.len() >= self.settings.max_capacities {
            return None;
        }
        let terms = self.settings.terms(capacity);
        let new_allocator = || ActiveAllocator { token, allocator: Allocator::new(terms, now) };
        let active = self.allocators.entry(capacity).or_insert_with(new_allocator);
        if active.token != token {
            *active = new_allocator();
        }
        Some(&mut active.allocator)
    }

    /// Applies an allocator's answer to the requests of a round; returns the number of accepted grants.
    pub fn on_grants(&mut self, round: u32, token: u64, grants: &[QuotaGrant], now: Timestamp) -> usize {
        let Some(round) = self.rounds.iter().find(|sent| sent.number == round).copied() else { return 0 };
        let mut accepted = 0;
        for grant in grants {
            if let Some(quota) = self.held_quotas.get_mut(&grant.capacity) {
                accepted += usize::from(quota.on_grant(grant.fraction, token, round.requested_at, now));
            }
        }
        accepted
    }

    /// The part of each capacity that this gateway may use now.
    pub fn quotas(&self, now: Timestamp) -> impl Iterator<Item = QuotaStatus> {
        self.held_quotas.iter().map(move |(capacity, quota)| QuotaStatus {
            capacity: *capacity,
            fraction: quota.fraction(now),
            granted: quota.is_granted(now),
        })
    }

    /// The fraction of a strict capacity that this gateway may use without a granted quota.
    pub fn strict_default_fraction(&self) -> f64 {
        self.settings.strict.default_fraction()
    }

    /// The capacities of which this gateway is the allocator and has granted quotas that may still be in use.
    pub fn allocations(&self, now: Timestamp) -> impl Iterator<Item = AllocationStatus> {
        let in_use = self.allocators.iter().filter(move |(_, active)| !active.allocator.is_idle(now));
        in_use.map(|(capacity, active)| AllocationStatus {
            capacity: *capacity,
            fairness: active.allocator.fairness(),
        })
    }
}
