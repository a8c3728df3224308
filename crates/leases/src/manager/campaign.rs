//! Campaigns for roles that no gateway holds: when this gateway starts a campaign, how it counts votes, and when it
//! abandons the campaign.

use super::LeaseManager;
use super::hand_over::ReleaseNotice;
use super::output::{LeaseEventKind, Output};
use super::role_state::{Campaign, Holding, Phase};
use super::rounds::Round;
use crate::candidacy::Candidacy;
use crate::messages::Vote;
use larchfall_policy::time::{Duration, Timestamp};
use nanorand::Rng;

/// Delay between the campaigns of two successive gateways in the preference order, as a fraction of the lease length.
const STAGGER_LEASE_FRACTION: f64 = 0.2;
/// Pause after a campaign for a role that was handed over to this gateway, as a fraction of the renewal interval.
const HAND_OVER_PAUSE_FRACTION: f64 = 0.1;
/// Minimum pause after any other campaign, as a fraction of the renewal interval. A random time of up to one renewal
/// interval is added.
const MIN_PAUSE_FRACTION: f64 = 0.25;

/// What the candidate has to do after a vote.
enum VoteResult {
    /// Nothing: the vote was counted or ignored.
    Counted,
    /// The voter grants newer tokens only, and the candidate must request such a token.
    NewerTokenNeeded,
    /// A majority of voters has granted the role to another gateway.
    RefusedByMajority,
}

impl LeaseManager {
    /// Returns whether it is this gateway's turn to request a role. A role that was handed over to this gateway is
    /// requested immediately. A vacant role is requested after a delay that increases with the gateway's position in
    /// the preference order.
    pub(super) fn is_own_turn(&self, role: &str, now: Timestamp) -> bool {
        let Some(state) = self.roles.get(role) else { return false };
        if now < state.request_immediately_until {
            return true;
        }
        state.vacant_since.is_some_and(|vacant_since| {
            let order = self.preference_order(role, now);
            let position = order.into_iter().take_while(|name| *name != self.own_id.name).count();
            now >= vacant_since + self.terms().length * STAGGER_LEASE_FRACTION * position as f64
        })
    }

    /// Returns how long a campaign waits for votes. If a voter has granted the role to another gateway, votes may be
    /// split, and the campaign ends early so that one of the candidates can win. Otherwise the votes may be waiting for
    /// disk writes, which a new campaign with a new token would only start again.
    pub(super) fn campaign_length(&self, campaign: &Campaign) -> Duration {
        if campaign.refusing_voters.is_empty() { self.terms().length } else { self.renewal_interval() }
    }

    /// Ends a campaign without a majority. The grants are released so that another gateway can acquire the role.
    pub(super) fn abandon_campaign(&mut self, role: &str, now: Timestamp, output: &mut Output) {
        let hand_over_pause = self.renewal_interval() * HAND_OVER_PAUSE_FRACTION;
        let pause = self.renewal_interval() * (MIN_PAUSE_FRACTION + self.random.generate::<f64>());
        let Some(state) = self.roles.get_mut(role) else { return };
        let Phase::Campaigning(campaign) = &state.phase else { return };
        let token = campaign.candidacy.token;
        // A later campaign uses a newer token, since the release may reach a voter late.
        state.raise_highest_token(token);
        let pause = if now < state.request_immediately_until { hand_over_pause } else { pause };
        state.phase = Phase::Watching { not_before: now + pause };
        self.release_notices.push(ReleaseNotice::once(role, token));
        self.send_releases(output);
    }

    /// Counts the votes of one voter in a round.
    pub(super) fn on_votes(
        &mut self,
        voter_name: &str,
        round: Round,
        votes: &[Vote],
        now: Timestamp,
        output: &mut Output,
    ) {
        let mut newer_token_roles = Vec::new();
        for vote in votes {
            match self.count_vote(voter_name, round, vote, now, output) {
                VoteResult::Counted => {}
                VoteResult::NewerTokenNeeded => newer_token_roles.push(vote.role.clone()),
                VoteResult::RefusedByMajority => self.abandon_campaign(&vote.role, now, output),
            }
        }
        self.request_leases(&newer_token_roles, now, output);
    }

    fn count_vote(
        &mut self,
        voter_name: &str,
        round: Round,
        vote: &Vote,
        now: Timestamp,
        output: &mut Output,
    ) -> VoteResult {
        let voters = &self.settings.voters;
        let Some(state) = self.roles.get_mut(&vote.role) else { return VoteResult::Counted };
        state.raise_highest_token(vote.highest_token);
        match &mut state.phase {
            Phase::Watching { .. } => VoteResult::Counted,
            Phase::Campaigning(campaign) => {
                let candidacy = &mut campaign.candidacy;
                if candidacy.token == vote.token && vote.granted {
                    candidacy.record_grant(voter_name, round.requested_at, round.terms);
                    if candidacy.is_held(voters, now) {
                        let token = candidacy.token;
                        state.phase = Phase::Holding(Holding::new(candidacy.clone(), now));
                        state.request_immediately_until = Timestamp::default();
                        state.vacant_since = None;
                        output.report(&vote.role, LeaseEventKind::Acquired { token });
                    }
                } else if vote.needs_newer_token() && vote.highest_token >= candidacy.token {
                    // Voters that granted the old token to this gateway can also grant it a newer one.
                    *candidacy = Candidacy::new(vote.highest_token + 1);
                    return VoteResult::NewerTokenNeeded;
                } else if vote.held_by_other {
                    campaign.refusing_voters.insert(voter_name.to_owned());
                    if campaign.refusing_voters.len() * 2 > voters.all().len() {
                        return VoteResult::RefusedByMajority;
                    }
                }
                VoteResult::Counted
            }
            Phase::Holding(holding) => {
                if vote.granted
                    && let Some(candidacy) = holding.candidacy_with_token(vote.token)
                {
                    candidacy.record_grant(voter_name, round.requested_at, round.terms);
                }
                if let Some(acquired) = holding.next_candidacy.take_if(|next| next.is_held(voters, now)) {
                    let token = acquired.token;
                    holding.candidacy = acquired;
                    output.report(&vote.role, LeaseEventKind::Acquired { token });
                }
                // A voter that lost its state or has granted the role to another gateway in the meantime grants newer
                // tokens only.
                let newest_token = holding.newest_candidacy().token;
                let is_token_outdated = vote.token == newest_token && vote.highest_token >= newest_token;
                if vote.needs_newer_token() && is_token_outdated {
                    holding.next_candidacy = Some(Candidacy::new(vote.highest_token + 1));
                    return VoteResult::NewerTokenNeeded;
                }
                VoteResult::Counted
            }
        }
    }
}

impl Vote {
    /// Returns whether the voter would grant a newer token: the refusal isn't due to another lease holder.
    fn needs_newer_token(&self) -> bool {
        !self.granted && !self.held_by_other
    }
}
