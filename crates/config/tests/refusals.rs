//! Compatibility of the JSON settings: `files/settings.json` sets every key, and must keep its meaning across releases.
//! `files/refusals.txt` holds invalid changes of that file with the exact error text of each, which operators read. Each
//! case has three lines: `- ` the text that is replaced, `+ ` its replacement, `! ` the expected error.

use larchfall_config::{Settings, read};
use larchfall_policy::time::Duration;
use larchfall_policy::types::{DeduplicationScope, Idempotency, RequestClass};

const SETTINGS: &str = include_str!("files/settings.json");
const ERROR_CASES: &str = include_str!("files/refusals.txt");
const ERROR_CASE_COUNT: usize = 44;

#[test]
fn invalid_settings_are_rejected_with_exact_texts() {
    let cases: Vec<&str> = ERROR_CASES.trim().split("\n\n").collect();
    assert_eq!(cases.len(), ERROR_CASE_COUNT);
    for case in cases {
        let [replaced, replacement, expected] = case.lines().collect::<Vec<_>>()[..] else {
            panic!("{case}")
        };
        let replaced = replaced.strip_prefix("- ").expect(case);
        let replacement = replacement.strip_prefix('+').expect(case).trim_start();
        let expected = expected.strip_prefix("! ").expect(case);
        assert!(SETTINGS.contains(replaced), "settings.json lacks the text of the case: {replaced}");
        let error = read(SETTINGS.replacen(replaced, replacement, 1).as_bytes()).err().expect(case);
        assert_eq!(error.to_string().replace('\n', "\\n"), expected);
    }
}

fn assert_load_class(class: &RequestClass) {
    let ms = Duration::from_millis;
    assert_eq!((class.priority_weight, class.objective_stretch), (0.5, 2.5));
    assert_eq!((class.latency_objective, class.threads), (ms(900), 2.0));
    let (scope, window) = (DeduplicationScope::Zone, ms(4_000));
    assert_eq!(class.idempotency, Idempotency::IdempotentWithKey { scope, window });
    assert!(class.in_order && class.locks_data_set && !class.waits_for_data_lock);
    assert_eq!((&class.allowed_zones, &class.allowed_kinds), (&Some(vec![1]), &Some(vec![0, 1])));
}

#[test]
fn every_key_keeps_its_meaning() {
    let ms = Duration::from_millis;
    let settings = read(SETTINGS.as_bytes()).unwrap_or_else(|error| panic!("{error}"));
    let Settings { policy, names, .. } = &settings;

    assert_eq!(
        (policy.topology.gateway_count, policy.topology.gateway_index, policy.topology.zone),
        (4, 2, 1)
    );
    let kinds: Vec<_> =
        policy.topology.engine_kinds.iter().map(|kind| (kind.cores, kind.memory_mb)).collect();
    assert_eq!(kinds, [(4.0, 8_192.0), (16.0, 65_536.0)]);
    let [load, look, once] = &policy.classes[..] else { panic!("{:?}", policy.classes) };
    assert_load_class(load);
    assert_eq!((look.idempotency, once.idempotency), (Idempotency::Idempotent, Idempotency::NonIdempotent));
    assert_eq!((look.threads, once.threads), (1.5, 1.0));
    assert!(
        look.waits_for_data_lock && !look.locks_data_set && !look.in_order && look.allowed_zones.is_none()
    );
    let quotas: Vec<f64> = policy.tenants.iter().map(|tenant| tenant.quota_rate).collect();
    assert_eq!(quotas, [12.5, 0.0]);

    let capabilities = &policy.capabilities;
    assert!(
        capabilities.can_cancel
            && capabilities.sets_memory_grant
            && capabilities.swaps_when_out_of_memory
            && !capabilities.forbids_hedging
    );
    assert_eq!(
        (capabilities.health_check_cost, capabilities.connection_cost, capabilities.max_attempts),
        (Some(0.002), 0.01, 3)
    );
    assert_eq!(
        (capabilities.max_retry_after, capabilities.progress_interval),
        (Some(ms(500)), Some(ms(250)))
    );
    assert_eq!((capabilities.clock_resolution, policy.key_cooldown), (ms(1), ms(700)));
    let slow_start = &policy.slow_start;
    assert_eq!((slow_start.overload_multiple, slow_start.initial_warm_up_factor), (3.5, 0.3));
    assert_eq!((slow_start.window, slow_start.warm_up_time), (ms(2_000), ms(14_000)));
    let budget = policy.retry_budget.as_ref().unwrap();
    assert_eq!((budget.window, budget.free_retries, budget.retries_per_request), (ms(10_000), 2.5, 0.1));

    assert!(settings.outcomes_report_work && settings.must_subscribe && settings.single_attempt);
    assert_eq!(settings.load_report_fields, ["concurrent", "load_share"]);
    assert_eq!(settings.max_deadlines, [ms(30_000), ms(5_000), ms(6_000)]);
    assert_eq!((settings.connect_timeout, settings.engine_idle_timeout), (ms(250), ms(15_000)));
    assert_eq!(settings.drain_grace, ms(2_000));
    assert_eq!(
        (&names.classes[..], &names.tenants[..]),
        (&["load", "look", "once"].map(String::from)[..], &["acme", "zeta"].map(String::from)[..])
    );
    assert_eq!(
        (&names.zones[..], &names.kinds[..]),
        (&["east", "west"].map(String::from)[..], &["std", "big"].map(String::from)[..])
    );
}
