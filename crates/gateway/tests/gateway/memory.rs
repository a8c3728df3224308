//! The configuration and the command line, without the program.

use crate::common;
use larchfall_gateway::cluster::ask::What;
use larchfall_gateway::run::command::{Asked, Task, parse};
use larchfall_gateway::run::config;
use larchfall_policy::time::Duration;

/// What is changed in a configuration that is accepted (`from|to`, else the whole text), and what the refusal says.
const REFUSALS: &[(&str, &str)] = &[
    ("", "EOF"),
    ("{", "EOF"),
    ("\"listen\":\"127.0.0.1:0\"|\"listen\":\"here\"", "listen: 'here' is no address"),
    ("\"listen\":\"127.0.0.1:0\",|", "missing field `listen`"),
    ("\"board\":\"127.0.0.1:9\"|\"board\":\"\"", "board: '' is no address"),
    ("8c1f30d27a5be964|xyz", "seed: 'xyz' is not hex"),
    ("\"sockets\":256|\"sockets\":3", "limits: too little memory or too few sockets"),
    ("s-00000001|00000001", "known.notices, rev 1: instanceId '00000001'"),
    ("10.0.0.1:7|10.0.0.1", "known.notices, rev 1: hostPort"),
    ("\"lifecycle\":\"up\"|\"lifecycle\":\"ill\"", "known.notices, rev 1: unknown lifecycle 'ill'"),
    ("\"zone\":\"east\"|\"zone\":\"moon\"", "known.notices, rev 1: zone 'moon' is not in the settings"),
    ("read_like|write_like", "settings: classes[0].effect: unknown word 'write_like'"),
    ("\"classes\":|\"others\":", "settings.classes: no service group"),
    // Missing, out of range, or against each other.
    ("\"instances\":1,\"me\":0|\"instances\":1,\"me\":1", "settings: me: not under instances"),
    ("\"az\":0|\"az\":1", "settings: az: no place in zones"),
    ("\"zones\":[\"east\"]|\"zones\":[\"east\",\"east\"]", "settings: zones[1]: 'east' comes twice"),
    ("\"name\":\"once\"|\"name\":\"look\"", "settings: classes[1]: 'look' comes twice"),
    ("\"name\":\"once\",|", "settings: classes[1]: without a name"),
    ("\"hard_limit\":30000000|\"limit\":1", "settings: classes[0].hard_limit: missing or zero"),
    ("\"aim\":1000000|\"aim\":0", "settings: classes[0].aim: missing or zero"),
    ("\"dedup_window\":12000000,|", "settings: classes[2].dedup_window: missing or zero"),
    ("\"key_scope\":\"all\"|\"key_scope\":\"moon\"", "settings: classes[2].key_scope: unknown word 'moon'"),
    ("\"worth\":2.0|\"worth\":-2.0", "settings: classes[2].worth: no number from zero up"),
    ("\"worth\":2.0|\"worth\":2,\"stays_in\":[1]", "settings: classes[2].stays_in: names a place"),
    ("\"worth\":2.0|\"worth\":2,\"models_open\":[]", "settings: classes[2].models_open: leaves no engine"),
    (
        "\"threads_by_class\":[1,1,1]|\"threads_by_class\":[1,1,1,1]",
        "settings: domain.threads_by_class: of 4",
    ),
    ("\"size_cores\":[64]|\"size_cores\":[-64]", "settings: domain.size_cores[0]: no number"),
    ("\"cold_from\":0.3|\"cold_from\":3", "settings: safety.cold_from: no share"),
    ("\"cold_from\":0.3,|", "settings: safety.cold_from: missing or zero where"),
    ("\"fall_multiple\":3.0|\"fall_multiple\":\"3\"", "settings: invalid type"),
    ("\"cold_from\"|\"budget_free\":2,\"cold_from\"", "settings: safety.extra_window: missing or zero"),
    ("\"allowance_per_s\":1000|\"allowance_per_s\":-1", "settings: parties[0].allowance_per_s: no number"),
];

#[test]
fn a_configuration_is_refused_by_the_name_of_what_is_wrong() {
    let sound = common::config(
        "127.0.0.1:0",
        "127.0.0.1:9".parse().unwrap(),
        Some("10.0.0.1:7".parse().unwrap()),
        256,
    );
    assert!(config::parse(sound.as_bytes()).is_ok());
    for (change, says) in REFUSALS {
        let text = match change.split_once('|') {
            Some((from, to)) => sound.replace(from, to),
            None => (*change).to_owned(),
        };
        let why = config::parse(text.as_bytes()).err().unwrap_or_default();
        assert!(why.contains(says), "{change}: {why}");
    }
}

#[test]
fn the_command_line_refuses_what_it_does_not_know() {
    type Case<'a> = (&'a [&'a str], Result<Asked, &'static str>);
    let ok = |task, config: Option<&str>, site: Option<&str>| {
        let (config, site) = (config.map(str::to_owned), site.map(str::to_owned));
        Ok(Asked { task, config, site, command: Vec::new(), end: Duration::ZERO, gateways: 0, chart: None })
    };
    let minds = Asked {
        command: vec!["sh".into(), "-c".into(), "--end-ms".into()],
        ..ok(Task::Mind, None, None).unwrap()
    };
    let subsets =
        Asked { gateways: 300, chart: Some("c".into()), ..ok(Task::Subsets, Some("a"), None).unwrap() };
    let cases: [Case; 19] = [
        (&["engines", "--site", "b"], ok(Task::Ask(What::Engines), None, Some("b"))),
        (&["subsets", "--config", "a", "--fronts", "300", "--chart=c"], Ok(subsets)),
        (&["serve", "--fronts", "3"], Err("invalid option '--fronts'")),
        (&["fronts", "--site", "b"], ok(Task::Ask(What::Gateways), None, Some("b"))),
        (
            &["mind", "--end-ms", "7", "--", "sh", "-c", "--end-ms"],
            Ok(Asked { end: Duration::from_millis(7), ..minds }),
        ),
        (&["mind", "--site", "b"], Err("invalid option '--site'")),
        (&[], ok(Task::Serve, None, None)),
        (&["serve"], ok(Task::Serve, None, None)),
        (&["serve", "--config", "a"], ok(Task::Serve, Some("a"), None)),
        (&["--config=a", "check"], ok(Task::Check, Some("a"), None)),
        (&["check", "--site", "b", "--config=a"], ok(Task::Check, Some("a"), Some("b"))),
        (&["version"], ok(Task::Version, None, None)),
        (&["version", "--config", "a"], Err("invalid option '--config'")),
        (&["help", "--site", "a"], Err("invalid option '--site'")),
        (&["serve", "check"], Err("unexpected argument \"check\"")),
        (&["dance"], Err("unknown command 'dance'")),
        (&["--dance"], Err("invalid option '--dance'")),
        (&["--config"], Err("missing argument for option '--config'")),
        (&["-x"], Err("invalid option '-x'")),
    ];
    for (args, expected) in cases {
        let got = parse(args.iter().map(|a| (*a).to_owned()));
        assert_eq!(got, expected.map_err(str::to_owned), "{args:?}");
    }
    for args in
        [&["help"][..], &["-h"], &["serve", "--help"], &["check", "-h"], &["version", "-h"], &["--help"]]
    {
        let got = parse(args.iter().map(|a| (*a).to_owned()));
        assert!(
            matches!(got, Ok(Asked { task: Task::Help(text), .. }) if text.contains("usage")),
            "{args:?}"
        );
    }
}
