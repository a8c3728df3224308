//! Connects the membership protocol to the cluster socket, the log and the gateway count of the policy.

use super::Cluster;
use super::counters::increment;
use crate::state::{State, lock};
use larchfall_membership::datagram::{Datagram, DatagramError};
use larchfall_membership::member_update::MemberState;
use larchfall_membership::membership::{OutgoingDatagram, Output, Rejection};
use larchfall_policy::time::Timestamp;
use slog::{info, warn};
use std::net::SocketAddrV4;

/// Name of a member's state in log lines and on status pages.
pub(super) fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspected => "suspected",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

impl Cluster {
    /// Logs the changes of members and sends the datagrams that a call to membership returned. The caller holds no
    /// lock.
    pub(super) fn apply_membership_output(&self, state: &State, output: Output) {
        for change in output.changes {
            let previous_state = change.previous_state.map_or("unknown", state_name);
            info!(state.log, "member changed"; "generation" => change.generation,
                "reason" => format!("{:?}", change.reason), "was" => previous_state,
                "state" => state_name(change.state), "name" => change.name);
        }
        for OutgoingDatagram { to, datagram } in output.datagrams {
            // The inner socket does not block the coroutine: a datagram that meets a full send buffer is dropped,
            // which the protocol tolerates like a loss in the network.
            let result = self.socket.inner().send_to(&datagram.encode(), to);
            increment(if result.is_ok() { &self.counters.sent } else { &self.counters.send_failed });
        }
    }

    /// Updates the policy if the number of gateways to count changed.
    pub(super) fn update_gateway_count(&self, state: &State, now: Timestamp) {
        let Some(gateway_count) = &self.gateway_count else { return };
        let fleet_view = lock(&self.membership).fleet_view();
        let mut gateway_count = lock(gateway_count);
        let count = gateway_count.fleet_size.observe(fleet_view, now);
        if count != std::mem::replace(&mut gateway_count.last_reported, count) {
            drop(gateway_count);
            state.policy.set_gateway_count(count);
            info!(state.log, "gateways counted"; "silent" => fleet_view.dead, "alive" => fleet_view.live,
                "count" => count);
        }
    }

    pub(super) fn on_membership_datagram(&self, state: &State, bytes: &[u8], sender: SocketAddrV4) {
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
        let result = lock(&self.membership).on_datagram(sender, &datagram, state.clock.now());
        match result {
            Ok(output) => self.apply_membership_output(state, output),
            Err(Rejection::UnknownSender) => increment(&self.counters.unknown_senders),
            Err(Rejection::NameTaken) => {
                warn!(state.log, "membership ended, another process has this name and was started later");
                if let Some(leases) = &self.leases {
                    leases.on_name_taken(state, self);
                }
            }
        }
    }

    /// Logs one line for membership as a whole and one line for each known member.
    pub(super) fn log_members(&self, state: &State) {
        let now = state.clock.now();
        // The members are copied so that no lock is held while the lines are logged.
        let (members, own_health_score, version) = {
            let membership = lock(&self.membership);
            (membership.members().clone(), membership.local_health().score(), membership.version())
        };
        info!(state.log, "membership"; "known" => members.len(), "version" => version,
            "own_health" => own_health_score);
        for (name, member) in &members {
            // -1 stands for a member that never sent a datagram to this gateway.
            let seconds_since_heard = member.last_heard_at.map_or(-1.0, |time| now.since(time).secs());
            info!(state.log, "member"; "name" => name, "state" => state_name(member.status.state),
                "generation" => member.status.generation, "incarnation" => member.status.incarnation,
                "address" => member.info.address.to_string(), "zone" => &member.info.zone,
                "since_s" => now.since(member.state_since).secs(), "heard_s_ago" => seconds_since_heard);
        }
    }
}
