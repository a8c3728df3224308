//! Quotas of tenants: requests beyond a tenant's quota are admitted only where there is plenty of room.
//!
//! Guards the other tenants against one tenant's surge.

use crate::time::{Duration, Timestamp};

/// How far a tenant may run ahead of its quota.
const BURST: Duration = Duration::from_millis(2000);
/// Requests by which it may run ahead besides, since few of them arrive in clusters by chance.
const BURST_REQUESTS: f64 = 6.0;

/// A token bucket, filled at this gateway's fraction of the tenant's rate.
pub(crate) struct TenantQuota {
    /// Requests a second over all gateways; zero is no bound.
    rate: f64,
    /// This gateway's fraction of the rate, where a quota allocator hands one out.
    assigned_fraction: Option<f64>,
    tokens: f64,
    refilled_time: Timestamp,
}

impl TenantQuota {
    pub(crate) fn new(rate: f64) -> TenantQuota {
        TenantQuota {
            rate,
            assigned_fraction: None,
            tokens: BURST_REQUESTS,
            refilled_time: Timestamp::default(),
        }
    }

    pub(crate) fn assign(&mut self, fraction: Option<f64>) {
        self.assigned_fraction = fraction;
    }

    /// Whether a request lies within the quota; it then takes a token. `traffic_fraction` stands in for a fraction that
    /// nobody has assigned.
    pub(crate) fn try_acquire(&mut self, traffic_fraction: f64, now: Timestamp) -> bool {
        let rate = self.rate * self.assigned_fraction.unwrap_or(traffic_fraction);
        let limit = rate * BURST.secs() + BURST_REQUESTS;
        let elapsed = now.since(self.refilled_time).secs();
        self.tokens = (self.tokens + elapsed * rate).min(limit);
        self.refilled_time = now;
        let within = self.tokens >= 1.0;
        if within {
            self.tokens -= 1.0;
        }
        within || self.rate <= 0.0
    }
}
