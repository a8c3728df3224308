//! Letters in any order, lost and doubled; gateways that lie or whose own net is broken; turns over a fleet that changes.

use larchfall_health_gossip::books::{Books, New};
use larchfall_health_gossip::sights::{Saw, Sights};
use larchfall_health_gossip::turns::{Turns, place, slot};
use larchfall_health_gossip::weigh::{Evidence, Settings, Weigher};
use larchfall_health_gossip::{Counts, Lately, Process};
use larchfall_policy::time::{Duration, Timestamp};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn process(id: u32) -> Process {
    Process { id, started_ms: 0 }
}

fn counts(answered: u32, failed: u32) -> Counts {
    Counts { answered, failed, ..Counts::default() }
}

/// All that was ever taken, by engine and gateway.
fn drain(books: &mut Books, sums: &mut BTreeMap<(Process, String), Counts>) {
    for (of, new) in books.take() {
        for New { gateway, counts, .. } in new {
            let sum = sums.entry((of, gateway)).or_default();
            sum.answered += counts.answered;
            sum.failed += counts.failed;
            sum.late += counts.late;
        }
    }
}

/// Of a gateway: its number and what it tells.
type Letter = (usize, (u64, Vec<(Process, Counts)>));

proptest! {
    /// Whatever order letters come in, how often, and which are lost: once the last of each gateway has come, all that is known
    /// is what each last said, each thing counted once.
    #[test]
    fn order_doubling_and_loss_do_not_matter(
        saw in proptest::collection::vec((0..3_usize, 0..4_u32, 0..3_usize), 1..80),
        order in proptest::collection::vec(0..1000_usize, 0..120),
    ) {
        let mut sights: Vec<Sights> = (0..3).map(|_| Sights::new(16)).collect();
        let mut letters = Vec::new();
        for (gateway, engine, what) in &saw {
            sights[*gateway].see(process(*engine), [Saw::Answered, Saw::Late, Saw::Failed][*what], at(0));
            letters.push((*gateway, sights[*gateway].to_tell(16, at(0))));
        }
        let mut books = Books::new(8, 16);
        let mut sums = BTreeMap::new();
        let hear = |books: &mut Books, (gateway, (number, told)): &Letter| {
            books.hear((&format!("n{gateway}"), 1, "east"), *number, told, at(0));
        };
        // Pages begin with all engines at nothing, so that all that comes is news.
        for gateway in 0..3 {
            let none: Vec<_> = (0..4).map(|id| (process(id), Counts::default())).collect();
            hear(&mut books, &(gateway, (0, none)));
        }
        for pick in order {
            hear(&mut books, &letters[pick % letters.len()]);
            drain(&mut books, &mut sums);
        }
        for (gateway, sights) in sights.iter_mut().enumerate() {
            hear(&mut books, &(gateway, sights.to_tell(16, at(0))));
        }
        drain(&mut books, &mut sums);
        for (gateway, sights) in sights.iter().enumerate() {
            for (of, counts) in sights.all() {
                prop_assert_eq!(sums.get(&(of, format!("n{gateway}"))).copied().unwrap_or_default(), counts);
            }
        }
        prop_assert!(books.take().is_empty());
    }
}

#[test]
fn a_page_is_of_one_process_of_its_gateway_and_what_was_before_is_no_news() {
    let mut books = Books::new(2, 2);
    let hear = |books: &mut Books, gateway: &str, generation, number, answered| {
        books.hear((gateway, generation, "east"), number, &[(process(1), counts(answered, 0))], at(0));
    };
    let news = |books: &mut Books| -> Vec<(String, u32)> {
        let new = books.take().into_values().flatten();
        new.map(|n| (n.gateway, n.counts.answered)).collect()
    };
    hear(&mut books, "a", 5, 1, 900);
    assert_eq!(news(&mut books), []);
    hear(&mut books, "a", 5, 2, 903);
    assert_eq!(news(&mut books), [("a".to_owned(), 3)]);
    // Another process of it counts from nothing; a letter of the one before is late.
    hear(&mut books, "a", 6, 1, 2);
    hear(&mut books, "a", 5, 3, 950);
    assert_eq!(news(&mut books), []);
    hear(&mut books, "a", 6, 2, 4);
    assert_eq!(news(&mut books), [("a".to_owned(), 2)]);
    // A count that went back is no count, and no more gateways are noted than there is room for.
    hear(&mut books, "a", 6, 3, 1);
    hear(&mut books, "b", 1, 1, 1);
    hear(&mut books, "c", 1, 1, 1);
    assert_eq!(news(&mut books), []);
    books.hear(("b", 1, "east"), 2, &[(process(2), counts(0, 2)), (process(3), counts(0, 9))], at(0));
    assert_eq!(books.sees_failing("b"), (1, 2));
    books.keep(|gateway, generation| (gateway, generation) == ("a", 6), |_| true);
    assert_eq!(books.sees_failing("b"), (0, 0));
}

