//! The storm: fixed seeds of it, and its own parts: what is drawn, what is shrunk, what is plain, what is reported.

use larchfall_fault_tests::script::{Does, Kind, Script, Step, Timed};
use larchfall_fault_tests::storm::health::{Rows, Views};
use larchfall_fault_tests::storm::play::{Summary, keep, out_of_order, play};
use larchfall_fault_tests::storm::rows::{What, read, row, write};
use larchfall_fault_tests::storm::search::{Spread, spread};
use larchfall_fault_tests::storm::setting::{Piece, Setting};
use larchfall_fault_tests::storm::shrink::{faults, shrink};
use larchfall_fault_tests::storm::{load::lock, report};
use larchfall_fault_tests::vault::Action;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::thread;
use std::time::Instant;

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty");
const SHORT: &str = include_str!("../storms/short.toml");

/// More by hand: STORMS="1 2 3" cargo test -p larchfall-fault-tests --test storm -- --nocapture
#[test]
fn fixed_storms_hold_with_all_pieces_on() {
    let setting = Setting::read(SHORT).unwrap();
    let seeds = std::env::var("STORMS").unwrap_or_else(|_| "1 2 3 4 5 6".into());
    let left: Mutex<Vec<u64>> = Mutex::new(seeds.split_whitespace().map(|s| s.parse().unwrap()).collect());
    let next = || lock(&left).pop();
    let wrong = Mutex::new(Vec::new());
    let one = || {
        while let Some(seed) = next() {
            let folder =
                std::env::temp_dir().join(format!("larchfall-storm-{seed}-{}-left", std::process::id()));
            let script = setting.script(seed);
            let played = play(PROGRAM, &setting, &script, &folder).unwrap();
            println!("{:?}", played.summary);
            if !played.faults.is_empty() {
                keep(&played, &script, &folder).unwrap();
                lock(&wrong).push(format!("seed {seed}: {:#?}, left in {}", played.faults, folder.display()));
            } else if played.summary.requests < 200 {
                lock(&wrong).push(format!("seed {seed}: too little: {:?}", played.summary));
            }
        }
    };
    thread::scope(|scope| (0..2).for_each(|_| drop(scope.spawn(one))));
    let wrong = wrong.into_inner().unwrap();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn a_setting_is_read_whole_or_not_at_all_and_draws_the_same_for_a_seed() {
    assert_eq!(Setting::read(SHORT), Ok(Setting::default()));
    assert!(Setting::read(include_str!("../storms/long.toml")).is_ok());
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
        let why = Setting::read(&text).unwrap_err();
        assert!(text != SHORT && why.contains(says), "{to}: {why}");
    }
    let setting = Setting { lasts_ms: 60_000, ..Setting::default() };
    assert_eq!(setting.script(7), setting.script(7));
    assert_ne!(setting.script(7).steps, setting.script(8).steps);
    assert_eq!(Script::read(&setting.script(7).text()), Ok(setting.script(7)));
    // Only what has a weight is drawn.
    let only = Setting { kinds: [(Kind::Disk, 1)].into(), ..setting };
    let disks = |timed: &&Timed| matches!(timed.step, Step::Disk { .. });
    let drawn = only.script(3).steps;
    assert_eq!(drawn.iter().filter(disks).count(), drawn.len() - 3, "{drawn:?}");
    // Nothing is drawn that is not to be: no tables but for the pieces that are on.
    let none = Setting { on: BTreeSet::new(), ..Setting::default() };
    assert_eq!((none.tables("", String::new), none.duties()), (String::new(), 0));
}

fn timed(at_ms: u64, step: Step) -> Timed {
    Timed { at_ms, step }
}

