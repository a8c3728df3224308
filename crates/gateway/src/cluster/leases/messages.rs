//! Receives lease messages, and sends, stores and logs the output of the lease manager.

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
        sender: SocketAddrV4,
    ) {
        increment(&self.counters.received);
        let Ok(datagram) = Datagram::decode(bytes, &self.cluster_name) else {
            return increment(&self.counters.corrupt);
        };
        if !is_known_member(cluster, &datagram.sender, sender) {
            return increment(&self.counters.unknown_members);
        }
        match &datagram.payload {
            Payload::LoadReports(reports) => self.on_load_reports(state, reports),
            payload @ (Payload::RequestQuotas { .. } | Payload::Quotas { .. }) => {
                self.on_quota_message(state, cluster, &datagram.sender, payload);
            }
            payload => {
                let output = lock(&self.manager).on_message(&datagram.sender, payload, self.now());
                self.apply_output(state, cluster, output);
            }
        }
    }

    /// Sends a message to the member `to`. A message to an unknown member is dropped and counted.
    pub(super) fn send(&self, cluster: &Cluster, to: &str, payload: Payload) {
        let address = lock(&cluster.membership).members().get(to).map(|member| member.info.address);
        let Some(address) = address else {
            return increment(&self.counters.unknown_members);
        };
        let bytes = Datagram::new(&self.cluster_name, &self.member_id, payload).encode();
        if cluster.socket.inner().send_to(&bytes, address).is_ok() {
            increment(&self.counters.sent);
        }
    }

    /// Sends the messages, queues the voter record and handles the events that a call to the lease manager returned.
    /// The caller holds no lock.
    pub(super) fn apply_output(&self, state: &State, cluster: &Cluster, output: Output) {
        for message in output.messages {
            self.send(cluster, &message.to, message.payload);
        }
        if let (Some(record), Some(sender)) = (output.record_to_write, &self.record_sender) {
            // The channel has room: the manager waits for each write before it returns the next record.
            let _ = sender.try_send(record);
        }
        self.has_pending_events.fetch_or(!output.events.is_empty(), Ordering::Relaxed);
        for event in output.events {
            self.on_lease_event(state, cluster, event);
        }
    }

    fn on_lease_event(&self, state: &State, cluster: &Cluster, event: LeaseEvent) {
        let LeaseEvent { role, kind } = event;
        match kind {
            LeaseEventKind::Acquired { token } => {
                info!(state.log, "lease acquired"; "token" => token, "lease" => role);
            }
            LeaseEventKind::Ending { token, reason, successor } => {
                info!(state.log, "lease ending"; "successor" => successor.unwrap_or_default(),
                    "reason" => format!("{reason:?}"), "token" => token, "lease" => &role);
                self.supervisor.request_stop(&role);
                if !self.supervisor.is_running(&role) {
                    let output = lock(&self.manager).on_work_stopped(&role, self.now());
                    self.apply_output(state, cluster, output);
                }
            }
            LeaseEventKind::Lost { token, reason } => {
                warn!(state.log, "lease lost"; "reason" => format!("{reason:?}"), "token" => token, "lease" => &role);
                self.supervisor.request_stop(&role);
            }
            LeaseEventKind::Released { token, successor } => {
                info!(state.log, "lease released"; "successor" => successor.unwrap_or_default(), "token" => token,
                    "lease" => role);
            }
        }
    }
}

/// Returns whether membership knows the sender at this address. A process that was declared dead by mistake raises
/// its generation in membership, while its lease messages keep the generation of its start, so a lower generation in
/// a message from the known address is accepted as the same process.
fn is_known_member(cluster: &Cluster, sender: &MemberId, address: SocketAddrV4) -> bool {
    lock(&cluster.membership)
        .members()
        .get(&sender.name)
        .is_some_and(|member| member.info.address == address && member.status.generation >= sender.generation)
}
