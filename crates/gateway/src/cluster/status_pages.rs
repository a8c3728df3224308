//! Answers `larchfall members`, `leases`, `quotas` and `engines` with rows of text. Operators' scripts read the cells:
//! they keep their words.

use super::Cluster;
use super::counters::increment;
use super::membership::state_word;
use super::status_query::{self, Topic};
use crate::state::policy_handle::EngineStatus;
use crate::state::{State, lock};
use larchfall_membership::membership::Member;
use larchfall_policy::time::Timestamp;
use std::net::SocketAddrV4;

impl Cluster {
    /// Answers a query that comes from this machine.
    pub(super) fn answer_status_query(&self, state: &State, bytes: &[u8], from: SocketAddrV4) {
        let is_local = from.ip().is_loopback() || *from.ip() == *self.advertised_address().ip();
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
        let _ = self.socket.inner().send_to(&status_query::encode_page(&query, rows), from);
    }

    /// By member: its name, state, generation, address, zone, for how long it has been in this state and how long ago it
    /// was heard, in seconds.
    fn member_rows(&self, now: Timestamp) -> Vec<Vec<String>> {
        let row = |(name, member): (&String, &Member)| {
            let heard =
                member.heard_at.map_or(String::new(), |time| format!("{:.1}", now.since(time).secs()));
            vec![
                name.clone(),
                state_word(member.status.state).to_owned(),
                member.status.generation.to_string(),
                member.info.address.to_string(),
                member.info.zone.clone(),
                format!("{:.1}", now.since(member.since).secs()),
                heard,
            ]
        };
        lock(&self.members).members().iter().map(row).collect()
    }

    /// By engine: its id, listed state, health, whether it is used and congested, and what this gateway and others
    /// observed of it, where that is shared.
    fn engine_rows(&self, state: &State) -> Vec<Vec<String>> {
        let now = state.clock.now();
        // Once for all engines: there may be many gateways.
        let alive = self.live_member_zones();
        let mut rows: Vec<Vec<String>> = Vec::new();
        for engine in state.policy.engine_statuses() {
            let mut row = engine_cells(&engine);
            if let Some(gossip) = &self.health_gossip {
                row.extend(gossip.row(&self.member_name, &alive, engine.process, now));
            }
            rows.push(row);
        }
        rows.sort();
        rows
    }
}

fn engine_cells(engine: &EngineStatus) -> Vec<String> {
    let word_if = |holds: bool, word: &str| if holds { word.to_owned() } else { String::new() };
    vec![
        format!("{:08x}", engine.process.id),
        format!("{:?}", engine.state).to_lowercase(),
        if engine.health.ejected { "left out" } else { "sound" }.to_owned(),
        word_if(engine.in_subset, "used"),
        word_if(engine.health.congested, "congested"),
    ]
}
