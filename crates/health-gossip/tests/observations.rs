//! Reports in any order, lost and duplicated; gateways that report falsely or whose own network fails; probe slots over a
//! fleet that changes.

use larchfall_health_gossip::EngineProcess;
use larchfall_health_gossip::aggregation::{AggregationSettings, Aggregator, PeerReport};
use larchfall_health_gossip::counts::{DecayedOutcomes, OutcomeCounts, ProcessCounts, RecentOutcomes};
use larchfall_health_gossip::observation_store::{
    FailingEngines, NewOutcomes, ObservationStore, Reporter, StoreLimits,
};
use larchfall_health_gossip::observations::{Observation, Observations, Report};
use larchfall_health_gossip::probe_slots::{ProbeSlots, rank, slot};
use larchfall_policy::time::{Duration, Timestamp};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn process(id: u32) -> EngineProcess {
    EngineProcess { id, started_ms: 0 }
}

fn counts(answered: u32, failed: u32) -> OutcomeCounts {
    OutcomeCounts { answered, failed, ..OutcomeCounts::default() }
}

fn entry(id: u32, counts: OutcomeCounts) -> ProcessCounts {
    ProcessCounts { process: process(id), counts }
}

fn recent(answered: f64, failed: f64) -> RecentOutcomes {
    DecayedOutcomes { answered, failed }.into()
}

/// Adds up all that was ever taken, by engine and gateway.
fn drain(store: &mut ObservationStore, sums: &mut BTreeMap<(EngineProcess, String), OutcomeCounts>) {
    for (process, new) in store.take_new_outcomes() {
        for NewOutcomes { gateway, counts, .. } in new {
            let sum = sums.entry((process, gateway)).or_default();
            sum.answered += counts.answered;
            sum.failed += counts.failed;
            sum.late += counts.late;
        }
    }
}

/// A report of the gateway with this number.
fn deliver(store: &mut ObservationStore, gateway: usize, report: &Report) {
    let reporter = Reporter { gateway: &format!("n{gateway}"), generation: 1, zone: "east" };
    store.on_report(reporter, report.number, &report.entries, at(0));
}

proptest! {
    /// Whatever order reports come in, how often, and which are lost: once the last of each gateway has come, all that is
    /// known is what each last said, each outcome counted once.
    #[test]
    fn order_duplication_and_loss_do_not_matter(
        saw in proptest::collection::vec((0..3_usize, 0..4_u32, 0..3_usize), 1..80),
        order in proptest::collection::vec(0..1000_usize, 0..120),
    ) {
        let mut observations: Vec<Observations> = (0..3).map(|_| Observations::new(16)).collect();
        let mut reports = Vec::new();
        for (gateway, engine, what) in &saw {
            let observation = [Observation::Answered, Observation::Late, Observation::Failed][*what];
            observations[*gateway].record(process(*engine), observation, at(0));
            reports.push((*gateway, observations[*gateway].next_report(16, at(0))));
        }
        let mut store = ObservationStore::new(StoreLimits { gateways: 8, processes: 16 });
        let mut sums = BTreeMap::new();
        // Pages begin with all engines at nothing, so that all that comes is news.
        for gateway in 0..3 {
            let entries = (0..4).map(|id| entry(id, OutcomeCounts::default())).collect();
            deliver(&mut store, gateway, &Report { number: 0, entries });
        }
        for pick in order {
            let (gateway, report) = &reports[pick % reports.len()];
            deliver(&mut store, *gateway, report);
            drain(&mut store, &mut sums);
        }
        for (gateway, observations) in observations.iter_mut().enumerate() {
            deliver(&mut store, gateway, &observations.next_report(16, at(0)));
        }
        drain(&mut store, &mut sums);
        for (gateway, observations) in observations.iter().enumerate() {
            for ProcessCounts { process, counts } in observations.all() {
                let sum = sums.get(&(process, format!("n{gateway}"))).copied().unwrap_or_default();
                prop_assert_eq!(sum, counts);
            }
        }
        prop_assert!(store.take_new_outcomes().is_empty());
    }
}

