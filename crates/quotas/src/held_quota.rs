//! A gateway's side of one capacity: the quota that it holds, until its end as counted from before it was requested, and
//! the default fraction else.

use crate::QuotaTerms;
use larchfall_policy::time::Timestamp;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Grant {
    fraction: f64,
    /// The allocator's fencing token.
    token: u64,
    expires_at: Timestamp,
}

/// What a gateway may use of one capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldQuota {
    terms: QuotaTerms,
    grant: Option<Grant>,
}

impl HeldQuota {
    /// Nothing granted yet.
    pub fn new(terms: QuotaTerms) -> HeldQuota {
        HeldQuota { terms, grant: None }
    }

    /// Takes an allocator's answer to a request; returns whether it counts. One of an older allocator than was heard of does
    /// not, and neither does one that would end sooner than the present one.
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

    /// The fraction of the whole that may be used now.
    pub fn fraction(&self, now: Timestamp) -> f64 {
        let grant = self.grant.filter(|grant| now < grant.expires_at);
        grant.map_or(self.terms.default_fraction(), |grant| grant.fraction)
    }

    /// Whether that was granted.
    pub fn is_granted(&self, now: Timestamp) -> bool {
        self.grant.is_some_and(|grant| now < grant.expires_at)
    }
}
