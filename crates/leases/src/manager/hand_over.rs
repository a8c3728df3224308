//! The end of held leases: by a hand-over to the next gateway, or because the lease has expired.

use super::output::{EndReason, LastEnd, LeaseEventKind, Output};
use super::role_state::{Ending, Phase};
use super::{LeaseManager, TimerCheck};
use crate::messages::{Payload, RoleToken};
use crate::spread;
use larchfall_policy::time::Timestamp;
use std::collections::BTreeSet;

/// Number of times that the release of a held lease is sent, since datagrams may be lost.
const RELEASE_SEND_COUNT: u32 = 3;

/// A release that is still to be sent to the voters.
#[derive(Clone, Debug)]
pub(super) struct ReleaseNotice {
    role: String,
    token: u64,
    remaining_sends: u32,
}

impl ReleaseNotice {
    /// Creates a notice that is sent only once.
    pub(super) fn once(role: &str, token: u64) -> ReleaseNotice {
        ReleaseNotice { role: role.to_owned(), token, remaining_sends: 1 }
    }
}

impl LeaseManager {
    /// Starts the hand-over of all held roles and stops requesting roles.
    pub fn leave(&mut self, now: Timestamp) -> Output {
        self.leaving = true;
        let mut output = Output::default();
        for role in self.role_names() {
            self.begin_hand_over(&role, EndReason::Leaving, now, &mut output);
        }
        output
    }

    /// Drops all leases and the voter immediately, without messages to other gateways, because another process uses
    /// this gateway's name.
    pub fn on_name_taken(&mut self, now: Timestamp) -> Output {
        self.leaving = true;
        self.voter = None;
        let mut output = Output::default();
        for role in self.role_names() {
            self.lose_role(&role, EndReason::NameTaken, now, &mut output);
        }
        output
    }

    /// Releases a role after [`LeaseEventKind::Ending`] was reported and all work under the role has stopped. Notifies
    /// the voters and the next lease holder.
    pub fn on_work_stopped(&mut self, role: &str, now: Timestamp) -> Output {
        let mut output = Output::default();
        let retry_at = now + self.terms().length;
        let Some(state) = self.roles.get_mut(role) else { return output };
        let Phase::Holding(holding) = &state.phase else { return output };
        let Some(Ending { reason, successor }) = holding.ending.clone() else { return output };
        let token = holding.candidacy.token;
        let newest_token = holding.newest_candidacy().token;
        state.raise_highest_token(newest_token);
        state.phase = Phase::Watching { not_before: retry_at };
        state.listed_lease = None;
        state.vacant_since = None;
        for token in BTreeSet::from([token, newest_token]) {
            let notice = ReleaseNotice { role: role.to_owned(), token, remaining_sends: RELEASE_SEND_COUNT };
            self.release_notices.push(notice);
        }
        self.send_releases(&mut output);
        if let Some(successor) = &successor {
            output.send(successor, Payload::HandOver { role: role.to_owned(), token });
        }
        output.report(role, LeaseEventKind::Released { token, successor });
        if reason == EndReason::RemovedFromSettings {
            self.roles.remove(role);
        }
        self.deliver_messages_to_self(now, &mut output);
        output
    }

    /// Starts the hand-over of a held role. The role is released after the caller has stopped all work under it
    /// ([`LeaseManager::on_work_stopped`]).
    pub(super) fn begin_hand_over(
        &mut self,
        role: &str,
        reason: EndReason,
        now: Timestamp,
        output: &mut Output,
    ) {
        let order = self.preference_order(role, now);
        let successor = order.into_iter().find(|name| *name != self.own_id.name).map(str::to_owned);
        let Some(state) = self.roles.get_mut(role) else { return };
        let Phase::Holding(holding) = &mut state.phase else { return };
        if holding.ending.is_some() {
            return;
        }
        holding.ending = Some(Ending { reason, successor: successor.clone() });
        state.last_end = Some(LastEnd { reason, ended_at: now });
        output.report(role, LeaseEventKind::Ending { token: holding.candidacy.token, reason, successor });
    }

    /// Gives up a role without a hand-over.
    fn lose_role(&mut self, role: &str, reason: EndReason, now: Timestamp, output: &mut Output) {
        let Some(state) = self.roles.get_mut(role) else { return };
        if let Phase::Holding(holding) = &state.phase {
            output.report(role, LeaseEventKind::Lost { token: holding.candidacy.token, reason });
            let newest_token = holding.newest_candidacy().token;
            state.raise_highest_token(newest_token);
            state.last_end = Some(LastEnd { reason, ended_at: now });
            state.listed_lease = None;
            state.vacant_since = Some(now);
        }
        state.phase = Phase::Watching { not_before: now };
    }

    /// Checks a held role: gives it up if its lease has expired, and starts its hand-over if there is a reason for one.
    pub(super) fn check_holding(&mut self, role: &str, check: TimerCheck, output: &mut Output) {
        let Some(state) = self.roles.get(role) else { return };
        let Phase::Holding(holding) = &state.phase else { return };
        if self.lease_end(holding, check.now).is_none_or(|lease_end| check.now >= lease_end) {
            // If an ending was reported before, all work had to stop before the lease expired.
            let reason = holding.ending.as_ref().map_or(EndReason::Expired, |ending| ending.reason);
            self.lose_role(role, reason, check.now, output);
            return;
        }
        let reason = if check.stalled {
            EndReason::Stalled
        } else if !self.fit {
            EndReason::Unfit
        } else if self.has_better_holder(role, holding.acquired_at, check.now) {
            EndReason::BetterHolder
        } else {
            return;
        };
        self.begin_hand_over(role, reason, check.now, output);
    }

    /// Returns whether another gateway should hold the role by the scores of the preference order. Checked only once
    /// per renewal, since ordering many gateways is the most expensive part of the timer.
    fn has_better_holder(&self, role: &str, held_since: Timestamp, now: Timestamp) -> bool {
        let min_hold_time = self.settings.min_hold_time;
        if now < self.next_renewal || now.since(held_since) < min_hold_time {
            return false;
        }
        let is_long_lived_other = |(name, since): &(&String, &Timestamp)| {
            **name != self.own_id.name && now.since(**since) >= min_hold_time
        };
        let others = self.live_members.iter().filter(is_long_lived_other).map(|(name, _)| name.as_str());
        spread::better_holder(role, &self.own_id.name, others, self.settings.better_holder_margin).is_some()
    }

    /// Sends all pending release notices to all voters.
    pub(super) fn send_releases(&mut self, output: &mut Output) {
        if self.release_notices.is_empty() {
            return;
        }
        let to_role_token =
            |notice: &ReleaseNotice| RoleToken { role: notice.role.clone(), token: notice.token };
        let tokens: Vec<RoleToken> = self.release_notices.iter().map(to_role_token).collect();
        for notice in &mut self.release_notices {
            notice.remaining_sends -= 1;
        }
        self.release_notices.retain(|notice| notice.remaining_sends > 0);
        self.send_to_voters(tokens, |tokens| Payload::Release { tokens }, output);
    }
}
