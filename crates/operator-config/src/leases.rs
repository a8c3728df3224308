//! `[duties]` and each `[[duty]]`: what one gateway at a time does, and the programs that the operator runs so.

use crate::error::{ConfigError, Problem};
use crate::membership::MembershipConfig;
use crate::table::{Table, default_count, default_ms, line};
use larchfall_leases::candidacy::LeaseTerms;
use larchfall_leases::fitness::FitnessThresholds;
use larchfall_leases::load_sharing::{LoadSharingSettings, health_check_role, quota_allocator_role};
use larchfall_leases::manager::LeaseSettings;
use larchfall_leases::quorum::VoterSet;
use larchfall_leases::voter::VoterLimits;
use larchfall_membership::member_update::MAX_NAME_BYTES;
use larchfall_policy::time::Duration;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::PathBuf;
use toml::Spanned;

/// No voter votes on more roles than this.
const MAX_ROLES: usize = 10_000;
/// A role moves to a gateway that is better for it by this part of the scale by which roles are spread.
const MIN_IMPROVEMENT: f64 = 0.1;

/// What one gateway at a time does.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// Voters, leases and roles.
    pub settings: LeaseSettings,
    /// The folder for what a voter remembers; `None`: it remembers nothing over a restart.
    pub voter_record_directory: Option<PathBuf>,
    /// Below which a gateway holds no role.
    pub fitness: FitnessThresholds,
    /// Load reports that one gateway asks engines for, for all.
    pub load_sharing: Option<LoadSharingSettings>,
    /// Quotas that one gateway hands out to all.
    pub quotas: Option<QuotaConfig>,
    /// The operator's programs.
    pub programs: Vec<ProgramConfig>,
}

/// How quotas are handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaConfig {
    /// How many roles the capacities are divided among.
    pub allocators: usize,
    /// How long a quota lasts.
    pub lifetime: Duration,
    /// What is handed out.
    pub kinds: QuotaKinds,
}

/// What is handed out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaKinds {
    /// Attempts at engines in slow start.
    pub slow_start: bool,
    /// Threads of engines.
    pub threads: bool,
    /// Quota rates of tenants.
    pub tenants: bool,
}

/// A program of the operator's that runs while this gateway holds its role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramConfig {
    /// The name of its role.
    pub role: String,
    /// The program and its arguments.
    pub command: Vec<String>,
    /// Time between the request to end and the kill, which comes before the lease is over.
    pub stop_grace: Duration,
}

/// The table as it is written.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct RawDuties {
    electors: Spanned<Vec<Spanned<String>>>,
    #[serde(default)]
    electors_before: Option<Spanned<Vec<Spanned<String>>>>,
    #[serde(default = "default_ms::<3_000>")]
    lease_ms: Spanned<u64>,
    #[serde(default = "default_ms::<10_000>")]
    longest_ms: Spanned<u64>,
    #[serde(default = "default_count::<60>")]
    margin: Spanned<usize>,
    #[serde(default = "default_ms::<30_000>")]
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
    #[serde(default = "default_ms::<1_000>")]
    share_ms: Spanned<u64>,
    #[serde(default = "slow_start_only")]
    hand_out: Vec<RawKind>,
    #[serde(default = "default_ms::<500>")]
    probe_ms: Spanned<u64>,
    #[serde(default = "default_ms::<1_500>")]
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

fn slow_start_only() -> Vec<RawKind> {
    vec![RawKind::SlowStart]
}

/// One `[[duty]]` as it is written.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct RawProgram {
    name: Spanned<String>,
    command: Spanned<Vec<String>>,
    #[serde(default = "default_ms::<300>")]
    end_ms: Spanned<u64>,
}

/// Programs run under leases, so they need the table of these.
pub(crate) fn refuse_without_leases(text: &str, programs: &[RawProgram]) -> Result<(), ConfigError> {
    match programs.first() {
        Some(first) => Err(ConfigError::ProgramWithoutLeases { line: line(text, first.name.span().start) }),
        None => Ok(()),
    }
}

pub(crate) fn check(
    text: &str,
    raw: RawDuties,
    raw_programs: &[RawProgram],
    membership: Option<&MembershipConfig>,
) -> Result<LeaseConfig, ConfigError> {
    let table = Table::new(text, "duties");
    let Some(membership) = membership else {
        return Err(table.refuse(&raw.electors, "electors", Problem::NeedsMembership));
    };
    let previous = raw.electors_before.as_ref();
    let previous = previous.map(|names| voters(&table, names, "electors-before")).transpose()?;
    let current = voters(&table, &raw.electors, "electors")?;
    let length = table.duration(&raw.lease_ms, "lease-ms", 200, 60_000)?;
    let longest_lease = longest_lease(&table, &raw, length)?;
    let load_sharing = load_sharing(&table, &raw)?;
    let quotas = quotas(&table, &raw)?;
    let mut roles = built_in_roles(load_sharing, quotas);
    let programs = programs(text, raw_programs, &mut roles, length)?;
    let drift_margin_per_mille = table.count(&raw.margin, "margin", 1, 500)? as u32;
    let settings = LeaseSettings {
        cluster: membership.settings.cluster.clone(),
        voters: VoterSet { current, previous },
        terms: LeaseTerms { length, drift_margin_per_mille },
        voter_limits: VoterLimits { longest_lease, max_roles: MAX_ROLES, persistent: raw.record.is_some() },
        roles,
        min_hold_time: table.duration(&raw.least_ms, "least-ms", 0, 3_600_000)?,
        better_holder_margin: MIN_IMPROVEMENT,
    };
    let fitness = fitness(&table, &raw)?;
    Ok(LeaseConfig { settings, voter_record_directory: raw.record, fitness, load_sharing, quotas, programs })
}

