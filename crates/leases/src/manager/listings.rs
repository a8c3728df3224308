//! Lease listings: this gateway asks the voters in turn which leases they have granted, to learn the holder of each
//! role.

use super::LeaseManager;
use super::output::{ListedLease, Output};
use super::role_state::RoleState;
use crate::messages::{LeaseInfo, Payload};
use larchfall_policy::time::{Duration, Timestamp};

/// Number of voters that are asked for their leases each time. With two, one unreachable voter leaves no gateway
/// without an answer.
const VOTERS_PER_LISTING: usize = 2;

impl LeaseManager {
    pub(super) fn request_listings(&mut self, output: &mut Output) {
        let all_voters = self.settings.voters.all();
        let others: Vec<&String> = all_voters.into_iter().filter(|name| **name != self.own_id.name).collect();
        for _ in 0..VOTERS_PER_LISTING.min(others.len()) {
            self.listing_requests = self.listing_requests.wrapping_add(1);
            output.send(others[self.listing_requests % others.len()], Payload::ListLeases { after: None });
        }
    }

    /// Handles one page of a voter's leases and requests the next page unless the listing is `complete`.
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
        let last_role = leases.last().map(|lease| &lease.role).filter(|_| !complete);
        let is_on_page = |role: &str| {
            after.is_none_or(|after| role > after) && last_role.is_none_or(|last| role <= last.as_str())
        };
        for (role, state) in self.roles.iter_mut().filter(|(role, _)| is_on_page(role)) {
            state.update_listed_lease(leases.iter().find(|lease| lease.role == *role), now);
        }
        if let Some(last_role) = last_role {
            output.send(voter, Payload::ListLeases { after: Some(last_role.clone()) });
        }
    }
}

impl RoleState {
    /// Updates the known lease of the role from a listing; `lease` is `None` if the voter lists no lease of the role. A
    /// lease that any voter has listed is kept until it expires or a newer token is listed, even if other voters list
    /// no lease.
    fn update_listed_lease(&mut self, lease: Option<&LeaseInfo>, now: Timestamp) {
        let unexpired = self.listed_lease.as_ref().filter(|listed| now < listed.expires_at);
        match lease {
            Some(lease) => {
                if unexpired.is_none_or(|listed| listed.token <= lease.token) {
                    let expires_at = now + Duration::from_micros(lease.remaining_us);
                    let holder = lease.holder.clone();
                    self.listed_lease = Some(ListedLease { holder, token: lease.token, expires_at });
                }
                self.vacant_since = None;
                self.raise_highest_token(lease.token);
            }
            None if unexpired.is_none() => {
                self.listed_lease = None;
                self.vacant_since = self.vacant_since.or(Some(now));
            }
            None => {}
        }
    }
}
