//! The JSON settings that a gateway starts with, read into the interface's plain types. Keys that are not known
//! are passed over; what is absent is taken as the wire's page says.

mod check;

use larchfall_policy::interface::*;
use larchfall_policy::time::Duration;
use serde::Deserialize;

#[derive(Deserialize, Default)]
#[serde(default)]
struct Raw {
    az: usize,
    discovery: String,
    caps: RawCaps,
    classes: Vec<RawClass>,
    domain: RawDomain,
    instances: usize,
    me: usize,
    models: Vec<String>,
    parties: Vec<RawTenant>,
    period: u64,
    prices: RawPrices,
    safety: RawSafety,
    stats: RawStats,
    zones: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawCaps {
    cancel: bool,
    connect_timeout: u64,
    idle_close: u64,
    probes: bool,
    max_attempts: usize,
    second_copies: Option<bool>,
    max_retry_after: u64,
    retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawClass {
    aim: u64,
    aim_stretch: f64,
    dedup_window: u64,
    effect: String,
    hard_limit: u64,
    keep_order: bool,
    key_scope: String,
    models_open: Option<Vec<usize>>,
    name: String,
    stays_in: Option<Vec<usize>>,
    worth: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawDomain {
    blocked_by_loads: Vec<bool>,
    cost_in_answers: bool,
    grants: bool,
    note_period: u64,
    out_of_memory: String,
    size_cores: Vec<f64>,
    size_mb: Vec<f64>,
    threads_by_class: Vec<f64>,
    writes_tables: Vec<bool>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawTenant {
    allowance_per_s: f64,
    name: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawSafety {
    drain_grace: u64,
    budget_free: Option<f64>,
    #[serde(rename = "cold_from")]
    slow_start_from: f64,
    extra_per_request: Option<f64>,
    extra_window: Option<u64>,
    fall: u64,
    fall_multiple: f64,
    #[serde(rename = "key_quiet")]
    key_cooldown: u64,
    ramp_time: u64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawPrices {
    handshake: f64,
    probe: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawStats {
    how: String,
    fields: Vec<String>,
}

/// What one gateway is handed at its start, part by part.
pub struct Settings {
    pub given: PolicyConfig,
    pub tells_work: bool,
    pub report_fields: Vec<String>,
    pub must_ask: bool,
    pub names: Names,
    /// How long clients of each request class wait at most.
    pub limits: Vec<Duration>,
    /// A connection that is not up by then counts as failed.
    pub connect_within: Duration,
    /// Engines close connections that were idle this long.
    pub idle_close: Duration,
    /// An engine that drains is sent nothing new so long after that was told.
    pub drain_grace: Duration,
    /// No request may have two attempts out.
    pub single_attempt: bool,
}

/// What the settings call things; the place in each list is the index that decisions use.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

pub fn read(text: &[u8]) -> Result<Settings, String> {
    let raw: Raw = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    check::check(&raw)?;
    let us = Duration::from_micros;
    let some = |n: u64| (n > 0).then(|| us(n));
    let mut classes = Vec::new();
    for (i, g) in raw.classes.iter().enumerate() {
        let effect = match g.effect.as_str() {
            "read_like" => Idempotency::Idempotent,
            "non_idempotent" => Idempotency::NonIdempotent,
            "idempotency_key" => Idempotency::IdempotentWithKey {
                scope: match g.key_scope.as_str() {
                    "all" => DeduplicationScope::All,
                    "zone" => DeduplicationScope::Zone,
                    "cell" => DeduplicationScope::Cell,
                    other => return Err(format!("settings: classes[{i}].key_scope: unknown word '{other}'")),
                },
                window: us(g.dedup_window),
            },
            other => return Err(format!("settings: classes[{i}].effect: unknown word '{other}'")),
        };
        classes.push(RequestClass {
            priority_weight: g.worth,
            latency_objective: us(g.aim),
            objective_stretch: g.aim_stretch,
            effect,
            in_order: g.keep_order,
            threads: raw.domain.threads_by_class.get(i).copied().unwrap_or(1.0),
            locks_data_set: raw.domain.writes_tables.get(i).copied().unwrap_or(false),
            waits_for_data_lock: raw.domain.blocked_by_loads.get(i).copied().unwrap_or(false),
            zones: g.stays_in.clone(),
            kinds: g.models_open.clone(),
        });
    }
    let kinds = raw.models.len().max(raw.domain.size_cores.len());
    let size = |v: &[f64], i: usize| v.get(i).copied().unwrap_or(0.0);
    let s = &raw.safety;
    let given = PolicyConfig {
        fleet: Fleet {
            gateways: raw.instances,
            me: raw.me,
            zone: raw.az,
            kinds: (0..kinds)
                .map(|i| EngineKind {
                    cores: size(&raw.domain.size_cores, i),
                    memory_mb: size(&raw.domain.size_mb, i),
                })
                .collect(),
        },
        classes,
        tenants: raw.parties.iter().map(|p| Tenant { quota_rate: p.allowance_per_s }).collect(),
        caps: Caps {
            can_cancel: raw.caps.cancel,
            load_probe_cost: (raw.caps.probes && matches!(raw.stats.how.as_str(), "answers" | "probe"))
                .then_some(raw.prices.probe),
            connection_cost: raw.prices.handshake,
            idle_connection_lifetime: Duration::ZERO,
            max_attempts: raw.caps.max_attempts,
            single_attempt: false,
            max_retry_after: if raw.caps.retry_after { some(raw.caps.max_retry_after) } else { None },
            sets_memory_grant: raw.domain.grants,
            swaps_when_out_of_memory: raw.domain.out_of_memory == "swap",
            progress_interval: some(raw.domain.note_period),
            unobserved_attempt_lifetime: None,
            endpoint_list_lifetime: None,
            clock_step: us(raw.period),
        },
        slow_start: SlowStartPolicy {
            multiple: s.fall_multiple,
            window: us(s.fall),
            initial_capacity_factor: s.slow_start_from,
            warm_up_time: us(s.ramp_time),
        },
        retry_budget: s.extra_window.filter(|w| *w > 0).map(|w| RetryBudgetRule {
            window: us(w),
            free: s.budget_free.unwrap_or(0.0),
            per_request: s.extra_per_request.unwrap_or(0.0),
        }),
        key_cooldown: us(s.key_cooldown),
    };
    Ok(Settings {
        given,
        tells_work: raw.domain.cost_in_answers,
        report_fields: raw.stats.fields,
        must_ask: raw.discovery == "subscribe",
        limits: raw.classes.iter().map(|g| us(g.hard_limit)).collect(),
        connect_within: us(raw.caps.connect_timeout),
        idle_close: us(raw.caps.idle_close),
        drain_grace: us(s.drain_grace),
        single_attempt: raw.caps.second_copies == Some(false),
        names: Names {
            classes: raw.classes.into_iter().map(|g| g.name).collect(),
            tenants: raw.parties.into_iter().map(|p| p.name).collect(),
            zones: raw.zones,
            kinds: raw.models,
        },
    })
}
