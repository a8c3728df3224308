//! Messages as they come in, and this gateway's answers as a voter.

use super::LeaseManager;
use super::output::Output;
use super::role_state::Phase;
use crate::messages::{Datagram, LeaseRequest, MemberId, Payload, Vote, encoded_len};
use larchfall_policy::time::Timestamp;

/// Messages that a gateway may send itself in one call.
const MAX_OWN_MESSAGES: usize = 256;

impl LeaseManager {
    /// Takes in a message of another gateway.
    pub fn on_message(&mut self, from: &MemberId, payload: &Payload, now: Timestamp) -> Output {
        let mut output = Output::default();
        let is_answer = matches!(payload, Payload::Votes { .. } | Payload::Leases { .. });
        if is_answer && self.settings.voters.contains(&from.name) {
            self.voters_heard_at = now;
        }
        self.handle(from, payload, now, &mut output);
        self.deliver_own_messages(now, &mut output);
        output
    }

    /// The write of [`Output::record_to_write`] ended.
    pub fn on_record_written(&mut self, succeeded: bool, now: Timestamp) -> Output {
        let mut output = Output::default();
        let delayed = self.voter.as_mut().map(|voter| voter.on_record_written(succeeded, now));
        for answer in delayed.unwrap_or_default() {
            let payload = Payload::Votes { round: answer.round, votes: vec![answer.vote] };
            output.send(&answer.to.name, payload);
        }
        self.deliver_own_messages(now, &mut output);
        output
    }

    /// A voter asks itself like any other, without the network between.
    pub(super) fn deliver_own_messages(&mut self, now: Timestamp, output: &mut Output) {
        let me = self.me.clone();
        for _ in 0..MAX_OWN_MESSAGES {
            let Some(own) = output.messages.iter().position(|message| message.to == me.name) else { break };
            let message = output.messages.swap_remove(own);
            self.handle(&me, &message.payload, now, output);
        }
        if let Some(voter) = &mut self.voter
            && output.record_to_write.is_none()
        {
            output.record_to_write = voter.take_record_to_write();
        }
    }

    fn handle(&mut self, from: &MemberId, payload: &Payload, now: Timestamp, output: &mut Output) {
        match payload {
            Payload::RequestLeases { round, requests } => {
                self.vote(from, *round, requests, now, output);
            }
            Payload::Votes { round, votes } => {
                let round = self.round(*round).filter(|_| self.settings.voters.contains(&from.name));
                if let Some(round) = round {
                    self.on_votes(&from.name, round, votes, now, output);
                }
            }
            Payload::Release { tokens } => {
                let Some(voter) = &mut self.voter else { return };
                for released in tokens {
                    voter.on_release(from, &released.role, released.token);
                }
            }
            Payload::HandOver { role, token } => self.on_hand_over(role, *token, now, output),
            Payload::ListLeases { after } => self.list_leases(from, after.as_deref(), now, output),
            Payload::Leases { after, leases, complete } => {
                self.on_leases(&from.name, after.as_deref(), leases, *complete, now, output);
            }
            // These are about work under roles, not about who holds them.
            Payload::LoadReports(_) | Payload::RequestQuotas { .. } | Payload::Quotas { .. } => {}
        }
    }

    fn vote(
        &mut self,
        candidate: &MemberId,
        round: u32,
        requests: &[LeaseRequest],
        now: Timestamp,
        output: &mut Output,
    ) {
        let Some(voter) = &mut self.voter else { return };
        let answers: Vec<Vote> =
            requests.iter().filter_map(|request| voter.on_request(candidate, request, round, now)).collect();
        if !answers.is_empty() {
            output.send(&candidate.name, Payload::Votes { round, votes: answers });
        }
    }

    /// The holder hands a role over to this gateway.
    fn on_hand_over(&mut self, role: &str, token: u64, now: Timestamp, output: &mut Output) {
        let eager_until = now + self.terms().length;
        if !self.fit || self.leaving {
            return;
        }
        let Some(state) = self.roles.get_mut(role).filter(|state| !state.is_held()) else { return };
        state.raise_highest_token(token);
        state.eager_until = eager_until;
        state.listed_lease = None;
        // One that asks already goes on, and asks again soon if it came too early.
        if matches!(state.phase, Phase::Watching { .. }) {
            state.campaign(now);
            self.request_leases(&[role.to_owned()], now, output);
        }
    }

    /// Sends a page of the leases that this voter has granted.
    fn list_leases(&self, to: &MemberId, after: Option<&str>, now: Timestamp, output: &mut Output) {
        let Some(voter) = self.voter.as_ref().filter(|voter| !voter.is_silent(now)) else { return };
        let page = |leases, complete| Payload::Leases { after: after.map(str::to_owned), leases, complete };
        let empty = Datagram::new(&self.settings.cluster, &self.me, page(Vec::new(), true));
        let mut remaining = empty.remaining_bytes();
        let mut leases = Vec::new();
        let mut complete = true;
        for lease in voter.leases_after(after, now) {
            let Some(left) = remaining.checked_sub(encoded_len(&lease)) else {
                complete = false;
                break;
            };
            remaining = left;
            leases.push(lease);
        }
        output.send(&to.name, page(leases, complete));
    }
}