#[test]
fn a_page_is_of_one_process_of_its_gateway_and_what_was_before_is_no_news() {
    let mut store = ObservationStore::new(StoreLimits { gateways: 2, processes: 2 });
    let report = |store: &mut ObservationStore, gateway: &str, generation, number, answered| {
        let reporter = Reporter { gateway, generation, zone: "east" };
        store.on_report(reporter, number, &[entry(1, counts(answered, 0))], at(0));
    };
    let news = |store: &mut ObservationStore| -> Vec<(String, u32)> {
        let new = store.take_new_outcomes().into_values().flatten();
        new.map(|n| (n.gateway, n.counts.answered)).collect()
    };
    report(&mut store, "a", 5, 1, 900);
    assert_eq!(news(&mut store), []);
    report(&mut store, "a", 5, 2, 903);
    assert_eq!(news(&mut store), [("a".to_owned(), 3)]);
    // Another process of it counts from nothing; a report of the one before is late.
    report(&mut store, "a", 6, 1, 2);
    report(&mut store, "a", 5, 3, 950);
    assert_eq!(news(&mut store), []);
    report(&mut store, "a", 6, 2, 4);
    assert_eq!(news(&mut store), [("a".to_owned(), 2)]);
    // A count that went back is no count, and no more gateways are noted than there is room for.
    report(&mut store, "a", 6, 3, 1);
    report(&mut store, "b", 1, 1, 1);
    report(&mut store, "c", 1, 1, 1);
    assert_eq!(news(&mut store), []);
    let reporter = Reporter { gateway: "b", generation: 1, zone: "east" };
    store.on_report(reporter, 2, &[entry(2, counts(0, 2)), entry(3, counts(0, 9))], at(0));
    assert_eq!(store.failing_engines("b"), FailingEngines { failing: 1, total: 2 });
    store.retain(|gateway, generation| (gateway, generation) == ("a", 6), |_| true);
    assert_eq!(store.failing_engines("b"), FailingEngines { failing: 0, total: 0 });
}

#[test]
fn what_changed_is_reported_first_and_all_take_turns() {
    let mut observations = Observations::new(10);
    (0..12).for_each(|id| observations.record(process(id), Observation::Answered, at(0)));
    assert_eq!(observations.all().count(), 10, "bounded");
    let mut reported = BTreeSet::new();
    for _ in 0..4 {
        let report = observations.next_report(3, at(0));
        reported.extend(report.entries.into_iter().map(|entry| entry.process.id));
    }
    assert_eq!(reported.len(), 10);
    observations.record(process(7), Observation::Failed, at(0));
    let recent = RecentOutcomes { answered: 16, failed: 16 };
    assert_eq!(
        observations.next_report(1, at(0)),
        Report { number: 5, entries: vec![entry(7, OutcomeCounts { recent, ..counts(1, 1) })] }
    );
    observations.retain(|process| process.id < 2);
    assert_eq!(observations.all().count(), 2);
    assert_eq!(observations.counts(process(7)), OutcomeCounts::default());
}

const SETTINGS: AggregationSettings =
    AggregationSettings { window: Duration::from_millis(10_000), max_age: Duration::from_millis(4_000) };

/// A report of a gateway that finds one of ten engines failing.
fn report(gateway: &str, zone: &str, heard_ms: u64, counts: OutcomeCounts) -> PeerReport {
    let new =
        NewOutcomes { gateway: gateway.to_owned(), zone: zone.to_owned(), received_at: at(heard_ms), counts };
    PeerReport { new, failing_engines: FailingEngines { failing: 1, total: 10 } }
}

fn zones(of: &[&str]) -> BTreeSet<String> {
    of.iter().map(|zone| (*zone).to_owned()).collect()
}

