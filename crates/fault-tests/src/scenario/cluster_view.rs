//! A cluster as its operators see it: each gateway is asked from outside which members it knows, who holds which lease, its
//! quotas, and how it rates each engine; and what of that is not healthy.

use crate::gateway_config::gateway_name;
use crate::scenario::config::{Feature, ScenarioConfig};
use crate::scenario::records::{Record, RecordKind};
use larchfall_gateway::cluster::status_query::{Topic, fetch_rows};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// A gateway that is suspended or gone does not answer, and is not waited for longer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// The quotas of an engine in slow start add up to its capacity; others, by the page on quotas, to half more.
const MAX_QUOTA_SUM_IN_SLOW_START: f64 = 1.001;
const MAX_QUOTA_SUM: f64 = 1.501;

/// The rows that one gateway answered, by column; `None` where it did not answer in time.
pub type Rows = Option<Vec<Vec<String>>>;

/// Columns of the tables that gateways answer.
mod column {
    pub(super) const MEMBER_STATE: usize = 1;
    pub(super) const LEASE: usize = 0;
    pub(super) const HOLDER: usize = 1;
    pub(super) const CAPACITY: usize = 0;
    pub(super) const QUOTA: usize = 1;
    pub(super) const QUOTA_ORIGIN: usize = 2;
    pub(super) const ENGINE: usize = 0;
    pub(super) const LIFECYCLE: usize = 1;
    pub(super) const HEALTH: usize = 2;
    pub(super) const IN_SUBSET: usize = 3;
}

/// What can be healthy or not; in the order in which it is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Aspect {
    /// All gateways hold all alive.
    Members,
    /// Each lease has one holder.
    Leases,
    /// Each gateway has a quota of each engine that it uses.
    Quotas,
    /// No engine that is ready is ejected.
    Engines,
}

impl Aspect {
    /// All of them.
    pub const ALL: [Aspect; 4] = [Aspect::Members, Aspect::Leases, Aspect::Quotas, Aspect::Engines];

    /// Its word in reports.
    pub fn word(self) -> &'static str {
        match self {
            Aspect::Members => "members",
            Aspect::Leases => "duties",
            Aspect::Quotas => "shares",
            Aspect::Engines => "engines",
        }
    }
}

/// Something that is not healthy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unhealthy {
    /// What it concerns.
    pub aspect: Aspect,
    /// What was seen.
    pub detail: String,
}

/// A gateway's quota of a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Fraction of the capacity.
    pub fraction: f64,
    /// Whether a quota allocator granted it, rather than the gateway taking a careful one by itself.
    pub granted: bool,
}

/// Quotas by capacity and gateway.
pub type Quotas<'a> = BTreeMap<&'a str, BTreeMap<usize, Quota>>;

/// An engine that a gateway ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ejection<'a> {
    /// The gateway's number.
    pub gateway: usize,
    /// The engine's id.
    pub engine: &'a str,
}

/// A row, and the gateway that it is from.
struct GatewayRow<'a> {
    gateway: usize,
    row: &'a [String],
}

/// What all gateways answered, by number.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Which members each knows.
    pub members: Vec<Rows>,
    /// Who holds which lease, as each knows.
    pub leases: Vec<Rows>,
    /// The quotas of each.
    pub quotas: Vec<Rows>,
    /// How each rates engines.
    pub engines: Vec<Rows>,
}

/// Asks all gateways at once.
fn ask_all(gateways: &[SocketAddrV4], topic: Topic) -> Vec<Rows> {
    let (sender, answers) = channel();
    for (gateway, address) in gateways.iter().copied().enumerate() {
        let sender = sender.clone();
        thread::spawn(move || sender.send((gateway, fetch_rows(address, "toy", topic).ok())));
    }
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let mut answered = vec![None; gateways.len()];
    for _ in gateways {
        let left = deadline.saturating_duration_since(Instant::now());
        let Ok((gateway, rows)) = answers.recv_timeout(left) else { break };
        answered[gateway] = rows;
    }
    answered
}

