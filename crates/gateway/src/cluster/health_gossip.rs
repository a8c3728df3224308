//! Health gossip: each gateway sends what it observed of engines to some other members and evaluates what they send.
//! The `larchfall-health-gossip` crate decides which outcomes of peers count, and the policy judges the engines by
//! them.

use super::Cluster;
use super::counters::{counter_value, increment};
use crate::state::{State, lock};
use larchfall_health_gossip::EngineProcess;
use larchfall_health_gossip::datagram::{Datagram, MAX_ENTRIES};
use larchfall_health_gossip::health_gossip::{HealthGossip, PeerOutcome, ProcessSummary};
use larchfall_health_gossip::observation_store::{Reporter, StoreLimits};
use larchfall_operator_config::HealthGossipConfig;
use larchfall_policy::time::{Duration, Timestamp};
use nanorand::{Rng, WyRand};
use slog::info;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

/// Maximum number of gateways, and of engine processes for each gateway, whose observations are stored.
const STORE_LIMITS: StoreLimits = StoreLimits { gateways: 1024, processes: 1024 };

struct GossipState {
    gossip: HealthGossip,
    next_round: Timestamp,
    rng: WyRand,
}

#[derive(Default)]
struct Counters {
    /// Datagrams that were sent, one for each receiver.
    sent: AtomicU64,
    received: AtomicU64,
    /// Received datagrams that are invalid, or that come from an unknown or outdated process.
    ignored: AtomicU64,
    /// Outcomes of peers that were passed to the policy.
    peer_outcomes: AtomicU64,
}

/// Exchanges observations of engines with other members.
pub struct HealthGossipService {
    settings: HealthGossipConfig,
    gossip_state: Mutex<GossipState>,
    counters: Counters,
}

impl HealthGossipService {
    /// Creates the service, whose first round is due at `now`, and makes the policy keep observations from now on.
    /// `seed` seeds the random choice of the members that receive a report.
    pub fn new(
        state: &State,
        settings: HealthGossipConfig,
        seed: u64,
        now: Timestamp,
    ) -> HealthGossipService {
        state.policy.enable_observations(STORE_LIMITS.processes);
        let gossip_state = GossipState {
            gossip: HealthGossip::new(STORE_LIMITS, settings.aggregation, settings.probe_slot),
            next_round: now,
            rng: WyRand::new_seed(seed),
        };
        HealthGossipService {
            settings,
            gossip_state: Mutex::new(gossip_state),
            counters: Counters::default(),
        }
    }

    pub(super) fn time_to_next_round(&self, now: Timestamp) -> Duration {
        lock(&self.gossip_state).next_round.since(now)
    }

    /// Runs a round if one is due: sends new observations to some members and applies the outcomes that peers
    /// reported.
    pub(super) fn on_timer(&self, state: &State, cluster: &Cluster) {
        let now = state.clock.now();
        {
            let mut gossip_state = lock(&self.gossip_state);
            if now < gossip_state.next_round {
                return;
            }
            gossip_state.next_round = now + self.settings.interval;
        }
        self.send_report(state, cluster);
        self.apply_peer_outcomes(state, cluster, now);
    }

    fn send_report(&self, state: &State, cluster: &Cluster) {
        let Some(report) = state.policy.next_observation_report(MAX_ENTRIES) else { return };
        let (generation, mut peers) = {
            let membership = lock(&cluster.membership);
            let peers: Vec<SocketAddrV4> = membership
                .live_members()
                .filter(|(name, _)| **name != cluster.member_name)
                .map(|(_, member)| member.info.address)
                .collect();
            (membership.own_entry().status.generation, peers)
        };
        lock(&self.gossip_state).rng.shuffle(&mut peers);
        let datagram = Datagram::new(&cluster.cluster_name, &cluster.member_name, generation, report);
        let bytes = datagram.encode();
        for peer in peers.into_iter().take(self.settings.fanout) {
            if cluster.socket.inner().send_to(&bytes, peer).is_ok() {
                increment(&self.counters.sent);
            }
        }
    }

    fn apply_peer_outcomes(&self, state: &State, cluster: &Cluster, now: Timestamp) {
        let listed: HashSet<EngineProcess> = state.policy.listed_processes().into_iter().collect();
        let live_members = cluster.live_member_zones();
        let is_listed = |process: EngineProcess| listed.contains(&process);
        let own_observations = state.policy.own_observations();
        let outcomes =
            lock(&self.gossip_state).gossip.take_outcomes(&own_observations, &live_members, is_listed, now);
        for PeerOutcome { process, bad } in outcomes {
            increment(&self.counters.peer_outcomes);
            state.policy.record_peer_outcome(process, bad);
        }
        // Probe slots are set after the outcomes, so that they also cover the engines that these outcomes ejected: no
        // such engine is probed before its probe slot.
        for process in state.policy.ejected_processes() {
            let may_probe =
                lock(&self.gossip_state).gossip.may_probe(&cluster.member_name, process, &live_members, now);
            state.policy.set_probe_slot(process, may_probe);
        }
    }

    pub(super) fn on_datagram(&self, state: &State, cluster: &Cluster, bytes: &[u8], sender: SocketAddrV4) {
        increment(&self.counters.received);
        let datagram = Datagram::decode(bytes, &cluster.cluster_name).ok();
        let accepted = datagram.and_then(|datagram| {
            let membership = lock(&cluster.membership);
            let member =
                membership.members().get(&datagram.gateway).filter(|member| member.info.address == sender)?;
            // A process that was declared dead by mistake continues under a later generation, which the datagram may
            // show before membership does. An earlier generation is another process.
            let is_current = !member.status.is_final() && datagram.generation >= member.status.generation;
            is_current.then(|| (member.info.zone.clone(), datagram))
        });
        let Some((zone, datagram)) = accepted else {
            return increment(&self.counters.ignored);
        };
        let reporter = Reporter { gateway: &datagram.gateway, generation: datagram.generation, zone: &zone };
        let mut gossip_state = lock(&self.gossip_state);
        gossip_state.gossip.on_report(reporter, datagram.number, &datagram.entries, state.clock.now());
    }

    /// Status cells of one engine process: responses and failures that this gateway observed, number of gateways that
    /// reported the process, responses and failures that those gateways observed, age of the newest report in seconds
    /// (empty without a report), and which gateway may probe the process in the current probe slot (`mine` or
    /// `another's`).
    pub(super) fn status_cells(
        &self,
        member_name: &str,
        live_members: &BTreeMap<String, String>,
        process: EngineProcess,
        now: Timestamp,
    ) -> [String; 7] {
        let gossip_state = lock(&self.gossip_state);
        let ProcessSummary { peers, own } = gossip_state.gossip.summary(process);
        let may_probe = gossip_state.gossip.may_probe(member_name, process, live_members, now);
        [
            own.answered.to_string(),
            own.failed.to_string(),
            peers.gateways.to_string(),
            peers.answered.to_string(),
            peers.failed.to_string(),
            peers.last_report_at.map_or(String::new(), |time| format!("{:.1}", now.since(time).secs())),
            if may_probe { "mine" } else { "another's" }.to_owned(),
        ]
    }

    pub(super) fn log_counters(&self, state: &State) {
        info!(state.log, "health gossip counters"; "sent" => counter_value(&self.counters.sent),
            "received" => counter_value(&self.counters.received),
            "ignored" => counter_value(&self.counters.ignored),
            "counted" => counter_value(&self.counters.peer_outcomes));
    }
}
