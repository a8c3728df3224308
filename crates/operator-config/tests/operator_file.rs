//! The operator's file: what is refused, with line and field, and the example that is handed out.

use larchfall_config::Names;
use larchfall_operator_config::parse;
use larchfall_paged_rest::request_fields::{FieldSource, HeaderFamily};
use larchfall_policy::time::Duration;

fn names() -> Names {
    let text = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    Names { classes: text(&["look", "load"]), tenants: text(&["acme"]), ..Names::default() }
}

const LEAST: &str = "[rest]\nlisten = \"127.0.0.1:0\"\n[rest.batch]\ngroup = [{ value = \"look\" }]\ncustomer = [{ value = \"acme\" }]\n";

const VOTERS: &str = "electors = [\"a\", \"b\", \"c\"]";

const GATEWAYS: &str = "[fronts]\ncluster = \"toy\"\nname = \"n0\"\naddress = \"127.0.0.1:7400\"\nseeds = [\"127.0.0.1:7401\"]\nnetworks = [\"127.0.0.0/8\"]\n";

#[test]
fn what_a_file_leaves_out_is_off_or_has_its_default() {
    assert!(parse("", &names()).unwrap().paged_rest.is_none());
    let rest = parse(LEAST, &names()).unwrap().paged_rest.unwrap();
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
    assert_eq!(leases.load_sharing.map(|p| p.max_report_age), Some(Duration::from_millis(1500)));
    assert!(parse(LEAST, &names()).unwrap().membership.is_none());
    assert!(parse(GATEWAYS, &names()).unwrap().leases.is_none());
    let least = parse(GATEWAYS, &names()).unwrap().membership.unwrap();
    assert!(least.fleet_size.is_none() && membership.fleet_size.is_some_and(|c| c.min_gateways == 3));
    assert_eq!(
        (least.settings.probe_interval, least.settings.max_members),
        (Duration::from_millis(500), 1024)
    );
}

fn assert_refused(text: &str, expected: &str) {
    let error = parse(text, &names()).expect_err(text).to_string();
    assert!(error.contains(expected), "{expected}: {error}");
}

#[test]
fn refusals_of_members_name_line_and_field() {
    let members = |line: &str| format!("{GATEWAYS}{line}\n");
    let long = "x".repeat(49);
    let cases = [
        (&members("dance = 1")[..], "line 7: unknown field `dance`"),
        (&members("period-ms = 10"), "line 7: fronts.period-ms: 10 ms is not within 50 to 60000"),
        (&members("answer-ms = 300"), "line 7: fronts.answer-ms: others that are asked"),
        (&members("count-step-ms = 1"), "line 7: fronts.count-step-ms: 1 ms is not within"),
        (&members("count-least = 0"), "line 7: fronts.count-least: 0 is not within"),
        (&members("most = 1"), "line 7: fronts.most: 1 is not within 2 to 65536"),
        (&members("told = \"0.0.0.0:7400\""), "fronts.address: others need an address"),
        (&GATEWAYS.replace("127.0.0.1:7400", "127.0.0.1:0"), "fronts.address: others need an address"),
        (&GATEWAYS.replace("127.0.0.1:7401", "seed"), "line 5: fronts.seeds: no IPv4 address with a port"),
        (&GATEWAYS.replace("/8", "/33"), "line 6: fronts.networks: wanted an address and its bits"),
        (&GATEWAYS.replace("n0", &long), "line 3: fronts.name: wanted 1 to 48 bytes"),
        (&GATEWAYS.replace("cluster = \"toy\"\n", ""), "missing field `cluster`"),
    ];
    for (text, expected) in cases {
        assert_refused(text, expected);
    }
}

