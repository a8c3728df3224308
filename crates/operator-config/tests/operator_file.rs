//! The operator's file: defaults, the example file `deploy/site-example.toml`, and errors that name line and field.

use larchfall_config::Names;
use larchfall_operator_config::parse;
use larchfall_paged_rest::request_fields::{FieldSource, HeaderFamily};
use larchfall_policy::time::Duration;

fn names() -> Names {
    let text = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    Names { classes: text(&["look", "load"]), tenants: text(&["acme"]), ..Names::default() }
}

/// A `[rest]` table with only its required keys.
const MINIMAL_REST: &str = "[rest]\nlisten = \"127.0.0.1:0\"\n[rest.batch]\ngroup = [{ value = \"look\" }]\ncustomer = [{ value = \"acme\" }]\n";

/// The only required key of the `[duties]` table.
const VOTERS: &str = "electors = [\"a\", \"b\", \"c\"]";

/// A `[fronts]` table with only its required keys.
const MINIMAL_FRONTS: &str = "[fronts]\ncluster = \"toy\"\nname = \"n0\"\naddress = \"127.0.0.1:7400\"\nseeds = [\"127.0.0.1:7401\"]\nnetworks = [\"127.0.0.0/8\"]\n";

#[test]
fn an_absent_table_is_off_and_an_absent_key_has_its_default() {
    assert!(parse("", &names()).unwrap().paged_rest.is_none());
    let rest = parse(MINIMAL_REST, &names()).unwrap().paged_rest.unwrap();
    assert_eq!(
        (rest.header_family, rest.base_url, rest.poll_timeout),
        (HeaderFamily::Trino, None, Duration::from_millis(1000))
    );
    assert_eq!((rest.max_connections, rest.limits.max_results, rest.limits.window.max_pages), (32, 256, 4));
    assert_eq!(rest.sources.class, [FieldSource::Value("look".into())]);
    let example = parse(include_str!("../../../deploy/site-example.toml"), &names()).unwrap();
    let rest = example.paged_rest.unwrap();
    let membership = example.membership.unwrap();
    assert_eq!((rest.header_family, rest.sources.class.len()), (HeaderFamily::Both, 2));
    assert_eq!(
        (membership.advertised, membership.settings.allowed_networks[0].prefix_len),
        (membership.listen, 8)
    );
    let leases = example.leases.unwrap();
    assert_eq!((leases.settings.roles.len(), leases.programs.len(), leases.quotas), (5, 1, None));
    assert_eq!(leases.load_sharing.map(|sharing| sharing.max_report_age), Some(Duration::from_millis(1500)));
    assert!(parse(MINIMAL_REST, &names()).unwrap().membership.is_none());
    assert!(parse(MINIMAL_FRONTS, &names()).unwrap().leases.is_none());
    let minimal = parse(MINIMAL_FRONTS, &names()).unwrap().membership.unwrap();
    assert!(
        minimal.fleet_size.is_none()
            && membership.fleet_size.is_some_and(|fleet_size| fleet_size.min_gateways == 3)
    );
    assert_eq!(
        (minimal.settings.probe_interval, minimal.settings.max_members),
        (Duration::from_millis(500), 1024)
    );
}

fn assert_rejected(text: &str, expected: &str) {
    let error = parse(text, &names()).expect_err(text).to_string();
    assert!(error.contains(expected), "the error of {text:?} lacks '{expected}': {error}");
}

#[test]
fn errors_of_membership_name_line_and_field() {
    let with_line = |line: &str| format!("{MINIMAL_FRONTS}{line}\n");
    let long_name = "x".repeat(49);
    let cases = [
        (&with_line("dance = 1")[..], "line 7: unknown field `dance`"),
        (&with_line("period-ms = 10"), "line 7: fronts.period-ms: 10 ms is not within 50 to 60000"),
        (
            &with_line("answer-ms = 300"),
            "line 7: fronts.answer-ms: 300 ms exceeds half of period-ms (500 ms)",
        ),
        (&with_line("count-step-ms = 1"), "line 7: fronts.count-step-ms: 1 ms is not within"),
        (&with_line("count-least = 0"), "line 7: fronts.count-least: 0 is not within"),
        (&with_line("most = 1"), "line 7: fronts.most: 1 is not within 2 to 65536"),
        (&with_line("told = \"0.0.0.0:7400\""), "fronts.address: other gateways need a specific address"),
        (
            &MINIMAL_FRONTS.replace("127.0.0.1:7400", "127.0.0.1:0"),
            "fronts.address: other gateways need a specific address",
        ),
        (
            &MINIMAL_FRONTS.replace("127.0.0.1:7401", "seed"),
            "line 5: fronts.seeds: must be an IPv4 address with a port",
        ),
        (&MINIMAL_FRONTS.replace("/8", "/33"), "line 6: fronts.networks: must be an IPv4 network"),
        (&MINIMAL_FRONTS.replace("n0", &long_name), "line 3: fronts.name: must be 1 to 48 bytes long"),
        (&MINIMAL_FRONTS.replace("cluster = \"toy\"\n", ""), "missing field `cluster`"),
    ];
    for (text, expected) in cases {
        assert_rejected(text, expected);
    }
}

