//! Settings that no gateway can serve by: values that are missing, out of range or contradict each other. Keys that are
//! not known are ignored, as the wire's page asks.

use crate::error::{Problem, SettingsError};
use crate::raw::{Raw, RawClass, RawDomain, RawSafety};
use std::collections::HashSet;

type Checked = Result<(), SettingsError>;

fn refuse(field: impl Into<String>, problem: Problem) -> Checked {
    Err(SettingsError::field(field, problem))
}

fn not_negative(field: impl Into<String>, value: f64) -> Checked {
    if value.is_finite() && value >= 0.0 { Ok(()) } else { refuse(field, Problem::NotNonNegative { value }) }
}

pub(crate) fn check(raw: &Raw) -> Checked {
    if raw.gateways > 0 && raw.me >= raw.gateways {
        return refuse("me", Problem::GatewayOutOfRange { gateway: raw.me, gateways: raw.gateways });
    }
    if !raw.zones.is_empty() && raw.zone >= raw.zones.len() {
        return refuse("az", Problem::ZoneOutOfRange { zone: raw.zone, zones: raw.zones.len() });
    }
    check_names("zones", raw.zones.iter())?;
    check_names("models", raw.kinds.iter())?;
    check_names("parties", raw.tenants.iter().map(|tenant| &tenant.name))?;
    for (i, tenant) in raw.tenants.iter().enumerate() {
        not_negative(format!("parties[{i}].allowance_per_s"), tenant.quota_rate)?;
    }
    check_names("classes", raw.classes.iter().map(|class| &class.name))?;
    for (i, class) in raw.classes.iter().enumerate() {
        check_class(raw, class, &format!("classes[{i}]"))?;
    }
    check_domain(raw, &raw.domain)?;
    not_negative("prices.handshake", raw.costs.connection)?;
    not_negative("prices.probe", raw.costs.load_probe)?;
    check_safety(&raw.safety)
}

/// Each of a list has a name, and no two the same.
fn check_names<'a>(field: &str, names: impl Iterator<Item = &'a String>) -> Checked {
    let mut seen = HashSet::new();
    for (i, name) in names.enumerate() {
        if name.is_empty() {
            return refuse(format!("{field}[{i}]"), Problem::EmptyName);
        }
        if !seen.insert(name) {
            return refuse(format!("{field}[{i}]"), Problem::Duplicate { name: name.clone() });
        }
    }
    Ok(())
}

fn check_class(raw: &Raw, class: &RawClass, path: &str) -> Checked {
    let field = |name: &str| format!("{path}.{name}");
    not_negative(field("worth"), class.priority_weight)?;
    not_negative(field("aim_stretch"), class.objective_stretch)?;
    if class.time_limit == 0 {
        return refuse(field("hard_limit"), Problem::NoTimeLimit);
    }
    if class.latency_objective == 0 {
        return refuse(field("aim"), Problem::NoLatencyObjective);
    }
    if class.idempotency == "idempotency_key" && class.deduplication_window == 0 {
        return refuse(field("dedup_window"), Problem::NoDeduplicationWindow);
    }
    let kinds = raw.kinds.len().max(raw.domain.kind_cores.len());
    check_allowed(&field("models_open"), class.allowed_kinds.as_deref(), kinds)?;
    check_allowed(&field("stays_in"), class.allowed_zones.as_deref(), raw.zones.len())
}

/// A list of what a class may use, where there is one, leaves something and names nothing that is not there.
fn check_allowed(field: &str, allowed: Option<&[usize]>, length: usize) -> Checked {
    let Some(allowed) = allowed else { return Ok(()) };
    if allowed.is_empty() {
        return refuse(field, Problem::EmptyAllowList);
    }
    match allowed.iter().find(|index| **index >= length) {
        Some(&index) => refuse(field, Problem::IndexOutOfRange { index, length }),
        None => Ok(()),
    }
}

fn check_domain(raw: &Raw, domain: &RawDomain) -> Checked {
    let lists = [
        ("size_cores", &domain.kind_cores),
        ("size_mb", &domain.kind_memory_mb),
        ("threads_by_class", &domain.class_threads),
    ];
    for (name, values) in lists {
        for (i, value) in values.iter().enumerate() {
            not_negative(format!("domain.{name}[{i}]"), *value)?;
        }
    }
    let classes = raw.classes.len();
    let lists_by_class = [
        ("threads_by_class", domain.class_threads.len()),
        ("writes_tables", domain.locks_data_set.len()),
        ("blocked_by_loads", domain.waits_for_data_lock.len()),
    ];
    for (name, named) in lists_by_class {
        // Settings without any class are refused elsewhere.
        if named > classes && classes > 0 {
            return refuse(format!("domain.{name}"), Problem::TooManyEntries { named, classes });
        }
    }
    let named = domain.kind_cores.len();
    if named > 0 && named < raw.kinds.len() {
        return refuse("domain.size_cores", Problem::TooFewEntries { named, kinds: raw.kinds.len() });
    }
    Ok(())
}

fn check_safety(safety: &RawSafety) -> Checked {
    not_negative("safety.fall_multiple", safety.overload_multiple)?;
    let value = safety.initial_capacity_factor;
    if !(0.0..=1.0).contains(&value) {
        return refuse("safety.cold_from", Problem::NotAFraction { value });
    }
    if safety.overload_window > 0 && safety.overload_multiple > 0.0 && value <= 0.0 {
        return refuse("safety.cold_from", Problem::NoInitialCapacity);
    }
    not_negative("safety.budget_free", safety.free_retries.unwrap_or(0.0))?;
    not_negative("safety.extra_per_request", safety.retries_per_request.unwrap_or(0.0))?;
    let has_budget = safety.free_retries.is_some() || safety.retries_per_request.is_some();
    if has_budget && safety.retry_window.unwrap_or(0) == 0 {
        return refuse("safety.extra_window", Problem::NoRetryWindow);
    }
    Ok(())
}
