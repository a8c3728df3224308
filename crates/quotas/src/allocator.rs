//! Allocates quotas of one capacity to gateways.
//!
//! A grant counts as in use for the quota lifetime plus the usage window, measured on the allocator's clock from the
//! time of the answer. A gateway without a quota counts with its reserved fraction. A new allocator doesn't know the
//! grants of its predecessor, so it grants nothing for one quota lifetime plus the usage window.
//!
//! Hundreds of gateways request quotas of many capacities several times in each quota lifetime. The fill level over all
//! gateways is therefore computed only a few times in each lifetime; an answer looks only at the requesting gateway.

use crate::QuotaTerms;
use crate::fairness::{Fairness, jain_index, max_to_min_ratio};
use crate::max_min::{Claim, FillLevel, fill_level};
use larchfall_policy::time::Timestamp;
use std::collections::BTreeMap;

/// Limits the growth of a quota from one answer to the next: at most this multiple of the fraction in use, plus the
/// reserved fraction. A quota may shrink by any amount.
const MAX_GROWTH_FACTOR: f64 = 4.0;
/// How often the fill level is computed in one quota lifetime.
const FILL_LEVEL_UPDATES_PER_LIFETIME: f64 = 20.0;
/// Tolerance for rounding errors in sums of fractions.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Maximum weight that a gateway can claim; greater weights are reduced to it.
const MAX_WEIGHT: f64 = 1e9;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Grant {
    fraction: f64,
    expires_at: Timestamp,
}

/// The claim and the grants of one gateway.
#[derive(Clone, Debug, PartialEq)]
struct Allocation {
    claim: Claim,
    /// The fraction that was granted last.
    fraction: f64,
    /// Grants that may still be in use; the largest of them counts.
    grants: Vec<Grant>,
}

impl Allocation {
    /// Largest fraction that the gateway may be using: at least the reserved fraction.
    fn max_in_use(&self) -> f64 {
        self.grants.iter().map(|grant| grant.fraction).fold(self.claim.floor, f64::max)
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.grants.retain(|grant| now < grant.expires_at);
    }
}

/// Allocates quotas of one capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocator {
    terms: QuotaTerms,
    /// Start of granting: from then on no grant of a predecessor is in use.
    first_grant_at: Timestamp,
    /// Time of the last grant, or of the creation of the allocator if there is no grant yet.
    last_grant_at: Timestamp,
    allocations: BTreeMap<String, Allocation>,
    /// Sum of the fractions that may be in use under `allocations`. Expired grants of other gateways stay included
    /// until the next computation of the fill level, so the sum is never too small.
    allocated_in_use: f64,
    fill_level: FillLevel,
    next_fill_level_update: Timestamp,
}

/// Clamps a claimed value to `0.0..=max`; a value that isn't finite becomes 0.
fn clamp_claimed(claimed: f64, max: f64) -> f64 {
    if claimed.is_finite() { claimed.clamp(0.0, max) } else { 0.0 }
}

impl Allocator {
    /// Creates the allocator of a gateway that acquired the allocator's leased role at `now`.
    pub fn new(terms: QuotaTerms, now: Timestamp) -> Allocator {
        Allocator {
            terms,
            first_grant_at: now + terms.lifetime + terms.usage_window,
            last_grant_at: now,
            allocations: BTreeMap::new(),
            allocated_in_use: 0.0,
            fill_level: FillLevel::default(),
            next_fill_level_update: now,
        }
    }

    /// Removes expired grants and computes the fill level of the remaining claims.
    fn remove_expired_and_update_fill_level(&mut self, now: Timestamp) {
        self.next_fill_level_update = now + self.terms.lifetime * (1.0 / FILL_LEVEL_UPDATES_PER_LIFETIME);
        for allocation in self.allocations.values_mut() {
            allocation.remove_expired(now);
        }
        self.allocations.retain(|_, allocation| !allocation.grants.is_empty());
        self.allocated_in_use = self.allocations.values().map(Allocation::max_in_use).sum();
        self.update_fill_level();
    }

