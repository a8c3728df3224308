//! State that a gateway keeps for one role.

use super::output::{EndReason, LastEnd, ListedLease};
use crate::candidacy::Candidacy;
use larchfall_policy::time::Timestamp;
use std::collections::BTreeSet;

/// Phase of this gateway with respect to a role.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// This gateway doesn't request the role, and starts no campaign before `not_before`.
    Watching { not_before: Timestamp },
    /// This gateway has requested the role and collects votes.
    Campaigning(Campaign),
    /// This gateway holds the role.
    Holding(Holding),
}

/// An attempt to acquire a role, which may use several tokens one after the other.
#[derive(Clone, Debug)]
pub(super) struct Campaign {
    pub(super) candidacy: Candidacy,
    pub(super) started_at: Timestamp,
    /// Voters that have granted the role to another gateway.
    pub(super) refusing_voters: BTreeSet<String>,
}

/// A role that this gateway holds.
#[derive(Clone, Debug)]
pub(super) struct Holding {
    pub(super) candidacy: Candidacy,
    /// Candidacy under a newer token, which collects grants while the lease of the current token is still in force.
    pub(super) next_candidacy: Option<Candidacy>,
    pub(super) acquired_at: Timestamp,
    /// The hand-over of the role, if it has started.
    pub(super) ending: Option<Ending>,
}

/// A hand-over that waits until all work under the role has stopped.
#[derive(Clone, Debug)]
pub(super) struct Ending {
    pub(super) reason: EndReason,
    pub(super) successor: Option<String>,
}

impl Holding {
    pub(super) fn new(candidacy: Candidacy, acquired_at: Timestamp) -> Holding {
        Holding { candidacy, next_candidacy: None, acquired_at, ending: None }
    }

    /// Returns the candidacy to renew. Once a newer token has been requested, voters no longer grant the old token.
    pub(super) fn newest_candidacy(&self) -> &Candidacy {
        self.next_candidacy.as_ref().unwrap_or(&self.candidacy)
    }

    /// Returns the current or the next candidacy if it has this token.
    pub(super) fn candidacy_with_token(&mut self, token: u64) -> Option<&mut Candidacy> {
        let mut candidacies = std::iter::once(&mut self.candidacy).chain(&mut self.next_candidacy);
        candidacies.find(|candidacy| candidacy.token == token)
    }
}

#[derive(Clone, Debug)]
pub(super) struct RoleState {
    pub(super) phase: Phase,
    /// Lease with the highest token that a voter has listed. It may have expired.
    pub(super) listed_lease: Option<ListedLease>,
    /// Since when no gateway is known to hold the role.
    pub(super) vacant_since: Option<Timestamp>,
    /// Highest fencing token of the role that this gateway has received or used.
    pub(super) highest_token: u64,
    /// End of the time in which this gateway requests a role that was handed over to it without waiting for its turn.
    pub(super) request_immediately_until: Timestamp,
    pub(super) last_end: Option<LastEnd>,
}

impl RoleState {
    pub(super) fn new() -> RoleState {
        RoleState {
            phase: Phase::Watching { not_before: Timestamp::default() },
            listed_lease: None,
            vacant_since: None,
            highest_token: 0,
            request_immediately_until: Timestamp::default(),
            last_end: None,
        }
    }

    /// Starts a campaign under a token above the highest known token.
    pub(super) fn start_campaign(&mut self, now: Timestamp) {
        self.phase = Phase::Campaigning(Campaign {
            candidacy: Candidacy::new(self.highest_token + 1),
            started_at: now,
            refusing_voters: BTreeSet::new(),
        });
    }

    pub(super) fn is_held(&self) -> bool {
        matches!(self.phase, Phase::Holding(_))
    }

    pub(super) fn raise_highest_token(&mut self, token: u64) {
        self.highest_token = self.highest_token.max(token);
    }
}
