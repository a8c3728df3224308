//! The `[duties]` table and the `[[duty]]` tables: roles that one gateway at a time holds under a lease, and the
//! operator's programs that run under such a lease.

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

/// Largest number of roles on which a voter votes.
const MAX_ROLES: usize = 10_000;
/// Score advantage from which a role moves to another gateway. Scores, which spread the roles over the gateways, range
/// from 0 to 1.
const MIN_SCORE_ADVANTAGE: f64 = 0.1;

/// Settings of leases and of the roles held under them.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// Voters, lease terms and roles.
    pub settings: LeaseSettings,
    /// Directory of the voter record; `None` if a voter keeps no record across restarts.
    pub voter_record_directory: Option<PathBuf>,
    /// Thresholds of health beyond which a gateway holds no role.
    pub fitness: FitnessThresholds,
    /// Sharing of load reports, which one gateway requests from engines for all gateways; `None` if off.
    pub load_sharing: Option<LoadSharingSettings>,
    /// Quotas, which one gateway allocates to all gateways; `None` if off.
    pub quotas: Option<QuotaConfig>,
    /// The operator's supervised programs.
    pub programs: Vec<ProgramConfig>,
}

/// Settings of quota allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaConfig {
    /// Number of quota allocators, among which the capacities are divided.
    pub allocators: usize,
    /// Time until a quota expires.
    pub lifetime: Duration,
    /// The kinds of capacity that are allocated.
    pub kinds: QuotaKinds,
}

/// The kinds of capacity that are allocated by quotas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaKinds {
    /// Attempts sent to engines in slow start.
    pub slow_start: bool,
    /// Threads of engines.
    pub threads: bool,
    /// Quota rates of tenants.
    pub tenants: bool,
}

/// A program of the operator that runs while this gateway holds the program's role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramConfig {
    /// Name of the program's role.
    pub role: String,
    /// The program and its arguments.
    pub command: Vec<String>,
    /// Time between the request to stop the program and its kill, which happens before the lease ends.
    pub stop_grace: Duration,
}

/// The deserialized `[duties]` table.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct RawDuties {
    #[serde(rename = "electors")]
    voters: Spanned<Vec<Spanned<String>>>,
    #[serde(rename = "electors-before", default)]
    previous_voters: Option<Spanned<Vec<Spanned<String>>>>,
    #[serde(rename = "lease-ms", default = "default_ms::<3_000>")]
    lease_length_ms: Spanned<u64>,
    #[serde(rename = "longest-ms", default = "default_ms::<10_000>")]
    longest_lease_ms: Spanned<u64>,
    #[serde(rename = "margin", default = "default_count::<60>")]
    drift_margin_per_mille: Spanned<usize>,
    #[serde(rename = "least-ms", default = "default_ms::<30_000>")]
    min_hold_time_ms: Spanned<u64>,
    #[serde(rename = "record", default)]
    voter_record_directory: Option<PathBuf>,
    #[serde(rename = "stale-ms", default)]
    max_discovery_silence_ms: Option<Spanned<u64>>,
    #[serde(rename = "ill", default)]
    unhealthy_score: Option<Spanned<usize>>,
    #[serde(rename = "probing", default)]
    health_check_roles: Option<Spanned<usize>>,
    #[serde(rename = "keepers", default)]
    quota_allocators: Option<Spanned<usize>>,
    #[serde(rename = "share-ms", default = "default_ms::<1_000>")]
    quota_lifetime_ms: Spanned<u64>,
    #[serde(rename = "hand-out", default = "default_quota_kinds")]
    quota_kinds: Vec<RawQuotaKind>,
    #[serde(rename = "probe-ms", default = "default_ms::<500>")]
    check_interval_ms: Spanned<u64>,
    #[serde(rename = "fresh-ms", default = "default_ms::<1_500>")]
    max_report_age_ms: Spanned<u64>,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawQuotaKind {
    #[serde(rename = "cold")]
    SlowStart,
    Threads,
    #[serde(rename = "customers")]
    Tenants,
}