/// Counts that all came just now.
fn fresh(answered: u32, failed: u32) -> OutcomeCounts {
    OutcomeCounts { recent: recent(f64::from(answered), f64::from(failed)), ..counts(answered, failed) }
}

/// What these reports come to, the first time that any are aggregated.
fn assert_evidence(reports: &[PeerReport], zones: &BTreeSet<String>, now: Timestamp, bad: f64, good: f64) {
    let got = Aggregator::new(SETTINGS).aggregate(process(1), reports, zones, now);
    assert!((got.bad - bad).abs() < 1e-9 && (got.good - good).abs() < 1e-9, "{reports:?}: {got:?}");
}

#[test]
fn no_one_gateway_and_no_one_zone_can_have_a_healthy_engine_ejected() {
    let (one, two) = (zones(&["east"]), zones(&["east", "west"]));
    let bad = counts(0, 50);
    let own_network = |gateway: &str, zone: &str| PeerReport {
        failing_engines: FailingEngines { failing: 6, total: 10 },
        ..report(gateway, zone, 0, bad)
    };
    let from_a = report("a", "east", 0, bad);
    // (the reports of one call, the zones there are, bad and good outcomes that they come to)
    let cases = [
        (vec![], &two, 0.0, 0.0),
        (vec![from_a.clone()], &two, 0.0, 0.0),
        ((0..20).map(|i| report(&format!("{i}"), "east", 0, bad)).collect(), &two, 0.0, 0.0),
        (vec![from_a.clone(), report("b", "west", 0, bad)], &two, 2.0, 0.0),
        // All in one zone: by gateway.
        (vec![from_a.clone(), report("b", "east", 0, bad)], &one, 2.0, 0.0),
        (vec![own_network("a", "east"), own_network("b", "west")], &two, 0.0, 0.0),
        // Neighbours who report both ways.
        (vec![from_a, report("b", "east", 0, fresh(9, 0))], &two, 0.0, 0.0),
        (vec![report("a", "east", 0, fresh(9, 1))], &two, 0.0, 1.0),
        // Answers of long ago say nothing.
        (vec![report("a", "east", 0, counts(9, 1))], &two, 0.0, 0.0),
    ];
    for (reports, zones, bad, good) in cases {
        assert_evidence(&reports, zones, at(0), bad, good);
    }
    // Half of their time is over.
    let aged = [report("a", "east", 2_000, bad), report("b", "west", 2_000, bad)];
    assert_evidence(&aged, &two, at(4_000), 1.0, 0.0);
}

#[test]
fn what_a_source_observed_recently_goes_before_what_it_did_earlier() {
    let two = zones(&["east", "west"]);
    // Answered some time before, and failed so often just now; or answered just now.
    let broke = |zone: &str, answered, failed: u32| {
        let recent = recent(0.0, f64::from(failed));
        vec![report("a", zone, 0, OutcomeCounts { recent, ..counts(answered, failed) })]
    };
    let east = |answered, failed| broke("east", answered, failed);
    let west = |answered, failed| broke("west", answered, failed);
    let answers = |zone: &str| vec![report("b", zone, 0, fresh(6, 0))];
    let cases = [
        // It broke since their last report.
        ([east(9, 1), east(9, 1), west(9, 2), west(9, 0)].concat(), 2.0, 0.0),
        // One failure alone may be chance, and so may some among many answers.
        ([east(9, 1), west(9, 1)].concat(), 0.0, 0.0),
        ([east(9, 2), east(9, 0), answers("east"), west(9, 2), answers("west")].concat(), 0.0, 2.0),
    ];
    for (reports, bad, good) in cases {
        assert_evidence(&reports, &two, at(0), bad, good);
    }
}

