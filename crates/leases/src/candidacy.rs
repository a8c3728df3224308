//! One gateway's attempt to hold a role under one token: which voters granted it, and until when each grant counts.
//!
//! A grant counts from before it was requested, less a margin for clock drift, so that a lease ends at its holder before
//! it ends at its voters.

use crate::quorum::VoterSet;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// How long leases are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Length that is requested of voters.
    pub length: Duration,
    /// Largest difference in speed between two clocks of the fleet, in thousandths.
    pub drift_margin_per_mille: u32,
}

impl LeaseTerms {
    /// The part of the length that a holder may rely on.
    pub fn usable_length(&self) -> Duration {
        let usable_per_mille = 1000_u32.saturating_sub(self.drift_margin_per_mille);
        Duration::from_micros(self.length.micros() / 1000 * u64::from(usable_per_mille))
    }
}

/// The grants collected under one token.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidacy {
    /// The token that is asked for.
    pub token: u64,
    /// By voter: until when its grant counts here.
    grants: BTreeMap<String, Timestamp>,
}

impl Candidacy {
    /// A candidacy that no voter has granted yet.
    pub fn new(token: u64) -> Candidacy {
        Candidacy { token, grants: BTreeMap::new() }
    }

    /// Records a grant by `voter` that was requested at `requested_at` under the terms in force then. Answers may come
    /// late and in any order; the latest request counts.
    pub fn record_grant(&mut self, voter: &str, requested_at: Timestamp, terms: LeaseTerms) {
        let expires_at = requested_at + terms.usable_length();
        let known = self.grants.entry(voter.to_owned()).or_insert(expires_at);
        *known = expires_at.max(*known);
    }

    /// When the lease ends; `None` while no majority has granted it.
    pub fn expires_at(&self, voters: &VoterSet) -> Option<Timestamp> {
        voters.majority_value(&self.grants)
    }

    /// Whether a majority's grants count at `now`.
    pub fn is_held(&self, voters: &VoterSet, now: Timestamp) -> bool {
        self.expires_at(voters).is_some_and(|expires_at| now < expires_at)
    }
}