fn default_quota_kinds() -> Vec<RawQuotaKind> {
    vec![RawQuotaKind::SlowStart]
}

/// A deserialized `[[duty]]` table.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct RawProgram {
    #[serde(rename = "name")]
    role: Spanned<String>,
    command: Spanned<Vec<String>>,
    #[serde(rename = "end-ms", default = "default_ms::<300>")]
    stop_grace_ms: Spanned<u64>,
}

/// Rejects programs in a file without a `[duties]` table, since programs run only under leases.
pub(crate) fn reject_programs_without_leases(text: &str, programs: &[RawProgram]) -> Result<(), ConfigError> {
    match programs.first() {
        Some(first) => Err(ConfigError::ProgramWithoutLeases { line: line(text, first.role.span().start) }),
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
        return Err(table.invalid(&raw.voters, "electors", Problem::NeedsMembership));
    };
    let previous = raw.previous_voters.as_ref();
    let previous = previous.map(|names| check_voters(&table, names, "electors-before")).transpose()?;
    let current = check_voters(&table, &raw.voters, "electors")?;
    let lease_length = table.duration(&raw.lease_length_ms, "lease-ms", 200, 60_000)?;
    let longest_lease = check_longest_lease(&table, &raw, lease_length)?;
    let load_sharing = check_load_sharing(&table, &raw)?;
    let quotas = check_quotas(&table, &raw)?;
    let mut roles = built_in_roles(load_sharing, quotas);
    let programs = check_programs(text, raw_programs, &mut roles, lease_length)?;
    let drift_margin_per_mille = table.count(&raw.drift_margin_per_mille, "margin", 1, 500)? as u32;
    let settings = LeaseSettings {
        cluster: membership.settings.cluster.clone(),
        voters: VoterSet { current, previous },
        terms: LeaseTerms { length: lease_length, drift_margin_per_mille },
        voter_limits: VoterLimits {
            longest_lease,
            max_roles: MAX_ROLES,
            persistent: raw.voter_record_directory.is_some(),
        },
        roles,
        min_hold_time: table.duration(&raw.min_hold_time_ms, "least-ms", 0, 3_600_000)?,
        better_holder_margin: MIN_SCORE_ADVANTAGE,
    };
    let fitness = check_fitness(&table, &raw)?;
    Ok(LeaseConfig {
        settings,
        voter_record_directory: raw.voter_record_directory,
        fitness,
        load_sharing,
        quotas,
        programs,
    })
}

/// Validates the names of the voters: 3, 5 or 7 different gateways.
fn check_voters(
    table: &Table,
    list: &Spanned<Vec<Spanned<String>>>,
    field: &'static str,
) -> Result<BTreeSet<String>, ConfigError> {
    let names: BTreeSet<String> = list.get_ref().iter().map(|name| name.get_ref().clone()).collect();
    let is_valid_count = matches!(names.len(), 3 | 5 | 7) && names.len() == list.get_ref().len();
    if is_valid_count && names.iter().all(|name| (1..=MAX_NAME_BYTES).contains(&name.len())) {
        Ok(names)
    } else {
        let names = list.get_ref().iter().map(|name| name.get_ref().clone()).collect();
        Err(table.invalid(list, field, Problem::InvalidVoterNames { names, maximum: MAX_NAME_BYTES }))
    }
}

/// Validates the longest lease that this gateway grants as a voter.
fn check_longest_lease(
    table: &Table,
    raw: &RawDuties,
    lease_length: Duration,
) -> Result<Duration, ConfigError> {
    let longest = table.duration(&raw.longest_lease_ms, "longest-ms", 200, 600_000)?;
    if longest < lease_length {
        let problem = Problem::MaximumBelowLease {
            maximum_ms: *raw.longest_lease_ms.get_ref(),
            lease_ms: *raw.lease_length_ms.get_ref(),
        };
        return Err(table.invalid(&raw.longest_lease_ms, "longest-ms", problem));
    }
    Ok(longest)
}

