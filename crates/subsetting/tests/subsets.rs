//! What must hold of every subset, whichever gateways and engines there are; how little moves; how many engines a gateway
//! uses.

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

/// Pairs of a gateway and an engine that only one of two plans has.
fn moved(a: &SubsetPlan, b: &SubsetPlan) -> usize {
    let differ = |gateway: &u64| match (a.subsets.get(gateway), b.subsets.get(gateway)) {
        (Some(a), Some(b)) => a.symmetric_difference(b).count(),
        _ => 0,
    };
    a.subsets.keys().map(differ).sum()
}

proptest! {
    /// Each class finds enough that it may go to, in two cells where there are two, and no engine is everybody's.
    #[test]
    fn every_gateway_finds_what_each_class_needs(
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
            let chosen = &plan.subsets[&gateway.key];
            for class in &classes {
                let open: Vec<&ReadyEngine> = engines.iter().filter(|x| class.allows_engine(&x.engine)).collect();
                let found: Vec<&&ReadyEngine> = open.iter().filter(|x| chosen.contains(&x.id)).collect();
                prop_assert!(found.len() >= SETTINGS.min_engines.min(open.len()), "{gateway:?} {class:?}");
                let cells = |of: &mut dyn Iterator<Item = usize>| of.collect::<BTreeSet<_>>().len();
                let (there, here) = (
                    cells(&mut open.iter().map(|x| x.engine.cell)),
                    cells(&mut found.iter().map(|x| x.engine.cell)),
                );
                prop_assert!(there < 2 || here >= 2, "{gateway:?}: one cell of {there}");
            }
        }
        let users: usize = plan.gateway_counts.values().sum();
        prop_assert_eq!(users, plan.subsets.values().map(BTreeSet::len).sum::<usize>());
    }
}

#[test]
fn loads_are_even_and_own_zones_come_first() {
    let (engines, classes) = (engines(80), [class(None, None)]);
    let all = gateways((0..300).map(|n| n * 7919));
    let plan = SubsetPlan::compute(
        PlanSettings { min_engines: 12, ..SETTINGS },
        &all,
        &engines,
        &requirements(&engines, &classes),
    );
    let mean = 300.0 * 12.0 / 80.0;
    let (least, most) =
        (plan.gateway_counts.values().min().unwrap(), plan.gateway_counts.values().max().unwrap());
    assert!(
        *most as f64 <= (mean * 1.25_f64).ceil() && *least as f64 > mean * 0.5,
        "{least} to {most} of {mean}"
    );
    let near = |gateway: &Gateway, id: &u32| gateway.zone == Some(engines[*id as usize].engine.zone);
    let pairs = || all.iter().flat_map(|f| plan.subsets[&f.key].iter().map(move |id| (f, id)));
    let own = pairs().filter(|(f, id)| near(f, id)).count();
    assert!(own * 10 > pairs().count() * 9, "{own} of {} in the own zone", pairs().count());
    let fractions: f64 = engines.iter().filter_map(|x| plan.fraction(x.id)).sum();
    assert!((fractions - plan.gateway_counts.values().map(|n| 1.0 / *n as f64).sum::<f64>()).abs() < 1e-9);
}

