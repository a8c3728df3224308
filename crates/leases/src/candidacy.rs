//! Candidacy of one gateway for a role under one fencing token: the voters that granted the lease, and when each grant
//! expires.
//!
//! The candidate counts a grant from the time of its request and subtracts a margin for clock drift. The lease
//! therefore expires at its holder before it expires at the voters.

use crate::quorum::VoterSet;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Length of the leases that a gateway requests, and the clock drift that it allows for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Length requested from voters.
    pub length: Duration,
    /// Largest difference in rate between any two clocks of the cluster, in thousandths.
    pub drift_margin_per_mille: u32,
}

impl LeaseTerms {
    /// Returns the part of the lease length that the lease holder may use: the length less the drift margin.
    pub fn usable_length(&self) -> Duration {
        let usable_per_mille = 1000_u32.saturating_sub(self.drift_margin_per_mille);
        Duration::from_micros(self.length.micros() / 1000 * u64::from(usable_per_mille))
    }
}

/// The grants collected for one role under one fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidacy {
    /// The fencing token that voters are asked to grant.
    pub token: u64,
    /// When the grant of each voter expires by this gateway's clock, by voter name.
    grant_expiries: BTreeMap<String, Timestamp>,
}

impl Candidacy {
    /// Creates a candidacy without any grants.
    pub fn new(token: u64) -> Candidacy {
        Candidacy { token, grant_expiries: BTreeMap::new() }
    }

    /// Records a grant by `voter`. `requested_at` is when it was requested, `terms` are the terms in force at that
    /// time. Votes may arrive late and in any order, so the latest expiry of a voter's grants is kept.
    pub fn record_grant(&mut self, voter: &str, requested_at: Timestamp, terms: LeaseTerms) {
        let expires_at = requested_at + terms.usable_length();
        let latest_expiry = self.grant_expiries.entry(voter.to_owned()).or_insert(expires_at);
        *latest_expiry = expires_at.max(*latest_expiry);
    }

    /// Returns when the lease expires, or `None` if no majority has granted it.
    pub fn expires_at(&self, voters: &VoterSet) -> Option<Timestamp> {
        voters.majority_value(&self.grant_expiries)
    }

    /// Returns whether the grants of a majority are unexpired at `now`.
    pub fn is_held(&self, voters: &VoterSet, now: Timestamp) -> bool {
        self.expires_at(voters).is_some_and(|expires_at| now < expires_at)
    }
}