#[test]
fn refusals_of_leases_and_programs_name_line_and_field() {
    let leases = |lines: &str| format!("{GATEWAYS}[duties]\n{lines}\n");
    let program = |lines: &str| leases(&format!("{VOTERS}\n[[duty]]\n{lines}"));
    let runs = "name = \"x\"\ncommand = [\"true\"]";
    let cases = [
        (&format!("[duties]\n{VOTERS}\n")[..], "line 2: duties.electors: needs a [fronts] table"),
        (
            &leases("electors = [\"a\", \"b\"]"),
            "line 8: duties.electors: wanted the names of 3, 5 or 7 fronts",
        ),
        (
            &leases("electors = [\"a\", \"b\", \"b\"]"),
            "line 8: duties.electors: wanted the names of 3, 5 or 7",
        ),
        (
            &leases(&format!("{VOTERS}\nelectors-before = []")),
            "line 9: duties.electors-before: wanted the names",
        ),
        (
            &leases(&format!("{VOTERS}\nlongest-ms = 2000")),
            "line 9: duties.longest-ms: electors would grant less",
        ),
        (&leases(&format!("{VOTERS}\nmargin = 900")), "line 9: duties.margin: 900 is not within 1 to 500"),
        (
            &leases(&format!("{VOTERS}\nprobing = 2\nfresh-ms = 400")),
            "line 10: duties.fresh-ms: what is read",
        ),
        (&leases(&format!("{VOTERS}\nkeepers = 0")), "line 9: duties.keepers: 0 is not within 1 to 64"),
        (&program("name = \"\"\ncommand = [\"true\"]"), "line 10: duty.name: wanted 1 to 48 bytes"),
        (
            &program(&format!("{runs}\n[[duty]]\n{runs}")),
            "line 13: duty.name: wanted 1 to 48 bytes that no other",
        ),
        (&program("name = \"x\"\ncommand = []"), "line 11: duty.command: names no program"),
        (&program(&format!("{runs}\nend-ms = 800")), "line 12: duty.end-ms: 800 ms is not within 10 to 750"),
        (&format!("{GATEWAYS}[[duty]]\n{runs}\n"), "line 8: duty: needs a [duties] table"),
    ];
    for (text, expected) in cases {
        assert_refused(text, expected);
    }
}

#[test]
fn refusals_of_paged_rest_and_of_unknown_tables_name_line_and_field() {
    let with = |line: &str| LEAST.replace("[rest.batch]", &format!("{line}\n[rest.batch]"));
    let cases = [
        ("[rest", "line 1"),
        ("[dance]\n", "line 1: unknown field `dance`"),
        ("[rest]\n", "missing field `listen`"),
        (&with("dance = 1"), "line 3: unknown field `dance`"),
        (&with("poll-ms = \"soon\""), "line 3: invalid type"),
        (&with("headers = \"both sides\""), "line 3: unknown variant"),
        (&with("poll-ms = 0"), "line 3: rest.poll-ms: 0 ms is not within 1 to 60000"),
        (&with("\nkept-for-ms = 999"), "line 4: rest.kept-for-ms: a result must be kept for longer"),
        (&with("connections = 0"), "line 3: rest.connections: 0 is not within"),
        (&with("results = 0"), "line 3: rest.results"),
        (&with("in-hand = 0"), "line 3: rest.in-hand"),
        (&with("result-pages = 0"), "line 3: rest.result-pages"),
        (&with("result-bytes = 5"), "line 3: rest.result-bytes"),
        (&with("all-bytes = 5"), "line 3: rest.all-bytes"),
        (&with("statement-bytes = 0"), "line 3: rest.statement-bytes"),
        (&with("base = \"queries\""), "line 3: rest.base: wanted http://"),
        (&LEAST.replace("127.0.0.1:0", "here"), "line 2: rest.listen: no address with a port"),
        (&LEAST.replace("\"look\"", "\"dance\""), "rest.batch.group: 'dance' is not in the settings"),
        (&LEAST.replace("\"acme\"", "\"nobody\""), "rest.batch.customer: 'nobody' is not in the settings"),
        (&LEAST.replace("[{ value = \"look\" }]", "[]"), "rest.batch.group: no source"),
        (&LEAST.replace("[{ value = \"acme\" }]", "[]"), "rest.batch.customer: the settings have customers"),
        (&LEAST.replace("{ value = \"look\" }", "{ cookie = \"look\" }"), "line 4: unknown variant `cookie`"),
    ];
    for (text, expected) in cases {
        assert_refused(text, expected);
    }
}
