//! Observations of engines, shared between gateways: what this gateway observed goes to some others, and what they
//! observed comes in. The package decides what of it counts, the policy judges.

use super::Cluster;
use super::counters::{count, increment};
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

/// How many gateways and engine processes observations are kept of.
const LIMITS: StoreLimits = StoreLimits { gateways: 1024, processes: 1024 };

struct Inner {
    gossip: HealthGossip,
    due: Timestamp,
    random: WyRand,
}

#[derive(Default)]
struct Counters {
    sent: AtomicU64,
    received: AtomicU64,
    ignored: AtomicU64,
    /// Outcomes of others that counted beside this gateway's own.
    counted: AtomicU64,
}

/// This gateway's part in sharing observations of engines.
pub struct HealthGossipService {
    settings: HealthGossipConfig,
    inner: Mutex<Inner>,
    counters: Counters,
}

impl HealthGossipService {
    /// Has the policy note from now on what it observes.
    pub fn new(
        state: &State,
        settings: HealthGossipConfig,
        seed: u64,
        now: Timestamp,
    ) -> HealthGossipService {
        state.policy.enable_observations(LIMITS.processes);
        let inner = Inner {
            gossip: HealthGossip::new(LIMITS, settings.aggregation, settings.probe_slot),
            due: now,
            random: WyRand::new_seed(seed),
        };
        HealthGossipService { settings, inner: Mutex::new(inner), counters: Counters::default() }
    }

    pub(super) fn due_in(&self, now: Timestamp) -> Duration {
        lock(&self.inner).due.since(now)
    }

    /// Where it is time: sends what is new to some others, and counts what others sent.
    pub(super) fn on_timer(&self, state: &State, cluster: &Cluster) {
        let now = state.clock.now();
        {
            let mut inner = lock(&self.inner);
            if now < inner.due {
                return;
            }
            inner.due = now + self.settings.interval;
        }
        self.send_observations(state, cluster);
        self.count_observations(state, cluster, now);
    }

    fn send_observations(&self, state: &State, cluster: &Cluster) {
        let Some(report) = state.policy.next_observation_report(MAX_ENTRIES) else { return };
        let (generation, mut others) = {
            let members = lock(&cluster.members);
            let others: Vec<SocketAddrV4> = members
                .live()
                .filter(|(name, _)| **name != cluster.member_name)
                .map(|(_, member)| member.info.address)
                .collect();
            (members.myself().status.generation, others)
        };
        lock(&self.inner).random.shuffle(&mut others);
        let datagram = Datagram::new(&cluster.cluster_name, &cluster.member_name, generation, report);
        let bytes = datagram.encode();
        for to in others.into_iter().take(self.settings.fanout) {
            if cluster.socket.inner().send_to(&bytes, to).is_ok() {
                increment(&self.counters.sent);
            }
        }
    }

    fn count_observations(&self, state: &State, cluster: &Cluster, now: Timestamp) {
        let listed: HashSet<EngineProcess> = state.policy.listed_processes().into_iter().collect();
        let alive = cluster.live_member_zones();
        let is_listed = |process: EngineProcess| listed.contains(&process);
        let own = state.policy.own_observations();
        let outcomes = lock(&self.inner).gossip.take_outcomes(&own, &alive, is_listed, now);
        for PeerOutcome { process, bad } in outcomes {
            increment(&self.counters.counted);
            state.policy.record_peer_outcome(process, bad);
        }
        // After the outcomes: an engine that they had ejected just now waits for its probe slot from the start.
        for process in state.policy.ejected_processes() {
            let is_own_slot = lock(&self.inner).gossip.may_probe(&cluster.member_name, process, &alive, now);
            state.policy.set_probe_slot(process, is_own_slot);
        }
    }

    pub(super) fn on_datagram(&self, state: &State, cluster: &Cluster, bytes: &[u8], from: SocketAddrV4) {
        increment(&self.counters.received);
        let datagram = Datagram::decode(bytes, &cluster.cluster_name).ok();
        let known = datagram.and_then(|datagram| {
            let members = lock(&cluster.members);
            let sender =
                members.members().get(&datagram.gateway).filter(|member| member.info.address == from)?;
            // One that was declared dead for a while goes on under a later generation; an older one is another process.
            let is_current = !sender.status.is_final() && datagram.generation >= sender.status.generation;
            is_current.then(|| (sender.info.zone.clone(), datagram))
        });
        let Some((zone, datagram)) = known else {
            return increment(&self.counters.ignored);
        };
        let reporter = Reporter { gateway: &datagram.gateway, generation: datagram.generation, zone: &zone };
        let mut inner = lock(&self.inner);
        inner.gossip.on_report(reporter, datagram.number, &datagram.entries, state.clock.now());
    }

    /// Cells on one engine process: responses and failures here; gateways that reported, their responses and failures, the
    /// age of the newest report in seconds; and whose probe slot it is.
    pub(super) fn row(
        &self,
        member_name: &str,
        alive: &BTreeMap<String, String>,
        process: EngineProcess,
        now: Timestamp,
    ) -> [String; 7] {
        let inner = lock(&self.inner);
        let ProcessSummary { peers: others, own } = inner.gossip.summary(process);
        let is_own_slot = inner.gossip.may_probe(member_name, process, alive, now);
        [
            own.answered.to_string(),
            own.failed.to_string(),
            others.gateways.to_string(),
            others.answered.to_string(),
            others.failed.to_string(),
            others.heard_at.map_or(String::new(), |time| format!("{:.1}", now.since(time).secs())),
            if is_own_slot { "mine" } else { "another's" }.to_owned(),
        ]
    }

    pub(super) fn log_counters(&self, state: &State) {
        info!(state.log, "health gossip counters"; "sent" => count(&self.counters.sent),
            "received" => count(&self.counters.received), "ignored" => count(&self.counters.ignored),
            "counted" => count(&self.counters.counted));
    }
}
