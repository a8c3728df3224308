//! The quota that a gateway holds of one capacity. A granted quota expires a usable lifetime after the gateway
//! requested the quota; without a granted quota the default fraction applies.

use crate::QuotaTerms;
use larchfall_policy::time::Timestamp;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Grant {
    fraction: f64,
    /// Fencing token of the allocator's lease.
    token: u64,
    expires_at: Timestamp,
}

/// The part of one capacity that a gateway may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldQuota {
    terms: QuotaTerms,
    grant: Option<Grant>,
}

impl HeldQuota {
    /// Creates a quota with the default fraction.
    pub fn new(terms: QuotaTerms) -> HeldQuota {
        HeldQuota { terms, grant: None }
    }

    /// Applies an allocator's answer to the request of `requested_at`; returns whether the grant was accepted. A
    /// grant is ignored if the fraction is not in 0..=1, if the grant has expired, if the fencing token is older than
    /// that of the present grant, or if the token is the same and the grant expires no later than the present grant.
    pub fn on_grant(&mut self, fraction: f64, token: u64, requested_at: Timestamp, now: Timestamp) -> bool {
        let expires_at = requested_at + self.terms.usable_lifetime();
        let is_valid = fraction.is_finite() && (0.0..=1.0).contains(&fraction);
        let is_newer = self.grant.is_none_or(|grant| {
            token > grant.token || (token == grant.token && expires_at > grant.expires_at)
        });
        if !is_valid || now >= expires_at || !is_newer {
            return false;
        }
        self.grant = Some(Grant { fraction, token, expires_at });
        true
    }

    /// Fraction of the whole capacity that the gateway may use now.
    pub fn fraction(&self, now: Timestamp) -> f64 {
        let grant = self.grant.filter(|grant| now < grant.expires_at);
        grant.map_or(self.terms.default_fraction(), |grant| grant.fraction)
    }

    /// Whether the current fraction was granted; otherwise it is the default fraction.
    pub fn is_granted(&self, now: Timestamp) -> bool {
        self.grant.is_some_and(|grant| now < grant.expires_at)
    }
}
