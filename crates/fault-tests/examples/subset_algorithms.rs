//! Algorithms that choose subsets of engines for gateways, beside each other: how even engines' loads are, and what moves when
//! one gateway or engine goes. In one process, by seed.
//! cargo run --release -p larchfall-fault-tests --example subset_algorithms [GATEWAYS ENGINES SIZE]

use larchfall_fault_tests::gateway_config::gateway_name;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{Engine, Idempotency, RequestClass};
use larchfall_subsetting::plan::{PlanSettings, SubsetPlan};
use larchfall_subsetting::preference::preference_order;
use larchfall_subsetting::{Gateway, ReadyEngine, requirements};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet};

/// Engines' ids by gateway's key.
type Subsets = BTreeMap<u64, BTreeSet<u32>>;

struct Algorithm {
    name: &'static str,
    /// By gateways, engines and the size of a subset.
    choose: fn(&[Gateway], &[ReadyEngine], usize) -> Subsets,
}

const ALGORITHMS: [Algorithm; 5] = [
    Algorithm { name: "random", choose: random },
    Algorithm { name: "by rounds", choose: by_rounds },
    Algorithm { name: "ring", choose: ring },
    Algorithm { name: "rendezvous", choose: rendezvous },
    Algorithm { name: "rendezvous, bounded", choose: bounded_rendezvous },
];

/// How many gateways and engines go, one at a time.
const DEPARTURES: usize = 10;
/// A prime, so that those that go are spread over all.
const DEPARTURE_STRIDE: usize = 7919;
const CELLS: usize = 4;

#[derive(Clone, Copy)]
struct Sizes {
    gateways: usize,
    engines: usize,
    subset: usize,
}

fn main() {
    let arguments: Vec<usize> = std::env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    let sizes = match arguments[..] {
        [gateways, engines, subset] => vec![Sizes { gateways, engines, subset }],
        _ => vec![
            Sizes { gateways: 12, engines: 12, subset: 4 },
            Sizes { gateways: 300, engines: 80, subset: 12 },
            Sizes { gateways: 1000, engines: 200, subset: 20 },
        ],
    };
    println!(
        "| gateways | engines | size | algorithm | an engine's gateways (least, mean, most) | moved as a gateway goes, in parts of its own | moved as an engine goes |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for sizes in sizes {
        for algorithm in &ALGORITHMS {
            print_row(sizes, algorithm);
        }
    }
}

fn print_row(sizes: Sizes, algorithm: &Algorithm) {
    let key = |i| xxhash_rust::xxh3::xxh3_64(gateway_name(i).as_bytes());
    let gateways: Vec<Gateway> = (0..sizes.gateways).map(|i| Gateway { key: key(i), zone: None }).collect();
    let engines: Vec<ReadyEngine> = (0..sizes.engines as u32)
        .map(|id| ReadyEngine { id, engine: Engine { cell: id as usize % CELLS, ..Engine::default() } })
        .collect();
    let choose =
        |gateways: &[Gateway], engines: &[ReadyEngine]| (algorithm.choose)(gateways, engines, sizes.subset);
    let subsets = choose(&gateways, &engines);
    let mut users = vec![0_usize; sizes.engines];
    subsets.values().flatten().for_each(|id| users[*id as usize] += 1);
    let mean = users.iter().sum::<usize>() as f64 / sizes.engines as f64;
    let mut moved_by_gateway = 0.0;
    let mut moved_by_engine = 0.0;
    for departure in (0..DEPARTURES).map(|i| i * DEPARTURE_STRIDE) {
        let gone = gateways[departure % sizes.gateways];
        let rest: Vec<Gateway> = gateways.iter().copied().filter(|gateway| *gateway != gone).collect();
        moved_by_gateway += moved(&subsets, &choose(&rest, &engines)) / sizes.subset as f64;
        let gone = departure % sizes.engines;
        let rest: Vec<ReadyEngine> =
            engines.iter().copied().filter(|engine| engine.id != gone as u32).collect();
        moved_by_engine += moved(&subsets, &choose(&gateways, &rest)) / users[gone].max(1) as f64;
    }
    println!(
        "| {} | {} | {} | {} | {}, {mean:.1}, {} | {:.2} | {:.2} |",
        sizes.gateways,
        sizes.engines,
        sizes.subset,
        algorithm.name,
        users.iter().min().unwrap_or(&0),
        users.iter().max().unwrap_or(&0),
        moved_by_gateway / DEPARTURES as f64,
        moved_by_engine / DEPARTURES as f64
    );
}

/// The number of engines that are new to gateways which had a subset before.
fn moved(before: &Subsets, after: &Subsets) -> f64 {
    let new = |(gateway, subset): (&u64, &BTreeSet<u32>)| {
        before.get(gateway).map_or(0, |was| subset.difference(was).count())
    };
    after.iter().map(new).sum::<usize>() as f64
}

fn ids(engines: &[ReadyEngine]) -> Vec<u32> {
    engines.iter().map(|engine| engine.id).collect()
}

/// Each gateway draws by its own key.
fn random(gateways: &[Gateway], engines: &[ReadyEngine], size: usize) -> Subsets {
    let draw = |gateway: &Gateway| {
        let mut ids = ids(engines);
        WyRand::new_seed(gateway.key).shuffle(&mut ids);
        (gateway.key, ids.into_iter().take(size).collect())
    };
    gateways.iter().map(draw).collect()
}

/// Gateways by their place, in rounds that each deal the whole shuffled list out (Beyer et al.: "Site Reliability
/// Engineering", 2016, chapter 20).
fn by_rounds(gateways: &[Gateway], engines: &[ReadyEngine], size: usize) -> Subsets {
    let per_round = (engines.len() / size).max(1);
    let deal = |(place, gateway): (usize, &Gateway)| {
        let mut ids = ids(engines);
        WyRand::new_seed((place / per_round) as u64).shuffle(&mut ids);
        let start = place % per_round * size;
        (gateway.key, ids[start..(start + size).min(ids.len())].iter().copied().collect())
    };
    gateways.iter().enumerate().map(deal).collect()
}

/// Gateways and engines spread evenly on one ring; each takes what follows its place.
fn ring(gateways: &[Gateway], engines: &[ReadyEngine], size: usize) -> Subsets {
    let take = |(place, gateway): (usize, &Gateway)| {
        let start = place * engines.len() / gateways.len();
        (gateway.key, (0..size).map(|i| engines[(start + i) % engines.len()].id).collect())
    };
    gateways.iter().enumerate().map(take).collect()
}

fn rendezvous(gateways: &[Gateway], engines: &[ReadyEngine], size: usize) -> Subsets {
    let prefer = |gateway: &Gateway| {
        let order = preference_order(*gateway, engines);
        (gateway.key, order.iter().take(size).map(|engine| engine.id).collect())
    };
    gateways.iter().map(prefer).collect()
}

/// The gateway's own plan.
fn bounded_rendezvous(gateways: &[Gateway], engines: &[ReadyEngine], size: usize) -> Subsets {
    let class = RequestClass {
        priority_weight: 1.0,
        latency_objective: Duration::ZERO,
        objective_stretch: 0.0,
        idempotency: Idempotency::Idempotent,
        in_order: false,
        threads: 1.0,
        locks_data_set: false,
        waits_for_data_lock: false,
        allowed_zones: None,
        allowed_kinds: None,
    };
    let settings = PlanSettings { min_engines: size, load_slack: 0.25 };
    let gateways = gateways.iter().copied().collect();
    SubsetPlan::compute(settings, &gateways, engines, &requirements(engines, &[class])).subsets
}