    fn update_fill_level(&mut self) {
        let claims = self.allocations.values().map(|allocation| &allocation.claim);
        self.fill_level = fill_level(1.0 - self.total_reserved(), claims);
    }

    /// Sum of the reserved fractions of all gateways without a quota, whether or not they have sent a request.
    fn total_reserved(&self) -> f64 {
        let without_quota = self.terms.max_gateways.saturating_sub(self.allocations.len());
        self.terms.reserved_fraction() * without_quota as f64
    }

    /// Answers a request for a quota: `weight` is the gateway's weight in the division and `demand` the largest
    /// fraction that it can use. Returns the granted fraction; `None` before granting starts, and when `max_gateways`
    /// other gateways have quotas.
    ///
    /// # Panics
    ///
    /// Panics if more than the whole capacity could be in use after the grant.
    pub fn allocate(&mut self, gateway: &str, weight: f64, demand: f64, now: Timestamp) -> Option<f64> {
        if now < self.first_grant_at {
            return None;
        }
        let floor = self.terms.reserved_fraction();
        let claim =
            Claim { weight: clamp_claimed(weight, MAX_WEIGHT), demand: clamp_claimed(demand, 1.0), floor };
        if now >= self.next_fill_level_update {
            self.remove_expired_and_update_fill_level(now);
        }
        if !self.allocations.contains_key(gateway) {
            if self.allocations.len() >= self.terms.max_gateways {
                return None;
            }
            // From now on the gateway's reserved fraction counts under its allocation.
            let allocation = Allocation { claim, fraction: floor, grants: Vec::new() };
            self.allocations.insert(gateway.to_owned(), allocation);
            self.allocated_in_use += floor;
            self.update_fill_level();
        }
        let reserved = self.total_reserved();
        let allocation = self.allocations.get_mut(gateway)?;
        let in_use_before = allocation.max_in_use();
        allocation.claim = claim;
        allocation.remove_expired(now);
        let in_use = allocation.max_in_use();
        self.allocated_in_use += in_use - in_use_before;
        let free = 1.0 - reserved - (self.allocated_in_use - in_use);
        let growth_limit = in_use * MAX_GROWTH_FACTOR + floor;
        let fraction = self.fill_level.share(&claim).min(free).min(growth_limit).max(floor);
        let expires_at = now + self.terms.lifetime + self.terms.usage_window;
        // A gateway gets several grants in each lifetime. The new grant covers all earlier grants that aren't larger.
        allocation.grants.retain(|grant| grant.fraction > fraction + ROUNDING_TOLERANCE);
        allocation.grants.push(Grant { fraction, expires_at });
        allocation.fraction = fraction;
        self.allocated_in_use += allocation.max_in_use() - in_use;
        self.last_grant_at = now;
        let (gateways, in_use) = (self.allocations.len(), self.fraction_in_use());
        assert!(
            in_use <= 1.0 + ROUNDING_TOLERANCE,
            "quotas of {gateways} gateways add up to {in_use} of the capacity, more than 1"
        );
        Some(fraction)
    }

    /// Upper bound of the use of all gateways, as a fraction of the whole capacity.
    pub fn fraction_in_use(&self) -> f64 {
        self.allocated_in_use + self.total_reserved()
    }

    /// Fairness of the last grants, measured by the granted fraction per weight.
    pub fn fairness(&self) -> Fairness {
        let per_weight =
            |allocation: &Allocation| allocation.fraction / allocation.claim.weight.max(ROUNDING_TOLERANCE);
        let relative_fractions = || self.allocations.values().map(per_weight);
        Fairness {
            gateways: self.allocations.len(),
            in_use: self.fraction_in_use(),
            jain_index: jain_index(relative_fractions()),
            max_to_min_ratio: max_to_min_ratio(relative_fractions()),
        }
    }

    /// Number of gateways that have a quota.
    pub fn gateways(&self) -> usize {
        self.allocations.len()
    }

    /// Whether all grants have ended, and at least a quota lifetime plus the usage window has passed since creation.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        self.last_grant_at + self.terms.lifetime + self.terms.usage_window <= now
    }
}
