//! Tests of subsetting: properties of all subsets, evenness, churn when gateways or engines leave, the aperture, and
//! the evaluation of a plan.

use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{Engine, Idempotency, RequestClass};
use larchfall_subsetting::aperture::{Aperture, ApertureSettings, SubsetHealth};
use larchfall_subsetting::plan::{PlanSettings, SubsetPlan};
use larchfall_subsetting::survey::survey;
use larchfall_subsetting::{Gateway, ReadyEngine, requirements};
use proptest::prelude::*;
use std::collections::BTreeSet;

const SETTINGS: PlanSettings = PlanSettings { min_engines: 4, load_slack: 0.25 };

fn class(zones: Option<Vec<usize>>, kinds: Option<Vec<usize>>) -> RequestClass {
    RequestClass {
        priority_weight: 1.0,
        latency_objective: Duration::from_millis(1000),
        objective_stretch: 0.0,
        idempotency: Idempotency::Idempotent,
        in_order: false,
        threads: 1.0,
        locks_data_set: false,
        waits_for_data_lock: false,
        allowed_zones: zones,
        allowed_kinds: kinds,
    }
}

fn engine(id: u32, zone: usize, kind: usize, cell: usize) -> ReadyEngine {
    ReadyEngine { id, engine: Engine { zone, kind, cell, ..Engine::default() } }
}

fn engines(n: u32) -> Vec<ReadyEngine> {
    (0..n).map(|id| engine(id, id as usize % 3, usize::from(id % 5 == 0), id as usize % 4)).collect()
}

fn gateways(keys: impl Iterator<Item = u64>) -> BTreeSet<Gateway> {
    keys.map(|key| Gateway { key, zone: Some(key as usize % 3) }).collect()
}

/// Number of pairs of a gateway and an engine that are in only one of two plans, counting gateways in both plans.
fn changed_pairs(a: &SubsetPlan, b: &SubsetPlan) -> usize {
    let differ = |gateway: &u64| match (a.subsets.get(gateway), b.subsets.get(gateway)) {
        (Some(a), Some(b)) => a.symmetric_difference(b).count(),
        _ => 0,
    };
    a.subsets.keys().map(differ).sum()
}

proptest! {
    /// Each subset has enough engines for each request class, from at least two cells if possible, and the plan's
    /// numbers of gateways per engine add up to the sizes of the subsets.
    #[test]
    fn subsets_satisfy_the_requirements_of_all_classes(
        listed in proptest::collection::vec((0..3_usize, 0..2_usize, 0..3_usize), 1..40),
        n in 1..60_u64,
        only in 0..2_usize,
    ) {
        let engines: Vec<ReadyEngine> =
            (0..).zip(&listed).map(|(id, (zone, kind, cell))| engine(id, *zone, *kind, *cell)).collect();
        let classes = [class(None, None), class(None, Some(vec![only])), class(Some(vec![1]), None)];
        let requirements = requirements(&engines, &classes);
        let gateways = gateways(0..n);
        let plan = SubsetPlan::compute(SETTINGS, &gateways, &engines, &requirements);
        for gateway in &gateways {
            let subset = &plan.subsets[&gateway.key];
            for class in &classes {
                let allowed: Vec<&ReadyEngine> =
                    engines.iter().filter(|ready| class.allows_engine(&ready.engine)).collect();
                let chosen: Vec<&&ReadyEngine> =
                    allowed.iter().filter(|ready| subset.contains(&ready.id)).collect();
                prop_assert!(
                    chosen.len() >= SETTINGS.min_engines.min(allowed.len()),
                    "{gateway:?} has {} of {} allowed engines for {class:?}",
                    chosen.len(),
                    allowed.len()
                );
                let count_cells = |cells: &mut dyn Iterator<Item = usize>| cells.collect::<BTreeSet<_>>().len();
                let (allowed_cells, chosen_cells) = (
                    count_cells(&mut allowed.iter().map(|ready| ready.engine.cell)),
                    count_cells(&mut chosen.iter().map(|ready| ready.engine.cell)),
                );
                prop_assert!(
                    allowed_cells < 2 || chosen_cells >= 2,
                    "{gateway:?} uses {chosen_cells} of {allowed_cells} cells"
                );
            }
        }
        let pairs: usize = plan.gateway_counts.values().sum();
        prop_assert_eq!(pairs, plan.subsets.values().map(BTreeSet::len).sum::<usize>());
    }
}

