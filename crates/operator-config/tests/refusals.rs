//! Compatibility of the operator's file: `files/operator.toml` sets every key, and must keep its meaning across releases.
//! `files/refusals.txt` holds invalid files with the exact error text of each, which operators read. A case is either
//! `- ` a text of `operator.toml`, `+ ` its replacement and `! ` the expected error, or `= ` a whole file and `! ` the
//! expected error.

use larchfall_config::Names;
use larchfall_membership::membership::Network;
use larchfall_operator_config::{OperatorConfig, parse};
use larchfall_paged_rest::request_fields::{FieldSource, HeaderFamily};
use larchfall_policy::time::Duration;

const OPERATOR_FILE: &str = include_str!("files/operator.toml");
const ERROR_CASES: &str = include_str!("files/refusals.txt");
const ERROR_CASE_COUNT: usize = 75;

fn names() -> Names {
    let text = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    Names { classes: text(&["look", "load"]), tenants: text(&["acme"]), ..Names::default() }
}

/// The text of an invalid operator's file and its expected error.
struct ErrorCase<'a> {
    text: String,
    expected: &'a str,
}

fn error_cases() -> Vec<ErrorCase<'static>> {
    ERROR_CASES
        .trim()
        .split("\n\n")
        .map(|case| match case.lines().collect::<Vec<_>>()[..] {
            [replaced, replacement, expected] => {
                let replaced = replaced.strip_prefix("- ").expect(case);
                let replacement = replacement.strip_prefix('+').expect(case).trim_start();
                assert!(
                    OPERATOR_FILE.contains(replaced),
                    "operator.toml lacks the text of the case: {replaced}"
                );
                ErrorCase { text: OPERATOR_FILE.replacen(replaced, replacement, 1), expected: &expected[2..] }
            }
            [whole_file, expected] => {
                let whole_file = whole_file.strip_prefix("= ").expect(case);
                ErrorCase { text: whole_file.replace("\\n", "\n"), expected: &expected[2..] }
            }
            _ => panic!("{case}"),
        })
        .collect()
}

