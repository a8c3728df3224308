//! Settings of leased roles, and the reasons to reject reloaded settings.

use crate::candidacy::LeaseTerms;
use crate::quorum::VoterSet;
use crate::voter::VoterLimits;
use larchfall_policy::time::Duration;
use std::collections::BTreeSet;

/// Lease settings of one gateway, from the operator's configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSettings {
    /// Name of the cluster. A reload doesn't change it.
    pub cluster: String,
    /// Gateways that grant leases.
    pub voters: VoterSet,
    /// Terms of the leases that this gateway requests.
    pub terms: LeaseTerms,
    /// Limits of the leases that this gateway grants if it is a voter.
    pub voter_limits: VoterLimits,
    /// Names of the roles that this gateway may hold.
    pub roles: BTreeSet<String>,
    /// Minimum time that a gateway holds a role before it hands the role over to a better holder. The better holder
    /// must have been alive for the same time.
    pub min_hold_time: Duration,
    /// Minimum difference by which the score of a better holder must exceed the lease holder's score. Scores are from 0
    /// to 1.
    pub better_holder_margin: f64,
}

/// Reasons to reject reloaded settings as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A majority of the new voters and a majority of the previous voters may have no voter in common.
    #[error(
        "electors: a majority of the new voters may have no voter in common with a majority of the previous voters; \
         list the new voters in electors and the previous voters in electors-before until the change is complete"
    )]
    MajoritiesMayNotIntersect,
    /// The voters were changed within the last three longest lease lengths.
    #[error(
        "electors: voters were changed too recently; other gateways may not have read the last change, and new voters \
         may still be silent; wait for three times longest-ms between changes"
    )]
    VotersChangedRecently,
}
