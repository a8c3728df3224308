//! Lease messages on the socket, and what comes of them.

use super::LeaseService;
use crate::cluster::Cluster;
use crate::cluster::counters::increment;
use crate::state::{State, lock};
use larchfall_leases::manager::{LeaseEvent, LeaseEventKind, Output};
use larchfall_leases::messages::{Datagram, MemberId, Payload};
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
        let Ok(datagram) = Datagram::decode(bytes, &self.cluster_name) else {
            return increment(&self.counters.corrupt);
        };
        if !is_known(cluster, &datagram.sender, from) {
            return increment(&self.counters.unknown);
        }
        match &datagram.payload {
            Payload::LoadReports(reports) => self.on_load_reports(state, reports),
            payload @ (Payload::RequestQuotas { .. } | Payload::Quotas { .. }) => {
                self.on_quota_message(state, cluster, &datagram.sender, payload);
            }
            payload => {
                let effects = lock(&self.leases).on_message(&datagram.sender, payload, self.now());
                self.apply(state, cluster, effects);
            }
        }
    }

    pub(super) fn send(&self, cluster: &Cluster, to: &str, payload: Payload) {
        let address = lock(&cluster.members).members().get(to).map(|member| member.info.address);
        let Some(address) = address else {
            return increment(&self.counters.unknown);
        };
        let bytes = Datagram::new(&self.cluster_name, &self.me, payload).encode();
        if cluster.socket.inner().send_to(&bytes, address).is_ok() {
            increment(&self.counters.sent);
        }
    }

    /// Sends, logs and carries out what came of a call. No lock is held here.
    pub(super) fn apply(&self, state: &State, cluster: &Cluster, effects: Output) {
        for message in effects.messages {
            self.send(cluster, &message.to, message.payload);
        }
        if let (Some(record), Some(records)) = (effects.record_to_write, &self.records) {
            // One is written at a time, so there is room.
            let _ = records.try_send(record);
        }
        self.has_changed.fetch_or(!effects.events.is_empty(), Ordering::Relaxed);
        for event in effects.events {
            self.on_lease_event(state, cluster, event);
        }
    }

    fn on_lease_event(&self, state: &State, cluster: &Cluster, event: LeaseEvent) {
        let LeaseEvent { role: lease, kind } = event;
        match kind {
            LeaseEventKind::Acquired { token } => {
                info!(state.log, "lease acquired"; "token" => token, "lease" => lease);
            }
            LeaseEventKind::Ending { token, reason, successor } => {
                info!(state.log, "lease ending"; "successor" => successor.unwrap_or_default(),
                    "reason" => format!("{reason:?}"), "token" => token, "lease" => &lease);
                self.supervisor.end(&lease);
                if !self.supervisor.is_running(&lease) {
                    let effects = lock(&self.leases).on_work_stopped(&lease, self.now());
                    self.apply(state, cluster, effects);
                }
            }
            LeaseEventKind::Lost { token, reason } => {
                warn!(state.log, "lease lost"; "reason" => format!("{reason:?}"), "token" => token, "lease" => &lease);
                self.supervisor.end(&lease);
            }
            LeaseEventKind::Released { token, successor } => {
                info!(state.log, "lease released"; "successor" => successor.unwrap_or_default(), "token" => token,
                    "lease" => lease);
            }
        }
    }
}

/// Whether membership knows the sender, at the address that it knows it by. A process that was declared dead for a
/// while goes on there under a later generation, and here under that of its start: it is the same one.
fn is_known(cluster: &Cluster, sender: &MemberId, from: SocketAddrV4) -> bool {
    lock(&cluster.members)
        .members()
        .get(&sender.name)
        .is_some_and(|member| member.info.address == from && member.status.generation >= sender.generation)
}