#[test]
fn gateway_counts_are_even_and_own_zones_are_preferred() {
    let (engines, classes) = (engines(80), [class(None, None)]);
    let all = gateways((0..300).map(|n| n * 7919));
    let plan = SubsetPlan::compute(
        PlanSettings { min_engines: 12, ..SETTINGS },
        &all,
        &engines,
        &requirements(&engines, &classes),
    );
    let mean = 300.0 * 12.0 / 80.0;
    let (min, max) =
        (plan.gateway_counts.values().min().unwrap(), plan.gateway_counts.values().max().unwrap());
    assert!(
        *max as f64 <= (mean * 1.25_f64).ceil() && *min as f64 > mean * 0.5,
        "{min} to {max} gateways per engine, mean {mean}"
    );
    let is_same_zone = |gateway: &Gateway, id: &u32| gateway.zone == Some(engines[*id as usize].engine.zone);
    let pairs =
        || all.iter().flat_map(|gateway| plan.subsets[&gateway.key].iter().map(move |id| (gateway, id)));
    let same_zone = pairs().filter(|(gateway, id)| is_same_zone(gateway, id)).count();
    assert!(
        same_zone * 10 > pairs().count() * 9,
        "{same_zone} of {} pairs are in the gateway's zone",
        pairs().count()
    );
    let fractions: f64 = engines.iter().filter_map(|ready| plan.fraction(ready.id)).sum();
    assert!((fractions - plan.gateway_counts.values().map(|n| 1.0 / *n as f64).sum::<f64>()).abs() < 1e-9);
}

/// The departure of a gateway or an engine changes few pairs of the others, and the same lists always give the same
/// plan.
#[test]
fn departure_of_a_gateway_or_engine_changes_few_pairs() {
    let (engines, classes) = (engines(80), [class(None, None), class(None, Some(vec![1]))]);
    let settings = PlanSettings { min_engines: 8, ..SETTINGS };
    let compute = |gateways: &BTreeSet<Gateway>, engines: &[ReadyEngine]| {
        SubsetPlan::compute(settings, gateways, engines, &requirements(engines, &classes))
    };
    let all = gateways((0..300).map(|n| n * 7919));
    let (plan, pairs) =
        (compute(&all, &engines), compute(&all, &engines).gateway_counts.values().sum::<usize>());
    assert_eq!(compute(&all, &engines), plan);
    let mut max_changed = [0, 0];
    for left in (0..300).step_by(20) {
        let rest: BTreeSet<Gateway> =
            all.iter().copied().filter(|gateway| gateway.key != left * 7919).collect();
        max_changed[0] = max_changed[0].max(changed_pairs(&plan, &compute(&rest, &engines)));
    }
    for left in (0..80).step_by(8) {
        let rest: Vec<ReadyEngine> = engines.iter().copied().filter(|ready| ready.id != left).collect();
        max_changed[1] = max_changed[1].max(changed_pairs(&plan, &compute(&all, &rest)));
    }
    // A gateway has 1/300 and an engine 1/80 of the pairs. A pair that moves counts twice: once removed and once added.
    assert!(max_changed[0] * 10 < pairs, "a gateway left: {} of {pairs} pairs changed", max_changed[0]);
    assert!(max_changed[1] * 10 < pairs * 2, "an engine left: {} of {pairs} pairs changed", max_changed[1]);
}