#[test]
fn what_is_told_first_is_what_changed_and_all_come_round() {
    let mut sights = Sights::new(10);
    (0..12).for_each(|id| sights.see(process(id), Saw::Answered, at(0)));
    assert_eq!(sights.all().count(), 10, "bounded");
    let mut told = BTreeSet::new();
    for _ in 0..4 {
        told.extend(sights.to_tell(3, at(0)).1.into_iter().map(|(p, _)| p.id));
    }
    assert_eq!(told.len(), 10);
    sights.see(process(7), Saw::Failed, at(0));
    let (number, next) = sights.to_tell(1, at(0));
    assert_eq!(
        (number, next),
        (5, vec![(process(7), Counts { lately: Lately { answered: 16, failed: 16 }, ..counts(1, 1) })])
    );
    sights.keep(|p| p.id < 2);
    assert_eq!((sights.all().count(), sights.of(process(7))), (2, Counts::default()));
}

const SETTINGS: Settings =
    Settings { window: Duration::from_millis(10_000), lasts: Duration::from_millis(4_000) };

fn word(gateway: &str, zone: &str, heard: u64, counts: Counts) -> New {
    New { gateway: gateway.to_owned(), zone: zone.to_owned(), heard: at(heard), counts, ever: counts }
}

fn zones(of: &[&str]) -> BTreeSet<String> {
    of.iter().map(|zone| (*zone).to_owned()).collect()
}

#[test]
fn no_one_gateway_and_no_one_zone_can_have_a_sound_engine_left_out() {
    let two = zones(&["east", "west"]);
    let (sees_few, sees_all) = ((1, 10), (6, 10));
    let bad = counts(0, 50);
    // (the words of one look, the zones there are, what they come to)
    type Case<'a> = (Vec<(New, (usize, usize))>, &'a BTreeSet<String>, Evidence);
    let one = zones(&["east"]);
    // Answered some time before, and failed so often just now; or answered just now.
    let broke = |zone: &str, answered, failed: u32| {
        let lately = Lately::of(0.0, f64::from(failed));
        vec![(word("a", zone, 0, Counts { lately, ..counts(answered, failed) }), sees_few)]
    };
    let (east, west) = (|a, f| broke("east", a, f), |a, f| broke("west", a, f));
    let answers = |zone: &str| {
        let lately = Lately::of(6.0, 0.0);
        vec![(word("b", zone, 0, Counts { lately, ..counts(6, 0) }), sees_few)]
    };
    let now = |answered: u32, failed: u32| {
        let lately = Lately::of(f64::from(answered), f64::from(failed));
        Counts { lately, ..counts(answered, failed) }
    };
    let cases: [Case; 13] = [
        (vec![], &two, Evidence::default()),
        (vec![(word("a", "east", 0, bad), sees_few)], &two, Evidence::default()),
        (
            (0..20).map(|i| (word(&format!("{i}"), "east", 0, bad), sees_few)).collect(),
            &two,
            Evidence::default(),
        ),
        (
            vec![(word("a", "east", 0, bad), sees_few), (word("b", "west", 0, bad), sees_few)],
            &two,
            Evidence { bad: 2.0, good: 0.0 },
        ),
        // All in one zone: by gateway.
        (
            vec![(word("a", "east", 0, bad), sees_few), (word("b", "east", 0, bad), sees_few)],
            &one,
            Evidence { bad: 2.0, good: 0.0 },
        ),
        // Its own net.
        (
            vec![(word("a", "east", 0, bad), sees_all), (word("b", "west", 0, bad), sees_all)],
            &two,
            Evidence::default(),
        ),
        // Neighbours who see it both ways.
        (
            vec![(word("a", "east", 0, bad), sees_few), (word("b", "east", 0, now(9, 0)), sees_few)],
            &two,
            Evidence::default(),
        ),
        (vec![(word("a", "east", 0, now(9, 1)), sees_few)], &two, Evidence { bad: 0.0, good: 1.0 }),
        // Answers of long ago say nothing.
        (vec![(word("a", "east", 0, counts(9, 1)), sees_few)], &two, Evidence::default()),
        // It broke since their last word: what a place saw before is no answer to what it sees now.
        ([east(9, 1), east(9, 1), west(9, 2), west(9, 0)].concat(), &two, Evidence { bad: 2.0, good: 0.0 }),
        // One failure alone may be chance, and so may some among many answers.
        ([east(9, 1), west(9, 1)].concat(), &two, Evidence::default()),
        (
            [east(9, 2), east(9, 0), answers("east"), west(9, 2), answers("west")].concat(),
            &two,
            Evidence { bad: 0.0, good: 2.0 },
        ),
        // Half of its time is over.
        (
            vec![(word("a", "east", 2_000, bad), sees_few), (word("b", "west", 2_000, bad), sees_few)],
            &two,
            Evidence { bad: 1.0, good: 0.0 },
        ),
    ];
    for (words, zones, expected) in cases {
        let now = if words.first().is_some_and(|(w, _)| w.heard == at(2_000)) { at(4_000) } else { at(0) };
        let got = Weigher::new(SETTINGS).weigh(process(1), &words, zones, now);
        assert!(
            (got.bad - expected.bad).abs() < 1e-9 && (got.good - expected.good).abs() < 1e-9,
            "{words:?}: {got:?}"
        );
    }
    // One that lies without end, to a gateway that sees nothing itself, says nothing alone; with a second place one outcome each.
    let mut weigher = Weigher::new(SETTINGS);
    let mut say = |gateway: &str, zone: &str, ms: u64| {
        let said = weigher.weigh(process(1), &[(word(gateway, zone, ms, bad), sees_few)], &two, at(ms));
        weigher.outcomes(process(1), said).collect::<Vec<bool>>()
    };
    for ms in (0..60_000).step_by(100) {
        assert_eq!(say("a", "east", ms), [false; 0]);
    }
    assert_eq!(say("b", "west", 60_000), [true, true]);
    assert_eq!(say("b", "west", 60_100), [false; 0]);
    // Two that speak longer apart than a window are each alone.
    assert_eq!(say("a", "east", 80_000), [false; 0]);
    assert_eq!(say("b", "west", 90_100), [false; 0]);
    weigher.keep(|_| true, at(200_000));
}

