//! Membership on the socket: what the package decides is sent, logged, and counted for the policy.

use super::Cluster;
use super::counters::increment;
use crate::state::{State, lock};
use larchfall_membership::claim::Standing;
use larchfall_membership::members::{Out, Refused};
use larchfall_membership::wire::{Letter, Unreadable};
use larchfall_policy::time::Timestamp;
use slog::{info, warn};
use std::net::SocketAddrV4;

/// A member's state in the words of the log and of the status pages.
pub(super) fn state_word(state: Standing) -> &'static str {
    match state {
        Standing::Alive => "alive",
        Standing::Suspected => "suspected",
        Standing::Dead => "dead",
        Standing::Left => "left",
    }
}

impl Cluster {
    /// Sends and logs what came of a call to membership. No lock is held here.
    pub(super) fn apply_membership(&self, state: &State, effects: Out) {
        for change in effects.changes {
            let before = change.from.map_or("unknown", state_word);
            info!(state.log, "member changed"; "generation" => change.generation,
                "reason" => format!("{:?}", change.reason), "was" => before, "state" => state_word(change.to),
                "name" => change.name);
        }
        for (to, message) in effects.letters {
            // Straight to the socket: a full buffer loses a datagram, as the network may, and holds nobody up.
            let sent = self.socket.inner().send_to(&message.seal(), to);
            increment(if sent.is_ok() { &self.counters.sent } else { &self.counters.unsent });
        }
    }

    /// Tells the policy when another number of gateways is to be counted; the number.
    pub(super) fn update_gateway_count(&self, state: &State, now: Timestamp, before: usize) -> usize {
        let Some(gateway_count) = &self.gateway_count else { return before };
        let fleet = lock(&self.members).fleet();
        let count = lock(gateway_count).see(fleet, now);
        if count != before {
            state.facade.count(count);
            info!(state.log, "gateways counted"; "silent" => fleet.silent, "alive" => fleet.live, "count" => count);
        }
        count
    }

    pub(super) fn on_membership_datagram(&self, state: &State, bytes: &[u8], from: SocketAddrV4) {
        let message = match Letter::open(bytes, &self.cluster_name) {
            Ok(message) => message,
            Err(error) => {
                return increment(match error {
                    Unreadable::Version(_) => &self.counters.other_version,
                    Unreadable::OtherCluster => &self.counters.other_cluster,
                    Unreadable::TooLong | Unreadable::Spoilt | Unreadable::Unsound => &self.counters.corrupt,
                });
            }
        };
        let result = lock(&self.members).hear(from, &message, state.clock.now());
        match result {
            Ok(effects) => self.apply_membership(state, effects),
            Err(Refused::Stranger) => increment(&self.counters.unknown_senders),
            Err(Refused::NameTaken) => {
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
            (members.table().clone(), members.health().score(), members.version())
        };
        info!(state.log, "membership"; "known" => table.len(), "version" => version, "own_health" => health);
        for (name, member) in &table {
            let heard = member.heard.map_or(-1.0, |at| now.since(at).secs());
            info!(state.log, "member"; "name" => name, "state" => state_word(member.claim.standing),
                "generation" => member.claim.generation, "incarnation" => member.claim.incarnation,
                "address" => member.about.address.to_string(), "zone" => &member.about.zone,
                "since_s" => now.since(member.since).secs(), "heard_s_ago" => heard);
        }
    }
}