/// The names of the gateways that vote: an odd number of them, none twice.
fn voters(
    table: &Table,
    list: &Spanned<Vec<Spanned<String>>>,
    field: &'static str,
) -> Result<BTreeSet<String>, ConfigError> {
    let names: BTreeSet<String> = list.get_ref().iter().map(|name| name.get_ref().clone()).collect();
    let is_quorum_size = matches!(names.len(), 3 | 5 | 7) && names.len() == list.get_ref().len();
    if is_quorum_size && names.iter().all(|name| (1..=MAX_NAME_BYTES).contains(&name.len())) {
        Ok(names)
    } else {
        let names = list.get_ref().iter().map(|name| name.get_ref().clone()).collect();
        Err(table.refuse(list, field, Problem::InvalidVoterNames { names }))
    }
}

/// The longest lease that this gateway grants as a voter.
fn longest_lease(table: &Table, raw: &RawDuties, length: Duration) -> Result<Duration, ConfigError> {
    let longest = table.duration(&raw.longest_ms, "longest-ms", 200, 600_000)?;
    if longest < length {
        let problem = Problem::MaximumBelowLease {
            maximum_ms: *raw.longest_ms.get_ref(),
            lease_ms: *raw.lease_ms.get_ref(),
        };
        return Err(table.refuse(&raw.longest_ms, "longest-ms", problem));
    }
    Ok(longest)
}

fn load_sharing(table: &Table, raw: &RawDuties) -> Result<Option<LoadSharingSettings>, ConfigError> {
    let role_count = raw.probing.as_ref().map(|count| table.count(count, "probing", 1, 64)).transpose()?;
    let check_interval = table.duration(&raw.probe_ms, "probe-ms", 20, 60_000)?;
    let max_report_age = table.duration(&raw.fresh_ms, "fresh-ms", 20, 600_000)?;
    if max_report_age < check_interval {
        let problem = Problem::StaleBeforeNextProbe {
            fresh_ms: *raw.fresh_ms.get_ref(),
            probe_ms: *raw.probe_ms.get_ref(),
        };
        return Err(table.refuse(&raw.fresh_ms, "fresh-ms", problem));
    }
    Ok(role_count.map(|role_count| LoadSharingSettings { role_count, check_interval, max_report_age }))
}

fn quotas(table: &Table, raw: &RawDuties) -> Result<Option<QuotaConfig>, ConfigError> {
    let allocators = raw.keepers.as_ref().map(|count| table.count(count, "keepers", 1, 64)).transpose()?;
    let lifetime = table.duration(&raw.share_ms, "share-ms", 100, 60_000)?;
    let hands_out = |kind| raw.hand_out.contains(&kind);
    let kinds = QuotaKinds {
        slow_start: hands_out(RawKind::SlowStart),
        threads: hands_out(RawKind::Threads),
        tenants: hands_out(RawKind::Tenants),
    };
    Ok(allocators.map(|allocators| QuotaConfig { allocators, lifetime, kinds }))
}

/// The names of the roles that are not the operator's programs.
fn built_in_roles(
    load_sharing: Option<LoadSharingSettings>,
    quotas: Option<QuotaConfig>,
) -> BTreeSet<String> {
    let health_checks = (0..load_sharing.map_or(0, |settings| settings.role_count)).map(health_check_role);
    let allocators = (0..quotas.map_or(0, |quotas| quotas.allocators)).map(quota_allocator_role);
    health_checks.chain(allocators).collect()
}

/// The operator's programs. Each is a role of its own, and adds its name to the roles.
fn programs(
    text: &str,
    raw_programs: &[RawProgram],
    roles: &mut BTreeSet<String>,
    length: Duration,
) -> Result<Vec<ProgramConfig>, ConfigError> {
    let table = Table::new(text, "duty");
    // Renewed in each third of its length, a lease has two thirds left at the worst: an ordinary delay ends no program.
    let longest_end_ms = length.micros() / 4000;
    let mut programs = Vec::new();
    for raw in raw_programs {
        let role = raw.name.get_ref().clone();
        if !(1..=MAX_NAME_BYTES).contains(&role.len()) || !roles.insert(role.clone()) {
            let problem = Problem::InvalidRoleName { value: role, maximum: MAX_NAME_BYTES };
            return Err(table.refuse(&raw.name, "name", problem));
        }
        let command = raw.command.get_ref().clone();
        if command.first().is_none_or(String::is_empty) {
            return Err(table.refuse(&raw.command, "command", Problem::EmptyCommand));
        }
        let stop_grace = table.duration(&raw.end_ms, "end-ms", 10, longest_end_ms)?;
        programs.push(ProgramConfig { role, command, stop_grace });
    }
    Ok(programs)
}

fn fitness(table: &Table, raw: &RawDuties) -> Result<FitnessThresholds, ConfigError> {
    let silence = raw.stale_ms.as_ref();
    let max_discovery_silence =
        silence.map(|limit| table.duration(limit, "stale-ms", 100, 3_600_000)).transpose()?;
    let unhealthy_score = raw.ill.as_ref().map(|score| table.count(score, "ill", 1, 8)).transpose()?;
    Ok(FitnessThresholds {
        max_discovery_silence,
        unhealthy_score: unhealthy_score.map(|score| score as u32),
    })
}
