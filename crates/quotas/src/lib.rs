//! Quotas: capacities that several gateways use, divided among them.
//!
//! One gateway allocates a capacity and hands out quotas for a time; a gateway without one uses a default fraction. What is
//! used of a strict capacity never adds up to more than the whole, whoever is cut off, dies or stalls; of any other, to no
//! more than half beyond it. The crate does no I/O.

#![deny(missing_docs)]

pub mod allocator;
pub mod capacity;
pub mod demand;
pub mod fairness;
pub mod held_quota;
pub mod manager;
pub mod max_min;

use larchfall_policy::time::Duration;
use serde::{Deserialize, Serialize};

/// What holds for one kind of capacity, the same at all gateways of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// There are never more gateways than this, whether or not they are seen.
    pub max_gateways: usize,
    /// How long a quota lasts, from before it was requested and less the margin.
    pub lifetime: Duration,
    /// Largest difference in speed between two clocks of the fleet, in thousandths.
    pub drift_margin_per_mille: u32,
    /// How long use counts after it ended: the capacity is what is borne within any such time.
    pub usage_window: Duration,
    /// Whether more than the whole may never be used.
    pub strict: bool,
}

impl QuotaTerms {
    /// The fraction that is reserved for each gateway without a quota: half of an equal part, so that no more than half of
    /// the whole is ever reserved.
    pub fn reserved_fraction(&self) -> f64 {
        0.5 / self.max_gateways.max(1) as f64
    }

    /// The fraction that a gateway uses while it has no quota: what is reserved for it where more than the whole does harm,
    /// else an equal part, so that all is as without allocators when there are none. All gateways without a quota then use
    /// half of their equal parts more than is reserved: at most half of the whole beyond it.
    pub fn default_fraction(&self) -> f64 {
        if self.strict { self.reserved_fraction() } else { 2.0 * self.reserved_fraction() }
    }

    /// The part of a quota's length that a gateway may rely on.
    pub fn usable_lifetime(&self) -> Duration {
        self.lifetime * (f64::from(1000_u32.saturating_sub(self.drift_margin_per_mille)) / 1000.0)
    }
}

/// How much a gateway wants of a capacity. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaDemand {
    /// The capacity's key.
    pub capacity: u64,
    /// The gateway's weight in the division.
    pub weight: f32,
}

/// The quota that an allocator hands out of a capacity. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The capacity's key.
    pub capacity: u64,
    /// Fraction of the capacity, in 0..=1.
    pub fraction: f64,
}