/// One that comes or goes moves little of what others have: the same lists always give the same plan.
#[test]
fn little_moves_when_one_gateway_or_engine_comes_or_goes() {
    let (engines, classes) = (engines(80), [class(None, None), class(None, Some(vec![1]))]);
    let settings = PlanSettings { min_engines: 8, ..SETTINGS };
    let compute = |gateways: &BTreeSet<Gateway>, engines: &[ReadyEngine]| {
        SubsetPlan::compute(settings, gateways, engines, &requirements(engines, &classes))
    };
    let all = gateways((0..300).map(|n| n * 7919));
    let (plan, pairs) =
        (compute(&all, &engines), compute(&all, &engines).gateway_counts.values().sum::<usize>());
    assert_eq!(compute(&all, &engines), plan);
    let mut most = [0, 0];
    for gone in (0..300).step_by(20) {
        let rest: BTreeSet<Gateway> = all.iter().copied().filter(|f| f.key != gone * 7919).collect();
        most[0] = most[0].max(moved(&plan, &compute(&rest, &engines)));
    }
    for gone in (0..80).step_by(8) {
        let rest: Vec<ReadyEngine> = engines.iter().copied().filter(|x| x.id != gone).collect();
        most[1] = most[1].max(moved(&plan, &compute(&all, &rest)));
    }
    // A gateway has 1 in 300 of the pairs, an engine 1 in 80; each pair that moves counts twice.
    assert!(most[0] * 10 < pairs, "a gateway: {} of {pairs}", most[0]);
    assert!(most[1] * 10 < pairs * 2, "an engine: {} of {pairs}", most[1]);
}

#[test]
fn a_gateway_widens_at_once_when_half_is_gone_and_comes_back_one_by_one() {
    let settings = ApertureSettings {
        grow_interval: Duration::from_millis(100),
        shrink_interval: Duration::from_millis(500),
    };
    let health = |unhealthy, congested| SubsetHealth { used: 10, unhealthy, congested };
    // (at, what is observed, how many beyond the plan then); twenty others.
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
    for (at, health, extra) in cases {
        aperture.observe(health, 20, Timestamp::from_micros(at * 1000));
        assert_eq!(aperture.extra_engines(), extra, "at {at}: {health:?}");
    }
    aperture.observe(health(0, 0), 3, Timestamp::from_micros(2_951_000));
    assert_eq!(aperture.extra_engines(), 3, "no more than there are");
    // Gateways that grow by one do not all take the same engine.
    let engines = engines(40);
    let all = gateways(0..200);
    let plan = SubsetPlan::compute(SETTINGS, &all, &engines, &requirements(&engines, &[class(None, None)]));
    let mut one = Aperture::new(settings, Timestamp::default());
    one.observe(health(0, 9), 9, Timestamp::from_micros(100_000));
    let added = |f: &Gateway| {
        let used = one.engines_in_use(&plan, *f, &engines);
        used.difference(&plan.subsets[&f.key]).copied().collect::<Vec<_>>()
    };
    let mut taken = vec![0; 40];
    all.iter().flat_map(added).for_each(|id| taken[id as usize] += 1);
    assert!(taken.iter().sum::<i32>() == 200 && taken.iter().max() < Some(&20), "{taken:?}");
}

/// What operators are shown before they switch it on agrees with the plan, and little moves.
#[test]
fn a_survey_says_what_the_plan_comes_to() {
    let gateway = |i: u64| Gateway { key: i * 7919 + 3, zone: Some(i as usize % 3) };
    // (gateways, engines, engines for each class; pairs that come of it)
    for (gateways, engines, least, pairs) in [(30, 20, 4, 120), (3, 2, 5, 6), (1, 1, 1, 1), (4, 0, 3, 0)] {
        let gateways: BTreeSet<Gateway> = (0..gateways).map(gateway).collect();
        let list: Vec<ReadyEngine> =
            (0..engines).map(|id| engine(id, id as usize % 3, 0, id as usize % 4)).collect();
        let settings = PlanSettings { min_engines: least, load_slack: 0.25 };
        let all = survey(settings, &gateways, &list, &[class(None, None)]);
        assert_eq!((all.pairs, all.all_pairs), (pairs, gateways.len() * list.len()));
        let spread = all.gateways_per_engine;
        assert!(spread.min as f64 <= spread.mean && spread.mean <= spread.max as f64, "{spread:?}");
        assert!(all.churn.by_gateway <= 1.0 && all.churn.by_engine <= 3.0, "{:?}", all.churn);
        assert_eq!(
            all,
            survey(settings, &gateways, &list, &[class(None, None)]),
            "the same for the same lists"
        );
    }
}
