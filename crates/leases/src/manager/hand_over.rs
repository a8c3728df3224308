//! Giving up roles: in order, with a hand-over to the next gateway, or because the lease is over.

use super::output::{EndReason, LastEnd, LeaseEventKind, Output};
use super::role_state::{Ending, Phase};
use super::{LeaseManager, TimerCheck};
use crate::messages::{Payload, RoleToken};
use crate::spread;
use larchfall_policy::time::Timestamp;
use std::collections::BTreeSet;

/// Times that a release is sent: datagrams are lost.
const RELEASE_SENDS: u32 = 3;

/// A release that voters are still to be told of.
#[derive(Clone, Debug)]
pub(super) struct ReleaseNotice {
    role: String,
    token: u64,
    remaining_sends: u32,
}

impl ReleaseNotice {
    /// One that is sent once.
    pub(super) fn once(role: &str, token: u64) -> ReleaseNotice {
        ReleaseNotice { role: role.to_owned(), token, remaining_sends: 1 }
    }
}

impl LeaseManager {
    /// Hands over every role and asks for no more.
    pub fn leave(&mut self, now: Timestamp) -> Output {
        self.leaving = true;
        let mut output = Output::default();
        for role in self.role_names() {
            self.begin_hand_over(&role, EndReason::Leaving, now, &mut output);
        }
        output
    }

    /// Another process has this gateway's name: nothing more is done or said under it.
    pub fn on_name_taken(&mut self, now: Timestamp) -> Output {
        self.leaving = true;
        self.voter = None;
        let mut output = Output::default();
        for role in self.role_names() {
            self.lose(&role, EndReason::NameTaken, now, &mut output);
        }
        output
    }

    /// No work runs any more under a role whose lease was [`LeaseEventKind::Ending`]: it is released, and the successor is
    /// told.
    pub fn on_work_stopped(&mut self, role: &str, now: Timestamp) -> Output {
        let mut output = Output::default();
        let retry_at = now + self.terms().length;
        let Some(state) = self.roles.get_mut(role) else { return output };
        let Phase::Holding(holding) = &state.phase else { return output };
        let Some(Ending { reason, successor }) = holding.ending.clone() else { return output };
        let token = holding.candidacy.token;
        let newest_token = holding.newest().token;
        state.raise_highest_token(newest_token);
        state.phase = Phase::Watching { not_before: retry_at };
        state.listed_lease = None;
        state.vacant_since = None;
        for token in BTreeSet::from([token, newest_token]) {
            let notice = ReleaseNotice { role: role.to_owned(), token, remaining_sends: RELEASE_SENDS };
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
        self.deliver_own_messages(now, &mut output);
        output
    }

    /// Ends work under a role that is held; it is released once that has stopped.
    pub(super) fn begin_hand_over(
        &mut self,
        role: &str,
        reason: EndReason,
        now: Timestamp,
        output: &mut Output,
    ) {
        let order = self.preference_order(role, now);
        let successor = order.into_iter().find(|name| *name != self.me.name).map(str::to_owned);
        let Some(state) = self.roles.get_mut(role) else { return };
        let Phase::Holding(holding) = &mut state.phase else { return };
        if holding.ending.is_some() {
            return;
        }
        holding.ending = Some(Ending { reason, successor: successor.clone() });
        state.last_end = Some(LastEnd { reason, ended_at: now });
        output.report(role, LeaseEventKind::Ending { token: holding.candidacy.token, reason, successor });
    }

    fn lose(&mut self, role: &str, reason: EndReason, now: Timestamp, output: &mut Output) {
        let Some(state) = self.roles.get_mut(role) else { return };
        if let Phase::Holding(holding) = &state.phase {
            output.report(role, LeaseEventKind::Lost { token: holding.candidacy.token, reason });
            let newest_token = holding.newest().token;
            state.raise_highest_token(newest_token);
            state.last_end = Some(LastEnd { reason, ended_at: now });
            state.listed_lease = None;
            state.vacant_since = Some(now);
        }
        state.phase = Phase::Watching { not_before: now };
    }

    /// Notices that a held lease is over, or that it is to be handed over.
    pub(super) fn check_holding(&mut self, role: &str, check: TimerCheck, output: &mut Output) {
        let Some(state) = self.roles.get(role) else { return };
        let Phase::Holding(holding) = &state.phase else { return };
        if self.lease_end(holding, check.now).is_none_or(|lease_end| check.now >= lease_end) {
            // An ending was reported before: whatever ran under it had to be over by now.
            let reason = holding.ending.as_ref().map_or(EndReason::Expired, |ending| ending.reason);
            self.lose(role, reason, check.now, output);
            return;
        }
        let reason = if check.stalled {
            EndReason::Stalled
        } else if !self.fit {
            EndReason::Unfit
        } else if self.has_better_holder(role, holding.since, check.now) {
            EndReason::BetterHolder
        } else {
            return;
        };
        self.begin_hand_over(role, reason, check.now, output);
    }

    /// Checked as often as leases are renewed: ordering many gateways costs more than all else here.
    fn has_better_holder(&self, role: &str, held_since: Timestamp, now: Timestamp) -> bool {
        let min_hold_time = self.settings.min_hold_time;
        if now < self.next_renewal || now.since(held_since) < min_hold_time {
            return false;
        }
        let is_settled_other = |(name, since): &(&String, &Timestamp)| {
            **name != self.me.name && now.since(**since) >= min_hold_time
        };
        let others = self.live_members.iter().filter(is_settled_other).map(|(name, _)| name.as_str());
        spread::better_holder(role, &self.me.name, others, self.settings.better_holder_margin).is_some()
    }

    /// Tells all voters what was released.
    pub(super) fn send_releases(&mut self, output: &mut Output) {
        if self.release_notices.is_empty() {
            return;
        }
        let released = |notice: &ReleaseNotice| RoleToken { role: notice.role.clone(), token: notice.token };
        let tokens: Vec<RoleToken> = self.release_notices.iter().map(released).collect();
        for notice in &mut self.release_notices {
            notice.remaining_sends -= 1;
        }
        self.release_notices.retain(|notice| notice.remaining_sends > 0);
        self.send_to_voters(tokens, |tokens| Payload::Release { tokens }, output);
    }
}
