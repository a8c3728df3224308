//! Tests of the configuration parser and the command line parser. They call the parsers and start no process.

use crate::common;
use larchfall_gateway::cli::arguments::{Command, FilePaths, parse};
use larchfall_gateway::cluster::status_query::Topic;
use larchfall_gateway::config;
use larchfall_policy::time::Duration;

/// Pairs of a change and a substring of the expected error. A change is `from|to`, which replaces `from` in a valid
/// configuration by `to`, or a complete configuration text where it has no `|`.
const INVALID_CONFIGURATIONS: &[(&str, &str)] = &[
    ("", "EOF"),
    ("{", "EOF"),
    ("\"listen\":\"127.0.0.1:0\"|\"listen\":\"here\"", "listen: 'here' is not an IPv4 address"),
    ("\"listen\":\"127.0.0.1:0\",|", "missing field `listen`"),
    ("\"board\":\"127.0.0.1:9\"|\"board\":\"\"", "board: '' is not an IPv4 address"),
    ("8c1f30d27a5be964|xyz", "seed: 'xyz' is not hexadecimal"),
    ("\"sockets\":256|\"sockets\":3", "limits: memory_mb or sockets is too small"),
    ("s-00000001|00000001", "known.notices, rev 1: instanceId '00000001'"),
    ("10.0.0.1:7|10.0.0.1", "known.notices, rev 1: hostPort"),
    (
        "\"lifecycle\":\"up\"|\"lifecycle\":\"ill\"",
        "known.notices, rev 1: lifecycle 'ill' is not up, draining or removed",
    ),
    ("\"zone\":\"east\"|\"zone\":\"moon\"", "known.notices, rev 1: zone 'moon' is not in the settings"),
    ("read_like|write_like", "settings: classes[0].effect: unknown value 'write_like'"),
    ("\"classes\":|\"others\":", "settings.classes: must list at least one request class"),
    // Settings that are missing, out of range or inconsistent with each other.
    ("\"instances\":1,\"me\":0|\"instances\":1,\"me\":1", "settings: me: 1 is not less than instances (1)"),
    ("\"az\":0|\"az\":1", "settings: az: 1 is not an index into zones"),
    ("\"zones\":[\"east\"]|\"zones\":[\"east\",\"east\"]", "settings: zones[1]: 'east' is listed twice"),
    ("\"name\":\"once\"|\"name\":\"look\"", "settings: classes[1]: 'look' is listed twice"),
    ("\"name\":\"once\",|", "settings: classes[1]: the name is missing or empty"),
    ("\"hard_limit\":30000000|\"limit\":1", "settings: classes[0].hard_limit: missing or zero"),
    ("\"aim\":1000000|\"aim\":0", "settings: classes[0].aim: missing or zero"),
    ("\"dedup_window\":12000000,|", "settings: classes[2].dedup_window: missing or zero"),
    ("\"key_scope\":\"all\"|\"key_scope\":\"moon\"", "settings: classes[2].key_scope: unknown value 'moon'"),
    ("\"worth\":2.0|\"worth\":-2.0", "settings: classes[2].worth: -2 is not a finite number of at least 0"),
    ("\"worth\":2.0|\"worth\":2,\"stays_in\":[1]", "settings: classes[2].stays_in: index 1 is out of range"),
    ("\"worth\":2.0|\"worth\":2,\"models_open\":[]", "settings: classes[2].models_open: the list is empty"),
    (
        "\"threads_by_class\":[1,1,1]|\"threads_by_class\":[1,1,1,1]",
        "settings: domain.threads_by_class: has 4",
    ),
    (
        "\"size_cores\":[64]|\"size_cores\":[-64]",
        "settings: domain.size_cores[0]: -64 is not a finite number",
    ),
    ("\"cold_from\":0.3|\"cold_from\":3", "settings: safety.cold_from: 3 is not between 0 and 1"),
    ("\"cold_from\":0.3,|", "settings: safety.cold_from: missing or zero; must be greater than 0"),
    ("\"fall_multiple\":3.0|\"fall_multiple\":\"3\"", "settings: invalid type"),
    ("\"cold_from\"|\"budget_free\":2,\"cold_from\"", "settings: safety.extra_window: missing or zero"),
    (
        "\"allowance_per_s\":1000|\"allowance_per_s\":-1",
        "settings: parties[0].allowance_per_s: -1 is not a finite number",
    ),
];

