//! The operator's own settings in TOML, beside the configuration that the platform hands out. A file is taken whole
//! or not at all; what it does not name is off. Faults are said with the line and the field.

use larchfall_config::Names;
use larchfall_health_gossip::aggregation::AggregationSettings;
use larchfall_leases::candidacy::LeaseTerms;
use larchfall_leases::fitness::FitnessThresholds;
use larchfall_leases::load_sharing::{LoadSharingSettings, health_check_role, quota_allocator_role};
use larchfall_leases::manager::LeaseSettings as DutySettings;
use larchfall_leases::quorum::VoterSet;
use larchfall_leases::voter::VoterLimits;
use larchfall_membership::fleet_size::FleetSizeSettings;
use larchfall_membership::member_update::MAX_NAME_BYTES;
use larchfall_membership::membership::{MembershipSettings, Network};
use larchfall_paged_rest::cursor::Window;
use larchfall_paged_rest::results::Caps;
use larchfall_paged_rest::words::{Family, Source, Sources};
use larchfall_policy::time::Duration;
use larchfall_subsetting::aperture::ApertureSettings;
use larchfall_subsetting::plan::PlanSettings;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use toml::Spanned;

/// An elector passes over more duties than this.
const MOST_DUTIES: usize = 10_000;
/// Of the whole scale by which duties are spread, so much another must be better to take one over.
const BETTER: f64 = 0.1;

#[derive(Clone, Debug, Default)]
pub struct Site {
    pub rest: Option<Rest>,
    pub gateways: Option<Gateways>,
    pub duties: Option<Duties>,
    pub subsets: Option<Subsets>,
    pub signals: Option<Signals>,
}

/// What gateways tell each other of engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Signals {
    /// So often, to so many others.
    pub every: Duration,
    pub fanout: usize,
    pub weigh: AggregationSettings,
    /// One try of an engine that was left out in each such time, by one gateway; absent: each by itself.
    pub turn: Option<Duration>,
}

/// Which engines a gateway uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Subsets {
    pub plan: PlanSettings,
    pub aperture: ApertureSettings,
    /// Looked at so often.
    pub look: Duration,
}

/// What one gateway of them does at a time.
#[derive(Clone, Debug)]
pub struct Duties {
    pub settings: DutySettings,
    /// A folder for what an elector remembers; none: it remembers nothing over a restart.
    pub record: Option<PathBuf>,
    /// Below which a gateway holds no duty.
    pub lines: FitnessThresholds,
    pub probing: Option<LoadSharingSettings>,
    pub keepers: Option<Keepers>,
    pub programs: Vec<Program>,
}

/// Who hands out shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keepers {
    /// How many duties share the capacities.
    pub keepers: usize,
    /// How long a share lasts.
    pub length: Duration,
    pub kinds: Kinds,
}

/// What is handed out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kinds {
    pub slow_start: bool,
    pub threads: bool,
    pub tenants: bool,
}

/// A program of the operator's that runs while this gateway holds its duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Program {
    pub duty: String,
    pub command: Vec<String>,
    /// It is told to end so long before it is killed, and killed before the lease is over.
    pub end: Duration,
}

/// The gateways among themselves.
#[derive(Clone, Debug)]
pub struct Gateways {
    pub name: String,
    pub address: SocketAddrV4,
    /// Where others are told that it listens.
    pub told: SocketAddrV4,
    pub zone: String,
    /// Requests a second that this gateway is meant to take, as others are told.
    pub serves: u32,
    pub settings: MembershipSettings,
    /// The module counts the gateways that live, by these bounds; none: those that the settings name.
    pub count: Option<FleetSizeSettings>,
}

