//! The rules over a fleet with everything on (members, duties, probing, shares) while its processes and the net between
//! them break, drawn by seed: gateways killed and started again, stopped, cut off; engines replaced at their addresses.

use larchfall_fault_tests::audit::{End, RetryBudget, Run, Sent};
use larchfall_fault_tests::script::{self, Script, Step, plain_kinds};
use larchfall_fault_tests::storm;
use larchfall_fault_tests::storm::setting::{Piece, Setting};
use larchfall_stub::hall::{Came, Ledger, Ran};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty");
const RETRY_BUDGET: RetryBudget =
    RetryBudget { free: 2.0, per_request: 0.1, window: Duration::from_secs(10) };
const GRACE: Duration = Duration::from_secs(2);

/// Five, or more by hand: Gateways=24; nine seconds, or more by hand: LASTS=1800.
fn setting() -> Setting {
    let number = |name: &str| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let plain = Setting::default();
    Setting {
        gateways: number("FRONTS").map_or(plain.gateways, |n| n as usize),
        lasts_ms: number("LASTS").map_or(plain.lasts_ms, |n: u64| n * 1000),
        on: [Piece::Probing, Piece::Shares].into(),
        kinds: plain_kinds(),
        ..plain
    }
}

fn play(seed: u64) {
    let setting = setting();
    let left = std::env::temp_dir().join(format!("larchfall-rules-{seed}-{}", std::process::id()));
    let played = storm::play::play(PROGRAM, &setting, &setting.script(seed), &left).unwrap();
    let faults = &played.faults;
    assert!(faults.is_empty(), "seed {seed}: {faults:#?}, left in {}", left.display());
    println!("seed {seed}: {:?}", played.summary);
    let s = &played.summary;
    assert!(s.requests > 200 && s.longest_key > 5, "seed {seed}: too little");
}

#[test]
fn the_rules_hold_over_all_gateways_while_they_and_the_net_between_them_break() {
    // More by hand: Gateways=24 SEEDS="301 302" cargo test -p larchfall-fault-tests --test rules -- --nocapture
    let more = std::env::var("SEEDS").unwrap_or_else(|_| "201 202".into());
    more.split_whitespace().for_each(|seed| play(seed.parse().unwrap()));
}

