//! Asking for a role that nobody holds: when it is this gateway's turn, counting votes, giving up.

use super::LeaseManager;
use super::hand_over::ReleaseNotice;
use super::output::{LeaseEventKind, Output};
use super::role_state::{Campaign, Holding, Phase};
use super::rounds::Round;
use crate::candidacy::Candidacy;
use crate::messages::Vote;
use larchfall_policy::time::{Duration, Timestamp};
use nanorand::Rng;

/// How much later the next gateway in order asks, as a part of a lease.
const STAGGER_LEASE_FRACTION: f64 = 0.2;
/// Pause after a campaign for a role that was handed over, as a part of the renewal interval.
const EAGER_PAUSE: f64 = 0.1;
/// Shortest pause after any other campaign, likewise; a random part of up to one interval is added.
const MIN_PAUSE: f64 = 0.25;

/// What follows from a vote.
enum VoteResult {
    Counted,
    /// The voter takes newer tokens only: one is asked for.
    AskAgain,
    /// A majority refuses.
    Hopeless,
}

impl LeaseManager {
    /// Whether this gateway is to ask for a role that it watches: at once where it was handed over, else its position in
    /// order after it became vacant.
    pub(super) fn is_its_turn(&self, role: &str, now: Timestamp) -> bool {
        let Some(state) = self.roles.get(role) else { return false };
        if now < state.eager_until {
            return true;
        }
        state.vacant_since.is_some_and(|vacant_since| {
            let order = self.preference_order(role, now);
            let position = order.into_iter().take_while(|name| *name != self.me.name).count();
            now >= vacant_since + self.terms().length * STAGGER_LEASE_FRACTION * position as f64
        })
    }

    /// How long votes are waited for. Where another asks too, votes may be split, and both give way soon. Otherwise voters
    /// may wait for their disks, and a new token would only begin the wait anew.
    pub(super) fn campaign_length(&self, campaign: &Campaign) -> Duration {
        if campaign.refused_by.is_empty() { self.terms().length } else { self.renewal_interval() }
    }

    /// No majority: what was granted is given back, so that another may have it.
    pub(super) fn abandon_campaign(&mut self, role: &str, now: Timestamp, output: &mut Output) {
        let eager_pause = self.renewal_interval() * EAGER_PAUSE;
        let pause = self.renewal_interval() * (MIN_PAUSE + self.random.generate::<f64>());
        let Some(state) = self.roles.get_mut(role) else { return };
        let Phase::Campaigning(campaign) = &state.phase else { return };
        let token = campaign.candidacy.token;
        // Never asked for again: the release may reach a voter late.
        state.raise_highest_token(token);
        let pause = if now < state.eager_until { eager_pause } else { pause };
        state.phase = Phase::Watching { not_before: now + pause };
        self.release_notices.push(ReleaseNotice::once(role, token));
        self.send_releases(output);
    }

    /// Counts one voter's answers to a round.
    pub(super) fn on_votes(
        &mut self,
        voter: &str,
        round: Round,
        answers: &[Vote],
        now: Timestamp,
        output: &mut Output,
    ) {
        let mut ask_again = Vec::new();
        for vote in answers {
            match self.count_vote(voter, round, vote, now, output) {
                VoteResult::Counted => {}
                VoteResult::AskAgain => ask_again.push(vote.role.clone()),
                VoteResult::Hopeless => self.abandon_campaign(&vote.role, now, output),
            }
        }
        self.request_leases(&ask_again, now, output);
    }

    fn count_vote(
        &mut self,
        voter: &str,
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
                    candidacy.record_grant(voter, round.requested_at, round.terms);
                    if candidacy.is_held(voters, now) {
                        let token = candidacy.token;
                        state.phase = Phase::Holding(Holding::new(candidacy.clone(), now));
                        state.eager_until = Timestamp::default();
                        state.vacant_since = None;
                        output.report(&vote.role, LeaseEventKind::Acquired { token });
                    }
                } else if vote.needs_newer_token() && vote.highest_token >= candidacy.token {
                    // What was granted so far is this gateway's own, and may be granted anew.
                    *candidacy = Candidacy::new(vote.highest_token + 1);
                    return VoteResult::AskAgain;
                } else if vote.held_by_other {
                    campaign.refused_by.insert(voter.to_owned());
                    if campaign.refused_by.len() * 2 > voters.all().len() {
                        return VoteResult::Hopeless;
                    }
                }
                VoteResult::Counted
            }
            Phase::Holding(holding) => {
                if vote.granted
                    && let Some(candidacy) = holding.with_token(vote.token)
                {
                    candidacy.record_grant(voter, round.requested_at, round.terms);
                }
                if let Some(held) = holding.next_candidacy.take_if(|next| next.is_held(voters, now)) {
                    let token = held.token;
                    holding.candidacy = held;
                    output.report(&vote.role, LeaseEventKind::Acquired { token });
                }
                // A voter that lost its memory, or granted another gateway meanwhile, takes a newer token only.
                let newest_token = holding.newest().token;
                let is_outdated = vote.token == newest_token && vote.highest_token >= newest_token;
                if vote.needs_newer_token() && is_outdated {
                    holding.next_candidacy = Some(Candidacy::new(vote.highest_token + 1));
                    return VoteResult::AskAgain;
                }
                VoteResult::Counted
            }
        }
    }
}

impl Vote {
    fn needs_newer_token(&self) -> bool {
        !self.granted && !self.held_by_other
    }
}
