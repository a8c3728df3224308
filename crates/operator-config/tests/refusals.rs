//! An operator's file with every key, as it was written before the program's terms were changed, and what it is refused
//! with, byte for byte. The texts in `files/refusals.txt` were produced by the version before.

use larchfall_config::Names;
use larchfall_membership::membership::Network;
use larchfall_operator_config::{OperatorConfig, parse};
use larchfall_paged_rest::request_fields::{FieldSource, HeaderFamily};
use larchfall_policy::time::Duration;

const FILE: &str = include_str!("files/operator.toml");
const REFUSALS: &str = include_str!("files/refusals.txt");
const REFUSAL_COUNT: usize = 75;

fn names() -> Names {
    let text = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    Names { classes: text(&["look", "load"]), tenants: text(&["acme"]), ..Names::default() }
}

/// One refusal: a line of the file and what stands in its place, or a whole file; and the text.
struct Refusal<'a> {
    text: String,
    expected: &'a str,
}

fn refusals() -> Vec<Refusal<'static>> {
    REFUSALS
        .trim()
        .split("\n\n")
        .map(|case| match case.lines().collect::<Vec<_>>()[..] {
            [removed, inserted, expected] => {
                let removed = removed.strip_prefix("- ").expect(case);
                let inserted = inserted.strip_prefix('+').expect(case).trim_start();
                assert!(FILE.contains(removed), "{removed} is not in the file");
                Refusal { text: FILE.replacen(removed, inserted, 1), expected: &expected[2..] }
            }
            [whole, expected] => {
                let whole = whole.strip_prefix("= ").expect(case);
                Refusal { text: whole.replace("\\n", "\n"), expected: &expected[2..] }
            }
            _ => panic!("{case}"),
        })
        .collect()
}

#[test]
fn refusals_are_the_texts_of_the_version_before() {
    let refusals = refusals();
    assert_eq!(refusals.len(), REFUSAL_COUNT);
    for Refusal { text, expected } in refusals {
        let error = parse(&text, &names()).expect_err(expected);
        assert_eq!(error.to_string().replace('\n', "\\n"), expected);
    }
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_paged_rest_table_of_the_version_before_means_the_same() {
    let rest = parse(FILE, &names()).unwrap().paged_rest.unwrap();
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
    let request = rest.sources;
    assert_eq!(
        request.class,
        [FieldSource::FamilyHeader("Source".into()), session("group").remove(0), value("look")]
    );
    assert_eq!(request.tenant, [FieldSource::FamilyHeader("User".into()), value("acme")]);
    assert_eq!(request.idempotency_key, [FieldSource::Header("Idempotency-Key".into())]);
    assert_eq!((request.order_key, request.work), (session("order_key"), session("ms")));
    assert_eq!((request.memory, request.timeout), (session("mb"), session("time_limit")));
}

#[test]
fn a_members_table_of_the_version_before_means_the_same() {
    let membership = parse(FILE, &names()).unwrap().membership.unwrap();
    assert_eq!(
        (&membership.name[..], &membership.zone[..], membership.requests_per_second),
        ("n0", "east", 40)
    );
    assert_eq!(membership.listen.to_string(), "0.0.0.0:7400");
    assert_eq!(membership.advertised.to_string(), "10.0.0.7:7400");
    let members = membership.settings;
    assert_eq!((&members.cluster[..], members.max_members), ("harbor", 512));
    assert_eq!((members.probe_interval, members.probe_timeout), (ms(400), ms(120)));
    assert_eq!((members.table_exchange_interval, members.ended_retention), (ms(2_500), ms(50_000)));
    assert_eq!(members.seeds, ["10.0.0.8:7400".parse().unwrap()]);
    let network = |address: [u8; 4], prefix_len| Network { address: address.into(), prefix_len };
    assert_eq!(members.allowed_networks, [network([10, 0, 0, 0], 24), network([127, 0, 0, 1], 32)]);
    let count = membership.fleet_size.unwrap();
    assert_eq!(
        (count.decrease_delay, count.decrease_interval, count.min_gateways),
        (ms(20_000), ms(1_500), 2)
    );
}

#[test]
fn leases_of_the_version_before_mean_the_same() {
    let leases = parse(FILE, &names()).unwrap().leases.unwrap();
    let settings = leases.settings;
    let list = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    assert_eq!(settings.voters.current, list(&["n0", "n1", "n2"]));
    assert_eq!(settings.voters.previous, Some(list(&["n0", "n1", "n3"])));
    assert_eq!((settings.terms.length, settings.terms.drift_margin_per_mille), (ms(2_500), 50));
    assert_eq!((settings.voter_limits.longest_lease, settings.voter_limits.persistent), (ms(9_000), true));
    assert_eq!((settings.min_hold_time, &settings.cluster[..]), (ms(20_000), "harbor"));
    let roles = ["keeper:0", "keeper:1", "nightly", "probing:0", "probing:1", "probing:2"];
    assert_eq!(settings.roles, list(&roles));
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
fn subsets_and_gossip_of_the_version_before_mean_the_same() {
    let OperatorConfig { subsetting, health_gossip, .. } = parse(FILE, &names()).unwrap();
    let subsetting = subsetting.unwrap();
    assert_eq!(
        (subsetting.plan.min_engines, subsetting.plan.load_slack, subsetting.check_interval),
        (12, 0.2, ms(400))
    );
    assert_eq!(
        (subsetting.aperture.grow_interval, subsetting.aperture.shrink_interval),
        (ms(900), ms(9_000))
    );
    let gossip = health_gossip.unwrap();
    assert_eq!((gossip.interval, gossip.fanout, gossip.probe_slot), (ms(200), 6, Some(ms(2_000))));
    assert_eq!((gossip.aggregation.window, gossip.aggregation.max_age), (ms(9_000), ms(3_500)));
}
