//! One gateway's quotas of all capacities that are handed out, and its part as the allocator of some: whom it asks and
//! when, what it answers, and what fraction of each it may use.

use crate::allocator::Allocator;
use crate::capacity::Capacity;
use crate::demand::{Arrivals, CapacityDemand, Demand};
use crate::fairness::Fairness;
use crate::held_quota::HeldQuota;
use crate::{QuotaDemand, QuotaGrant, QuotaTerms};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Requests within a quota's length.
const REQUESTS_PER_LIFETIME: f64 = 4.0;
/// Rounds whose answers count; answers to older ones are ignored.
const MAX_ROUNDS: usize = 16;
/// Gateways ask for any part of the whole: their weights decide.
const FULL_DEMAND: f64 = 1.0;

/// Settings of one gateway, from the operator's file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Terms of strict capacities.
    pub strict: QuotaTerms,
    /// Terms of all others.
    pub soft: QuotaTerms,
    /// Allocator roles that the capacities are divided among.
    pub allocators: usize,
    /// Of capacities beyond this many a gateway has its default fraction only.
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
    /// Index of the allocator's role.
    pub allocator: usize,
    /// Number of the request, for its answers.
    pub round: u32,
    /// One entry for each of its capacities.
    pub demands: Vec<QuotaDemand>,
}

/// The terms that go with a request: an allocator answers only under its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTerms {
    /// Gateways that there are at most.
    pub max_gateways: usize,
    /// How long quotas last.
    pub lifetime: Duration,
}

/// What a gateway may use of one capacity now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaStatus {
    /// The capacity's key.
    pub capacity: u64,
    /// Fraction of the capacity.
    pub fraction: f64,
    /// Whether it was granted; else it is the default fraction.
    pub granted: bool,
}

/// What this gateway hands out of one capacity now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllocationStatus {
    /// The capacity's key.
    pub capacity: u64,
    /// How fairly it is divided.
    pub fairness: Fairness,
}

#[derive(Clone, Copy, Debug)]
struct Round {
    number: u32,
    requested_at: Timestamp,
}

/// An allocator of one holding of its role.
struct Allocating {
    token: u64,
    allocator: Allocator,
}

/// One gateway's quotas.
pub struct QuotaManager {
    settings: QuotaSettings,
    /// By key.
    held: BTreeMap<u64, HeldQuota>,
    /// By key.
    allocators: BTreeMap<u64, Allocating>,
    rounds: VecDeque<Round>,
    last_round: u32,
    next_request: Timestamp,
    demand: Demand,
}

impl QuotaManager {
    /// The first requests are due at once.
    pub fn new(settings: QuotaSettings, now: Timestamp) -> QuotaManager {
        QuotaManager {
            settings,
            held: BTreeMap::new(),
            allocators: BTreeMap::new(),
            rounds: VecDeque::new(),
            last_round: 0,
            next_request: now,
            demand: Demand::default(),
        }
    }

    /// The terms of this gateway's own requests.
    pub fn request_terms(&self) -> RequestTerms {
        let QuotaTerms { max_gateways, lifetime, .. } = self.settings.strict;
        RequestTerms { max_gateways, lifetime }
    }

    /// Allocator roles that the capacities are divided among.
    pub fn allocators(&self) -> usize {
        self.settings.allocators
    }

    /// When the next requests are due.
    pub fn next_request(&self) -> Timestamp {
        self.next_request
    }

    /// The requests to allocators, where they are due: `arrivals` is all that came to this gateway so far, `wanted` what it
    /// wants by its demand, `allocator_of` the index of a capacity's allocator by its key. Capacities that are not wanted
    /// any more are forgotten.
    pub fn due_requests(
        &mut self,
        arrivals: impl FnOnce() -> Arrivals,
        wanted: impl FnOnce(&Demand) -> Vec<CapacityDemand>,
        allocator_of: impl Fn(u64) -> usize,
        now: Timestamp,
    ) -> Vec<QuotaRequest> {
        if now < self.next_request {
            return Vec::new();
        }
        self.next_request = now + self.settings.strict.lifetime * (1.0 / REQUESTS_PER_LIFETIME);
        self.demand.observe(arrivals());
        let wanted = wanted(&self.demand).into_iter().take(self.settings.max_capacities);
        let weights: BTreeMap<u64, f64> =
            wanted.map(|wanted| (wanted.capacity.key(), wanted.weight)).collect();
        self.held.retain(|capacity, _| weights.contains_key(capacity));
        for capacity in weights.keys() {
            let terms = self.settings.terms(*capacity);
            self.held.entry(*capacity).or_insert_with(|| HeldQuota::new(terms));
        }
        // What was handed out of a capacity that is not wanted here any more may be in use at others.
        self.allocators.retain(|capacity, allocating| {
            weights.contains_key(capacity) || !allocating.allocator.is_idle(now)
        });
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
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.last_round
    }

    /// Answers a request as the allocator under this token. Nothing is granted of capacities whose allocator has not begun
    /// yet, and nothing at all to a gateway with other terms: what it relies on would not be what is counted here.
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

    /// The allocator of a capacity under this token. Another token is another holding: what was handed out meanwhile is not
    /// known here.
    fn allocator(&mut self, token: u64, capacity: u64, now: Timestamp) -> Option<&mut Allocator> {
        let is_known = self.allocators.contains_key(&capacity);
        if !is_known && self.allocators.len() >= self.settings.max_capacities {
            return None;
        }
        let terms = self.settings.terms(capacity);
        let new = || Allocating { token, allocator: Allocator::new(terms, now) };
        let allocating = self.allocators.entry(capacity).or_insert_with(new);
        if allocating.token != token {
            *allocating = new();
        }
        Some(&mut allocating.allocator)
    }

    /// Takes an allocator's answer to the requests of a round; returns how many of its grants count.
    pub fn on_grants(&mut self, round: u32, token: u64, grants: &[QuotaGrant], now: Timestamp) -> usize {
        let Some(round) = self.rounds.iter().find(|known| known.number == round).copied() else { return 0 };
        let mut accepted = 0;
        for grant in grants {
            if let Some(held) = self.held.get_mut(&grant.capacity) {
                accepted += usize::from(held.on_grant(grant.fraction, token, round.requested_at, now));
            }
        }
        accepted
    }

    /// What this gateway may use of each capacity now.
    pub fn quotas(&self, now: Timestamp) -> impl Iterator<Item = QuotaStatus> {
        self.held.iter().map(move |(capacity, held)| QuotaStatus {
            capacity: *capacity,
            fraction: held.fraction(now),
            granted: held.is_granted(now),
        })
    }

    /// The fraction of a strict capacity that nobody has granted yet.
    pub fn strict_default_fraction(&self) -> f64 {
        self.settings.strict.default_fraction()
    }

    /// What this gateway hands out now.
    pub fn allocations(&self, now: Timestamp) -> impl Iterator<Item = AllocationStatus> {
        let busy = self.allocators.iter().filter(move |(_, allocating)| !allocating.allocator.is_idle(now));
        busy.map(|(capacity, allocating)| AllocationStatus {
            capacity: *capacity,
            fairness: allocating.allocator.fairness(),
        })
    }
}
