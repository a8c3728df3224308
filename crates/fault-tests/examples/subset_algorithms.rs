//! Ways to choose subsets of engines for gateways, held against each other: how even engines' loads are, and what moves when
//! one gateway or engine goes. In one process, by seed.
//! cargo run --release -p larchfall-fault-tests --example subset_algorithms [GATEWAYS ENGINES SIZE]

use larchfall_fault_tests::gateway_config::gateway_name;
use larchfall_policy::interface::Engine;
use larchfall_subsetting::plan::{PlanSettings, SubsetPlan};
use larchfall_subsetting::preference::preference_order;
use larchfall_subsetting::{Gateway, ReadyEngine, requirements};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet};

type Chosen = BTreeMap<u64, BTreeSet<u32>>;
type Way = (&'static str, fn(&[Gateway], &[ReadyEngine], usize) -> Chosen);

const WAYS: [Way; 5] = [
    ("random", random),
    ("by rounds", rounds),
    ("ring", ring),
    ("rendezvous", plain),
    ("rendezvous, bounded", bounded),
];

fn main() {
    let given: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    let sizes = match given[..] {
        [gateways, engines, least] => vec![(gateways, engines, least)],
        _ => vec![(12, 12, 4), (300, 80, 12), (1000, 200, 20)],
    };
    println!(
        "| fronts | engines | least | way | an engine's fronts (least, mean, most) | moved as a front goes, in parts of its own | moved as an engine goes |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (n, m, least) in sizes {
        let gateways: Vec<Gateway> = (0..n)
            .map(|i| Gateway { key: xxhash_rust::xxh3::xxh3_64(gateway_name(i).as_bytes()), zone: None })
            .collect();
        let engines: Vec<ReadyEngine> = (0..m as u32)
            .map(|id| ReadyEngine { id, engine: Engine { cell: id as usize % 4, ..Engine::default() } })
            .collect();
        for (how, way) in WAYS {
            let all = way(&gateways, &engines, least);
            let mut users = vec![0_usize; m];
            all.values().flatten().for_each(|id| users[*id as usize] += 1);
            let mean = users.iter().sum::<usize>() as f64 / m as f64;
            let (mut by_gateway, mut by_engine, mut times) = (0.0, 0.0, 0.0);
            for gone in (0..10).map(|i| i * 7919) {
                let gateway = gateways[gone % n];
                let rest: Vec<Gateway> = gateways.iter().copied().filter(|f| *f != gateway).collect();
                by_gateway += moved(&all, &way(&rest, &engines, least)) / least as f64;
                let engine = gone % m;
                let rest: Vec<ReadyEngine> =
                    engines.iter().copied().filter(|x| x.id != engine as u32).collect();
                by_engine += moved(&all, &way(&gateways, &rest, least)) / users[engine].max(1) as f64;
                times += 1.0;
            }
            println!(
                "| {n} | {m} | {least} | {how} | {}, {mean:.1}, {} | {:.2} | {:.2} |",
                users.iter().min().unwrap_or(&0),
                users.iter().max().unwrap_or(&0),
                by_gateway / times,
                by_engine / times
            );
        }
    }
}

/// Pairs that are new, of the gateways that both have.
fn moved(a: &Chosen, b: &Chosen) -> f64 {
    let new = |(gateway, chosen): (&u64, &BTreeSet<u32>)| {
        a.get(gateway).map_or(0, |was| chosen.difference(was).count())
    };
    b.iter().map(new).sum::<usize>() as f64
}

fn ids(engines: &[ReadyEngine]) -> Vec<u32> {
    engines.iter().map(|x| x.id).collect()
}

/// Each by its own chance, in the list's order of the day.
fn random(gateways: &[Gateway], engines: &[ReadyEngine], least: usize) -> Chosen {
    let pick = |f: &Gateway| {
        let mut ids = ids(engines);
        WyRand::new_seed(f.key).shuffle(&mut ids);
        (f.key, ids.into_iter().take(least).collect())
    };
    gateways.iter().map(pick).collect()
}

/// Gateways by their place, in rounds that each deal the whole shuffled list out (Beyer et al.: "Site Reliability
/// Engineering", 2016, chapter 20).
fn rounds(gateways: &[Gateway], engines: &[ReadyEngine], least: usize) -> Chosen {
    let each = (engines.len() / least).max(1);
    let pick = |(place, f): (usize, &Gateway)| {
        let mut ids = ids(engines);
        WyRand::new_seed((place / each) as u64).shuffle(&mut ids);
        let from = place % each * least;
        (f.key, ids[from..(from + least).min(ids.len())].iter().copied().collect())
    };
    gateways.iter().enumerate().map(pick).collect()
}

/// Gateways and engines spread evenly on one ring; each takes what follows its place.
fn ring(gateways: &[Gateway], engines: &[ReadyEngine], least: usize) -> Chosen {
    let pick = |(place, f): (usize, &Gateway)| {
        let from = place * engines.len() / gateways.len();
        (f.key, (0..least).map(|i| engines[(from + i) % engines.len()].id).collect())
    };
    gateways.iter().enumerate().map(pick).collect()
}

fn plain(gateways: &[Gateway], engines: &[ReadyEngine], least: usize) -> Chosen {
    gateways
        .iter()
        .map(|f| (f.key, preference_order(*f, engines).iter().take(least).map(|x| x.id).collect()))
        .collect()
}

fn bounded(gateways: &[Gateway], engines: &[ReadyEngine], least: usize) -> Chosen {
    let class = larchfall_policy::interface::RequestClass {
        priority_weight: 1.0,
        latency_objective: larchfall_policy::time::Duration::ZERO,
        objective_stretch: 0.0,
        effect: larchfall_policy::interface::Idempotency::Idempotent,
        in_order: false,
        threads: 1.0,
        locks_data_set: false,
        waits_for_data_lock: false,
        zones: None,
        kinds: None,
    };
    let settings = PlanSettings { min_engines: least, load_slack: 0.25 };
    SubsetPlan::compute(
        settings,
        &gateways.iter().copied().collect(),
        engines,
        &requirements(engines, &[class]),
    )
    .subsets
}
