//! Probes: one member at a time is pinged, by helpers as well where it does not answer.

use super::output::{ChangeReason, Output};
use super::{Member, Membership};
use crate::datagram::Payload;
use crate::local_health::HealthEvent;
use crate::member_update::{MemberState, MemberUpdate};
use larchfall_policy::time::Timestamp;
use nanorand::Rng;
use std::net::SocketAddrV4;

/// Pings for other members that are not over yet; requests beyond this many are ignored.
const MAX_RELAYED_PROBES: usize = 64;

/// The probe that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Probe {
    sequence: u32,
    name: String,
    /// When helpers are asked.
    ask_helpers_at: Timestamp,
    deadline: Timestamp,
    helpers_asked: bool,
    nacks: usize,
}

impl Probe {
    pub(super) fn next_timer(&self) -> Timestamp {
        if self.helpers_asked { self.deadline } else { self.ask_helpers_at }
    }
}

/// A ping for another member's probe.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RelayedProbe {
    sequence: u32,
    /// Number of the other member's probe.
    requested_sequence: u32,
    requested_by: SocketAddrV4,
    pub(super) deadline: Timestamp,
}

impl Membership {
    /// Pings the next member in turn, each once a round in a random order; and some that this gateway suspects, so that a
    /// refutation has more than one way here.
    pub(super) fn start_probe(&mut self, now: Timestamp, output: &mut Output) {
        if self.probe.is_some() {
            return;
        }
        let mut suspected: Vec<String> = self.suspicions.keys().cloned().collect();
        self.random.shuffle(&mut suspected);
        // A few of them: what a round costs must not grow with the fleet.
        suspected.truncate(self.settings.helper_count);
        for name in suspected {
            self.ping_member(&name, output);
        }
        let Some(name) = self.next_in_turn() else { return };
        let sequence = self.ping_member(&name, output);
        self.probe = Some(Probe {
            sequence,
            name,
            ask_helpers_at: now + self.health.stretch(self.settings.probe_timeout),
            deadline: now + self.health.stretch(self.settings.probe_interval),
            helpers_asked: false,
            nacks: 0,
        });
    }

    fn ping_member(&mut self, name: &str, output: &mut Output) -> u32 {
        let to = self.members[name].info.address;
        let sequence = self.next_sequence();
        self.send_to_member(name, to, Payload::Ping { sequence }, output);
        sequence
    }

    /// The next live member of the round; a new round begins where none is left. `None` where there is no other.
    fn next_in_turn(&mut self) -> Option<String> {
        let is_live = |member: &Member| !member.status.is_final();
        loop {
            while let Some(name) = self.probe_order.pop() {
                if self.members.get(&name).is_some_and(is_live) {
                    return Some(name);
                }
            }
            let others = self.live_members().map(|(name, _)| name).filter(|name| **name != self.me);
            let mut round: Vec<String> = others.cloned().collect();
            if round.is_empty() {
                return None;
            }
            self.random.shuffle(&mut round);
            self.probe_order = round;
        }
    }

    /// Asks helpers where the probe has no answer yet, and ends it at its deadline.
    pub(super) fn check_probe(&mut self, now: Timestamp, output: &mut Output) {
        let Some(mut probe) = self.probe.take() else { return };
        if now >= probe.deadline {
            self.on_probe_failed(&probe, now, output);
            return;
        }
        if !probe.helpers_asked
            && now >= probe.ask_helpers_at
            && let Some(address) = self.members.get(&probe.name).map(|member| member.info.address)
        {
            for helper in self.random_live_members(self.settings.helper_count, Some(&probe.name)) {
                let to = self.members[&helper].info.address;
                let name = probe.name.clone();
                self.send(to, Payload::PingRequest { sequence: probe.sequence, name, address }, output);
            }
            probe.helpers_asked = true;
        }
        self.probe = Some(probe);
    }

    fn on_probe_failed(&mut self, probe: &Probe, now: Timestamp, output: &mut Output) {
        // Helpers that say nothing at all leave it open whether this gateway's own network is at fault.
        if probe.nacks == 0 {
            self.health.record(HealthEvent::Unanswered);
        }
        let Some(update) = self.update_about(&probe.name).filter(|u| !u.status.is_final()) else { return };
        let status = update.status.with(MemberState::Suspected);
        let suspected = MemberUpdate { status, reporter: Some(self.me.clone()), ..update };
        self.apply_update(&suspected, ChangeReason::NoAnswer, now, output);
    }

    /// Pings a member for another one's probe.
    pub(super) fn relay_probe(
        &mut self,
        requested_by: SocketAddrV4,
        requested_sequence: u32,
        address: SocketAddrV4,
        now: Timestamp,
        output: &mut Output,
    ) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES || !self.may_send(address) {
            return;
        }
        let sequence = self.next_sequence();
        let deadline = now + self.settings.probe_timeout;
        self.relayed_probes.push_back(RelayedProbe { sequence, requested_sequence, requested_by, deadline });
        self.send(address, Payload::Ping { sequence }, output);
    }

    pub(super) fn on_ack(&mut self, sequence: u32, output: &mut Output) {
        if self.probe.take_if(|probe| probe.sequence == sequence).is_some() {
            self.health.record(HealthEvent::Acked);
        }
        let relayed = self.relayed_probes.iter().position(|relayed| relayed.sequence == sequence);
        if let Some(relayed) = relayed.and_then(|index| self.relayed_probes.remove(index)) {
            let ack = Payload::Ack { sequence: relayed.requested_sequence };
            self.send(relayed.requested_by, ack, output);
        }
    }

    pub(super) fn on_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.nacks += 1;
        }
    }

    /// Reports pings for other members that had no answer.
    pub(super) fn end_relayed_probes(&mut self, now: Timestamp, output: &mut Output) {
        while self.relayed_probes.front().is_some_and(|relayed| relayed.deadline <= now) {
            let Some(relayed) = self.relayed_probes.pop_front() else { return };
            let nack = Payload::Nack { sequence: relayed.requested_sequence };
            self.send(relayed.requested_by, nack, output);
        }
    }

    /// A gateway that stalled has heard nobody, and that says nothing of the others.
    pub(super) fn postpone_after_stall(&mut self, now: Timestamp) {
        let late_by = now.since(self.next_timer());
        if late_by <= self.settings.probe_interval {
            return;
        }
        self.health.record(HealthEvent::Stalled);
        for suspicion in self.suspicions.values_mut() {
            suspicion.postpone(late_by);
        }
        // Its answers may wait in the socket.
        self.probe = None;
        self.relayed_probes.clear();
        self.next_probe = now + self.settings.probe_timeout;
    }

    /// Some other live members at random, without `excluded`.
    pub(super) fn random_live_members(&mut self, count: usize, excluded: Option<&str>) -> Vec<String> {
        let others = self.members.iter().filter(|(_, member)| !member.status.is_final());
        let names = others.map(|(name, _)| name).filter(|name| **name != self.me);
        let mut candidates: Vec<&String> = names.filter(|name| excluded != Some(name.as_str())).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !candidates.is_empty() {
            let index = self.random.generate_range(0..candidates.len());
            chosen.push(candidates.swap_remove(index).clone());
        }
        chosen
    }
}