#[test]
fn invalid_files_are_rejected_with_exact_texts() {
    let cases = error_cases();
    assert_eq!(cases.len(), ERROR_CASE_COUNT);
    for ErrorCase { text, expected } in cases {
        let error = parse(&text, &names()).expect_err(expected);
        assert_eq!(error.to_string().replace('\n', "\\n"), expected);
    }
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn every_key_of_paged_rest_keeps_its_meaning() {
    let rest = parse(OPERATOR_FILE, &names()).unwrap().paged_rest.unwrap();
    assert_eq!(rest.listen.to_string(), "127.0.0.1:8080");
    assert_eq!(rest.base_url.as_deref(), Some("http://queries.example:8080"));
    assert_eq!(
        (rest.header_family, rest.max_connections, rest.max_statement_bytes),
        (HeaderFamily::Both, 48, 32_768)
    );
    assert_eq!((rest.poll_timeout, rest.limits.window.retention), (ms(900), ms(20_000)));
    assert_eq!(
        (rest.limits.max_results, rest.limits.max_in_flight, rest.limits.max_bytes),
        (128, 16, 4_194_304)
    );
    assert_eq!((rest.limits.window.max_pages, rest.limits.window.max_bytes), (3, 131_072));
    let session = |name: &str| vec![FieldSource::SessionProperty(name.into())];
    let value = |value: &str| FieldSource::Value(value.into());
    let sources = rest.sources;
    assert_eq!(
        sources.class,
        [FieldSource::FamilyHeader("Source".into()), session("group").remove(0), value("look")]
    );
    assert_eq!(sources.tenant, [FieldSource::FamilyHeader("User".into()), value("acme")]);
    assert_eq!(sources.idempotency_key, [FieldSource::Header("Idempotency-Key".into())]);
    assert_eq!((sources.ordering_key, sources.work_hint), (session("order_key"), session("ms")));
    assert_eq!((sources.memory_hint_mb, sources.timeout), (session("mb"), session("time_limit")));
}

#[test]
fn every_key_of_membership_keeps_its_meaning() {
    let membership = parse(OPERATOR_FILE, &names()).unwrap().membership.unwrap();
    assert_eq!(
        (&membership.name[..], &membership.zone[..], membership.requests_per_second),
        ("n0", "east", 40)
    );
    assert_eq!(membership.listen.to_string(), "0.0.0.0:7400");
    assert_eq!(membership.advertised.to_string(), "10.0.0.7:7400");
    let settings = membership.settings;
    assert_eq!((&settings.cluster[..], settings.max_members), ("harbor", 512));
    assert_eq!((settings.probe_interval, settings.probe_timeout), (ms(400), ms(120)));
    assert_eq!((settings.table_exchange_interval, settings.ended_retention), (ms(2_500), ms(50_000)));
    assert_eq!(settings.seeds, ["10.0.0.8:7400".parse().unwrap()]);
    let network = |address: [u8; 4], prefix_len| Network { address: address.into(), prefix_len };
    assert_eq!(settings.allowed_networks, [network([10, 0, 0, 0], 24), network([127, 0, 0, 1], 32)]);
    let fleet_size = membership.fleet_size.unwrap();
    assert_eq!(
        (fleet_size.decrease_delay, fleet_size.decrease_interval, fleet_size.min_gateways),
        (ms(20_000), ms(1_500), 2)
    );
}

#[test]
fn every_key_of_leases_and_programs_keeps_its_meaning() {
    let leases = parse(OPERATOR_FILE, &names()).unwrap().leases.unwrap();
    let settings = leases.settings;
    let name_set = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    assert_eq!(settings.voters.current, name_set(&["n0", "n1", "n2"]));
    assert_eq!(settings.voters.previous, Some(name_set(&["n0", "n1", "n3"])));
    assert_eq!((settings.terms.length, settings.terms.drift_margin_per_mille), (ms(2_500), 50));
    assert_eq!((settings.voter_limits.longest_lease, settings.voter_limits.persistent), (ms(9_000), true));
    assert_eq!((settings.min_hold_time, &settings.cluster[..]), (ms(20_000), "harbor"));
    let roles = ["keeper:0", "keeper:1", "nightly", "probing:0", "probing:1", "probing:2"];
    assert_eq!(settings.roles, name_set(&roles));
    assert_eq!(leases.voter_record_directory, Some("/var/lib/larchfall".into()));
    assert_eq!(
        (leases.fitness.max_discovery_silence, leases.fitness.unhealthy_score),
        (Some(ms(8_000)), Some(4))
    );
    let load_sharing = leases.load_sharing.unwrap();
    assert_eq!(
        (load_sharing.role_count, load_sharing.check_interval, load_sharing.max_report_age),
        (3, ms(400), ms(1_600))
    );
    let quotas = leases.quotas.unwrap();
    assert_eq!((quotas.allocators, quotas.lifetime), (2, ms(1_200)));
    assert!(quotas.kinds.slow_start && quotas.kinds.threads && quotas.kinds.tenants);
    let [program] = &leases.programs[..] else { panic!("{:?}", leases.programs) };
    assert_eq!((&program.role[..], program.stop_grace), ("nightly", ms(250)));
    assert_eq!(program.command, ["/usr/bin/nightly", "--once"]);
}

#[test]
fn every_key_of_subsetting_and_health_gossip_keeps_its_meaning() {
    let OperatorConfig { subsetting, health_gossip, .. } = parse(OPERATOR_FILE, &names()).unwrap();
    let subsetting = subsetting.unwrap();
    assert_eq!(
        (subsetting.plan.min_engines, subsetting.plan.load_slack, subsetting.check_interval),
        (12, 0.2, ms(400))
    );
    assert_eq!(
        (subsetting.aperture.grow_interval, subsetting.aperture.shrink_interval),
        (ms(900), ms(9_000))
    );
    let health_gossip = health_gossip.unwrap();
    assert_eq!(
        (health_gossip.interval, health_gossip.fanout, health_gossip.probe_slot),
        (ms(200), 6, Some(ms(2_000)))
    );
    assert_eq!((health_gossip.aggregation.window, health_gossip.aggregation.max_age), (ms(9_000), ms(3_500)));
}
