//! Lease messages on the socket, and what comes of them.

use super::LeaseService;
use crate::cluster::Cluster;
use crate::cluster::counters::increment;
use crate::state::{State, lock};
use larchfall_leases::duties::{Change, Out, What};
use larchfall_leases::wire::{Letter, Matter, Unreadable, Who};
use slog::{info, warn};
use std::net::SocketAddrV4;
use std::sync::atomic::Ordering;

impl LeaseService {
    pub(in crate::cluster) fn on_datagram(
        &self,
        state: &State,
        cluster: &Cluster,
        bytes: &[u8],
        from: SocketAddrV4,
    ) {
        increment(&self.counters.received);
        let message = match Letter::open(bytes, &self.cluster_name) {
            Ok(message) => message,
            Err(Unreadable::Spoilt | Unreadable::Unsound | Unreadable::OtherCluster) => {
                return increment(&self.counters.corrupt);
            }
        };
        if !is_known(cluster, &message.from, from) {
            return increment(&self.counters.unknown);
        }
        match &message.matter {
            Matter::Readings(reports) => self.on_load_reports(state, reports),
            payload @ (Matter::AskShares { .. } | Matter::Shares { .. }) => {
                self.on_quota_message(state, cluster, &message.from, payload);
            }
            payload => {
                let effects = lock(&self.leases).hear(&message.from, payload, self.now());
                self.apply(state, cluster, effects);
            }
        }
    }

    pub(super) fn send(&self, cluster: &Cluster, to: &str, payload: Matter) {
        let address = lock(&cluster.members).table().get(to).map(|member| member.about.address);
        let Some(address) = address else {
            return increment(&self.counters.unknown);
        };
        let bytes = Letter::new(&self.cluster_name, &self.me, payload).seal();
        if cluster.socket.inner().send_to(&bytes, address).is_ok() {
            increment(&self.counters.sent);
        }
    }

    /// Sends, logs and carries out what came of a call. No lock is held here.
    pub(super) fn apply(&self, state: &State, cluster: &Cluster, effects: Out) {
        for (to, payload) in effects.letters {
            self.send(cluster, &to, payload);
        }
        if let (Some(record), Some(records)) = (effects.write, &self.records) {
            // One is written at a time, so there is room.
            let _ = records.try_send(record);
        }
        self.has_changed.fetch_or(!effects.changes.is_empty(), Ordering::Relaxed);
        for change in effects.changes {
            self.apply_change(state, cluster, change);
        }
    }

    fn apply_change(&self, state: &State, cluster: &Cluster, change: Change) {
        let Change { duty: lease, what } = change;
        match what {
            What::Holds { token } => {
                info!(state.log, "lease acquired"; "token" => token, "lease" => lease);
            }
            What::Ends { token, why, to } => {
                info!(state.log, "lease ending"; "successor" => to.unwrap_or_default(),
                    "reason" => format!("{why:?}"), "token" => token, "lease" => &lease);
                self.supervisor.end(&lease);
                if !self.supervisor.is_running(&lease) {
                    let effects = lock(&self.leases).stopped(&lease, self.now());
                    self.apply(state, cluster, effects);
                }
            }
            What::Lost { token, why } => {
                warn!(state.log, "lease lost"; "reason" => format!("{why:?}"), "token" => token, "lease" => &lease);
                self.supervisor.end(&lease);
            }
            What::GivenBack { token, to } => {
                info!(state.log, "lease released"; "successor" => to.unwrap_or_default(), "token" => token,
                    "lease" => lease);
            }
        }
    }
}

/// Whether membership knows the sender, at the address that it knows it by. A process that was taken for dead for a
/// while goes on there under a later generation, and here under that of its start: it is the same one.
fn is_known(cluster: &Cluster, sender: &Who, from: SocketAddrV4) -> bool {
    lock(&cluster.members)
        .table()
        .get(&sender.name)
        .is_some_and(|member| member.about.address == from && member.claim.generation >= sender.generation)
}
