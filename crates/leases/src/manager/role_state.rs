//! What a gateway remembers of one role.

use super::output::{EndReason, LastEnd, ListedLease};
use crate::candidacy::Candidacy;
use larchfall_policy::time::Timestamp;
use std::collections::BTreeSet;

/// Where this gateway stands with a role.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// It is not asked for here.
    Watching { not_before: Timestamp },
    /// Votes are collected.
    Campaigning(Campaign),
    /// It is held here.
    Holding(Holding),
}

#[derive(Clone, Debug)]
pub(super) struct Campaign {
    pub(super) candidacy: Candidacy,
    pub(super) since: Timestamp,
    /// Voters at which another gateway holds it.
    pub(super) refused_by: BTreeSet<String>,
}

#[derive(Clone, Debug)]
pub(super) struct Holding {
    pub(super) candidacy: Candidacy,
    /// A newer token that is being collected while the present one still counts.
    pub(super) next_candidacy: Option<Candidacy>,
    pub(super) since: Timestamp,
    pub(super) ending: Option<Ending>,
}

/// A hand-over that waits until the work under the role has stopped.
#[derive(Clone, Debug)]
pub(super) struct Ending {
    pub(super) reason: EndReason,
    pub(super) successor: Option<String>,
}

impl Holding {
    pub(super) fn new(candidacy: Candidacy, since: Timestamp) -> Holding {
        Holding { candidacy, next_candidacy: None, since, ending: None }
    }

    /// The one to renew: once a newer token was asked for, the old one is not granted any more.
    pub(super) fn newest(&self) -> &Candidacy {
        self.next_candidacy.as_ref().unwrap_or(&self.candidacy)
    }

    pub(super) fn with_token(&mut self, token: u64) -> Option<&mut Candidacy> {
        let mut both = std::iter::once(&mut self.candidacy).chain(&mut self.next_candidacy);
        both.find(|candidacy| candidacy.token == token)
    }
}

#[derive(Clone, Debug)]
pub(super) struct RoleState {
    pub(super) phase: Phase,
    pub(super) listed_lease: Option<ListedLease>,
    /// Since when nobody is known to hold it.
    pub(super) vacant_since: Option<Timestamp>,
    /// The highest token heard of.
    pub(super) highest_token: u64,
    /// It was handed over to this gateway, which asks for it at once, again and again until then.
    pub(super) eager_until: Timestamp,
    pub(super) last_end: Option<LastEnd>,
}

impl RoleState {
    pub(super) fn new() -> RoleState {
        RoleState {
            phase: Phase::Watching { not_before: Timestamp::default() },
            listed_lease: None,
            vacant_since: None,
            highest_token: 0,
            eager_until: Timestamp::default(),
            last_end: None,
        }
    }

    /// Starts to ask for it, under a token above all that it heard of.
    pub(super) fn campaign(&mut self, now: Timestamp) {
        self.phase = Phase::Campaigning(Campaign {
            candidacy: Candidacy::new(self.highest_token + 1),
            since: now,
            refused_by: BTreeSet::new(),
        });
    }

    pub(super) fn is_held(&self) -> bool {
        matches!(self.phase, Phase::Holding(_))
    }

    pub(super) fn raise_highest_token(&mut self, token: u64) {
        self.highest_token = self.highest_token.max(token);
    }
}