fn rows_of(answers: &[Rows]) -> impl Iterator<Item = GatewayRow<'_>> {
    answers
        .iter()
        .enumerate()
        .flat_map(|(gateway, rows)| rows.iter().flatten().map(move |row| GatewayRow { gateway, row }))
}

fn alive(rows: &Rows) -> usize {
    rows.iter().flatten().filter(|row| row[column::MEMBER_STATE] == "alive").count()
}

impl ClusterView {
    /// Asks the gateways at these addresses.
    pub fn observe(gateways: &[SocketAddrV4]) -> ClusterView {
        ClusterView {
            members: ask_all(gateways, Topic::Members),
            leases: ask_all(gateways, Topic::Leases),
            quotas: ask_all(gateways, Topic::Quotas),
            engines: ask_all(gateways, Topic::Engines),
        }
    }

    /// By lease: the gateways that hold it by their own account.
    pub fn holders(&self) -> BTreeMap<&str, Vec<usize>> {
        let mut holders: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for GatewayRow { gateway, row } in rows_of(&self.leases) {
            let of_lease = holders.entry(&row[column::LEASE]).or_default();
            if row[column::HOLDER] == gateway_name(gateway) {
                of_lease.push(gateway);
            }
        }
        holders
    }

    /// Each gateway's quotas.
    pub fn quotas_by_capacity(&self) -> Quotas<'_> {
        let mut quotas = Quotas::new();
        for GatewayRow { gateway, row } in rows_of(&self.quotas) {
            let quota = Quota {
                fraction: row[column::QUOTA].parse().unwrap_or_default(),
                granted: row[column::QUOTA_ORIGIN] == "handed out",
            };
            quotas.entry(&row[column::CAPACITY]).or_default().insert(gateway, quota);
        }
        quotas
    }

    /// Engines that are ready and that a gateway has ejected.
    pub fn ejections(&self) -> Vec<Ejection<'_>> {
        rows_of(&self.engines)
            .filter(|of| of.row[column::LIFECYCLE] == "ready" && of.row[column::HEALTH] == "left out")
            .map(|of| Ejection { gateway: of.gateway, engine: &of.row[column::ENGINE] })
            .collect()
    }

    /// All that is seen, as rows of the report.
    pub fn records(&self, at_ms: u64) -> Vec<Record> {
        let mut records = Vec::new();
        for (gateway, rows) in self.members.iter().enumerate().filter(|(_, rows)| rows.is_some()) {
            let alive = alive(rows) as f64;
            records.push(Record::new(at_ms, RecordKind::Members, gateway_name(gateway), alive));
        }
        for (lease, holders) in self.holders() {
            for gateway in holders {
                let subject = format!("{} {lease}", gateway_name(gateway));
                records.push(Record::new(at_ms, RecordKind::Holds, subject, 1.0));
            }
        }
        for (capacity, quotas) in self.quotas_by_capacity() {
            for (gateway, quota) in quotas {
                let subject = format!("{} {capacity}", gateway_name(gateway));
                records.push(Record::new(at_ms, RecordKind::Quota, subject, quota.fraction));
            }
        }
        let mut ejected: BTreeMap<usize, usize> = BTreeMap::new();
        for ejection in self.ejections() {
            *ejected.entry(ejection.gateway).or_default() += 1;
        }
        for (gateway, count) in ejected {
            records.push(Record::new(at_ms, RecordKind::Ejected, gateway_name(gateway), count as f64));
        }
        records
    }

    /// Capacities of which gateways have more than there is. What each gateway had in both of two views is what all had at one
    /// time at least.
    pub fn oversubscribed(&self, before: &ClusterView) -> Vec<String> {
        let now = self.quotas_by_capacity();
        let earlier = before.quotas_by_capacity();
        let sum = |capacity: &str, quotas: &BTreeMap<usize, Quota>| -> f64 {
            let in_both = |(gateway, quota): (&usize, &Quota)| {
                Some(quota.fraction.min(earlier.get(capacity)?.get(gateway)?.fraction))
            };
            quotas.iter().filter_map(in_both).sum()
        };
        let limit = |capacity: &str| {
            if capacity.starts_with("cold/") { MAX_QUOTA_SUM_IN_SLOW_START } else { MAX_QUOTA_SUM }
        };
        now.iter()
            .map(|(capacity, quotas)| (capacity, sum(capacity, quotas)))
            .filter(|(capacity, sum)| *sum > limit(capacity))
            .map(|(capacity, sum)| format!("quotas of {capacity} add up to {sum:.3}"))
            .collect()
    }

    /// All that is not healthy, with engines of these ids ready.
    pub fn unhealthy(&self, config: &ScenarioConfig, ready: &[u32]) -> Vec<Unhealthy> {
        let mut unhealthy = self.unhealthy_members(config);
        unhealthy.extend(self.unhealthy_leases(config));
        if config.has(Feature::Quotas) {
            unhealthy.extend(self.unhealthy_quotas(ready));
        }
        unhealthy.extend(self.unhealthy_engines());
        unhealthy
    }

    fn unhealthy_members(&self, config: &ScenarioConfig) -> Vec<Unhealthy> {
        let mut unhealthy = Vec::new();
        for (gateway, rows) in self.members.iter().enumerate() {
            let alive = alive(rows);
            if alive != config.gateways {
                let detail = format!("{} holds {alive} alive", gateway_name(gateway));
                unhealthy.push(Unhealthy { aspect: Aspect::Members, detail });
            }
        }
        unhealthy
    }

    fn unhealthy_leases(&self, config: &ScenarioConfig) -> Vec<Unhealthy> {
        let mut unhealthy = Vec::new();
        let holders = self.holders();
        if holders.len() != config.lease_count() {
            let detail = format!("{} leases are known", holders.len());
            unhealthy.push(Unhealthy { aspect: Aspect::Leases, detail });
        }
        for (lease, holders) in holders.iter().filter(|(_, holders)| holders.len() != 1) {
            let detail = format!("{lease} is held by {holders:?}");
            unhealthy.push(Unhealthy { aspect: Aspect::Leases, detail });
        }
        unhealthy
    }

    /// Engines that a gateway uses without a granted quota of their threads.
    fn unhealthy_quotas(&self, ready: &[u32]) -> Vec<Unhealthy> {
        let mut unhealthy = Vec::new();
        let quotas = self.quotas_by_capacity();
        for id in ready {
            let engine = format!("{id:08x}");
            let capacity = format!("threads/{id:08x}");
            let is_granted = |gateway: &usize| {
                let quota = quotas.get(&capacity[..]).and_then(|quotas| quotas.get(gateway));
                quota.is_some_and(|quota| quota.granted)
            };
            let without: Vec<usize> = rows_of(&self.engines)
                .filter(|of| of.row[column::ENGINE] == engine && of.row[column::IN_SUBSET] == "used")
                .map(|of| of.gateway)
                .filter(|gateway| !is_granted(gateway))
                .collect();
            if !without.is_empty() {
                let detail = format!("{capacity} is not granted to {without:?}");
                unhealthy.push(Unhealthy { aspect: Aspect::Quotas, detail });
            }
        }
        unhealthy
    }

    fn unhealthy_engines(&self) -> Vec<Unhealthy> {
        let ejected = self.ejections().into_iter().map(|ejection| {
            let detail = format!("{} has ejected {}", gateway_name(ejection.gateway), ejection.engine);
            Unhealthy { aspect: Aspect::Engines, detail }
        });
        let mut unhealthy: Vec<Unhealthy> = ejected.collect();
        if self.engines.iter().any(Option::is_none) {
            let detail = "not all gateways say how they rate engines".to_owned();
            unhealthy.push(Unhealthy { aspect: Aspect::Engines, detail });
        }
        unhealthy
    }
}