/// A gateway that reports falsely without end, to one that observes nothing itself, counts nothing alone; with a second
/// source each has one outcome.
#[test]
fn false_reports_of_one_source_count_nothing_alone() {
    let two = zones(&["east", "west"]);
    let mut aggregator = Aggregator::new(SETTINGS);
    let mut outcomes = |gateway: &str, zone: &str, ms: u64| {
        let reports = [report(gateway, zone, ms, counts(0, 50))];
        let evidence = aggregator.aggregate(process(1), &reports, &two, at(ms));
        aggregator.whole_outcomes(process(1), evidence).collect::<Vec<bool>>()
    };
    for ms in (0..60_000).step_by(100) {
        assert_eq!(outcomes("a", "east", ms), [false; 0]);
    }
    assert_eq!(outcomes("b", "west", 60_000), [true, true]);
    assert_eq!(outcomes("b", "west", 60_100), [false; 0]);
    // Two that report further apart than a window are each alone.
    assert_eq!(outcomes("a", "east", 80_000), [false; 0]);
    assert_eq!(outcomes("b", "west", 90_100), [false; 0]);
    aggregator.retain(|_| true, at(200_000));
}

/// One gateway a slot, the same for all; every one has its turn; one that dies leaves its slots to others, and moves no
/// other's.
#[test]
fn slots_have_one_gateway_each_and_every_gateway_has_its_turn() {
    let slot_length = Duration::from_millis(1_000);
    let names: Vec<String> = (0..30).map(|i| format!("n{i:02}")).collect();
    let live = |but: usize| names.iter().enumerate().filter(move |(i, _)| *i != but).map(|(_, n)| n.as_str());
    let mut turns = [0; 30];
    let whose = |slot, but: usize| {
        let mut first = (0..30).filter(|i| *i != but && rank(&names[*i], process(7), slot, live(but)) == 0);
        (first.next().unwrap(), first.next())
    };
    for slot in 0..3_000 {
        let (now, second) = whose(slot, 99);
        turns[now] += 1;
        let (without, _) = whose(slot, 3);
        assert!(second.is_none() && (without == now || now == 3), "slot {slot}");
    }
    assert!(turns.iter().all(|n| (60..150).contains(n)), "{turns:?}");
    // A gateway that knows of nobody probes by itself.
    let alone = ProbeSlots::new(slot_length);
    assert!(alone.may_probe("n00", process(7), std::iter::empty(), at(5)));
    // At any time one of them, for each engine; not all engines' slots begin together.
    let mut begins = BTreeSet::new();
    for ms in 0..2_000 {
        for id in 0..5 {
            let may = |me: &&String| alone.may_probe(me, process(id), live(99), at(ms));
            assert_eq!(names.iter().filter(may).count(), 1);
            if slot(process(id), slot_length, at(ms)) != slot(process(id), slot_length, at(ms + 1)) {
                begins.insert(ms % 1_000);
            }
        }
    }
    assert_eq!(begins.len(), 5);
}

/// Once it answers, twice as many in each slot; after a failure it is one again.
#[test]
fn a_fleet_comes_back_to_an_engine_within_a_few_slots_and_not_at_once() {
    let slot_length = Duration::from_millis(1_000);
    let mut slots = ProbeSlots::new(slot_length);
    let begins =
        (0..2_000).find(|ms| slot(process(1), slot_length, at(*ms)) > slot(process(1), slot_length, at(0)));
    let in_slot = |n: u64| at(begins.unwrap() + n * 1_000 + 10);
    // (the slot, what was newly observed then, how many may probe after that)
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
    for (n, new, allowed) in table {
        slots.record(process(1), new, in_slot(n));
        assert_eq!(slots.allowed_gateways(process(1), in_slot(n)), allowed, "slot {n}");
    }
    assert_eq!(slots.allowed_gateways(process(2), in_slot(400)), 1, "another process is another engine");
    slots.retain(|process| process.id == 2);
    assert_eq!(slots, ProbeSlots::new(slot_length), "what is gone leaves memory");
}
