//! The JSON settings that a front starts with, read into the interface's plain types. Keys that are not known
//! are passed over; what is absent is taken as the wire's page says.

mod check;

use larchfall_policy::interface::*;
use larchfall_policy::time::Span;
use serde::Deserialize;

#[derive(Deserialize, Default)]
#[serde(default)]
struct Raw {
    az: usize,
    discovery: String,
    caps: RawCaps,
    classes: Vec<RawGroup>,
    domain: RawDomain,
    instances: usize,
    me: usize,
    models: Vec<String>,
    parties: Vec<RawCustomer>,
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
struct RawGroup {
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
struct RawCustomer {
    allowance_per_s: f64,
    name: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawSafety {
    drain_grace: u64,
    budget_free: Option<f64>,
    cold_from: f64,
    extra_per_request: Option<f64>,
    extra_window: Option<u64>,
    fall: u64,
    fall_multiple: f64,
    key_quiet: u64,
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

/// What one front is handed at its start, part by part.
pub struct Settings {
    pub given: Given,
    pub tells_work: bool,
    pub report_fields: Vec<String>,
    pub must_ask: bool,
    pub names: Names,
    /// How long clients of each service group wait at most.
    pub limits: Vec<Span>,
    /// A connection that is not up by then counts as failed.
    pub connect_within: Span,
    /// Engines close connections that were idle this long.
    pub idle_close: Span,
    /// An engine that drains is sent nothing new so long after that was told.
    pub drain_grace: Span,
    /// No batch may have two dispatches out.
    pub one_at_a_time: bool,
}

/// What the settings call things; the place in each list is the index that decisions use.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub groups: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

pub fn read(text: &[u8]) -> Result<Settings, String> {
    let raw: Raw = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    check::check(&raw)?;
    let us = Span::from_micros;
    let some = |n: u64| (n > 0).then(|| us(n));
    let mut groups = Vec::new();
    for (i, g) in raw.classes.iter().enumerate() {
        let effect = match g.effect.as_str() {
            "read_like" => Effect::Repeatable,
            "non_idempotent" => Effect::OnceOnly,
            "idempotency_key" => Effect::Referenced {
                scope: match g.key_scope.as_str() {
                    "all" => Scope::All,
                    "zone" => Scope::Zone,
                    "cell" => Scope::Cell,
                    other => return Err(format!("settings: classes[{i}].key_scope: unknown word '{other}'")),
                },
                window: us(g.dedup_window),
            },
            other => return Err(format!("settings: classes[{i}].effect: unknown word '{other}'")),
        };
        groups.push(ServiceGroup {
            utility: g.worth,
            goal: us(g.aim),
            goal_stretch: g.aim_stretch,
            effect,
            in_order: g.keep_order,
            threads: raw.domain.threads_by_class.get(i).copied().unwrap_or(1.0),
            holds_data: raw.domain.writes_tables.get(i).copied().unwrap_or(false),
            waits_for_holder: raw.domain.blocked_by_loads.get(i).copied().unwrap_or(false),
            zones: g.stays_in.clone(),
            kinds: g.models_open.clone(),
        });
    }
    let kinds = raw.models.len().max(raw.domain.size_cores.len());
    let size = |v: &[f64], i: usize| v.get(i).copied().unwrap_or(0.0);
    let s = &raw.safety;
    let given = Given {
        fleet: Fleet {
            fronts: raw.instances,
            me: raw.me,
            zone: raw.az,
            kinds: (0..kinds)
                .map(|i| Kind {
                    cores: size(&raw.domain.size_cores, i),
                    memory_mb: size(&raw.domain.size_mb, i),
                })
                .collect(),
        },
        groups,
        customers: raw.parties.iter().map(|p| Customer { allowance: p.allowance_per_s }).collect(),
        caps: Caps {
            call_off: raw.caps.cancel,
            probe_price: (raw.caps.probes && matches!(raw.stats.how.as_str(), "answers" | "probe"))
                .then_some(raw.prices.probe),
            link_price: raw.prices.handshake,
            links_kept: Span::ZERO,
            most_dispatches: raw.caps.max_attempts,
            one_at_a_time: false,
            come_back: if raw.caps.retry_after { some(raw.caps.max_retry_after) } else { None },
            sets_memory: raw.domain.grants,
            memory_pages: raw.domain.out_of_memory == "swap",
            notes_every: some(raw.domain.note_period),
            forgets: None,
            list_holds: None,
            clock_step: us(raw.period),
        },
        cold: ColdRule {
            multiple: s.fall_multiple,
            window: us(s.fall),
            starts_at: s.cold_from,
            warm_within: us(s.ramp_time),
        },
        ration: s.extra_window.filter(|w| *w > 0).map(|w| RationRule {
            window: us(w),
            free: s.budget_free.unwrap_or(0.0),
            per_batch: s.extra_per_request.unwrap_or(0.0),
        }),
        key_quiet: us(s.key_quiet),
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
        one_at_a_time: raw.caps.second_copies == Some(false),
        names: Names {
            groups: raw.classes.into_iter().map(|g| g.name).collect(),
            customers: raw.parties.into_iter().map(|p| p.name).collect(),
            zones: raw.zones,
            kinds: raw.models,
        },
    })
}
