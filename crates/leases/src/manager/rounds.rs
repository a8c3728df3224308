//! Requests to voters: new leases and renewals, numbered so that answers count from when they were requested.

use super::LeaseManager;
use super::output::Output;
use super::role_state::Phase;
use crate::candidacy::LeaseTerms;
use crate::messages::{Datagram, LeaseRequest, Payload, paginate};
use larchfall_policy::time::Timestamp;
use serde::Serialize;

/// Rounds whose answers count; answers to older ones are ignored.
const MAX_ROUNDS: usize = 32;
/// A gateway that heard no voter for this part of a lease asks for nothing: it may still be heard itself, and would keep
/// from others what it does not know to be its own.
const MAX_SILENCE_LEASE_FRACTION: f64 = 0.75;

/// A request that was sent to all voters.
#[derive(Clone, Copy)]
pub(super) struct Round {
    pub(super) number: u32,
    pub(super) requested_at: Timestamp,
    /// The terms in force then.
    pub(super) terms: LeaseTerms,
}

impl LeaseManager {
    pub(super) fn hears_voters(&self, now: Timestamp) -> bool {
        now.since(self.voters_heard_at) < self.terms().length * MAX_SILENCE_LEASE_FRACTION
    }

    pub(super) fn round(&self, number: u32) -> Option<Round> {
        self.rounds.iter().find(|round| round.number == number).copied()
    }

    /// Asks all voters for the leases of these roles, where this gateway wants or holds them.
    pub(super) fn request_leases(&mut self, roles: &[String], now: Timestamp, output: &mut Output) {
        let length_us = self.terms().length.micros();
        let request = |role: &String| {
            let token = match &self.roles.get(role)?.phase {
                Phase::Watching { .. } => return None,
                Phase::Holding(holding) if holding.ending.is_some() => return None,
                Phase::Campaigning(campaign) => campaign.candidacy.token,
                Phase::Holding(holding) => holding.newest().token,
            };
            Some(LeaseRequest { role: role.clone(), token, length_us })
        };
        let requests: Vec<LeaseRequest> = roles.iter().filter_map(request).collect();
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

    /// Sends a list to all voters, in as many pages as it needs.
    pub(super) fn send_to_voters<T: Serialize + Clone>(
        &self,
        entries: Vec<T>,
        payload: impl Fn(Vec<T>) -> Payload,
        output: &mut Output,
    ) {
        let empty = Datagram::new(&self.settings.cluster, &self.me, payload(Vec::new()));
        // Each entry's answer is a little larger.
        for page in paginate(entries, empty.remaining_bytes() * 2 / 3) {
            for voter in self.settings.voters.all() {
                output.send(voter, payload(page.clone()));
            }
        }
    }
}