/// The auditor itself: each rule broken once, and a sound run.
#[test]
fn each_rule_that_is_broken_is_named() {
    let from = Instant::now();
    let at = |ms: u64| from + Duration::from_millis(ms);
    let ran = |id: &str, statement: &str, duration: (u64, u64)| Ran {
        id: id.into(),
        statement: statement.into(),
        process: 0,
        from: at(duration.0),
        until: Some(at(duration.1)),
    };
    let came = |id: &str, ms: u64| Came { id: id.into(), process: 0, at: at(ms) };
    let one = |class, ends: &[End]| {
        HashMap::from([("a".to_owned(), Sent { gateway: 0, class, at: from, ends: ends.to_vec() })])
    };
    let returned = [End::Returned];
    // One gateway could not hear its discovery service for a while, of which nothing was told to others.
    let unheard = [(0, at(3_000), at(6_000)), (1, at(0), at(9_000))];
    // And its way to the engine stood still; that of another, and to another engine, for all the time.
    let stood = [(0, 0, at(900), at(2_600)), (1, 0, at(0), at(20_000)), (0, 1, at(0), at(20_000))];
    // (what came, what ran, what was sent, when its engine began to drain, the word of the fault)
    let cases = [
        (vec![came("a", 1)], vec![ran("a", "once k 1", (1, 9))], one("once", &returned), None, ""),
        (vec![], vec![], one("look", &[]), None, "answers to a"),
        (vec![], vec![], one("look", &[End::Returned, End::Left]), None, "answers to a"),
        (vec![], vec![ran("a", "once k 1", (1, 9)); 2], one("once", &returned), None, "ran 2 times"),
        (
            vec![],
            vec![ran("a", "once k 1", (1, 9))],
            one("once", &[End::PushedBack]),
            None,
            "ran 1 times and ended",
        ),
        (
            vec![],
            vec![ran("b", "load k 2", (1, 9)), ran("a", "load k 1", (9, 20))],
            one("load", &returned),
            None,
            "sent later",
        ),
        (
            vec![],
            vec![ran("b", "load k 1", (1, 30)), ran("a", "load k 2", (9, 20))],
            one("load", &returned),
            None,
            "before the end",
        ),
        (vec![came("a", 2_500)], vec![], one("look", &returned), Some(at(100)), "draining engine"),
        (vec![came("a", 2_700)], vec![], one("look", &returned), Some(at(100)), ""),
        (vec![came("a", 3_200)], vec![], one("look", &returned), Some(at(100)), "draining engine"),
        (vec![came("a", 7_500)], vec![], one("look", &returned), Some(at(4_000)), ""),
        // Told as the way was about to be cut, and long enough before that.
        (vec![came("a", 7_500)], vec![], one("look", &returned), Some(at(2_800)), ""),
        (vec![came("a", 4_600)], vec![], one("look", &returned), Some(at(2_400)), "draining engine"),
        (vec![came("a", 8_100)], vec![], one("look", &returned), Some(at(4_000)), "draining engine"),
        (vec![came("a", 1); 4], vec![], one("look", &returned), None, ""),
        (vec![came("a", 1); 5], vec![], one("look", &returned), None, "further dispatches in a window"),
    ];
    for (came, ran, sent, drains, says) in cases {
        let (ledger, drained) = (Ledger { came, ran }, drains.map(|at| (0, at)));
        let (drained, unheard, stood) = (drained.as_slice(), &unheard[..], &stood[..]);
        let run = Run {
            ledger: &ledger,
            sent: &sent,
            drained,
            unheard,
            stood,
            grace: GRACE,
            retry_budget: RETRY_BUDGET,
        };
        let (faults, _) = run.faults();
        assert_eq!(faults.is_empty(), says.is_empty(), "{says}: {faults:?}");
        assert!(faults.iter().all(|fault| fault.contains(says)), "{says}: {faults:?}");
    }
}

/// A gateway whose discovery service was cut hears nothing until it is healed; one that is replaced, until its process has ended.
#[test]
fn who_could_not_hear_its_discovery_and_which_way_stood_still_is_read_from_what_was_done() {
    let from = Instant::now();
    let at = |ms: u64| from + Duration::from_millis(ms);
    let cut = |gateway| Step::DiscoveryCut { gateway };
    let cases = [
        (vec![(at(1), cut(1)), (at(5), Step::DiscoveriesHeal)], vec![(1, at(1), at(5))]),
        (
            vec![(at(1), cut(1)), (at(2), Step::Replace { gateway: 1 }), (at(9), Step::Heal)],
            vec![(1, at(1), at(9))],
        ),
        (
            vec![(at(1), cut(1)), (at(2), Step::Replace { gateway: 2 }), (at(9), Step::DiscoveriesHeal)],
            vec![(1, at(1), at(9))],
        ),
        (
            vec![(at(1), cut(1)), (at(2), cut(1)), (at(3), Step::Restart { gateway: 1 })],
            vec![(1, at(1), at(3))],
        ),
    ];
    for (done, durations) in cases {
        assert_eq!(script::unheard(&done), durations, "{done:?}");
    }
    let stalls = Step::EngineStalls { gateway: 0, engine: 2 };
    let cases = [
        (vec![(at(1), stalls.clone()), (at(5), Step::EnginesHeal)], vec![(0, 2, at(1), at(5))]),
        (
            vec![(at(1), stalls), (at(5), Step::EngineCut { gateway: 0, engine: 2 })],
            vec![(0, 2, at(1), at(5))],
        ),
    ];
    for (done, durations) in cases {
        assert_eq!(script::stood(&done), durations, "{done:?}");
    }
}

#[test]
fn a_script_is_the_same_for_its_seed_and_read_back_from_its_text() {
    let draw = |seed| Setting::default().script(seed);
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7).steps, draw(8).steps);
    assert_eq!(Script::read(&draw(7).text()), Ok(draw(7)));
    assert!(draw(7).steps.is_sorted_by_key(|timed| timed.at_ms));
}