#[test]
fn a_failing_script_is_shrunk_to_the_faults_that_it_fails_by() {
    let setting = Setting { lasts_ms: 60_000, ..Setting::default() };
    for seed in 0..20 {
        let mut whole = setting.script(seed);
        whole.steps.insert(0, timed(1, Step::Stop { gateway: 2 }));
        whole.steps.insert(1, timed(2, Step::Disk { gateway: 1, does: Does::Lies }));
        whole.steps.insert(2, timed(3, Step::Wake { gateway: 2 }));
        whole.steps.insert(3, timed(4, Step::Disk { gateway: 1, does: Does::Sound }));
        let fails = |script: &Script| {
            let has = |step: &Step| script.steps.iter().any(|timed| timed.step == *step);
            has(&Step::Stop { gateway: 2 }) && has(&Step::Disk { gateway: 1, does: Does::Lies })
        };
        let (less, asked) = shrink(&whole, 500, fails);
        let heals = less
            .steps
            .iter()
            .filter(|t| matches!(t.step, Step::Heal | Step::EnginesHeal | Step::DiscoveriesHeal));
        // What a fault ends with goes with it, and heals at the end stay.
        let heals = heals.count();
        assert!(heals >= 3 && less.steps.len() == 2 + 2 + heals, "seed {seed}: {:?}", less.steps);
        assert_eq!(faults(&less).len(), 2, "seed {seed}: {:?}", less.steps);
        assert!(fails(&less) && asked < 500 && faults(&whole).len() > 40);
        // Stopped early, it fails still.
        assert!(fails(&shrink(&whole, 3, fails).0));
    }
    // One that fails whatever is taken away ends with one fault, one that never does stays whole.
    assert_eq!(faults(&shrink(&setting.script(1), 500, |_| true).0).len(), 1);
    assert_eq!(shrink(&setting.script(1), 500, |_| false).0, setting.script(1));
}

fn view(rows: &[&str]) -> Rows {
    let cells = |row: &&str| row.split('|').map(str::to_owned).collect();
    Some(rows.iter().map(cells).collect())
}

/// Three gateways with two duties and an engine, all well.
fn well() -> (Setting, Views) {
    let setting = Setting { gateways: 3, on: [Piece::Shares].into(), ..Setting::default() };
    let alive = view(&["n00|alive", "n01|alive", "n02|alive"]);
    let held = |by: &str| view(&[&format!("keeper:0|{by}"), &format!("keeper:1|{by}")]);
    let part = |part: &str| {
        view(&[&format!("cold/00000001|{part}|handed out"), &format!("threads/00000001|{part}|handed out")])
    };
    let views = Views {
        members: vec![alive.clone(), alive.clone(), alive],
        duties: vec![held("n00"), held("n00"), held("n00")],
        shares: vec![part("0.3333"), part("0.3333"), part("0.3333")],
        engines: vec![view(&["00000001|ready|sound|used"]); 3],
    };
    (setting, views)
}

#[test]
fn what_is_not_plain_is_named() {
    type Spoil = fn(&mut Views);
    let cases: [(Spoil, &str); 9] = [
        (|_| {}, ""),
        (|v| v.members[1] = view(&["n00|alive", "n01|alive", "n02|suspected"]), "members"),
        (|v| v.members[2] = None, "members"),
        (|v| v.duties[0] = None, "duties"),
        (|v| v.duties[1] = view(&["keeper:0|n01", "keeper:1|n00"]), "duties"),
        (|v| v.duties.iter_mut().for_each(|d| *d = view(&["keeper:0|n00"])), "duties"),
        (|v| v.shares[1] = view(&["threads/00000001|0.3333|by itself"]), "shares"),
        (|v| v.engines[0] = view(&["00000001|ready|left out|used"]), "engines"),
        (|v| v.engines[0] = None, "engines"),
    ];
    for (n, (spoil, what)) in cases.into_iter().enumerate() {
        let (setting, mut views) = well();
        spoil(&mut views);
        let missing = views.missing(&setting, &[1]);
        let named: BTreeSet<&str> = missing.iter().map(|(what, _)| *what).collect();
        let expected: BTreeSet<&str> = [what].into_iter().filter(|what| !what.is_empty()).collect();
        assert_eq!(named, expected, "case {n}: {missing:?}");
    }
    // An engine that drains may be left out.
    let (setting, mut views) = well();
    views.engines[0] = view(&["00000001|draining|left out|used"]);
    assert!(views.missing(&setting, &[]).is_empty());
}

