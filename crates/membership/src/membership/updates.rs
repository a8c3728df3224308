//! What this gateway believes: claims about members, refutations of claims about itself, and ended members that are
//! forgotten.

use super::output::{ChangeReason, MemberChange, Output};
use super::{Member, Membership};
use crate::local_health::HealthEvent;
use crate::member_update::{MemberInfo, MemberState, MemberStatus, MemberUpdate, refutation};
use crate::suspicion::Suspicion;
use larchfall_policy::time::Timestamp;

impl Membership {
    /// The one place where what is known of others changes: the claim that supersedes the other stays, and is passed on.
    pub(super) fn apply_update(
        &mut self,
        update: &MemberUpdate,
        reason: ChangeReason,
        now: Timestamp,
        output: &mut Output,
    ) {
        let MemberUpdate { name, status, info, .. } = update;
        if *name == self.me && reason != ChangeReason::Heard {
            self.refute(*status, info, now);
            return;
        }
        let known = self.members.get(name).map(|member| member.status);
        if known.is_none() && (self.members.len() >= self.settings.max_members || status.is_final()) {
            // Of a member that ended before it was heard of nothing need be known.
            return;
        }
        if known.is_some_and(|known| !status.supersedes(known)) {
            if known == Some(*status) {
                self.confirm_suspicion(update);
            }
            return;
        }
        self.record_change(update, known, reason, now, output);
        self.live_count -= usize::from(known.is_some_and(|known| !known.is_final()));
        self.live_count += usize::from(!status.is_final());
        if status.is_final() {
            self.next_forget = self.next_forget.min(now + self.settings.ended_retention);
        }
        self.version += 1;
        self.gossip.enqueue(name);
        if status.state == MemberState::Suspected {
            let reporter = update.reporter.clone().unwrap_or_default();
            let period = self.health.stretch(self.settings.probe_interval);
            let suspicion = Suspicion::new(reporter, self.live_count, period, now);
            self.suspicions.insert(name.clone(), suspicion);
        } else {
            self.suspicions.remove(name);
        }
    }

    /// The same claim from one more reporter.
    fn confirm_suspicion(&mut self, update: &MemberUpdate) {
        if let (Some(reporter), Some(suspicion)) = (&update.reporter, self.suspicions.get_mut(&update.name))
            && suspicion.confirm(reporter.clone())
        {
            self.gossip.enqueue(&update.name);
        }
    }

    fn record_change(
        &mut self,
        update: &MemberUpdate,
        known: Option<MemberStatus>,
        reason: ChangeReason,
        now: Timestamp,
        output: &mut Output,
    ) {
        let MemberUpdate { name, status, info, .. } = update;
        let member = self.members.entry(name.clone()).or_insert_with(|| Member {
            status: *status,
            info: info.clone(),
            state_since: now,
            last_heard_at: None,
        });
        let previous_state = known.map(|known| known.state);
        let is_new_generation = known.is_none_or(|known| known.generation != status.generation);
        if previous_state != Some(status.state) || is_new_generation {
            member.state_since = now;
            output.changes.push(MemberChange {
                name: name.clone(),
                previous_state,
                state: status.state,
                generation: status.generation,
                reason,
            });
        }
        if is_new_generation {
            member.last_heard_at = None;
        }
        member.status = *status;
        member.info = info.clone();
    }

    /// Answers what others claim of this gateway.
    fn refute(&mut self, claimed: MemberStatus, info: &MemberInfo, now: Timestamp) {
        let myself = self.own_entry();
        if claimed.generation > myself.status.generation && info.address != myself.info.address {
            self.name_taken = true;
            return;
        }
        let Some(status) = refutation(myself.status, claimed) else { return };
        if let Some(myself) = self.members.get_mut(&self.me) {
            myself.status = status;
            myself.state_since = now;
        }
        self.version += 1;
        self.health.record(HealthEvent::Refuted);
        self.gossip.enqueue(&self.me);
    }

    /// Declares members dead that did not refute a suspicion in time.
    pub(super) fn end_suspicions(&mut self, now: Timestamp, output: &mut Output) {
        let is_over = |suspicion: &Suspicion| suspicion.deadline() <= now;
        let over: Vec<String> =
            self.suspicions.iter().filter(|(_, s)| is_over(s)).map(|(name, _)| name.clone()).collect();
        for name in over {
            let Some(update) = self.update_about(&name) else { continue };
            let dead = MemberUpdate { status: update.status.with(MemberState::Dead), ..update };
            self.apply_update(&dead, ChangeReason::SuspicionTimeout, now, output);
        }
    }

    /// Forgets members that ended long enough ago.
    pub(super) fn forget_ended(&mut self, now: Timestamp) {
        if self.live_count == self.members.len() || now < self.next_forget {
            return;
        }
        let remember = self.settings.ended_retention;
        let count_before = self.members.len();
        let me = &self.me;
        self.members.retain(|name, member| {
            name == me || !member.status.is_final() || now.since(member.state_since) < remember
        });
        self.version += u64::from(count_before != self.members.len());
        let ended = self.members.values().filter(|member| member.status.is_final());
        self.next_forget = ended.map(|member| member.state_since + remember).min().unwrap_or(now);
    }
}
