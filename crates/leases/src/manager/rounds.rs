//! Rounds of requests to voters for new leases and renewals. Rounds are numbered so that a grant counts from the time
//! of its request.

use super::LeaseManager;
use super::output::Output;
use super::role_state::Phase;
use crate::candidacy::LeaseTerms;
use crate::messages::{Datagram, LeaseRequest, Payload, paginate};
use larchfall_policy::time::Timestamp;
use serde::Serialize;

/// Number of recent rounds whose votes are counted. Votes for older rounds are ignored.
const MAX_ROUNDS: usize = 32;
/// Time without an answer from any other voter, as a fraction of the lease length, after which a gateway requests no
/// leases. Voters may still receive its requests, and would grant leases that the gateway never learns of and no other
/// gateway can acquire.
const MAX_VOTER_SILENCE_LEASE_FRACTION: f64 = 0.75;

/// A round of requests that was sent to all voters.
#[derive(Clone, Copy)]
pub(super) struct Round {
    pub(super) number: u32,
    pub(super) requested_at: Timestamp,
    /// Lease terms in force when the requests were sent.
    pub(super) terms: LeaseTerms,
}

impl LeaseManager {
    /// Returns whether another gateway's voter has answered recently enough for this gateway to request leases.
    pub(super) fn hears_voters(&self, now: Timestamp) -> bool {
        now.since(self.voter_answered_at) < self.terms().length * MAX_VOTER_SILENCE_LEASE_FRACTION
    }

    pub(super) fn round(&self, number: u32) -> Option<Round> {
        self.rounds.iter().find(|round| round.number == number).copied()
    }

    /// Starts a round that requests the leases of these roles from all voters. Roles that this gateway neither
    /// campaigns for nor holds, and roles whose hand-over has started, are skipped.
    pub(super) fn request_leases(&mut self, roles: &[String], now: Timestamp, output: &mut Output) {
        let length_us = self.terms().length.micros();
        let to_request = |role: &String| {
            let token = match &self.roles.get(role)?.phase {
                Phase::Watching { .. } => return None,
                Phase::Holding(holding) if holding.ending.is_some() => return None,
                Phase::Campaigning(campaign) => campaign.candidacy.token,
                Phase::Holding(holding) => holding.newest_candidacy().token,
            };
            Some(LeaseRequest { role: role.clone(), token, length_us })
        };
        let requests: Vec<LeaseRequest> = roles.iter().filter_map(to_request).collect();
        if requests.is_empty() {
            return;
        }
        self.last_round = self.last_round.wrapping_add(1);
        let round = self.last_round;
        self.rounds.push_back(Round { number: round, requested_at: now, terms: self.terms() });
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.send_to_voters(requests, |requests| Payload::RequestLeases { round, requests }, output);
    }

    /// Sends a list of entries to all voters, split into as many messages as the datagram size requires.
    pub(super) fn send_to_voters<T: Serialize + Clone>(
        &self,
        entries: Vec<T>,
        payload: impl Fn(Vec<T>) -> Payload,
        output: &mut Output,
    ) {
        let empty = Datagram::new(&self.settings.cluster, &self.own_id, payload(Vec::new()));
        // Pages use two thirds of a datagram, since the answer to an entry is a little larger than the entry.
        for page in paginate(entries, empty.remaining_bytes() * 2 / 3) {
            for voter in self.settings.voters.all() {
                output.send(voter, payload(page.clone()));
            }
        }
    }
}
