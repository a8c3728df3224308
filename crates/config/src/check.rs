//! Validates the settings: rejects values that are missing, out of range or contradict each other. Unknown keys are
//! ignored, as the platform's protocol demands.

use crate::error::{Problem, SettingsError};
use crate::raw::{Raw, RawClass, RawDomain, RawSafety};
use std::collections::HashSet;

type CheckResult = Result<(), SettingsError>;

fn reject(field: impl Into<String>, problem: Problem) -> CheckResult {
    Err(SettingsError::field(field, problem))
}

fn check_not_negative(field: impl Into<String>, value: f64) -> CheckResult {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        reject(field, Problem::NegativeOrNotFinite { value })
    }
}

pub(crate) fn check(raw: &Raw) -> CheckResult {
    if raw.gateways > 0 && raw.me >= raw.gateways {
        return reject("me", Problem::GatewayOutOfRange { gateway: raw.me, gateways: raw.gateways });
    }
    if !raw.zones.is_empty() && raw.zone >= raw.zones.len() {
        return reject("az", Problem::ZoneOutOfRange { zone: raw.zone, zones: raw.zones.len() });
    }
    check_names("zones", raw.zones.iter())?;
    check_names("models", raw.kinds.iter())?;
    check_names("parties", raw.tenants.iter().map(|tenant| &tenant.name))?;
    for (i, tenant) in raw.tenants.iter().enumerate() {
        check_not_negative(format!("parties[{i}].allowance_per_s"), tenant.quota_rate)?;
    }
    check_names("classes", raw.classes.iter().map(|class| &class.name))?;
    for (i, class) in raw.classes.iter().enumerate() {
        check_class(raw, class, &format!("classes[{i}]"))?;
    }
    check_domain(raw, &raw.domain)?;
    check_not_negative("prices.handshake", raw.costs.connection)?;
    check_not_negative("prices.probe", raw.costs.health_check)?;
    check_safety(&raw.safety)
}

/// Checks that no name of a list is empty or occurs twice.
fn check_names<'a>(field: &str, names: impl Iterator<Item = &'a String>) -> CheckResult {
    let mut seen_names = HashSet::new();
    for (i, name) in names.enumerate() {
        if name.is_empty() {
            return reject(format!("{field}[{i}]"), Problem::EmptyName);
        }
        if !seen_names.insert(name) {
            return reject(format!("{field}[{i}]"), Problem::Duplicate { name: name.clone() });
        }
    }
    Ok(())
}

fn check_class(raw: &Raw, class: &RawClass, path: &str) -> CheckResult {
    let field = |name: &str| format!("{path}.{name}");
    check_not_negative(field("worth"), class.priority_weight)?;
    check_not_negative(field("aim_stretch"), class.objective_stretch)?;
    if class.time_limit == 0 {
        return reject(field("hard_limit"), Problem::NoTimeLimit);
    }
    if class.latency_objective == 0 {
        return reject(field("aim"), Problem::NoLatencyObjective);
    }
    if class.idempotency == "idempotency_key" && class.deduplication_window == 0 {
        return reject(field("dedup_window"), Problem::NoDeduplicationWindow);
    }
    let kinds = raw.kinds.len().max(raw.domain.kind_cores.len());
    check_allowed(&field("models_open"), class.allowed_kinds.as_deref(), kinds)?;
    check_allowed(&field("stays_in"), class.allowed_zones.as_deref(), raw.zones.len())
}

/// Checks that the indices of a class's allow list are below `length`, and that the list, if there is one, is not empty.
fn check_allowed(field: &str, allowed: Option<&[usize]>, length: usize) -> CheckResult {
    let Some(allowed) = allowed else { return Ok(()) };
    if allowed.is_empty() {
        return reject(field, Problem::EmptyAllowList);
    }
    match allowed.iter().find(|index| **index >= length) {
        Some(&index) => reject(field, Problem::IndexOutOfRange { index, length }),
        None => Ok(()),
    }
}

fn check_domain(raw: &Raw, domain: &RawDomain) -> CheckResult {
    let lists = [
        ("size_cores", &domain.kind_cores),
        ("size_mb", &domain.kind_memory_mb),
        ("threads_by_class", &domain.class_threads),
    ];
    for (name, values) in lists {
        for (i, value) in values.iter().enumerate() {
            check_not_negative(format!("domain.{name}[{i}]"), *value)?;
        }
    }
    let classes = raw.classes.len();
    let lists_by_class = [
        ("threads_by_class", domain.class_threads.len()),
        ("writes_tables", domain.locks_data_set.len()),
        ("blocked_by_loads", domain.waits_for_data_lock.len()),
    ];
    for (name, entries) in lists_by_class {
        // The gateway itself rejects settings without classes.
        if entries > classes && classes > 0 {
            return reject(format!("domain.{name}"), Problem::TooManyEntries { entries, classes });
        }
    }
    let entries = domain.kind_cores.len();
    if entries > 0 && entries < raw.kinds.len() {
        return reject("domain.size_cores", Problem::TooFewEntries { entries, kinds: raw.kinds.len() });
    }
    Ok(())
}

fn check_safety(safety: &RawSafety) -> CheckResult {
    check_not_negative("safety.fall_multiple", safety.overload_multiple)?;
    let initial_factor = safety.initial_warm_up_factor;
    if !(0.0..=1.0).contains(&initial_factor) {
        return reject("safety.cold_from", Problem::NotAFraction { value: initial_factor });
    }
    if safety.overload_window > 0 && safety.overload_multiple > 0.0 && initial_factor <= 0.0 {
        return reject("safety.cold_from", Problem::NoInitialWarmUpFactor);
    }
    check_not_negative("safety.budget_free", safety.free_retries.unwrap_or(0.0))?;
    check_not_negative("safety.extra_per_request", safety.retries_per_request.unwrap_or(0.0))?;
    let has_budget = safety.free_retries.is_some() || safety.retries_per_request.is_some();
    if has_budget && safety.retry_window.unwrap_or(0) == 0 {
        return reject("safety.extra_window", Problem::NoRetryWindow);
    }
    Ok(())
}
