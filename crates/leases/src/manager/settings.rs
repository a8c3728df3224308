//! Settings of leased roles, and when new ones may replace those in force.

use crate::candidacy::LeaseTerms;
use crate::quorum::VoterSet;
use crate::voter::VoterLimits;
use larchfall_policy::time::Duration;
use std::collections::BTreeSet;

/// Settings of one gateway, from the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSettings {
    /// Name of the cluster; it stays as at the start.
    pub cluster: String,
    /// Who votes.
    pub voters: VoterSet,
    /// Terms of the leases that this gateway requests.
    pub terms: LeaseTerms,
    /// Limits of this gateway as a voter.
    pub voter_limits: VoterLimits,
    /// Roles that this gateway may hold.
    pub roles: BTreeSet<String>,
    /// A holder keeps a role at least this long, and a better one must have lived as long.
    pub min_hold_time: Duration,
    /// How much higher another's score has to be for it to be better, of a scale from 0 to 1.
    pub better_holder_margin: f64,
}

/// Why settings that were read again are rejected as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Two majorities could miss each other.
    #[error(
        "electors: a majority of these may miss one of those before: name both for a time, these as electors and those \
         as electors-before"
    )]
    MajoritiesMayNotIntersect,
    /// Voters were changed just now.
    #[error("electors: were changed just now; others may not have read it, and new ones are still silent")]
    VotersChangedRecently,
}
