//! Membership on the socket: what the package decides is sent, logged, and counted for the policy.

use super::Cluster;
use super::counters::increment;
use crate::state::{State, lock};
use larchfall_membership::datagram::{Datagram, DatagramError};
use larchfall_membership::member_update::MemberState;
use larchfall_membership::membership::{OutgoingDatagram, Output, Rejection};
use larchfall_policy::time::Timestamp;
use slog::{info, warn};
use std::net::SocketAddrV4;

/// A member's state in the words of the log and of the status pages.
pub(super) fn state_word(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspected => "suspected",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

impl Cluster {
    /// Sends and logs what came of a call to membership. No lock is held here.
    pub(super) fn apply_membership(&self, state: &State, effects: Output) {
        for change in effects.changes {
            let before = change.from.map_or("unknown", state_word);
            info!(state.log, "member changed"; "generation" => change.generation,
                "reason" => format!("{:?}", change.reason), "was" => before, "state" => state_word(change.to),
                "name" => change.name);
        }
        for OutgoingDatagram { to, datagram } in effects.datagrams {
            // Straight to the socket: a full buffer loses a datagram, as the network may, and holds nobody up.
            let sent = self.socket.inner().send_to(&datagram.encode(), to);
            increment(if sent.is_ok() { &self.counters.sent } else { &self.counters.unsent });
        }
    }

    /// Tells the policy when another number of gateways is to be counted.
    pub(super) fn update_gateway_count(&self, state: &State, now: Timestamp) {
        let Some(gateway_count) = &self.gateway_count else { return };
        let fleet = lock(&self.members).fleet_view();
        let mut gateway_count = lock(gateway_count);
        let count = gateway_count.fleet_size.observe(fleet, now);
        if count != std::mem::replace(&mut gateway_count.reported, count) {
            drop(gateway_count);
            state.policy.set_gateway_count(count);
            info!(state.log, "gateways counted"; "silent" => fleet.silent, "alive" => fleet.live, "count" => count);
        }
    }

    pub(super) fn on_membership_datagram(&self, state: &State, bytes: &[u8], from: SocketAddrV4) {
        let datagram = match Datagram::decode(bytes, &self.cluster_name) {
            Ok(datagram) => datagram,
            Err(error) => {
                return increment(match error {
                    DatagramError::Version(_) => &self.counters.other_version,
                    DatagramError::OtherCluster => &self.counters.other_cluster,
                    DatagramError::TooLong | DatagramError::Corrupt | DatagramError::Malformed => {
                        &self.counters.corrupt
                    }
                });
            }
        };
        let result = lock(&self.members).on_datagram(from, &datagram, state.clock.now());
        match result {
            Ok(effects) => self.apply_membership(state, effects),
            Err(Rejection::UnknownSender) => increment(&self.counters.unknown_senders),
            Err(Rejection::NameTaken) => {
                warn!(state.log, "membership ended, another process has this name and was started later");
                if let Some(leases) = &self.leases {
                    leases.on_name_taken(state, self);
                }
            }
        }
    }

    /// One line for membership as a whole, one for each member: its state, since when, and when it was heard.
    pub(super) fn log_members(&self, state: &State) {
        let now = state.clock.now();
        // Logged without the lock.
        let (table, health, version) = {
            let members = lock(&self.members);
            (members.members().clone(), members.health().score(), members.version())
        };
        info!(state.log, "membership"; "known" => table.len(), "version" => version, "own_health" => health);
        for (name, member) in &table {
            let heard = member.heard_at.map_or(-1.0, |time| now.since(time).secs());
            info!(state.log, "member"; "name" => name, "state" => state_word(member.status.state),
                "generation" => member.status.generation, "incarnation" => member.status.incarnation,
                "address" => member.info.address.to_string(), "zone" => &member.info.zone,
                "since_s" => now.since(member.since).secs(), "heard_s_ago" => heard);
        }
    }
}