fn check_load_sharing(table: &Table, raw: &RawDuties) -> Result<Option<LoadSharingSettings>, ConfigError> {
    let role_count =
        raw.health_check_roles.as_ref().map(|count| table.count(count, "probing", 1, 64)).transpose()?;
    let check_interval = table.duration(&raw.check_interval_ms, "probe-ms", 20, 60_000)?;
    let max_report_age = table.duration(&raw.max_report_age_ms, "fresh-ms", 20, 600_000)?;
    if max_report_age < check_interval {
        let problem = Problem::StaleBeforeNextProbe {
            fresh_ms: *raw.max_report_age_ms.get_ref(),
            probe_ms: *raw.check_interval_ms.get_ref(),
        };
        return Err(table.invalid(&raw.max_report_age_ms, "fresh-ms", problem));
    }
    Ok(role_count.map(|role_count| LoadSharingSettings { role_count, check_interval, max_report_age }))
}

fn check_quotas(table: &Table, raw: &RawDuties) -> Result<Option<QuotaConfig>, ConfigError> {
    let allocators =
        raw.quota_allocators.as_ref().map(|count| table.count(count, "keepers", 1, 64)).transpose()?;
    let lifetime = table.duration(&raw.quota_lifetime_ms, "share-ms", 100, 60_000)?;
    let is_allocated = |kind| raw.quota_kinds.contains(&kind);
    let kinds = QuotaKinds {
        slow_start: is_allocated(RawQuotaKind::SlowStart),
        threads: is_allocated(RawQuotaKind::Threads),
        tenants: is_allocated(RawQuotaKind::Tenants),
    };
    Ok(allocators.map(|allocators| QuotaConfig { allocators, lifetime, kinds }))
}

/// Names of the gateway's own roles: health checks and quota allocators.
fn built_in_roles(
    load_sharing: Option<LoadSharingSettings>,
    quotas: Option<QuotaConfig>,
) -> BTreeSet<String> {
    let health_check_roles =
        (0..load_sharing.map_or(0, |settings| settings.role_count)).map(health_check_role);
    let allocator_roles = (0..quotas.map_or(0, |quotas| quotas.allocators)).map(quota_allocator_role);
    health_check_roles.chain(allocator_roles).collect()
}

/// Validates the operator's programs. Each program is a role of its own, whose name is added to `roles`.
fn check_programs(
    text: &str,
    raw_programs: &[RawProgram],
    roles: &mut BTreeSet<String>,
    lease_length: Duration,
) -> Result<Vec<ProgramConfig>, ConfigError> {
    let table = Table::new(text, "duty");
    // A quarter of the lease length, in milliseconds. Leases are renewed every third of their length, so at least two
    // thirds remain, and an ordinary delay of a renewal stops no program.
    let max_stop_grace_ms = lease_length.micros() / 4000;
    let mut programs = Vec::new();
    for raw in raw_programs {
        let role = raw.role.get_ref().clone();
        if !(1..=MAX_NAME_BYTES).contains(&role.len()) || !roles.insert(role.clone()) {
            let problem = Problem::InvalidRoleName { value: role, maximum: MAX_NAME_BYTES };
            return Err(table.invalid(&raw.role, "name", problem));
        }
        let command = raw.command.get_ref().clone();
        if command.first().is_none_or(String::is_empty) {
            return Err(table.invalid(&raw.command, "command", Problem::EmptyCommand));
        }
        let stop_grace = table.duration(&raw.stop_grace_ms, "end-ms", 10, max_stop_grace_ms)?;
        programs.push(ProgramConfig { role, command, stop_grace });
    }
    Ok(programs)
}

fn check_fitness(table: &Table, raw: &RawDuties) -> Result<FitnessThresholds, ConfigError> {
    let max_silence = raw.max_discovery_silence_ms.as_ref();
    let max_discovery_silence =
        max_silence.map(|limit| table.duration(limit, "stale-ms", 100, 3_600_000)).transpose()?;
    let unhealthy_score =
        raw.unhealthy_score.as_ref().map(|score| table.count(score, "ill", 1, 8)).transpose()?;
    Ok(FitnessThresholds {
        max_discovery_silence,
        unhealthy_score: unhealthy_score.map(|score| score as u32),
    })
}
