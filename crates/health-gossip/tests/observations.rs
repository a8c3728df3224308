//! Tests of health gossip: reordered, lost and duplicated reports, false reports, gateways with a faulty network, and
//! probe slots while the fleet changes.

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

/// Takes the new outcomes from the store and adds them to the sums by engine process and gateway.
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

/// Stores a report of the gateway with this index.
fn deliver(store: &mut ObservationStore, gateway: usize, report: &Report) {
    let reporter = Reporter { gateway: &format!("n{gateway}"), generation: 1, zone: "east" };
    store.on_report(reporter, report.number, &report.entries, at(0));
}

proptest! {
    /// Reports arrive in any order, repeatedly or not at all. Once the last report of each gateway has arrived, the
    /// sums of the taken outcomes equal the counts of that report, so each outcome was counted once.
    #[test]
    fn reordered_duplicated_and_lost_reports_do_not_change_the_sums(
        observed in proptest::collection::vec((0..3_usize, 0..4_u32, 0..3_usize), 1..80),
        order in proptest::collection::vec(0..1000_usize, 0..120),
    ) {
        let mut observations: Vec<Observations> = (0..3).map(|_| Observations::new(16)).collect();
        let mut reports = Vec::new();
        for (gateway, engine, kind) in &observed {
            let observation = [Observation::Answered, Observation::Late, Observation::Failed][*kind];
            observations[*gateway].record(process(*engine), observation, at(0));
            reports.push((*gateway, observations[*gateway].next_report(16, at(0))));
        }
        let mut store = ObservationStore::new(StoreLimits { gateways: 8, processes: 16 });
        let mut sums = BTreeMap::new();
        // The first report of each gateway has zero counts for all engines, so that all later outcomes are new.
        for gateway in 0..3 {
            let entries = (0..4).map(|id| entry(id, OutcomeCounts::default())).collect();
            deliver(&mut store, gateway, &Report { number: 0, entries });
        }
        for index in order {
            let (gateway, report) = &reports[index % reports.len()];
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
fn counts_are_of_one_gateway_process_and_first_reports_are_not_new() {
    let mut store = ObservationStore::new(StoreLimits { gateways: 2, processes: 2 });
    let report = |store: &mut ObservationStore, gateway: &str, generation, number, answered| {
        let reporter = Reporter { gateway, generation, zone: "east" };
        store.on_report(reporter, number, &[entry(1, counts(answered, 0))], at(0));
    };
    let new_answered = |store: &mut ObservationStore| -> Vec<(String, u32)> {
        let new = store.take_new_outcomes().into_values().flatten();
        new.map(|new| (new.gateway, new.counts.answered)).collect()
    };
    report(&mut store, "a", 5, 1, 900);
    assert_eq!(new_answered(&mut store), []);
    report(&mut store, "a", 5, 2, 903);
    assert_eq!(new_answered(&mut store), [("a".to_owned(), 3)]);
    // The gateway was restarted: its counts start at zero, and a late report of the earlier process is ignored.
    report(&mut store, "a", 6, 1, 2);
    report(&mut store, "a", 5, 3, 950);
    assert_eq!(new_answered(&mut store), []);
    report(&mut store, "a", 6, 2, 4);
    assert_eq!(new_answered(&mut store), [("a".to_owned(), 2)]);
    // A decreased count is ignored, and so are gateways beyond the limit.
    report(&mut store, "a", 6, 3, 1);
    report(&mut store, "b", 1, 1, 1);
    report(&mut store, "c", 1, 1, 1);
    assert_eq!(new_answered(&mut store), []);
    let reporter = Reporter { gateway: "b", generation: 1, zone: "east" };
    store.on_report(reporter, 2, &[entry(2, counts(0, 2)), entry(3, counts(0, 9))], at(0));
    assert_eq!(store.failing_engines("b"), FailingEngines { failing: 1, total: 2 });
    store.retain(|gateway, generation| (gateway, generation) == ("a", 6), |_| true);
    assert_eq!(store.failing_engines("b"), FailingEngines { failing: 0, total: 0 });
}

#[test]
fn changed_entries_are_reported_first_and_all_in_turn() {
    let mut observations = Observations::new(10);
    (0..12).for_each(|id| observations.record(process(id), Observation::Answered, at(0)));
    assert_eq!(observations.all().count(), 10, "max_processes is 10");
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

/// A report of a gateway that finds 1 of 10 engines failing.
fn report(gateway: &str, zone: &str, heard_ms: u64, counts: OutcomeCounts) -> PeerReport {
    let new =
        NewOutcomes { gateway: gateway.to_owned(), zone: zone.to_owned(), received_at: at(heard_ms), counts };
    PeerReport { new, failing_engines: FailingEngines { failing: 1, total: 10 } }
}

fn zones(of: &[&str]) -> BTreeSet<String> {
    of.iter().map(|zone| (*zone).to_owned()).collect()
}

/// Counts of outcomes that are all recent.
fn fresh(answered: u32, failed: u32) -> OutcomeCounts {
    OutcomeCounts { recent: recent(f64::from(answered), f64::from(failed)), ..counts(answered, failed) }
}

/// Asserts the evidence from these reports in a new aggregator.
fn assert_evidence(reports: &[PeerReport], zones: &BTreeSet<String>, now: Timestamp, bad: f64, good: f64) {
    let evidence = Aggregator::new(SETTINGS).aggregate(process(1), reports, zones, now);
    assert!(
        (evidence.bad - bad).abs() < 1e-9 && (evidence.good - good).abs() < 1e-9,
        "{reports:?}: {evidence:?}, expected {bad} bad and {good} good outcomes"
    );
}

#[test]
fn failures_from_a_single_gateway_or_zone_do_not_count() {
    let (one_zone, two_zones) = (zones(&["east"]), zones(&["east", "west"]));
    let bad = counts(0, 50);
    let faulty_network = |gateway: &str, zone: &str| PeerReport {
        failing_engines: FailingEngines { failing: 6, total: 10 },
        ..report(gateway, zone, 0, bad)
    };
    let from_a = report("a", "east", 0, bad);
    // (reports, zones of the live gateways, expected bad outcomes, expected good outcomes)
    let cases = [
        (vec![], &two_zones, 0.0, 0.0),
        (vec![from_a.clone()], &two_zones, 0.0, 0.0),
        ((0..20).map(|i| report(&format!("{i}"), "east", 0, bad)).collect(), &two_zones, 0.0, 0.0),
        (vec![from_a.clone(), report("b", "west", 0, bad)], &two_zones, 2.0, 0.0),
        // With a single zone, each gateway is a source.
        (vec![from_a.clone(), report("b", "east", 0, bad)], &one_zone, 2.0, 0.0),
        (vec![faulty_network("a", "east"), faulty_network("b", "west")], &two_zones, 0.0, 0.0),
        // Contradicting reports from one zone cancel out.
        (vec![from_a, report("b", "east", 0, fresh(9, 0))], &two_zones, 0.0, 0.0),
        (vec![report("a", "east", 0, fresh(9, 1))], &two_zones, 0.0, 1.0),
        // Answers that aren't recent don't count.
        (vec![report("a", "east", 0, counts(9, 1))], &two_zones, 0.0, 0.0),
    ];
    for (reports, zones, bad, good) in cases {
        assert_evidence(&reports, zones, at(0), bad, good);
    }
    // At half of the maximum age, reports count half.
    let aged = [report("a", "east", 2_000, bad), report("b", "west", 2_000, bad)];
    assert_evidence(&aged, &two_zones, at(4_000), 1.0, 0.0);
}

#[test]
fn recent_failures_take_precedence_over_earlier_answers() {
    let two_zones = zones(&["east", "west"]);
    // Reports with earlier answers and recent failures, or with recent answers.
    let recently_failed = |zone: &str, answered, failed: u32| {
        let recent = recent(0.0, f64::from(failed));
        vec![report("a", zone, 0, OutcomeCounts { recent, ..counts(answered, failed) })]
    };
    let east = |answered, failed| recently_failed("east", answered, failed);
    let west = |answered, failed| recently_failed("west", answered, failed);
    let recently_answered = |zone: &str| vec![report("b", zone, 0, fresh(6, 0))];
    let cases = [
        // The engine failed after the gateways' previous reports.
        ([east(9, 1), east(9, 1), west(9, 2), west(9, 0)].concat(), 2.0, 0.0),
        // A single failure, or a few failures among many answers, may be accidental.
        ([east(9, 1), west(9, 1)].concat(), 0.0, 0.0),
        (
            [east(9, 2), east(9, 0), recently_answered("east"), west(9, 2), recently_answered("west")]
                .concat(),
            0.0,
            2.0,
        ),
    ];
    for (reports, bad, good) in cases {
        assert_evidence(&reports, &two_zones, at(0), bad, good);
    }
}

/// A gateway reports false failures for a minute, but they don't count before a second source reports failures. Then
/// each source contributes one bad outcome.
#[test]
fn false_reports_from_one_source_do_not_count() {
    let two_zones = zones(&["east", "west"]);
    let mut aggregator = Aggregator::new(SETTINGS);
    let mut outcomes = |gateway: &str, zone: &str, ms: u64| {
        let reports = [report(gateway, zone, ms, counts(0, 50))];
        let evidence = aggregator.aggregate(process(1), &reports, &two_zones, at(ms));
        aggregator.whole_outcomes(process(1), evidence).collect::<Vec<bool>>()
    };
    for ms in (0..60_000).step_by(100) {
        assert_eq!(outcomes("a", "east", ms), [false; 0]);
    }
    assert_eq!(outcomes("b", "west", 60_000), [true, true]);
    assert_eq!(outcomes("b", "west", 60_100), [false; 0]);
    // Reports of two sources that are more than a window apart don't confirm each other.
    assert_eq!(outcomes("a", "east", 80_000), [false; 0]);
    assert_eq!(outcomes("b", "west", 90_100), [false; 0]);
    aggregator.retain(|_| true, at(200_000));
}

/// Each slot has exactly one gateway, and each gateway gets slots. When a gateway stops, others get its slots, and
/// the other slots keep their gateways.
#[test]
fn each_slot_has_one_gateway_and_each_gateway_gets_slots() {
    let slot_length = Duration::from_millis(1_000);
    let names: Vec<String> = (0..30).map(|i| format!("n{i:02}")).collect();
    let live = |stopped: usize| {
        names.iter().enumerate().filter(move |(i, _)| *i != stopped).map(|(_, name)| name.as_str())
    };
    let mut slot_counts = [0; 30];
    let selected = |slot, stopped: usize| {
        let mut first =
            (0..30).filter(|i| *i != stopped && rank(&names[*i], process(7), slot, live(stopped)) == 0);
        (first.next().unwrap(), first.next())
    };
    for slot in 0..3_000 {
        let (with_all, second) = selected(slot, 99);
        slot_counts[with_all] += 1;
        let (without_3, _) = selected(slot, 3);
        assert!(second.is_none() && (without_3 == with_all || with_all == 3), "slot {slot}");
    }
    assert!(slot_counts.iter().all(|n| (60..150).contains(n)), "{slot_counts:?}");
    // A gateway that knows no other gateway may probe in every slot.
    let probe_slots = ProbeSlots::new(slot_length);
    assert!(probe_slots.may_probe("n00", process(7), std::iter::empty(), at(5)));
    // At any time one gateway may probe each engine, and the slots of different engines begin at different times.
    let mut slot_starts = BTreeSet::new();
    for ms in 0..2_000 {
        for id in 0..5 {
            let may_probe = |name: &&String| probe_slots.may_probe(name, process(id), live(99), at(ms));
            assert_eq!(names.iter().filter(may_probe).count(), 1);
            if slot(process(id), slot_length, at(ms)) != slot(process(id), slot_length, at(ms + 1)) {
                slot_starts.insert(ms % 1_000);
            }
        }
    }
    assert_eq!(slot_starts.len(), 5);
}

/// After a good answer, twice as many gateways may probe in each following slot; after a failure again only one.
#[test]
fn allowed_gateways_double_in_each_slot_after_a_good_answer() {
    let slot_length = Duration::from_millis(1_000);
    let mut slots = ProbeSlots::new(slot_length);
    let slot_start_ms =
        (0..2_000).find(|ms| slot(process(1), slot_length, at(*ms)) > slot(process(1), slot_length, at(0)));
    let in_slot = |n: u64| at(slot_start_ms.unwrap() + n * 1_000 + 10);
    // (slot, new outcomes in the slot, number of gateways that may probe afterwards)
    let cases = [
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
    for (n, new, allowed) in cases {
        slots.record(process(1), new, in_slot(n));
        assert_eq!(slots.allowed_gateways(process(1), in_slot(n)), allowed, "slot {n}");
    }
    assert_eq!(
        slots.allowed_gateways(process(2), in_slot(400)),
        1,
        "other engine processes are not affected"
    );
    slots.retain(|process| process.id == 2);
    assert_eq!(slots, ProbeSlots::new(slot_length), "state of unlisted processes is removed");
}
