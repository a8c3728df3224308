//! Answers the status queries of `larchfall members`, `leases`, `quotas` and `engines` with rows of text. Operators'
//! scripts parse the cells, so their texts must not change.

use super::Cluster;
use super::counters::increment;
use super::membership::state_name;
use super::status_query::{self, Topic};
use crate::state::policy_handle::EngineStatus;
use crate::state::{State, lock};
use larchfall_membership::membership::Member;
use larchfall_policy::time::Timestamp;
use std::net::SocketAddrV4;

impl Cluster {
    /// Answers a status query from this machine; other queries are ignored and counted.
    pub(super) fn answer_status_query(&self, state: &State, bytes: &[u8], sender: SocketAddrV4) {
        let is_local = sender.ip().is_loopback() || *sender.ip() == *self.advertised_address().ip();
        let query = status_query::decode_query(bytes, &self.cluster_name).filter(|_| is_local);
        let Some(query) = query else {
            return increment(&self.counters.unknown_senders);
        };
        let rows = match query.topic {
            Topic::Members => self.member_rows(state.clock.now()),
            Topic::Engines => self.engine_rows(state),
            Topic::Leases => self.leases.as_ref().map(|leases| leases.lease_rows()).unwrap_or_default(),
            Topic::Quotas => self.leases.as_ref().map(|leases| leases.quota_rows()).unwrap_or_default(),
        };
        let _ = self.socket.inner().send_to(&status_query::encode_page(&query, rows), sender);
    }

    /// One row for each member: name, state, generation, address, zone, seconds in this state, and seconds since this
    /// gateway last received a datagram from the member (empty if none was received).
    fn member_rows(&self, now: Timestamp) -> Vec<Vec<String>> {
        let row = |(name, member): (&String, &Member)| {
            let seconds_since_heard =
                member.last_heard_at.map_or(String::new(), |time| format!("{:.1}", now.since(time).secs()));
            vec![
                name.clone(),
                state_name(member.status.state).to_owned(),
                member.status.generation.to_string(),
                member.info.address.to_string(),
                member.info.zone.clone(),
                format!("{:.1}", now.since(member.state_since).secs()),
                seconds_since_heard,
            ]
        };
        lock(&self.membership).members().iter().map(row).collect()
    }

    /// One row for each engine: id, state in the endpoint list, health, whether the engine is in this gateway's
    /// subset, whether it is congested, and with health gossip the cells of [`status_cells`].
    ///
    /// [`status_cells`]: super::health_gossip::HealthGossipService::status_cells
    fn engine_rows(&self, state: &State) -> Vec<Vec<String>> {
        let now = state.clock.now();
        // Computed once for all engines, since a cluster may have many gateways.
        let live_members = self.live_member_zones();
        let mut rows: Vec<Vec<String>> = Vec::new();
        for engine in state.policy.engine_statuses() {
            let mut row = engine_cells(&engine);
            if let Some(gossip) = &self.health_gossip {
                row.extend(gossip.status_cells(&self.member_name, &live_members, engine.process, now));
            }
            rows.push(row);
        }
        rows.sort();
        rows
    }
}

fn engine_cells(engine: &EngineStatus) -> Vec<String> {
    let text_if = |condition: bool, text: &str| if condition { text.to_owned() } else { String::new() };
    vec![
        format!("{:08x}", engine.process.id),
        format!("{:?}", engine.state).to_lowercase(),
        if engine.health.ejected { "left out" } else { "sound" }.to_owned(),
        text_if(engine.in_subset, "used"),
        text_if(engine.health.congested, "congested"),
    ]
}
