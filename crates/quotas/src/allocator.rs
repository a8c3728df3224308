//! The allocator's side of one capacity.
//!
//! A quota that it handed out counts until its end by the allocator's own clock, from after it answered; a gateway without
//! one counts with its reserved fraction. An allocator that just began may know nothing of what the one before it handed
//! out, so it waits as long as any quota lasts. Both times include the window in which use still weighs on the capacity.
//!
//! Hundreds of gateways ask several times within a quota's length, for each of many capacities: the fill level is computed
//! a few times in that, over all of them, and an answer looks only at its own gateway.

use crate::QuotaTerms;
use crate::fairness::{Fairness, jain_index, max_to_min_ratio};
use crate::max_min::{Claim, FillLevel, fill_level};
use larchfall_policy::time::Timestamp;
use std::collections::BTreeMap;

/// A quota grows to so many times itself at once, and by the reserved fraction; it shrinks at once.
const MAX_GROWTH: f64 = 4.0;
/// Divisions anew within a quota's length.
const DIVISIONS_PER_LIFETIME: f64 = 20.0;
/// Sums of fractions may be off by as much.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Bound of a weight that a gateway may claim.
const MAX_WEIGHT: f64 = 1e9;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Grant {
    fraction: f64,
    expires_at: Timestamp,
}

/// What one gateway claims and has.
#[derive(Clone, Debug, PartialEq)]
struct Allocation {
    claim: Claim,
    /// What it last was granted.
    fraction: f64,
    /// Grants that may still be in use: the largest of them counts.
    grants: Vec<Grant>,
}

impl Allocation {
    /// What may be in use of it: at least the reserved fraction.
    fn in_use(&self) -> f64 {
        self.grants.iter().map(|grant| grant.fraction).fold(self.claim.floor, f64::max)
    }

    fn drop_expired(&mut self, now: Timestamp) {
        self.grants.retain(|grant| now < grant.expires_at);
    }
}

/// Hands out quotas of one capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocator {
    terms: QuotaTerms,
    begins_at: Timestamp,
    /// When it last answered or began.
    last_answer: Timestamp,
    allocations: BTreeMap<String, Allocation>,
    /// What may be in use of all allocations; never less than is so.
    allocated: f64,
    level: FillLevel,
    next_division: Timestamp,
}

/// Bounds what a gateway says of itself.
fn bounded(claimed: f64, max: f64) -> f64 {
    if claimed.is_finite() { claimed.clamp(0.0, max) } else { 0.0 }
}

impl Allocator {
    /// Its role was acquired at `now`.
    pub fn new(terms: QuotaTerms, now: Timestamp) -> Allocator {
        Allocator {
            terms,
            begins_at: now + terms.lifetime + terms.usage_window,
            last_answer: now,
            allocations: BTreeMap::new(),
            allocated: 0.0,
            level: FillLevel::default(),
            next_division: now,
        }
    }

    /// Drops what expired, and computes the fill level anew.
    fn divide(&mut self, now: Timestamp) {
        self.next_division = now + self.terms.lifetime * (1.0 / DIVISIONS_PER_LIFETIME);
        for allocation in self.allocations.values_mut() {
            allocation.drop_expired(now);
        }
        self.allocations.retain(|_, allocation| !allocation.grants.is_empty());
        self.allocated = self.allocations.values().map(Allocation::in_use).sum();
        self.update_level();
    }

    fn update_level(&mut self) {
        let claims = self.allocations.values().map(|allocation| &allocation.claim);
        self.level = fill_level(1.0 - self.reserved(), claims);
    }

    /// What gateways without a quota use, seen or unseen.
    fn reserved(&self) -> f64 {
        let without_quota = self.terms.max_gateways.saturating_sub(self.allocations.len());
        self.terms.reserved_fraction() * without_quota as f64
    }

    /// A gateway claims a quota, with a weight and with what it can use of the whole; returns its quota from now on, if any.
    ///
    /// # Panics
    ///
    /// Where more than the whole could be in use, which is checked at each answer.
    pub fn allocate(&mut self, gateway: &str, weight: f64, demand: f64, now: Timestamp) -> Option<f64> {
        if now < self.begins_at {
            return None;
        }
        let floor = self.terms.reserved_fraction();
        let claim = Claim { weight: bounded(weight, MAX_WEIGHT), demand: bounded(demand, 1.0), floor };
        if now >= self.next_division {
            self.divide(now);
        }
        if !self.allocations.contains_key(gateway) {
            if self.allocations.len() >= self.terms.max_gateways {
                return None;
            }
            // What was reserved for it counts as its own from now on.
            let allocation = Allocation { claim, fraction: floor, grants: Vec::new() };
            self.allocations.insert(gateway.to_owned(), allocation);
            self.allocated += floor;
            self.update_level();
        }
        let reserved = self.reserved();
        let allocation = self.allocations.get_mut(gateway)?;
        let in_use_before = allocation.in_use();
        allocation.claim = claim;
        allocation.drop_expired(now);
        let in_use = allocation.in_use();
        self.allocated += in_use - in_use_before;
        let free = 1.0 - reserved - (self.allocated - in_use);
        let largest = in_use * MAX_GROWTH + floor;
        let fraction = self.level.share(&claim).min(free).min(largest).max(floor);
        let expires_at = now + self.terms.lifetime + self.terms.usage_window;
        // Each length holds a few answers; of equal ones the latest stands for all.
        allocation.grants.retain(|grant| grant.fraction > fraction + ROUNDING_TOLERANCE);
        allocation.grants.push(Grant { fraction, expires_at });
        allocation.fraction = fraction;
        self.allocated += allocation.in_use() - in_use;
        self.last_answer = now;
        let (gateways, in_use) = (self.allocations.len(), self.in_use());
        assert!(in_use <= 1.0 + ROUNDING_TOLERANCE, "quotas of {gateways} gateways add up to {in_use}");
        Some(fraction)
    }

    /// The most that may be in use, as a fraction of the whole.
    pub fn in_use(&self) -> f64 {
        self.allocated + self.reserved()
    }

    /// How fairly it is divided now.
    pub fn fairness(&self) -> Fairness {
        let satisfaction =
            |allocation: &Allocation| allocation.fraction / allocation.claim.weight.max(ROUNDING_TOLERANCE);
        let satisfactions = || self.allocations.values().map(satisfaction);
        Fairness {
            gateways: self.allocations.len(),
            in_use: self.in_use(),
            jain_index: jain_index(satisfactions()),
            max_to_min_ratio: max_to_min_ratio(satisfactions()),
        }
    }

    /// Gateways that have a quota.
    pub fn gateways(&self) -> usize {
        self.allocations.len()
    }

    /// Whether nothing that it handed out can be in use, and it began long ago.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        self.last_answer + self.terms.lifetime + self.terms.usage_window <= now
    }
}
