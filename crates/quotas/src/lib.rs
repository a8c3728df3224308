//! Quotas: division of shared capacities among gateways.
//!
//! For each capacity, one gateway is the quota allocator and grants quotas for a limited time. A gateway without a
//! granted quota uses a default fraction. Gateways never use more than the whole of a strict capacity together, even
//! while gateways are partitioned, crash or stall; of any other capacity they use at most 1.5 times the whole. The
//! crate does no I/O.

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

/// Terms of the quotas of one kind of capacity. All gateways of a fleet must use the same terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Maximum number of gateways in the fleet, including gateways that the allocator doesn't know.
    pub max_gateways: usize,
    /// Lifetime of a quota, counted from the time of the request and before the drift margin is subtracted.
    pub lifetime: Duration,
    /// Maximum difference in rate between two clocks of the fleet, in thousandths.
    pub drift_margin_per_mille: u32,
    /// Time for which past use still counts, because the capacity limits the use within any interval of this length.
    pub usage_window: Duration,
    /// Whether the gateways together must never use more than the whole capacity.
    pub strict: bool,
}

impl QuotaTerms {
    /// The fraction that is reserved for each gateway without a quota: half of an equal share, so that at most half
    /// of the whole capacity is ever reserved.
    pub fn reserved_fraction(&self) -> f64 {
        0.5 / self.max_gateways.max(1) as f64
    }

    /// The fraction that a gateway uses while it has no granted quota. Of a strict capacity this is the reserved
    /// fraction, because using more than the whole would do harm. Of any other capacity this is an equal share, so
    /// that without allocators the capacity is divided equally. Gateways without a quota then use twice their
    /// reserved fraction, so all gateways together use at most half of the whole more than the whole.
    pub fn default_fraction(&self) -> f64 {
        if self.strict { self.reserved_fraction() } else { 2.0 * self.reserved_fraction() }
    }

    /// The part of a quota's lifetime that a gateway may use: the lifetime less the drift margin.
    pub fn usable_lifetime(&self) -> Duration {
        self.lifetime * (f64::from(1000_u32.saturating_sub(self.drift_margin_per_mille)) / 1000.0)
    }
}

/// A gateway's demand for one capacity in a request. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaDemand {
    /// Key of the capacity, see [`capacity::Capacity::key`].
    pub capacity: u64,
    /// The gateway's weight in the division of the capacity; quotas are proportional to weights.
    pub weight: f32,
}

/// The quota of one capacity that an allocator grants. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Key of the capacity, see [`capacity::Capacity::key`].
    pub capacity: u64,
    /// Granted fraction of the whole capacity, in 0..=1.
    pub fraction: f64,
}
