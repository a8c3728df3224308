//! Probes: this gateway pings one member at a time. If the member does not acknowledge the ping, helpers ping it as well.

use super::output::{ChangeReason, Output};
use super::{Member, Membership};
use crate::datagram::Payload;
use crate::local_health::HealthEvent;
use crate::member_update::{MemberState, MemberUpdate};
use larchfall_policy::time::Timestamp;
use nanorand::Rng;
use std::net::SocketAddrV4;

/// Maximum number of pending pings on behalf of other members. Further ping requests are ignored.
const MAX_RELAYED_PROBES: usize = 64;

/// Probe that awaits an acknowledgement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Probe {
    sequence: u32,
    name: String,
    /// Time at which helpers are asked to ping the member.
    ask_helpers_at: Timestamp,
    deadline: Timestamp,
    helpers_asked: bool,
    nack_count: usize,
}

impl Probe {
    pub(super) fn next_timer(&self) -> Timestamp {
        if self.helpers_asked { self.deadline } else { self.ask_helpers_at }
    }
}

/// Ping that this gateway sent on behalf of another member's probe.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RelayedProbe {
    sequence: u32,
    /// Sequence number of the requester's probe.
    requested_sequence: u32,
    requested_by: SocketAddrV4,
    pub(super) deadline: Timestamp,
}

impl Membership {
    /// Starts a probe of the next member. Each member is probed once per round, in random order. Also pings some suspected
    /// members, so that a refutation can reach this gateway on more than one path.
    pub(super) fn start_probe(&mut self, now: Timestamp, output: &mut Output) {
        if self.probe.is_some() {
            return;
        }
        let mut suspected: Vec<String> = self.suspicions.keys().cloned().collect();
        self.random.shuffle(&mut suspected);
        // Limited so that the cost of a probe does not grow with the fleet size.
        suspected.truncate(self.settings.helper_count);
        for name in suspected {
            self.ping_member(&name, output);
        }
        let Some(name) = self.next_probe_target() else { return };
        let sequence = self.ping_member(&name, output);
        self.probe = Some(Probe {
            sequence,
            name,
            ask_helpers_at: now + self.health.scale_timeout(self.settings.probe_timeout),
            deadline: now + self.health.scale_timeout(self.settings.probe_interval),
            helpers_asked: false,
            nack_count: 0,
        });
    }

    fn ping_member(&mut self, name: &str, output: &mut Output) -> u32 {
        let to = self.members[name].info.address;
        let sequence = self.next_sequence();
        self.send_to_member(name, to, Payload::Ping { sequence }, output);
        sequence
    }

    /// Returns the next live member to probe and starts a new round if the current one is finished. Returns `None` if there
    /// is no other live member.
    fn next_probe_target(&mut self) -> Option<String> {
        let is_live = |member: &Member| !member.status.is_final();
        loop {
            while let Some(name) = self.probe_order.pop() {
                if self.members.get(&name).is_some_and(is_live) {
                    return Some(name);
                }
            }
            let others = self.live_members().map(|(name, _)| name).filter(|name| **name != self.own_name);
            let mut round: Vec<String> = others.cloned().collect();
            if round.is_empty() {
                return None;
            }
            self.random.shuffle(&mut round);
            self.probe_order = round;
        }
    }

    /// Asks helpers to ping the member if the acknowledgement is overdue, and fails the probe at its deadline.
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
        // Without a nack from any helper, this gateway's own network may be at fault.
        if probe.nack_count == 0 {
            self.health.record(HealthEvent::ProbeUnanswered);
        }
        let Some(update) = self.update_about(&probe.name).filter(|u| !u.status.is_final()) else { return };
        let status = update.status.with_state(MemberState::Suspected);
        let suspected = MemberUpdate { status, reporter: Some(self.own_name.clone()), ..update };
        self.apply_update(&suspected, ChangeReason::NoAnswer, now, output);
    }

    /// Pings a member on behalf of the probe of another gateway.
    pub(super) fn relay_probe(
        &mut self,
        requested_by: SocketAddrV4,
        requested_sequence: u32,
        address: SocketAddrV4,
        now: Timestamp,
        output: &mut Output,
    ) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES || !self.is_allowed_address(address) {
            return;
        }
        let sequence = self.next_sequence();
        let deadline = now + self.settings.probe_timeout;
        self.relayed_probes.push_back(RelayedProbe { sequence, requested_sequence, requested_by, deadline });
        self.send(address, Payload::Ping { sequence }, output);
    }

    pub(super) fn on_ack(&mut self, sequence: u32, output: &mut Output) {
        if self.probe.take_if(|probe| probe.sequence == sequence).is_some() {
            self.health.record(HealthEvent::ProbeAcked);
        }
        let relayed = self.relayed_probes.iter().position(|relayed| relayed.sequence == sequence);
        if let Some(relayed) = relayed.and_then(|index| self.relayed_probes.remove(index)) {
            let ack = Payload::Ack { sequence: relayed.requested_sequence };
            self.send(relayed.requested_by, ack, output);
        }
    }

    pub(super) fn on_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.nack_count += 1;
        }
    }

    /// Sends a nack to the requester of each ping that was not acknowledged in time.
    pub(super) fn expire_relayed_probes(&mut self, now: Timestamp, output: &mut Output) {
        while self.relayed_probes.front().is_some_and(|relayed| relayed.deadline <= now) {
            let Some(relayed) = self.relayed_probes.pop_front() else { return };
            let nack = Payload::Nack { sequence: relayed.requested_sequence };
            self.send(relayed.requested_by, nack, output);
        }
    }

    /// Extends suspicions and drops the current probe after this gateway stalled: a gateway that did not run received no
    /// datagrams, so missing replies do not count against other members.
    pub(super) fn postpone_after_stall(&mut self, now: Timestamp) {
        let late_by = now.since(self.next_timer());
        if late_by <= self.settings.probe_interval {
            return;
        }
        self.health.record(HealthEvent::Stalled);
        for suspicion in self.suspicions.values_mut() {
            suspicion.postpone(late_by);
        }
        // Acknowledgements may still be waiting in the socket, so the probe neither succeeds nor fails.
        self.probe = None;
        self.relayed_probes.clear();
        self.next_probe = now + self.settings.probe_timeout;
    }

    /// Returns up to `count` random live members other than this gateway and `excluded`.
    pub(super) fn random_live_members(&mut self, count: usize, excluded: Option<&str>) -> Vec<String> {
        let others = self.members.iter().filter(|(_, member)| !member.status.is_final());
        let names = others.map(|(name, _)| name).filter(|name| **name != self.own_name);
        let mut candidates: Vec<&String> = names.filter(|name| excluded != Some(name.as_str())).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !candidates.is_empty() {
            let index = self.random.generate_range(0..candidates.len());
            chosen.push(candidates.swap_remove(index).clone());
        }
        chosen
    }
}