/// The paged REST protocol for clients.
#[derive(Clone, Debug)]
pub struct Rest {
    pub listen: SocketAddrV4,
    /// Scheme, host and port in the addresses of pages; none: as the client's call names the host.
    pub base: Option<String>,
    pub headers: Family,
    /// Client connections, taken off those of the other protocol.
    pub connections: usize,
    /// Bytes of a statement.
    pub statement: usize,
    /// A call for a page that is not there is held back so long at most.
    pub poll: Duration,
    pub caps: Caps,
    pub request: Sources,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    rest: Option<RawRest>,
    #[serde(rename = "fronts")]
    gateways: Option<RawGateways>,
    duties: Option<RawDuties>,
    subsets: Option<RawSubsets>,
    signals: Option<Spanned<RawSignals>>,
    #[serde(default)]
    duty: Vec<RawProgram>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct RawSubsets {
    least: Spanned<usize>,
    #[serde(default = "slack")]
    slack: Spanned<usize>,
    #[serde(default = "grows_ms")]
    grows_ms: Spanned<u64>,
    #[serde(default = "shrinks_ms")]
    shrinks_ms: Spanned<u64>,
    #[serde(default = "look_ms")]
    look_ms: Spanned<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct RawSignals {
    #[serde(default = "every_ms")]
    every_ms: Spanned<u64>,
    #[serde(default = "fanout")]
    fanout: Spanned<usize>,
    #[serde(default = "window_ms")]
    window_ms: Spanned<u64>,
    #[serde(default = "lasts_ms")]
    lasts_ms: Spanned<u64>,
    turn_ms: Option<Spanned<u64>>,
}

fn every_ms() -> Spanned<u64> {
    unsaid(250)
}
fn fanout() -> Spanned<usize> {
    unsaid(8)
}
fn window_ms() -> Spanned<u64> {
    unsaid(10_000)
}
fn lasts_ms() -> Spanned<u64> {
    unsaid(4_000)
}

fn slack() -> Spanned<usize> {
    unsaid(250)
}
fn grows_ms() -> Spanned<u64> {
    unsaid(1_000)
}
fn shrinks_ms() -> Spanned<u64> {
    unsaid(10_000)
}
fn look_ms() -> Spanned<u64> {
    unsaid(500)
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct RawDuties {
    electors: Spanned<Vec<Spanned<String>>>,
    #[serde(default)]
    electors_before: Option<Spanned<Vec<Spanned<String>>>>,
    #[serde(default = "lease_ms")]
    lease_ms: Spanned<u64>,
    #[serde(default = "longest_ms")]
    longest_ms: Spanned<u64>,
    #[serde(default = "margin")]
    margin: Spanned<usize>,
    #[serde(default = "least_ms")]
    least_ms: Spanned<u64>,
    #[serde(default)]
    record: Option<PathBuf>,
    #[serde(default)]
    stale_ms: Option<Spanned<u64>>,
    #[serde(default)]
    ill: Option<Spanned<usize>>,
    #[serde(default)]
    probing: Option<Spanned<usize>>,
    #[serde(default)]
    keepers: Option<Spanned<usize>>,
    #[serde(default = "share_ms")]
    share_ms: Spanned<u64>,
    #[serde(default = "only_slow_start")]
    hand_out: Vec<RawKind>,
    #[serde(default = "probe_ms")]
    probe_ms: Spanned<u64>,
    #[serde(default = "fresh_ms")]
    fresh_ms: Spanned<u64>,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawKind {
    #[serde(rename = "cold")]
    SlowStart,
    Threads,
    #[serde(rename = "customers")]
    Tenants,
}

fn only_slow_start() -> Vec<RawKind> {
    vec![RawKind::SlowStart]
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct RawProgram {
    name: Spanned<String>,
    command: Spanned<Vec<String>>,
    #[serde(default = "end_ms")]
    end_ms: Spanned<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct RawGateways {
    cluster: Spanned<String>,
    name: Spanned<String>,
    address: Spanned<String>,
    #[serde(default)]
    told: Option<Spanned<String>>,
    seeds: Vec<Spanned<String>>,
    networks: Vec<Spanned<String>>,
    #[serde(default)]
    zone: Option<Spanned<String>>,
    #[serde(default)]
    serves: u32,
    #[serde(default = "period_ms")]
    period_ms: Spanned<u64>,
    #[serde(default = "answer_ms")]
    answer_ms: Spanned<u64>,
    #[serde(default = "table_ms")]
    table_ms: Spanned<u64>,
    #[serde(default = "remembered_ms")]
    remembered_ms: Spanned<u64>,
    #[serde(default = "most")]
    most: Spanned<usize>,
    #[serde(default)]
    shares: bool,
    #[serde(default = "count_within_ms")]
    count_within_ms: Spanned<u64>,
    #[serde(default = "count_step_ms")]
    count_step_ms: Spanned<u64>,
    #[serde(default = "count_least")]
    count_least: Spanned<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct RawRest {
    listen: Spanned<String>,
    base: Option<Spanned<String>>,
    #[serde(default)]
    headers: Family,
    #[serde(default = "connections")]
    connections: Spanned<usize>,
    #[serde(default = "statement_bytes")]
    statement_bytes: Spanned<usize>,
    #[serde(default = "poll_ms")]
    poll_ms: Spanned<u64>,
    #[serde(default = "kept_for_ms")]
    kept_for_ms: Spanned<u64>,
    #[serde(default = "results")]
    results: Spanned<usize>,
    #[serde(default = "in_hand")]
    in_hand: Spanned<usize>,
    #[serde(default = "result_pages")]
    result_pages: Spanned<usize>,
    #[serde(default = "result_bytes")]
    result_bytes: Spanned<usize>,
    #[serde(default = "all_bytes")]
    all_bytes: Spanned<usize>,
    #[serde(rename = "batch")]
    request: Spanned<Sources>,
}

/// A default stands in no line.
fn unsaid<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}

fn period_ms() -> Spanned<u64> {
    unsaid(500)
}
fn answer_ms() -> Spanned<u64> {
    unsaid(150)
}
fn table_ms() -> Spanned<u64> {
    unsaid(3_000)
}
fn remembered_ms() -> Spanned<u64> {
    unsaid(60_000)
}
fn count_within_ms() -> Spanned<u64> {
    unsaid(30_000)
}
fn count_step_ms() -> Spanned<u64> {
    unsaid(2_000)
}
fn count_least() -> Spanned<usize> {
    unsaid(1)
}
fn most() -> Spanned<usize> {
    unsaid(1_024)
}
fn lease_ms() -> Spanned<u64> {
    unsaid(3_000)
}
fn longest_ms() -> Spanned<u64> {
    unsaid(10_000)
}
fn margin() -> Spanned<usize> {
    unsaid(60)
}
fn least_ms() -> Spanned<u64> {
    unsaid(30_000)
}
fn share_ms() -> Spanned<u64> {
    unsaid(1_000)
}
fn probe_ms() -> Spanned<u64> {
    unsaid(500)
}
fn fresh_ms() -> Spanned<u64> {
    unsaid(1_500)
}
fn end_ms() -> Spanned<u64> {
    unsaid(300)
}
fn connections() -> Spanned<usize> {
    unsaid(32)
}
fn statement_bytes() -> Spanned<usize> {
    unsaid(64 << 10)
}
fn poll_ms() -> Spanned<u64> {
    unsaid(1_000)
}
fn kept_for_ms() -> Spanned<u64> {
    unsaid(10_000)
}
fn results() -> Spanned<usize> {
    unsaid(256)
}
fn in_hand() -> Spanned<usize> {
    unsaid(32)
}
fn result_pages() -> Spanned<usize> {
    unsaid(4)
}
fn result_bytes() -> Spanned<usize> {
    unsaid(64 << 10)
}
fn all_bytes() -> Spanned<usize> {
    unsaid(8 << 20)
}

/// Reads the file; what is wrong is said with its name, the line and the field.
pub fn read(path: &str, names: &Names) -> Result<Site, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    parse(&text, names).map_err(|e| format!("{path}: {e}"))
}

pub fn parse(text: &str, names: &Names) -> Result<Site, String> {
    let raw: Raw = toml::from_str(text).map_err(|e| {
        let at = e.span().map_or(String::new(), |duration| format!("line {}: ", line(text, duration.start)));
        format!("{at}{}", e.message())
    })?;
    let gateways = raw.gateways.map(|raw| gateways(text, raw)).transpose()?;
    let duties =
        raw.duties.map(|raw_duties| duties(text, raw_duties, &raw.duty, gateways.as_ref())).transpose()?;
    if let (None, Some(first)) = (&duties, raw.duty.first()) {
        return Err(format!("line {}: duty: needs a [duties] table", line(text, first.name.span().start)));
    }
    let subsets = raw.subsets.map(|raw| subsets(text, &raw)).transpose()?;
    let signals = raw.signals.map(|raw| signals(text, &raw, gateways.as_ref())).transpose()?;
    let rest = raw.rest.map(|raw| rest(text, raw, names)).transpose()?;
    Ok(Site { rest, gateways, duties, subsets, signals })
}

fn line(text: &str, at: usize) -> usize {
    1 + text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count()
}

/// One table of the file: what is wrong with a field of it is said with its line and name.
struct Table<'a> {
    text: &'a str,
    name: &'static str,
}

impl Table<'_> {
    fn fault(&self, at: usize, field: &str, why: &str) -> String {
        format!("line {}: {}.{field}: {why}", line(self.text, at), self.name)
    }

    fn number(&self, value: &Spanned<usize>, field: &str, from: usize, to: usize) -> Result<usize, String> {
        let n = *value.get_ref();
        let why = || self.fault(value.span().start, field, &format!("{n} is not within {from} to {to}"));
        (from..=to).contains(&n).then_some(n).ok_or_else(why)
    }

    fn time(&self, value: &Spanned<u64>, field: &str, from: u64, to: u64) -> Result<Duration, String> {
        let n = *value.get_ref();
        let why = || self.fault(value.span().start, field, &format!("{n} ms is not within {from} to {to}"));
        (from..=to).contains(&n).then_some(Duration::from_millis(n)).ok_or_else(why)
    }
}

fn gateways(text: &str, raw: RawGateways) -> Result<Gateways, String> {
    let table = Table { text, name: "fronts" };
    let fault = |at: usize, field: &str, why: &str| table.fault(at, field, why);
    let name = |value: &Spanned<String>, field: &str| {
        let why = format!("wanted 1 to {MAX_NAME_BYTES} bytes");
        let fits = (1..=MAX_NAME_BYTES).contains(&value.get_ref().len());
        fits.then(|| value.get_ref().clone()).ok_or_else(|| fault(value.span().start, field, &why))
    };
    let time = |value: &Spanned<u64>, field: &str, from, to| table.time(value, field, from, to);
    let address = |value: &Spanned<String>, field: &str| {
        let why = |_| fault(value.span().start, field, "no IPv4 address with a port");
        value.get_ref().parse::<SocketAddrV4>().map_err(why)
    };
    let network = |value: &Spanned<String>| {
        let (at, bits) = value.get_ref().split_once('/').unwrap_or((value.get_ref(), "32"));
        let read = at.parse().ok().zip(bits.parse().ok().filter(|bits| *bits <= 32));
        read.map(|(address, prefix_len)| Network { address, prefix_len }).ok_or_else(|| {
            fault(value.span().start, "networks", "wanted an address and its bits, as 10.0.0.0/24")
        })
    };
    let period = time(&raw.period_ms, "period-ms", 50, 60_000)?;
    let answer_within = time(&raw.answer_ms, "answer-ms", 10, 60_000)?;
    if answer_within * 2.0 > period {
        let why = "others that are asked to help need as long again within a period";
        return Err(fault(raw.answer_ms.span().start, "answer-ms", why));
    }
    let settings = MembershipSettings {
        cluster: name(&raw.cluster, "cluster")?,
        probe_interval: period,
        probe_timeout: answer_within,
        helpers: 3,
        remember_ended: time(&raw.remembered_ms, "remembered-ms", 1_000, 3_600_000)?,
        table_interval: time(&raw.table_ms, "table-ms", 100, 600_000)?,
        max_members: table.number(&raw.most, "most", 2, 65_536)?,
        networks: raw.networks.iter().map(network).collect::<Result<_, _>>()?,
        seeds: raw.seeds.iter().map(|seed| address(seed, "seeds")).collect::<Result<_, _>>()?,
    };
    let count = FleetSizeSettings {
        window: time(&raw.count_within_ms, "count-within-ms", 100, 3_600_000)?,
        step: time(&raw.count_step_ms, "count-step-ms", 10, 600_000)?,
        min: table.number(&raw.count_least, "count-least", 1, 65_536)?,
    };
    let listens = address(&raw.address, "address")?;
    let told = raw.told.as_ref().map(|told| address(told, "told")).transpose()?.unwrap_or(listens);
    if told.port() == 0 || told.ip().is_unspecified() {
        return Err(fault(raw.address.span().start, "address", "others need an address and a port of it"));
    }
    Ok(Gateways {
        name: name(&raw.name, "name")?,
        address: listens,
        told,
        zone: raw.zone.map(|zone| name(&zone, "zone")).transpose()?.unwrap_or_default(),
        serves: raw.serves,
        settings,
        count: raw.shares.then_some(count),
    })
}

fn signals(text: &str, raw: &Spanned<RawSignals>, gateways: Option<&Gateways>) -> Result<Signals, String> {
    let (table, at, raw) = (Table { text, name: "signals" }, raw.span().start, raw.get_ref());
    gateways.ok_or_else(|| table.fault(at, "every-ms", "needs a [fronts] table"))?;
    let every = table.time(&raw.every_ms, "every-ms", 20, 60_000)?;
    let fanout = table.number(&raw.fanout, "fanout", 1, 64)?;
    let window = table.time(&raw.window_ms, "window-ms", 100, 600_000)?;
    let lasts = table.time(&raw.lasts_ms, "lasts-ms", 100, 600_000)?;
    let turn = raw.turn_ms.as_ref().map(|n| table.time(n, "turn-ms", 100, 600_000)).transpose()?;
    Ok(Signals { every, fanout, weigh: AggregationSettings { window, max_age: lasts }, turn })
}

fn subsets(text: &str, raw: &RawSubsets) -> Result<Subsets, String> {
    let table = Table { text, name: "subsets" };
    let least = table.number(&raw.least, "least", 1, 1024)?;
    let slack = table.number(&raw.slack, "slack", 0, 1000)? as f64 / 1000.0;
    let grows = table.time(&raw.grows_ms, "grows-ms", 10, 600_000)?;
    let shrinks = table.time(&raw.shrinks_ms, "shrinks-ms", 10, 3_600_000)?;
    let look = table.time(&raw.look_ms, "look-ms", 10, 60_000)?;
    Ok(Subsets {
        plan: PlanSettings { min_engines: least, load_slack: slack },
        aperture: ApertureSettings { grow_interval: grows, shrink_interval: shrinks },
        look,
    })
}

fn duties(
    text: &str,
    raw: RawDuties,
    programs: &[RawProgram],
    gateways: Option<&Gateways>,
) -> Result<Duties, String> {
    let table = Table { text, name: "duties" };
    let at = raw.electors.span().start;
    let gateways = gateways.ok_or_else(|| table.fault(at, "electors", "needs a [fronts] table"))?;
    let list = |list: &Spanned<Vec<Spanned<String>>>, field: &str| {
        let names: BTreeSet<String> = list.get_ref().iter().map(|name| name.get_ref().clone()).collect();
        let fits = matches!(names.len(), 3 | 5 | 7) && names.len() == list.get_ref().len();
        let short = names.iter().all(|name| (1..=MAX_NAME_BYTES).contains(&name.len()));
        (fits && short)
            .then_some(names)
            .ok_or_else(|| table.fault(list.span().start, field, "wanted the names of 3, 5 or 7 fronts"))
    };
    let before = raw.electors_before.as_ref().map(|l| list(l, "electors-before")).transpose()?;
    let electors = VoterSet { current: list(&raw.electors, "electors")?, previous: before };
    let length = table.time(&raw.lease_ms, "lease-ms", 200, 60_000)?;
    let longest = table.time(&raw.longest_ms, "longest-ms", 200, 600_000)?;
    if longest < length {
        let why = "electors would grant less than lease-ms";
        return Err(table.fault(raw.longest_ms.span().start, "longest-ms", why));
    }
    let probe = raw.probing.as_ref().map(|n| table.number(n, "probing", 1, 64)).transpose()?;
    let every = table.time(&raw.probe_ms, "probe-ms", 20, 60_000)?;
    let fresh = table.time(&raw.fresh_ms, "fresh-ms", 20, 600_000)?;
    if fresh < every {
        let why = "what is read each probe-ms would be old before it is read again";
        return Err(table.fault(raw.fresh_ms.span().start, "fresh-ms", why));
    }
    let probing = probe.map(|roles| LoadSharingSettings { roles, interval: every, max_age: fresh });
    let mut names: BTreeSet<String> = (0..probe.unwrap_or_default()).map(health_check_role).collect();
    let keepers = raw.keepers.as_ref().map(|n| table.number(n, "keepers", 1, 64)).transpose()?;
    let lasts = table.time(&raw.share_ms, "share-ms", 100, 60_000)?;
    let out = |kind| raw.hand_out.contains(&kind);
    let kinds = Kinds {
        slow_start: out(RawKind::SlowStart),
        threads: out(RawKind::Threads),
        tenants: out(RawKind::Tenants),
    };
    let keepers = keepers.map(|keepers| Keepers { keepers, length: lasts, kinds });
    names.extend((0..keepers.map_or(0, |k| k.keepers)).map(quota_allocator_role));
    let of_program = Table { text, name: "duty" };
    let mut taken = Vec::new();
    for program in programs {
        let (name, at) = (program.name.get_ref().clone(), program.name.span().start);
        if !(1..=MAX_NAME_BYTES).contains(&name.len()) || !names.insert(name.clone()) {
            let why = format!("wanted 1 to {MAX_NAME_BYTES} bytes that no other duty has");
            return Err(of_program.fault(at, "name", &why));
        }
        let command = program.command.get_ref().clone();
        if command.first().is_none_or(String::is_empty) {
            return Err(of_program.fault(program.command.span().start, "command", "names no program"));
        }
        // Renewed each third of a lease, two thirds are left at the worst: an ordinary delay ends nothing.
        let end = of_program.time(&program.end_ms, "end-ms", 10, length.micros() / 4000)?;
        taken.push(Program { duty: name, command, end });
    }
    let margin = table.number(&raw.margin, "margin", 1, 500)? as u32;
    let settings = DutySettings {
        cluster: gateways.settings.cluster.clone(),
        voters: electors,
        terms: LeaseTerms { length, drift_margin_per_mille: margin },
        voter_limits: VoterLimits {
            longest_lease: longest,
            max_roles: MOST_DUTIES,
            persistent: raw.record.is_some(),
        },
        roles: names,
        min_hold: table.time(&raw.least_ms, "least-ms", 0, 3_600_000)?,
        better_margin: BETTER,
    };
    let stale = raw.stale_ms.as_ref().map(|n| table.time(n, "stale-ms", 100, 3_600_000)).transpose()?;
    let ill = raw.ill.as_ref().map(|n| table.number(n, "ill", 1, 8)).transpose()?;
    let lines =
        FitnessThresholds { max_discovery_silence: stale, unhealthy_score: ill.map(|ill| ill as u32) };
    Ok(Duties { settings, record: raw.record, lines, probing, keepers, programs: taken })
}

fn rest(text: &str, raw: RawRest, names: &Names) -> Result<Rest, String> {
    let table = Table { text, name: "rest" };
    let fault = |at: usize, field: &str, why: &str| table.fault(at, field, why);
    let within = |value: &Spanned<usize>, field: &str, from, to| table.number(value, field, from, to);
    let time = |value: &Spanned<u64>, field: &str, from, to| table.time(value, field, from, to);
    let listen = raw.listen.get_ref().parse();
    let listen = listen.map_err(|_| fault(raw.listen.span().start, "listen", "no address with a port"))?;
    if let Some(base) = &raw.base
        && !(base.get_ref().starts_with("http://") || base.get_ref().starts_with("https://"))
    {
        return Err(fault(base.span().start, "base", "wanted http:// or https://, host and port"));
    }
    let poll = time(&raw.poll_ms, "poll-ms", 1, 60_000)?;
    let kept_for = time(&raw.kept_for_ms, "kept-for-ms", 100, 3_600_000)?;
    if kept_for <= poll {
        let why = "a result must be kept for longer than a call for a page is held back";
        return Err(fault(raw.kept_for_ms.span().start, "kept-for-ms", why));
    }
    let window = Window {
        pages: within(&raw.result_pages, "result-pages", 1, 1024)?,
        bytes: within(&raw.result_bytes, "result-bytes", 1024, 64 << 20)?,
        kept_for,
    };
    let caps = Caps {
        results: within(&raw.results, "results", 1, 100_000)?,
        making: within(&raw.in_hand, "in-hand", 1, 100_000)?,
        bytes: within(&raw.all_bytes, "all-bytes", 1024, 1 << 40)?,
        window,
    };
    let at = raw.request.span().start;
    let request = raw.request.into_inner();
    if request.class.is_empty() {
        return Err(fault(at, "batch.group", "no source names the service group"));
    }
    for (field, sources, known) in
        [("batch.group", &request.class, &names.classes), ("batch.customer", &request.tenant, &names.tenants)]
    {
        let unknown = |s: &&Source| matches!(s, Source::Value(v) if !known.contains(v));
        if let Some(Source::Value(value)) = sources.iter().find(unknown) {
            return Err(fault(at, field, &format!("'{value}' is not in the settings")));
        }
    }
    if !names.tenants.is_empty() && request.tenant.is_empty() {
        return Err(fault(at, "batch.customer", "the settings have customers, and no source names one"));
    }
    Ok(Rest {
        listen,
        base: raw.base.map(|b| b.into_inner().trim_end_matches('/').to_owned()),
        headers: raw.headers,
        connections: within(&raw.connections, "connections", 1, 100_000)?,
        statement: within(&raw.statement_bytes, "statement-bytes", 1, 1 << 20)?,
        poll,
        caps,
        request,
    })
}
