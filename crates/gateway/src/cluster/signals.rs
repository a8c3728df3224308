//! What this gateway saw of engines goes to some others, and what they saw comes in: the package decides what of it counts, the
//! module judges.

use super::Gateways;
use crate::state::{State, lock};
use larchfall_health_gossip::EngineProcess;
use larchfall_health_gossip::datagram::{Datagram, MAX_ENTRIES};
use larchfall_health_gossip::health_gossip::{HealthGossip, PeerOutcome, ProcessSummary};
use larchfall_health_gossip::observation_store::{Reporter, StoreLimits};
use larchfall_operator_config::Signals as Site;
use larchfall_policy::time::{Duration, Timestamp};
use nanorand::{Rng, WyRand};
use slog::info;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Pages and lines that are kept of others.
const BOUNDS: StoreLimits = StoreLimits { gateways: 1024, processes: 1024 };

struct Inner {
    desk: HealthGossip,
    next: Timestamp,
    chance: WyRand,
}

pub struct Signals {
    site: Site,
    inner: Mutex<Inner>,
    sent: AtomicU64,
    heard: AtomicU64,
    passed_over: AtomicU64,
    counted: AtomicU64,
}

impl Signals {
    pub fn new(state: &State, site: Site, seed: u64, now: Timestamp) -> Signals {
        state.policy.enable_observations(BOUNDS.processes);
        let inner = Inner {
            desk: HealthGossip::new(BOUNDS, site.weigh, site.turn),
            next: now,
            chance: WyRand::new_seed(seed),
        };
        let n = AtomicU64::default;
        Signals { site, inner: Mutex::new(inner), sent: n(), heard: n(), passed_over: n(), counted: n() }
    }

    pub fn due_in(&self, now: Timestamp) -> Duration {
        lock(&self.inner).next.since(now)
    }

    /// At steady times: tells some others what is new, and counts what others told.
    pub fn wake(&self, state: &State, gateways: &Gateways) {
        let now = state.clock.now();
        {
            let mut inner = lock(&self.inner);
            if now < inner.next {
                return;
            }
            inner.next = now + self.site.every;
        }
        self.tell(state, gateways);
        self.count(state, gateways, now);
    }

    fn tell(&self, state: &State, gateways: &Gateways) {
        let Some(report) = state.policy.next_observation_report(MAX_ENTRIES) else { return };
        let (me, mut others) = {
            let members = lock(&gateways.members);
            let others: Vec<SocketAddrV4> = members
                .live()
                .filter(|(name, _)| **name != gateways.name)
                .map(|(_, m)| m.info.address)
                .collect();
            (members.myself().status.generation, others)
        };
        lock(&self.inner).chance.shuffle(&mut others);
        let bytes = Datagram::new(&gateways.cluster, &gateways.name, me, report).encode();
        for to in others.into_iter().take(self.site.fanout) {
            if gateways.socket.inner().send_to(&bytes, to).is_ok() {
                self.sent.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn count(&self, state: &State, gateways: &Gateways, now: Timestamp) {
        let there: HashSet<EngineProcess> = state.policy.processes().into_iter().collect();
        let living: BTreeMap<String, String> = gateways.living().into_iter().collect();
        let is_there = |process: EngineProcess| there.contains(&process);
        let outcomes =
            lock(&self.inner).desk.take_outcomes(&state.policy.own_observations(), &living, is_there, now);
        for PeerOutcome { process, bad } in outcomes {
            self.counted.fetch_add(1, Ordering::Relaxed);
            state.policy.record_peer_outcome(process, bad);
        }
        // After the verdicts: what was just left out waits for its turn from the start.
        for process in state.policy.ejected_processes() {
            let mine = lock(&self.inner).desk.may_probe(&gateways.name, process, &living, now);
            state.policy.set_probe_slot(process, mine);
        }
    }

    /// A datagram about what another gateway saw.
    pub fn hear(&self, state: &State, gateways: &Gateways, bytes: &[u8], from: SocketAddrV4) {
        self.heard.fetch_add(1, Ordering::Relaxed);
        let letter = Datagram::decode(bytes, &gateways.cluster).ok();
        let known = letter.and_then(|letter| {
            let members = lock(&gateways.members);
            let member = members.members().get(&letter.gateway).filter(|m| m.info.address == from)?;
            // One that was held for dead for a while goes on under a later generation; an older one is another process.
            let now = !member.status.is_final() && letter.generation >= member.status.generation;
            now.then(|| (member.info.zone.clone(), letter))
        });
        let Some((zone, letter)) = known else {
            self.passed_over.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let reporter = Reporter { gateway: &letter.gateway, generation: letter.generation, zone: &zone };
        lock(&self.inner).desk.on_report(reporter, letter.number, &letter.entries, state.clock.now());
    }

    /// What others told of a process and what this gateway saw: gateways, answered and failed there, the age of the newest word in
    /// seconds, answered and failed here, and whether it would be this gateway's turn to try it.
    pub fn row(
        &self,
        me: &str,
        living: &BTreeMap<String, String>,
        process: EngineProcess,
        now: Timestamp,
    ) -> [String; 7] {
        let inner = lock(&self.inner);
        let ProcessSummary { peers: told, own } = inner.desk.summary(process);
        let age = told.heard_at.map_or(String::new(), |at| format!("{:.1}", now.since(at).secs()));
        let turn = if inner.desk.may_probe(me, process, living, now) { "mine" } else { "another's" };
        let n = |n: u32| n.to_string();
        [
            n(own.answered),
            n(own.failed),
            told.gateways.to_string(),
            n(told.answered),
            n(told.failed),
            age,
            turn.into(),
        ]
    }

    pub fn log(&self, state: &State) {
        let n = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        info!(state.log, "health gossip counters"; "sent" => n(&self.sent), "received" => n(&self.heard),
            "ignored" => n(&self.passed_over), "counted" => n(&self.counted));
    }
}