#[test]
fn errors_of_leases_and_programs_name_line_and_field() {
    let with_duties = |lines: &str| format!("{MINIMAL_FRONTS}[duties]\n{lines}\n");
    let with_program = |lines: &str| with_duties(&format!("{VOTERS}\n[[duty]]\n{lines}"));
    let program_keys = "name = \"x\"\ncommand = [\"true\"]";
    let cases = [
        (&format!("[duties]\n{VOTERS}\n")[..], "line 2: duties.electors: needs a [fronts] table"),
        (
            &with_duties("electors = [\"a\", \"b\"]"),
            "line 8: duties.electors: must list 3, 5 or 7 different gateway names",
        ),
        (&with_duties("electors = [\"a\", \"b\", \"b\"]"), "line 8: duties.electors: must list 3, 5 or 7"),
        (
            &with_duties(&format!("{VOTERS}\nelectors-before = []")),
            "line 9: duties.electors-before: must list 3, 5 or 7",
        ),
        (
            &with_duties(&format!("{VOTERS}\nlongest-ms = 2000")),
            "line 9: duties.longest-ms: 2000 ms is less than lease-ms (3000 ms)",
        ),
        (
            &with_duties(&format!("{VOTERS}\nmargin = 900")),
            "line 9: duties.margin: 900 is not within 1 to 500",
        ),
        (
            &with_duties(&format!("{VOTERS}\nprobing = 2\nfresh-ms = 400")),
            "line 10: duties.fresh-ms: 400 ms is less than probe-ms (500 ms)",
        ),
        (&with_duties(&format!("{VOTERS}\nkeepers = 0")), "line 9: duties.keepers: 0 is not within 1 to 64"),
        (
            &with_program("name = \"\"\ncommand = [\"true\"]"),
            "line 10: duty.name: must be 1 to 48 bytes long",
        ),
        (
            &with_program(&format!("{program_keys}\n[[duty]]\n{program_keys}")),
            "line 13: duty.name: must be 1 to 48 bytes long and name no other",
        ),
        (
            &with_program("name = \"x\"\ncommand = []"),
            "line 11: duty.command: must start with the name of a program",
        ),
        (
            &with_program(&format!("{program_keys}\nend-ms = 800")),
            "line 12: duty.end-ms: 800 ms is not within 10 to 750",
        ),
        (&format!("{MINIMAL_FRONTS}[[duty]]\n{program_keys}\n"), "line 8: duty: needs a [duties] table"),
    ];
    for (text, expected) in cases {
        assert_rejected(text, expected);
    }
}

#[test]
fn errors_of_paged_rest_and_of_unknown_tables_name_line_and_field() {
    let with = |line: &str| MINIMAL_REST.replace("[rest.batch]", &format!("{line}\n[rest.batch]"));
    let cases = [
        ("[rest", "line 1"),
        ("[dance]\n", "line 1: unknown field `dance`"),
        ("[rest]\n", "missing field `listen`"),
        (&with("dance = 1"), "line 3: unknown field `dance`"),
        (&with("poll-ms = \"soon\""), "line 3: invalid type"),
        (&with("headers = \"both sides\""), "line 3: unknown variant"),
        (&with("poll-ms = 0"), "line 3: rest.poll-ms: 0 ms is not within 1 to 60000"),
        (
            &with("\nkept-for-ms = 999"),
            "line 4: rest.kept-for-ms: 999 ms is not longer than poll-ms (1000 ms)",
        ),
        (&with("connections = 0"), "line 3: rest.connections: 0 is not within"),
        (&with("results = 0"), "line 3: rest.results"),
        (&with("in-hand = 0"), "line 3: rest.in-hand"),
        (&with("result-pages = 0"), "line 3: rest.result-pages"),
        (&with("result-bytes = 5"), "line 3: rest.result-bytes"),
        (&with("all-bytes = 5"), "line 3: rest.all-bytes"),
        (&with("statement-bytes = 0"), "line 3: rest.statement-bytes"),
        (&with("base = \"queries\""), "line 3: rest.base: must be http://"),
        (
            &MINIMAL_REST.replace("127.0.0.1:0", "here"),
            "line 2: rest.listen: must be an IPv4 address with a port",
        ),
        (
            &MINIMAL_REST.replace("\"look\"", "\"dance\""),
            "rest.batch.group: 'dance' is not defined in the platform's settings",
        ),
        (
            &MINIMAL_REST.replace("\"acme\"", "\"nobody\""),
            "rest.batch.customer: 'nobody' is not defined in the platform's settings",
        ),
        (
            &MINIMAL_REST.replace("[{ value = \"look\" }]", "[]"),
            "rest.batch.group: must list at least one source",
        ),
        (
            &MINIMAL_REST.replace("[{ value = \"acme\" }]", "[]"),
            "rest.batch.customer: must list at least one source, since",
        ),
        (
            &MINIMAL_REST.replace("{ value = \"look\" }", "{ cookie = \"look\" }"),
            "line 4: unknown variant `cookie`",
        ),
    ];
    for (text, expected) in cases {
        assert_rejected(text, expected);
    }
}
