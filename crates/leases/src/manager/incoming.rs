//! Received messages, and the answers of this gateway's voter.

use super::LeaseManager;
use super::output::Output;
use super::role_state::Phase;
use crate::messages::{Datagram, LeaseRequest, MemberId, Payload, Vote, encoded_len};
use larchfall_policy::time::Timestamp;

/// Maximum number of messages that a gateway delivers to itself in one call of the manager.
const MAX_SELF_MESSAGES: usize = 256;

impl LeaseManager {
    /// Handles a message that was received from another gateway.
    pub fn on_message(&mut self, from: &MemberId, payload: &Payload, now: Timestamp) -> Output {
        let mut output = Output::default();
        let is_answer = matches!(payload, Payload::Votes { .. } | Payload::Leases { .. });
        if is_answer && self.settings.voters.contains(&from.name) {
            self.voter_answered_at = now;
        }
        self.handle(from, payload, now, &mut output);
        self.deliver_messages_to_self(now, &mut output);
        output
    }

    /// Handles the end of the write of [`Output::record_to_write`]. Votes that waited for the write are sent if it
    /// succeeded.
    pub fn on_record_written(&mut self, succeeded: bool, now: Timestamp) -> Output {
        let mut output = Output::default();
        let delayed_votes = self.voter.as_mut().map(|voter| voter.on_record_written(succeeded, now));
        for delayed in delayed_votes.unwrap_or_default() {
            let payload = Payload::Votes { round: delayed.round, votes: vec![delayed.vote] };
            output.send(&delayed.to.name, payload);
        }
        self.deliver_messages_to_self(now, &mut output);
        output
    }

    /// Handles messages that this gateway addressed to itself, such as requests to its own voter, without the network.
    /// Also adds the voter record that is to be written, if any.
    pub(super) fn deliver_messages_to_self(&mut self, now: Timestamp, output: &mut Output) {
        let own_id = self.own_id.clone();
        for _ in 0..MAX_SELF_MESSAGES {
            let Some(index) = output.messages.iter().position(|message| message.to == own_id.name) else {
                break;
            };
            let message = output.messages.swap_remove(index);
            self.handle(&own_id, &message.payload, now, output);
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
                self.answer_requests(from, *round, requests, now, output);
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
            Payload::ListLeases { after } => self.send_lease_page(from, after.as_deref(), now, output),
            Payload::Leases { after, leases, complete } => {
                self.on_leases(&from.name, after.as_deref(), leases, *complete, now, output);
            }
            // The gateway handles these messages outside of the lease manager, since they belong to the work of a role.
            Payload::LoadReports(_) | Payload::RequestQuotas { .. } | Payload::Quotas { .. } => {}
        }
    }

    fn answer_requests(
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

    /// Handles a hand-over: the previous lease holder has released the role for this gateway, which requests it
    /// immediately.
    fn on_hand_over(&mut self, role: &str, token: u64, now: Timestamp, output: &mut Output) {
        let request_immediately_until = now + self.terms().length;
        if !self.fit || self.leaving {
            return;
        }
        let Some(state) = self.roles.get_mut(role).filter(|state| !state.is_held()) else { return };
        state.raise_highest_token(token);
        state.request_immediately_until = request_immediately_until;
        state.listed_lease = None;
        // A campaign that is already running continues. If it fails because voters have not received the release yet,
        // this gateway starts another campaign after a short pause.
        if matches!(state.phase, Phase::Watching { .. }) {
            state.start_campaign(now);
            self.request_leases(&[role.to_owned()], now, output);
        }
    }

    /// Sends one page of the leases that this gateway's voter has granted, starting after the role `after`.
    fn send_lease_page(&self, to: &MemberId, after: Option<&str>, now: Timestamp, output: &mut Output) {
        let Some(voter) = self.voter.as_ref().filter(|voter| !voter.is_silent(now)) else { return };
        let page = |leases, complete| Payload::Leases { after: after.map(str::to_owned), leases, complete };
        let empty = Datagram::new(&self.settings.cluster, &self.own_id, page(Vec::new(), true));
        let mut remaining_bytes = empty.remaining_bytes();
        let mut leases = Vec::new();
        let mut complete = true;
        for lease in voter.leases_after(after, now) {
            let Some(bytes_after_lease) = remaining_bytes.checked_sub(encoded_len(&lease)) else {
                complete = false;
                break;
            };
            remaining_bytes = bytes_after_lease;
            leases.push(lease);
        }
        output.send(&to.name, page(leases, complete));
    }
}
