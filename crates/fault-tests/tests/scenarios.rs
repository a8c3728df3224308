//! Fault scenarios: fixed seeds of one, and their parts: what is drawn, what is shrunk, what is healthy, what is reported.

use larchfall_fault_tests::fault_script::{DiskBehavior, FaultKind, FaultScript, Step, TimedStep};
use larchfall_fault_tests::fenced_resource::Action;
use larchfall_fault_tests::scenario::cluster_view::{Aspect, ClusterView, Rows};
use larchfall_fault_tests::scenario::config::{Feature, ScenarioConfig};
use larchfall_fault_tests::scenario::findings::{Summary, fencing_violations};
use larchfall_fault_tests::scenario::records::{Record, RecordKind, read, write};
use larchfall_fault_tests::scenario::report::{self, Named};
use larchfall_fault_tests::scenario::run::{run, save};
use larchfall_fault_tests::scenario::search::{Spread, spread};
use larchfall_fault_tests::scenario::shrink::{faults, shrink};
use larchfall_fault_tests::sync::lock;
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Mutex;
use std::thread;
use std::time::Instant;

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty-host");
const SHORT: &str = include_str!("../scenarios/short.toml");

/// What did not hold in a run of a seed, if anything.
fn run_seed(config: &ScenarioConfig, seed: u64) -> Option<String> {
    let name = format!("larchfall-scenario-{seed}-{}-failed", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let script = config.script(seed);
    let result = run(PROGRAM, config, &script, &folder).unwrap();
    println!("{:?}", result.summary);
    if !result.violations.is_empty() {
        save(&result, &script, &folder).unwrap();
        return Some(format!("seed {seed}: {:#?}, left in {}", result.violations, folder.display()));
    }
    (result.summary.requests < 200).then(|| format!("seed {seed}: too little: {:?}", result.summary))
}

/// More by hand: SCENARIO_SEEDS="1 2 3" cargo test -p larchfall-fault-tests --test scenarios -- --nocapture
#[test]
fn fixed_scenarios_hold_with_all_features_on() {
    let config = ScenarioConfig::read(SHORT).unwrap();
    let seeds = std::env::var("SCENARIO_SEEDS").unwrap_or_else(|_| "1 2 3 4 5 6".into());
    let left: Mutex<Vec<u64>> =
        Mutex::new(seeds.split_whitespace().map(|seed| seed.parse().unwrap()).collect());
    let next = || lock(&left).pop();
    let failed = Mutex::new(Vec::new());
    let run_seeds = || {
        while let Some(seed) = next() {
            let failure = run_seed(&config, seed);
            lock(&failed).extend(failure);
        }
    };
    thread::scope(|scope| (0..2).for_each(|_| drop(scope.spawn(run_seeds))));
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn a_scenario_is_read_whole_or_not_at_all() {
    assert_eq!(ScenarioConfig::read(SHORT), Ok(ScenarioConfig::default()));
    assert!(ScenarioConfig::read(include_str!("../scenarios/long.toml")).is_ok());
    // (what stands there in place of what, a word of what is said)
    let cases = [
        ("fronts = 5", "fronts = 2", "fronts: 2 is not within 3 to 64"),
        ("engines = 3", "engines = 0", "engines: 0"),
        ("lasts-ms = 9000", "lasts-ms = 1", "lasts-ms: 1"),
        ("replaces-ms = 1300", "replaces-ms = 40", "replaces-ms: 40"),
        ("restart = 1", "rain = 1", "rain"),
        ("\"subsets\"", "\"umbrellas\"", "umbrellas"),
        ("open = 5", "opened = 5", "opened"),
    ];
    for (from, to, says) in cases {
        let text = SHORT.replacen(from, to, 1);
        let error = ScenarioConfig::read(&text).unwrap_err().to_string();
        assert!(text != SHORT && error.contains(says), "{to}: {error}");
    }
}

#[test]
fn a_scenario_draws_the_same_for_a_seed_and_nothing_that_is_off() {
    let config = ScenarioConfig { duration_ms: 60_000, ..ScenarioConfig::default() };
    assert_eq!(config.script(7), config.script(7));
    assert_ne!(config.script(7).steps, config.script(8).steps);
    assert_eq!(FaultScript::read(&config.script(7).text()), Ok(config.script(7)));
    // Only what has a weight is drawn.
    let only_disks = ScenarioConfig { fault_weights: [(FaultKind::Disk, 1)].into(), ..config };
    let is_disk = |timed: &&TimedStep| matches!(timed.step, Step::Disk { .. });
    let drawn = only_disks.script(3).steps;
    assert_eq!(drawn.iter().filter(is_disk).count(), drawn.len() - 3, "{drawn:?}");
    // No tables but for the features that are on.
    let nothing_on = ScenarioConfig { features: BTreeSet::new(), ..ScenarioConfig::default() };
    assert_eq!(nothing_on.operator_tables(Path::new(""), ""), "");
    assert_eq!(nothing_on.lease_count(), 0);
}

fn timed(at_ms: u64, step: Step) -> TimedStep {
    TimedStep { at_ms, step }
}

#[test]
fn a_failing_script_is_shrunk_to_the_faults_that_it_fails_by() {
    let config = ScenarioConfig { duration_ms: 60_000, ..ScenarioConfig::default() };
    let suspend = Step::Suspend { gateway: 2 };
    let disk = |behavior| Step::Disk { gateway: 1, behavior };
    for seed in 0..20 {
        let mut whole = config.script(seed);
        let added = [
            timed(1, suspend.clone()),
            timed(2, disk(DiskBehavior::LosesWrites)),
            timed(3, Step::Resume { gateway: 2 }),
            timed(4, disk(DiskBehavior::Healthy)),
        ];
        whole.steps.splice(0..0, added);
        let fails = |script: &FaultScript| {
            let has = |step: &Step| script.steps.iter().any(|timed| timed.step == *step);
            has(&suspend) && has(&disk(DiskBehavior::LosesWrites))
        };
        let shrunk = shrink(&whole, 500, fails);
        let steps = &shrunk.script.steps;
        let is_heal =
            |timed: &&TimedStep| matches!(timed.step, Step::Heal | Step::EnginesHeal | Step::DiscoveriesHeal);
        // What a fault ends with goes with it, and heals at the end stay.
        let heals = steps.iter().filter(is_heal).count();
        assert!(heals >= 3 && steps.len() == 2 + 2 + heals, "seed {seed}: {steps:?}");
        assert_eq!(faults(&shrunk.script).len(), 2, "seed {seed}: {steps:?}");
        assert!(fails(&shrunk.script) && shrunk.tries < 500 && faults(&whole).len() > 40);
        // Stopped early, it fails still.
        assert!(fails(&shrink(&whole, 3, fails).script));
    }
    // One that fails whatever is taken away ends with one fault, one that never does stays whole.
    assert_eq!(faults(&shrink(&config.script(1), 500, |_| true).script).len(), 1);
    assert_eq!(shrink(&config.script(1), 500, |_| false).script, config.script(1));
}

fn rows(rows: &[&str]) -> Rows {
    let cells = |row: &&str| row.split('|').map(str::to_owned).collect();
    Some(rows.iter().map(cells).collect())
}

fn healthy_config() -> ScenarioConfig {
    ScenarioConfig { gateways: 3, features: [Feature::Quotas].into(), ..ScenarioConfig::default() }
}

/// Three gateways with two leases and an engine, all healthy.
fn healthy_view() -> ClusterView {
    let alive = rows(&["n00|alive", "n01|alive", "n02|alive"]);
    let held = rows(&["keeper:0|n00", "keeper:1|n00"]);
    let quotas = rows(&["cold/00000001|0.3333|handed out", "threads/00000001|0.3333|handed out"]);
    ClusterView {
        members: vec![alive; 3],
        leases: vec![held; 3],
        quotas: vec![quotas; 3],
        engines: vec![rows(&["00000001|ready|sound|used"]); 3],
    }
}

#[test]
fn what_is_not_healthy_is_named() {
    type Change = fn(&mut ClusterView);
    let cases: [(Change, Option<Aspect>); 9] = [
        (|_| {}, None),
        (|view| view.members[1] = rows(&["n00|alive", "n01|alive", "n02|suspected"]), Some(Aspect::Members)),
        (|view| view.members[2] = None, Some(Aspect::Members)),
        (|view| view.leases[0] = None, Some(Aspect::Leases)),
        (|view| view.leases[1] = rows(&["keeper:0|n01", "keeper:1|n00"]), Some(Aspect::Leases)),
        (
            |view| view.leases.iter_mut().for_each(|held| *held = rows(&["keeper:0|n00"])),
            Some(Aspect::Leases),
        ),
        (|view| view.quotas[1] = rows(&["threads/00000001|0.3333|by itself"]), Some(Aspect::Quotas)),
        (|view| view.engines[0] = rows(&["00000001|ready|left out|used"]), Some(Aspect::Engines)),
        (|view| view.engines[0] = None, Some(Aspect::Engines)),
    ];
    for (number, (change, expected)) in cases.into_iter().enumerate() {
        let mut view = healthy_view();
        change(&mut view);
        let unhealthy = view.unhealthy(&healthy_config(), &[1]);
        let named: BTreeSet<Aspect> = unhealthy.iter().map(|unhealthy| unhealthy.aspect).collect();
        assert_eq!(named, expected.into_iter().collect(), "case {number}: {unhealthy:?}");
    }
    // An engine that drains may be ejected.
    let mut view = healthy_view();
    view.engines[0] = rows(&["00000001|draining|left out|used"]);
    assert!(view.unhealthy(&healthy_config(), &[]).is_empty());
}

/// Quotas that were more than the whole in both of two views, and not where one moved between them.
#[test]
fn quotas_that_add_up_to_more_than_there_is_are_named() {
    let quota = |fraction: f64| rows(&[&format!("cold/00000001|{fraction}|handed out")]);
    // (quotas in the view before, quotas now, whether that is too much)
    let cases = [
        ([0.3, 0.3, 0.4], [0.3, 0.3, 0.4], false),
        ([0.5, 0.3, 0.4], [0.5, 0.3, 0.4], true),
        ([0.8, 0.1, 0.1], [0.8, 0.1, 0.8], false),
        ([0.1, 0.1, 0.8], [0.8, 0.1, 0.1], false),
    ];
    for (before, now, expected) in cases {
        let view =
            |quotas: [f64; 3]| ClusterView { quotas: quotas.map(quota).into(), ..ClusterView::default() };
        assert_eq!(!view(now).oversubscribed(&view(before)).is_empty(), expected, "{before:?} then {now:?}");
    }
    let threads = |fraction: f64| {
        let quotas = vec![rows(&[&format!("threads/00000001|{fraction}|handed out")])];
        ClusterView { quotas, ..ClusterView::default() }
    };
    assert!(threads(1.4).oversubscribed(&threads(1.4)).is_empty());
    assert!(!threads(1.6).oversubscribed(&threads(1.6)).is_empty());
}

#[test]
fn actions_under_an_older_token_or_by_turns_under_one_are_named() {
    let action = |token: u64, process: u32, accepted: bool| Action {
        at: Instant::now(),
        lease: "d".into(),
        token,
        process,
        accepted,
    };
    let accepted = |token, process| action(token, process, true);
    // (actions in order, what is said of them)
    let cases = [
        (vec![accepted(1, 7), accepted(1, 7), accepted(3, 8)], ""),
        // Ended and begun again by its holder.
        (vec![accepted(1, 7), accepted(1, 8), accepted(1, 8)], ""),
        (vec![accepted(1, 7), accepted(3, 8), action(1, 7, false)], "d tried to act under 1, after 3"),
        (vec![accepted(1, 7), accepted(3, 8), accepted(1, 7)], "d acted under 1, after 3"),
        (vec![accepted(1, 7), accepted(1, 8), accepted(1, 7)], "d: [7, 8] act by turns under 1"),
    ];
    for (actions, expected) in cases {
        assert_eq!(fencing_violations(&actions).concat(), expected, "{actions:?}");
    }
}

#[test]
fn records_come_back_from_their_file_and_make_a_page() {
    let records = vec![
        Record::new(0, RecordKind::Recovery, "members", 120.0),
        Record::new(500, RecordKind::Requests, "in time", 40.0),
        Record::new(700, RecordKind::Fault, "CutOff { front: 1 } <b>", 0.0),
        Record::new(1_000, RecordKind::Requests, "in time", 55.0),
        Record::new(1_100, RecordKind::Quota, "n01 threads/00000001", 0.25),
        Record::new(1_200, RecordKind::Members, "n01", 5.0),
    ];
    let file = std::env::temp_dir().join(format!("larchfall-rows-{}.csv", std::process::id()));
    write(&file, &records).unwrap();
    assert_eq!(read::<Record>(&file).unwrap(), records);
    std::fs::remove_file(&file).unwrap();
    let named = |name: &str| Named { name: name.into(), rows: records.clone() };
    let page = report::page(&[named("one"), named("two")]).unwrap();
    assert_eq!(page.matches("<svg").count(), 8, "four charts a run");
    assert!(page.contains("quotas of threads/00000001"));
    assert!(page.contains("&lt;b&gt;") && !page.contains("<b>"));
}

#[test]
fn figures_spread_over_runs_and_make_a_table() {
    let figures = [1.0, 2.0, 6.0];
    assert_eq!(spread(figures.into_iter()), Spread { mean: 3.0, least: 1.0, most: 6.0 });
    let summary = |in_time, violations| Summary { in_time, violations, requests: 10, ..Summary::default() };
    let searches = [
        Named { name: "on".to_owned(), rows: vec![summary(0.5, 0), summary(0.7, 2)] },
        Named { name: "off".to_owned(), rows: vec![summary(0.9, 0)] },
    ];
    let table = report::table(&searches);
    assert!(table.contains("| in time | 0.600 (0.500 to 0.700) | 0.900 (0.900 to 0.900) |"), "{table}");
    assert!(table.ends_with("| failed | 1 | 0 |"), "{table}");
}

/// Files in the words that reports, scripts and summaries were first written with.
#[test]
fn files_that_were_written_before_are_read() {
    let folder = std::env::temp_dir();
    let file = |name: &str, text: &str| {
        let file = folder.join(format!("larchfall-{name}-{}.csv", std::process::id()));
        std::fs::write(&file, text).unwrap();
        file
    };
    let rows = "at_ms,what,who,value\n1,fault,Heal,0.0\n2,batches,late,1.0\n3,members,n01,5.0\n4,holds,n01 a,1.0\n\
                5,part,n01 b,0.5\n6,left-out,n01,1.0\n7,memory,n01,9.5\n8,descriptors,n01,40.0\n9,plain,duties,12.0\n";
    let rows_file = file("old-rows", rows);
    assert_eq!(read::<Record>(&rows_file).unwrap().len(), 9);
    let summary = "seed,faults,first,batches,in_time,returned,pushed_back,further,longest_key,plain_ms,gap_ms,refused\n\
                   7,0,,800,0.9,0.95,0.02,12,40,2500,900,0\n";
    let summary_file = file("old-summary", summary);
    let summaries: Vec<Summary> = read(&summary_file).unwrap();
    assert_eq!((summaries[0].requests, summaries[0].retries), (800, 12));
    write(&summary_file, &summaries).unwrap();
    assert_eq!(std::fs::read_to_string(&summary_file).unwrap(), summary);
    [rows_file, summary_file].iter().for_each(|file| std::fs::remove_file(file).unwrap());
    let steps = [
        "restart = { front = 1 }",
        "stop = { front = 1 }",
        "wake = { front = 1 }",
        "replace = { front = 1 }",
        "cut-off = { front = 1 }",
        "one-way = { from = 1, to = 2 }",
        "islands = { number = 2 }",
        "worse = { loses = 0.4, doubles = 0.3, delays_ms = 300 }",
        "engine-cut = { front = 1, engine = 2 }",
        "engine-stalls = { front = 1, engine = 2 }",
        "engine-slow = { front = 1, engine = 2, ms = 40 }",
        "board-cut = { front = 1 }",
        "board-stalls = { front = 1 }",
        "load = { times = 2 }",
        "clock = { front = 1, seconds = -5 }",
        "disk = { front = 1, does = \"lies\" }",
        "disk = { front = 1, does = \"sound\" }",
        "disk = { front = 1, does = \"read-only\" }",
        "spoil = { front = 1 }",
        "mend = { front = 1 }",
    ];
    for step in steps {
        let text = format!("seed = 1\n[[steps]]\nat_ms = 5\nstep = {{ {step} }}\n");
        let script = FaultScript::read(&text).unwrap_or_else(|e| panic!("{step}: {e}"));
        assert_eq!(FaultScript::read(&script.text()), Ok(script));
    }
    for step in ["heal", "engines-heal", "boards-heal"] {
        let text = format!("seed = 1\n[[steps]]\nat_ms = 5\nstep = \"{step}\"\n");
        assert!(FaultScript::read(&text).is_ok(), "{step}");
    }
}