/// Parts that were more than the whole in both of two looks, and not where one moved between them.
#[test]
fn parts_that_add_up_to_more_than_there_is_are_named() {
    let part = |part: f64| view(&[&format!("cold/00000001|{part}|handed out")]);
    // (parts in the look before, parts now, whether that is too much)
    let cases = [
        ([0.3, 0.3, 0.4], [0.3, 0.3, 0.4], false),
        ([0.5, 0.3, 0.4], [0.5, 0.3, 0.4], true),
        ([0.8, 0.1, 0.1], [0.8, 0.1, 0.8], false),
        ([0.1, 0.1, 0.8], [0.8, 0.1, 0.1], false),
    ];
    for (before, now, beyond) in cases {
        let views = |parts: [f64; 3]| Views { shares: parts.map(part).into(), ..Views::default() };
        assert_eq!(!views(now).beyond(&views(before)).is_empty(), beyond, "{before:?} then {now:?}");
    }
    let threads = |part: f64| Views {
        shares: vec![view(&[&format!("threads/00000001|{part}|handed out")])],
        ..Views::default()
    };
    assert!(threads(1.4).beyond(&threads(1.4)).is_empty() && !threads(1.6).beyond(&threads(1.6)).is_empty());
}

#[test]
fn actions_under_an_older_token_or_by_turns_under_one_are_named() {
    // (token, process, whether it was taken) in order, and what is said of it
    let cases = [
        (vec![(1, 7, true), (1, 7, true), (3, 8, true)], ""),
        // Ended and begun again by its holder.
        (vec![(1, 7, true), (1, 8, true), (1, 8, true)], ""),
        (vec![(1, 7, true), (3, 8, true), (1, 7, false)], "d tried to act under 1, after 3"),
        (vec![(1, 7, true), (3, 8, true), (1, 7, true)], "d acted under 1, after 3"),
        (vec![(1, 7, true), (1, 8, true), (1, 7, true)], "d: [7, 8] act by turns under 1"),
    ];
    for (actions, wrong) in cases {
        let action = |(token, process, taken): (u64, u32, bool)| Action {
            at: Instant::now(),
            duty: "d".into(),
            token,
            process,
            taken,
        };
        let actions: Vec<Action> = actions.into_iter().map(action).collect();
        assert_eq!(out_of_order(&actions).concat(), wrong, "{actions:?}");
    }
}

#[test]
fn rows_come_back_from_their_file_and_make_a_page() {
    let rows = vec![
        row(0, What::Plain, "members", 120.0),
        row(500, What::Requests, "in time", 40.0),
        row(700, What::Fault, "CutOff { front: 1 } <b>", 0.0),
        row(1_000, What::Requests, "in time", 55.0),
        row(1_100, What::Part, "n01 threads/00000001", 0.25),
        row(1_200, What::Members, "n01", 5.0),
    ];
    let file = std::env::temp_dir().join(format!("larchfall-rows-{}.csv", std::process::id()));
    write(&file, &rows).unwrap();
    assert_eq!(read::<larchfall_fault_tests::storm::rows::Row>(&file).unwrap(), rows);
    std::fs::remove_file(&file).unwrap();
    let page = report::page(&[("one".into(), rows.clone()), ("two".into(), rows)]).unwrap();
    assert_eq!(page.matches("<svg").count(), 8, "four charts a run");
    assert!(
        page.contains("parts of threads/00000001") && page.contains("&lt;b&gt;") && !page.contains("<b>")
    );

    let figures = [1.0, 2.0, 6.0];
    assert_eq!(spread(figures.into_iter()), Spread { mean: 3.0, least: 1.0, most: 6.0 });
    let storm = |in_time, faults| Summary { in_time, faults, requests: 10, ..Summary::default() };
    let sets =
        [("on".to_owned(), vec![storm(0.5, 0), storm(0.7, 2)]), ("off".to_owned(), vec![storm(0.9, 0)])];
    let table = report::table(&sets);
    assert!(table.contains("| in time | 0.600 (0.500 to 0.700) | 0.900 (0.900 to 0.900) |"), "{table}");
    assert!(table.ends_with("| failed | 1 | 0 |"), "{table}");
}