#[test]
fn an_invalid_configuration_is_rejected_with_the_name_of_the_field() {
    let accepted = common::config(
        "127.0.0.1:0",
        "127.0.0.1:9".parse().unwrap(),
        Some("10.0.0.1:7".parse().unwrap()),
        256,
    );
    assert!(config::parse(accepted.as_bytes()).is_ok(), "{:?}", config::parse(accepted.as_bytes()).err());
    for (change, expected) in INVALID_CONFIGURATIONS {
        let text = match change.split_once('|') {
            Some((from, to)) => accepted.replace(from, to),
            None => (*change).to_owned(),
        };
        let error = config::parse(text.as_bytes()).err().map(|error| error.to_string()).unwrap_or_default();
        assert!(error.contains(expected), "{change}: {error}");
    }
}

fn files(config: Option<&str>, operator_config: Option<&str>) -> FilePaths {
    FilePaths { config: config.map(str::to_owned), operator_config: operator_config.map(str::to_owned) }
}

fn parsed(arguments: &[&str]) -> Result<Command, String> {
    parse(arguments.iter().map(|argument| (*argument).to_owned())).map_err(|error| error.to_string())
}

#[test]
fn unknown_commands_and_options_are_rejected() {
    let status =
        |topic, operator_config| Command::Status { topic, files: files(None, Some(operator_config)) };
    let subsets = Command::Subsets { files: files(Some("a"), None), gateways: 300, chart: Some("c".into()) };
    let supervise = Command::Supervise {
        grace: Duration::from_millis(7),
        program: vec!["sh".into(), "-c".into(), "--end-ms".into()],
    };
    let cases: [(&[&str], Result<Command, &str>); 24] = [
        (&["members", "--site", "b"], Ok(status(Topic::Members, "b"))),
        (&["leases", "--site", "b"], Ok(status(Topic::Leases, "b"))),
        (&["quotas", "--site", "b"], Ok(status(Topic::Quotas, "b"))),
        (&["engines", "--site", "b"], Ok(status(Topic::Engines, "b"))),
        // Command names of earlier versions, which stay accepted.
        (&["fronts", "--site", "b"], Ok(status(Topic::Members, "b"))),
        (&["duties", "--site", "b"], Ok(status(Topic::Leases, "b"))),
        (&["shares", "--site", "b"], Ok(status(Topic::Quotas, "b"))),
        (&["subsets", "--config", "a", "--fronts", "300", "--chart=c"], Ok(subsets)),
        (&["serve", "--fronts", "3"], Err("invalid option '--fronts'")),
        (&["mind", "--end-ms", "7", "--", "sh", "-c", "--end-ms"], Ok(supervise)),
        (&["mind", "--site", "b"], Err("invalid option '--site'")),
        (&[], Ok(Command::Serve(files(None, None)))),
        (&["serve"], Ok(Command::Serve(files(None, None)))),
        (&["serve", "--config", "a"], Ok(Command::Serve(files(Some("a"), None)))),
        (&["--config=a", "check"], Ok(Command::Check(files(Some("a"), None)))),
        (&["check", "--site", "b", "--config=a"], Ok(Command::Check(files(Some("a"), Some("b"))))),
        (&["version"], Ok(Command::Version)),
        (&["version", "--config", "a"], Err("invalid option '--config'")),
        (&["help", "--site", "a"], Err("invalid option '--site'")),
        (&["serve", "check"], Err("unexpected argument \"check\"")),
        (&["dance"], Err("unknown command 'dance'")),
        (&["--dance"], Err("invalid option '--dance'")),
        (&["--config"], Err("missing argument for option '--config'")),
        (&["-x"], Err("invalid option '-x'")),
    ];
    for (arguments, expected) in cases {
        assert_eq!(parsed(arguments), expected.map_err(str::to_owned), "{arguments:?}");
    }
}

#[test]
fn each_command_has_help() {
    for arguments in
        [&["help"][..], &["-h"], &["serve", "--help"], &["check", "-h"], &["version", "-h"], &["--help"]]
    {
        let command = parsed(arguments);
        assert!(
            matches!(command, Ok(Command::Help(text)) if text.contains("usage")),
            "{arguments:?}: {command:?}"
        );
    }
}

#[test]
fn help_lists_the_commands_and_their_former_names() {
    let Ok(Command::Help(program)) = parsed(&["help"]) else {
        panic!("'help' does not parse as a help command")
    };
    let Ok(Command::Help(status)) = parsed(&["fronts", "--help"]) else {
        panic!("'fronts --help' does not parse as a help command")
    };
    assert_eq!(parsed(&["members", "--help"]), Ok(Command::Help(status)));
    for word in ["members", "leases", "quotas", "engines", "fronts", "duties", "shares"] {
        assert!(program.contains(word) && status.contains(word), "the help does not list {word}");
    }
}