#[test]
fn aperture_opens_at_once_when_half_is_unhealthy_and_shrinks_by_one() {
    let settings = ApertureSettings {
        grow_interval: Duration::from_millis(100),
        shrink_interval: Duration::from_millis(500),
    };
    let health = |unhealthy, congested| SubsetHealth { used: 10, unhealthy, congested };
    // (time in ms, health, expected number of additional engines); 20 engines are outside of the subset.
    let cases = [
        (0, health(0, 5), 0),
        (100, health(0, 5), 1),
        (150, health(0, 9), 1),
        (200, health(0, 9), 2),
        (300, health(0, 3), 2),
        (400, health(0, 2), 1),
        (800, health(0, 0), 1),
        (900, health(0, 0), 0),
        (950, health(5, 0), 20),
        (960, health(0, 0), 20),
        (1450, health(0, 0), 19),
        (1950, health(2, 0), 18),
        (2450, health(4, 0), 18),
        (2950, SubsetHealth::default(), 20),
    ];
    let mut aperture = Aperture::new(settings, Timestamp::default());
    for (at_ms, health, expected) in cases {
        aperture.observe(health, 20, Timestamp::from_micros(at_ms * 1000));
        assert_eq!(aperture.extra_engines(), expected, "at {at_ms} ms: {health:?}");
    }
    aperture.observe(health(0, 0), 3, Timestamp::from_micros(2_951_000));
    assert_eq!(aperture.extra_engines(), 3, "limited to the engines outside of the subset");
    // Gateways that use one additional engine don't all take the same engine.
    let engines = engines(40);
    let all = gateways(0..200);
    let plan = SubsetPlan::compute(SETTINGS, &all, &engines, &requirements(&engines, &[class(None, None)]));
    let mut with_one_extra = Aperture::new(settings, Timestamp::default());
    with_one_extra.observe(health(0, 9), 9, Timestamp::from_micros(100_000));
    let extra_engines = |gateway: &Gateway| {
        let in_use = with_one_extra.engines_in_use(&plan, *gateway, &engines);
        in_use.difference(&plan.subsets[&gateway.key]).copied().collect::<Vec<_>>()
    };
    let mut gateway_counts = vec![0; 40];
    all.iter().flat_map(extra_engines).for_each(|id| gateway_counts[id as usize] += 1);
    assert!(
        gateway_counts.iter().sum::<i32>() == 200 && gateway_counts.iter().max() < Some(&20),
        "{gateway_counts:?}"
    );
}

/// The evaluation that operators see before subsetting is enabled agrees with the plan, and the churn is low.
#[test]
fn survey_agrees_with_the_plan() {
    let gateway = |i: u64| Gateway { key: i * 7919 + 3, zone: Some(i as usize % 3) };
    // (gateways, engines, minimum of engines for each class, expected pairs)
    for (gateways, engines, min_engines, pairs) in
        [(30, 20, 4, 120), (3, 2, 5, 6), (1, 1, 1, 1), (4, 0, 3, 0)]
    {
        let gateways: BTreeSet<Gateway> = (0..gateways).map(gateway).collect();
        let list: Vec<ReadyEngine> =
            (0..engines).map(|id| engine(id, id as usize % 3, 0, id as usize % 4)).collect();
        let settings = PlanSettings { min_engines, load_slack: 0.25 };
        let evaluation = survey(settings, &gateways, &list, &[class(None, None)]);
        assert_eq!((evaluation.pairs, evaluation.all_pairs), (pairs, gateways.len() * list.len()));
        let spread = evaluation.gateways_per_engine;
        assert!(spread.min as f64 <= spread.mean && spread.mean <= spread.max as f64, "{spread:?}");
        assert!(
            evaluation.churn.by_gateway <= 1.0 && evaluation.churn.by_engine <= 3.0,
            "{:?}",
            evaluation.churn
        );
        assert_eq!(
            evaluation,
            survey(settings, &gateways, &list, &[class(None, None)]),
            "same lists, same result"
        );
    }
}
