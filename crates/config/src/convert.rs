//! Converts validated settings into the types of the policy and of the gateway.

use crate::error::{Problem, SettingsError};
use crate::raw::{Raw, RawClass, RawSafety};
use crate::{Names, Settings};
use larchfall_policy::time::Duration;
use larchfall_policy::types::{
    Capabilities, DeduplicationScope, EngineKind, Idempotency, PolicyConfig, RequestClass, RetryBudgetConfig,
    SlowStartConfig, Tenant, Topology,
};

pub(crate) fn convert(raw: Raw) -> Result<Settings, SettingsError> {
    let policy = PolicyConfig {
        classes: classes(&raw)?,
        topology: topology(&raw),
        tenants: raw.tenants.iter().map(|tenant| Tenant { quota_rate: tenant.quota_rate }).collect(),
        capabilities: capabilities(&raw),
        slow_start: slow_start(&raw.safety),
        retry_budget: retry_budget(&raw.safety),
        key_cooldown: Duration::from_micros(raw.safety.key_cooldown),
    };
    Ok(Settings {
        policy,
        outcomes_report_work: raw.domain.outcomes_report_work,
        load_report_fields: raw.load_reports.fields,
        must_subscribe: raw.discovery == "subscribe",
        max_deadlines: raw.classes.iter().map(|class| Duration::from_micros(class.time_limit)).collect(),
        connect_timeout: Duration::from_micros(raw.caps.connect_timeout),
        engine_idle_timeout: Duration::from_micros(raw.caps.idle_timeout),
        drain_grace: Duration::from_micros(raw.safety.drain_grace),
        single_attempt: raw.caps.hedging == Some(false),
        names: Names {
            classes: raw.classes.into_iter().map(|class| class.name).collect(),
            tenants: raw.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zones: raw.zones,
            kinds: raw.kinds,
        },
    })
}

/// In the settings, 0 microseconds mean that a time is not set.
fn nonzero_duration(micros: u64) -> Option<Duration> {
    (micros > 0).then(|| Duration::from_micros(micros))
}

fn classes(raw: &Raw) -> Result<Vec<RequestClass>, SettingsError> {
    let domain = &raw.domain;
    let class = |(i, class): (usize, &RawClass)| {
        Ok(RequestClass {
            priority_weight: class.priority_weight,
            latency_objective: Duration::from_micros(class.latency_objective),
            objective_stretch: class.objective_stretch,
            idempotency: idempotency(class, &format!("classes[{i}]"))?,
            in_order: class.in_order,
            threads: domain.class_threads.get(i).copied().unwrap_or(1.0),
            locks_data_set: domain.locks_data_set.get(i).copied().unwrap_or(false),
            waits_for_data_lock: domain.waits_for_data_lock.get(i).copied().unwrap_or(false),
            allowed_zones: class.allowed_zones.clone(),
            allowed_kinds: class.allowed_kinds.clone(),
        })
    };
    raw.classes.iter().enumerate().map(class).collect()
}

fn idempotency(class: &RawClass, path: &str) -> Result<Idempotency, SettingsError> {
    let unknown_value = |field: &str, value: &str, expected: &'static str| {
        let problem = Problem::UnknownValue { value: value.to_owned(), expected };
        SettingsError::field(format!("{path}.{field}"), problem)
    };
    match class.idempotency.as_str() {
        "read_like" => Ok(Idempotency::Idempotent),
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        "idempotency_key" => {
            let scope = match class.deduplication_scope.as_str() {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                other => return Err(unknown_value("key_scope", other, "all, zone or cell")),
            };
            let window = Duration::from_micros(class.deduplication_window);
            Ok(Idempotency::IdempotentWithKey { scope, window })
        }
        other => Err(unknown_value("effect", other, "read_like, non_idempotent or idempotency_key")),
    }
}

fn topology(raw: &Raw) -> Topology {
    let cores = &raw.domain.kind_cores;
    let memory_mb = &raw.domain.kind_memory_mb;
    let kind = |i| EngineKind {
        cores: cores.get(i).copied().unwrap_or(0.0),
        memory_mb: memory_mb.get(i).copied().unwrap_or(0.0),
    };
    Topology {
        gateway_count: raw.gateways,
        gateway_index: raw.me,
        zone: raw.zone,
        engine_kinds: (0..raw.kinds.len().max(cores.len())).map(kind).collect(),
    }
}

fn capabilities(raw: &Raw) -> Capabilities {
    let can_check_health =
        raw.caps.health_checks && matches!(raw.load_reports.source.as_str(), "answers" | "probe");
    Capabilities {
        can_cancel: raw.caps.can_cancel,
        health_check_cost: can_check_health.then_some(raw.costs.health_check),
        connection_cost: raw.costs.connection,
        idle_connection_lifetime: Duration::ZERO,
        max_attempts: raw.caps.max_attempts,
        forbids_hedging: false,
        max_retry_after: if raw.caps.retry_after { nonzero_duration(raw.caps.max_retry_after) } else { None },
        sets_memory_grant: raw.domain.memory_grants,
        swaps_when_out_of_memory: raw.domain.out_of_memory == "swap",
        progress_interval: nonzero_duration(raw.domain.progress_interval),
        unobserved_attempt_lifetime: None,
        endpoint_list_lifetime: None,
        clock_resolution: Duration::from_micros(raw.clock_resolution),
    }
}

fn slow_start(safety: &RawSafety) -> SlowStartConfig {
    SlowStartConfig {
        overload_multiple: safety.overload_multiple,
        window: Duration::from_micros(safety.overload_window),
        initial_warm_up_factor: safety.initial_warm_up_factor,
        warm_up_time: Duration::from_micros(safety.warm_up_time),
    }
}

fn retry_budget(safety: &RawSafety) -> Option<RetryBudgetConfig> {
    let window = safety.retry_window.and_then(nonzero_duration)?;
    Some(RetryBudgetConfig {
        window,
        free_retries: safety.free_retries.unwrap_or(0.0),
        retries_per_request: safety.retries_per_request.unwrap_or(0.0),
    })
}
