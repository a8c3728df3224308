//! Finding out who holds what: voters are asked for their leases in turn.

use super::LeaseManager;
use super::output::{ListedLease, Output};
use super::role_state::RoleState;
use crate::messages::{LeaseInfo, Payload};
use larchfall_policy::time::{Duration, Timestamp};

/// Voters that are asked each time: two, so that one that is gone leaves no gateway without an answer.
const VOTERS_PER_LISTING: usize = 2;

impl LeaseManager {
    pub(super) fn request_listings(&mut self, output: &mut Output) {
        let all_voters = self.settings.voters.all();
        let others: Vec<&String> = all_voters.into_iter().filter(|name| **name != self.me.name).collect();
        for _ in 0..VOTERS_PER_LISTING.min(others.len()) {
            self.listed_voters = self.listed_voters.wrapping_add(1);
            output.send(others[self.listed_voters % others.len()], Payload::ListLeases { after: None });
        }
    }

    /// A page of a voter's leases: `complete` where no later ones follow.
    pub(super) fn on_leases(
        &mut self,
        voter: &str,
        after: Option<&str>,
        leases: &[LeaseInfo],
        complete: bool,
        now: Timestamp,
        output: &mut Output,
    ) {
        if !self.settings.voters.contains(voter) {
            return;
        }
        let last = leases.last().map(|lease| &lease.role).filter(|_| !complete);
        let covers = |role: &str| {
            after.is_none_or(|after| role > after) && last.is_none_or(|last| role <= last.as_str())
        };
        for (role, state) in self.roles.iter_mut().filter(|(role, _)| covers(role)) {
            state.on_listing(leases.iter().find(|lease| lease.role == *role), now);
        }
        if let Some(last) = last {
            output.send(voter, Payload::ListLeases { after: Some(last.clone()) });
        }
    }
}

impl RoleState {
    /// What one voter has granted of this role, if anything. A voter that knows of no lease is outweighed by another that
    /// does, as long as that lease lasts.
    fn on_listing(&mut self, lease: Option<&LeaseInfo>, now: Timestamp) {
        let running = self.listed_lease.as_ref().filter(|known| now < known.expires_at);
        match lease {
            Some(lease) => {
                if running.is_none_or(|known| known.token <= lease.token) {
                    let expires_at = now + Duration::from_micros(lease.remaining_us);
                    let holder = lease.holder.clone();
                    self.listed_lease = Some(ListedLease { holder, token: lease.token, expires_at });
                }
                self.vacant_since = None;
                self.raise_highest_token(lease.token);
            }
            None if running.is_none() => {
                self.listed_lease = None;
                self.vacant_since = self.vacant_since.or(Some(now));
            }
            None => {}
        }
    }
}
