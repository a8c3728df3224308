//! Maintains the member table: applies claims about members, refutes claims about this gateway, and removes ended members
//! after the retention time.

use super::output::{ChangeReason, MemberChange, Output};
use super::{Member, Membership};
use crate::local_health::HealthEvent;
use crate::member_update::{MemberInfo, MemberState, MemberStatus, MemberUpdate, refutation};
use crate::suspicion::Suspicion;
use larchfall_policy::time::Timestamp;

impl Membership {
    /// Applies a claim if it supersedes the known status of the member, and queues the change for gossip. All status
    /// changes of other members go through this method.
    pub(super) fn apply_update(
        &mut self,
        update: &MemberUpdate,
        reason: ChangeReason,
        now: Timestamp,
        output: &mut Output,
    ) {
        let MemberUpdate { name, status, info, .. } = update;
        if *name == self.own_name && reason != ChangeReason::Heard {
            self.refute(*status, info, now);
            return;
        }
        let known = self.members.get(name).map(|member| member.status);
        if known.is_none() && (self.members.len() >= self.settings.max_members || status.is_final()) {
            // The table needs no entry for a member that ended before this gateway learned of the member.
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
            self.next_expiry = self.next_expiry.min(now + self.settings.ended_retention);
        }
        self.version += 1;
        self.gossip.enqueue(name);
        if status.state == MemberState::Suspected {
            let reporter = update.reporter.clone().unwrap_or_default();
            let interval = self.health.scale_timeout(self.settings.probe_interval);
            let suspicion = Suspicion::new(reporter, self.live_count, interval, now);
            self.suspicions.insert(name.clone(), suspicion);
        } else {
            self.suspicions.remove(name);
        }
    }

    /// Adds the reporter of a suspicion that is already known.
    fn confirm_suspicion(&mut self, update: &MemberUpdate) {
        if let (Some(reporter), Some(suspicion)) = (&update.reporter, self.suspicions.get_mut(&update.name))
            && suspicion.add_reporter(reporter.clone())
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

    /// Refutes a claim of another gateway about this gateway, or detects that another process took over the name.
    fn refute(&mut self, claim: MemberStatus, info: &MemberInfo, now: Timestamp) {
        let own_entry = self.own_entry();
        if claim.generation > own_entry.status.generation && info.address != own_entry.info.address {
            self.name_taken = true;
            return;
        }
        let Some(status) = refutation(own_entry.status, claim) else { return };
        if let Some(own_entry) = self.members.get_mut(&self.own_name) {
            own_entry.status = status;
            own_entry.state_since = now;
        }
        self.version += 1;
        self.health.record(HealthEvent::ClaimRefuted);
        self.gossip.enqueue(&self.own_name);
    }

    /// Declares suspected members dead that did not refute the suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Timestamp, output: &mut Output) {
        let is_expired = |suspicion: &Suspicion| suspicion.deadline() <= now;
        let expired: Vec<String> =
            self.suspicions.iter().filter(|(_, s)| is_expired(s)).map(|(name, _)| name.clone()).collect();
        for name in expired {
            let Some(update) = self.update_about(&name) else { continue };
            let dead = MemberUpdate { status: update.status.with_state(MemberState::Dead), ..update };
            self.apply_update(&dead, ChangeReason::SuspicionTimeout, now, output);
        }
    }

    /// Removes members that ended at least `ended_retention` ago.
    pub(super) fn remove_expired_members(&mut self, now: Timestamp) {
        if self.live_count == self.members.len() || now < self.next_expiry {
            return;
        }
        let retention = self.settings.ended_retention;
        let count_before = self.members.len();
        let own_name = &self.own_name;
        self.members.retain(|name, member| {
            name == own_name || !member.status.is_final() || now.since(member.state_since) < retention
        });
        self.version += u64::from(count_before != self.members.len());
        let ended = self.members.values().filter(|member| member.status.is_final());
        self.next_expiry = ended.map(|member| member.state_since + retention).min().unwrap_or(now);
    }
}
