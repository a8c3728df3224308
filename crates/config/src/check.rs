//! What no gateway can serve by: settings that are missing, out of range or contradict each other, each named by its
//! field. Keys that are not known are passed over, as the wire's page asks.

use crate::{Raw, RawClass, RawDomain, RawSafety};
use std::collections::HashSet;

type Checked = Result<(), String>;

fn refuse(field: &str, why: &str) -> Checked {
    Err(format!("settings: {field}: {why}"))
}

fn at_least_zero(field: &str, value: f64) -> Checked {
    if value.is_finite() && value >= 0.0 { Ok(()) } else { refuse(field, "no number from zero up") }
}

pub(crate) fn check(raw: &Raw) -> Checked {
    if raw.instances > 0 && raw.me >= raw.instances {
        return refuse("me", "not under instances");
    }
    if !raw.zones.is_empty() && raw.az >= raw.zones.len() {
        return refuse("az", "no place in zones");
    }
    unique("zones", raw.zones.iter())?;
    unique("models", raw.models.iter())?;
    unique("parties", raw.parties.iter().map(|party| &party.name))?;
    for (i, party) in raw.parties.iter().enumerate() {
        at_least_zero(&format!("parties[{i}].allowance_per_s"), party.allowance_per_s)?;
    }
    unique("classes", raw.classes.iter().map(|class| &class.name))?;
    for (i, class) in raw.classes.iter().enumerate() {
        check_class(raw, class, &format!("classes[{i}]"))?;
    }
    check_domain(raw, &raw.domain)?;
    at_least_zero("prices.handshake", raw.prices.handshake)?;
    at_least_zero("prices.probe", raw.prices.probe)?;
    check_safety(&raw.safety)
}

fn unique<'a>(field: &str, names: impl Iterator<Item = &'a String>) -> Checked {
    let mut seen = HashSet::new();
    for (i, name) in names.enumerate() {
        if name.is_empty() {
            return refuse(&format!("{field}[{i}]"), "without a name");
        }
        if !seen.insert(name) {
            return refuse(&format!("{field}[{i}]"), &format!("'{name}' comes twice"));
        }
    }
    Ok(())
}

fn check_class(raw: &Raw, class: &RawClass, at: &str) -> Checked {
    let field = |name: &str| format!("{at}.{name}");
    at_least_zero(&field("worth"), class.worth)?;
    at_least_zero(&field("aim_stretch"), class.aim_stretch)?;
    if class.hard_limit == 0 {
        return refuse(&field("hard_limit"), "missing or zero: nothing can be answered in time");
    }
    if class.aim == 0 {
        return refuse(&field("aim"), "missing or zero: nothing is ever on time");
    }
    if class.effect == "idempotency_key" && class.dedup_window == 0 {
        return refuse(&field("dedup_window"), "missing or zero where repeats are known by a key");
    }
    let places = [
        ("models_open", &class.models_open, raw.models.len().max(raw.domain.size_cores.len())),
        ("stays_in", &class.stays_in, raw.zones.len()),
    ];
    for (name, places, all) in places {
        match places {
            Some(places) if places.is_empty() => return refuse(&field(name), "leaves no engine open"),
            Some(places) if places.iter().any(|place| *place >= all) => {
                return refuse(&field(name), "names a place that is not in the settings");
            }
            _ => {}
        }
    }
    Ok(())
}

fn check_domain(raw: &Raw, domain: &RawDomain) -> Checked {
    let numbers = [
        ("size_cores", &domain.size_cores),
        ("size_mb", &domain.size_mb),
        ("threads_by_class", &domain.threads_by_class),
    ];
    for (name, all) in numbers {
        for (i, number) in all.iter().enumerate() {
            at_least_zero(&format!("domain.{name}[{i}]"), *number)?;
        }
    }
    let classes = raw.classes.len();
    let by_class = [
        ("threads_by_class", domain.threads_by_class.len()),
        ("writes_tables", domain.writes_tables.len()),
        ("blocked_by_loads", domain.blocked_by_loads.len()),
    ];
    for (name, named) in by_class {
        // Without any class there is nothing to serve, which is said elsewhere.
        if named > classes && classes > 0 {
            return refuse(
                &format!("domain.{name}"),
                &format!("of {named} classes, and there are {classes}"),
            );
        }
    }
    if !domain.size_cores.is_empty() && domain.size_cores.len() < raw.models.len() {
        return refuse("domain.size_cores", "does not name each of models");
    }
    Ok(())
}

fn check_safety(safety: &RawSafety) -> Checked {
    at_least_zero("safety.fall_multiple", safety.fall_multiple)?;
    if !(0.0..=1.0).contains(&safety.slow_start_from) {
        return refuse("safety.cold_from", "no share between 0 and 1");
    }
    if safety.fall > 0 && safety.fall_multiple > 0.0 && safety.slow_start_from <= 0.0 {
        return refuse(
            "safety.cold_from",
            "missing or zero where an engine in slow start falls at a multiple of it",
        );
    }
    at_least_zero("safety.budget_free", safety.budget_free.unwrap_or(0.0))?;
    at_least_zero("safety.extra_per_request", safety.extra_per_request.unwrap_or(0.0))?;
    let budget = safety.budget_free.or(safety.extra_per_request);
    if safety.extra_window.unwrap_or(0) == 0 && budget.is_some() {
        return refuse("safety.extra_window", "missing or zero where further attempts have a budget");
    }
    Ok(())
}
