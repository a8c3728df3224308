//! Tenant quotas: a request beyond its tenant's quota is sent only to an engine with ample spare capacity.
//!
//! This protects other tenants from the surge of one tenant.

use crate::time::{Duration, Timestamp};

/// Burst that a tenant may send at once, as the time in which its rate would allow these requests.
const BURST_DURATION: Duration = Duration::from_millis(2000);
/// Requests added to every burst, since the few requests of a small tenant arrive in clusters by chance.
const BURST_REQUESTS: f64 = 6.0;

/// A token bucket, refilled at this gateway's fraction of the tenant's rate.
pub(crate) struct TenantQuota {
    /// Quota of the tenant at all gateways together, in requests per second; zero means unlimited.
    requests_per_second: f64,
    /// This gateway's fraction of the rate, in 0..=1; `None` if no quota allocator assigned one.
    assigned_fraction: Option<f64>,
    tokens: f64,
    refilled_time: Timestamp,
}

impl TenantQuota {
    pub(crate) fn new(requests_per_second: f64) -> TenantQuota {
        TenantQuota {
            requests_per_second,
            assigned_fraction: None,
            tokens: BURST_REQUESTS,
            refilled_time: Timestamp::default(),
        }
    }

    pub(crate) fn set_fraction(&mut self, fraction: Option<f64>) {
        self.assigned_fraction = fraction;
    }

    /// Takes a token for one request. Returns whether the request is within the quota. Without an assigned fraction,
    /// `traffic_fraction` is used: the gateway's fraction of all traffic.
    pub(crate) fn try_acquire(&mut self, traffic_fraction: f64, now: Timestamp) -> bool {
        let rate = self.requests_per_second * self.assigned_fraction.unwrap_or(traffic_fraction);
        let max_tokens = rate * BURST_DURATION.secs() + BURST_REQUESTS;
        let elapsed = now.since(self.refilled_time).secs();
        self.tokens = (self.tokens + elapsed * rate).min(max_tokens);
        self.refilled_time = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token || self.requests_per_second <= 0.0
    }
}