/// One gateway a slot, the same for all; every one has its turn; one that dies leaves its slots to others, and moves no other's.
#[test]
fn turns_are_one_a_slot_and_come_round() {
    let every = Duration::from_millis(1_000);
    let names: Vec<String> = (0..30).map(|i| format!("n{i:02}")).collect();
    let living =
        |but: usize| names.iter().enumerate().filter(move |(i, _)| *i != but).map(|(_, n)| n.as_str());
    let mut turns = [0; 30];
    let whose = |slot, but: usize| {
        let mut first =
            (0..30).filter(|i| *i != but && place(&names[*i], process(7), slot, living(but)) == 0);
        (first.next().unwrap(), first.next())
    };
    for slot in 0..3_000 {
        let (now, second) = whose(slot, 99);
        turns[now] += 1;
        let (without, _) = whose(slot, 3);
        assert!(second.is_none() && (without == now || now == 3), "slot {slot}");
    }
    assert!(turns.iter().all(|n| (60..150).contains(n)), "{turns:?}");
    // A gateway that knows of nobody tries by itself.
    let alone = Turns::new(every);
    assert!(alone.may_try("n00", process(7), std::iter::empty(), at(5)));
    // At any time one of them, for each engine; not all engines' slots begin together.
    let mut begins = BTreeSet::new();
    for ms in 0..2_000 {
        for id in 0..5 {
            let may = |me: &&String| alone.may_try(me, process(id), living(99), at(ms));
            assert_eq!(names.iter().filter(may).count(), 1);
            if slot(process(id), every, at(ms)) != slot(process(id), every, at(ms + 1)) {
                begins.insert(ms % 1_000);
            }
        }
    }
    assert_eq!(begins.len(), 5);
}

/// Once it answers, twice as many in each slot; one bad word, and it is one again.
#[test]
fn a_fleet_comes_back_to_an_engine_within_a_few_slots_and_not_at_once() {
    let every = Duration::from_millis(1_000);
    let mut turns = Turns::new(every);
    let begins = (0..2_000).find(|ms| slot(process(1), every, at(*ms)) > slot(process(1), every, at(0)));
    let in_slot = |n: u64| at(begins.unwrap() + n * 1_000 + 10);
    // (the slot, what was newly seen then, how many may try after that)
    let table = [
        (1, counts(0, 0), 1),
        (2, counts(0, 1), 1),
        (3, counts(1, 0), 1),
        (4, counts(0, 0), 2),
        (5, counts(40, 0), 4),
        (6, counts(40, 1), 1),
        (7, counts(2, 0), 1),
        (12, counts(0, 0), 32),
        (400, counts(1, 0), usize::MAX),
    ];
    for (n, new, width) in table {
        turns.see(process(1), new, in_slot(n));
        assert_eq!(turns.width(process(1), in_slot(n)), width, "slot {n}");
    }
    assert_eq!(turns.width(process(2), in_slot(400)), 1, "another process is another engine");
    turns.keep(|process| process.id == 2);
    assert_eq!(turns, Turns::new(every), "what is gone leaves memory");
}
