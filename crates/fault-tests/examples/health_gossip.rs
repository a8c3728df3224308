//! An engine that begins to fail, over twelve gateways with thin and uneven traffic: how many requests met it until nobody sent
//! there any more but for probes, with health gossip and without.
//! cargo run --release -p larchfall-fault-tests --example health_gossip -- target/release/larchfall SEEDS

use larchfall_fault_tests::gateway_cluster::GatewayCluster;
use larchfall_fault_tests::gateway_config::{config_of, settings_for};
use larchfall_fault_tests::load::{self, LoadCounts, LoadPlan};
use larchfall_stub::engine::{Engine, EngineBehavior};
use nanorand::{Rng, WyRand};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const GATEWAYS: usize = 12;
const ENGINES: usize = 6;
const CLIENTS_PER_GATEWAY: usize = 6;
/// A client of a busy gateway sends one request in this many milliseconds; there are two such gateways.
const BUSY_INTERVAL_MS: u64 = 120;
const BUSY_GATEWAYS: usize = 2;
const OBJECTIVE: Duration = Duration::from_millis(200);
const WARM_UP: Duration = Duration::from_secs(3);
const FAILURE: Duration = Duration::from_secs(8);
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// The place of no engine.
const NONE: usize = usize::MAX;

/// What a run showed.
struct Shown {
    met_failing_engine: usize,
    counts: LoadCounts,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program: &'static str = arguments.next().expect("the gateway's program").leak();
    let seeds: u64 = arguments.next().and_then(|seeds| seeds.parse().ok()).unwrap_or(5);
    let mut total_without = 0;
    let mut total_with = 0;
    for seed in 0..seeds {
        let without = run(program, seed, false);
        let with = run(program, seed, true);
        println!(
            "seed {seed}: requests that met the failing engine {} without gossip, {} with; in time {:.4}, {:.4}",
            without.met_failing_engine,
            with.met_failing_engine,
            without.counts.in_time_fraction(),
            with.counts.in_time_fraction()
        );
        total_without += without.met_failing_engine;
        total_with += with.met_failing_engine;
    }
    println!("together {total_without} without, {total_with} with");
}

/// An engine that fails while it is the failing one, and counts what met it then.
fn start_engine(place: usize, failing: &Arc<AtomicUsize>, met: &Arc<AtomicUsize>) -> Engine {
    let failing = failing.clone();
    let met = met.clone();
    let serve = move |_: &_| {
        if failing.load(Ordering::Relaxed) != place {
            return EngineBehavior::Serve(SERVICE_TIME, vec![b"1\n".to_vec()]);
        }
        met.fetch_add(1, Ordering::Relaxed);
        EngineBehavior::Fail
    };
    Engine::start("127.0.0.1:0", serve).expect("a port")
}

fn run(program: &'static str, seed: u64, gossip: bool) -> Shown {
    let failing = Arc::new(AtomicUsize::new(NONE));
    let met = Arc::new(AtomicUsize::new(0));
    let engines: Vec<Engine> = (0..ENGINES).map(|place| start_engine(place, &failing, &met)).collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let table = if gossip { "[signals]\n" } else { "" };
    let settings = settings_for(GATEWAYS);
    let cluster = GatewayCluster::new(program, GATEWAYS, seed)
        .with_operator_tables(|_| table.to_owned())
        .with_config(move |_, discovery| config_of("127.0.0.1:0", discovery, &addresses, 256, &settings))
        .with_zones(|gateway| ["east", "west", "north"][gateway % 3].to_owned())
        .start_all();
    cluster.wait_until_joined();
    let mut random = WyRand::new_seed(seed);
    // At gateways that are not busy a request comes in 300 ms to a second.
    let mut draw_interval_ms = |gateway: usize| {
        if gateway < BUSY_GATEWAYS { BUSY_INTERVAL_MS } else { random.generate_range(2_000..6_000) }
    };
    let intervals_ms: Vec<u64> = (0..GATEWAYS).map(&mut draw_interval_ms).collect();
    let load = |duration| {
        let clients = (0..GATEWAYS).flat_map(|gateway| [gateway; CLIENTS_PER_GATEWAY]);
        let interval = |client: usize| Duration::from_millis(intervals_ms[client / CLIENTS_PER_GATEWAY]);
        let plan = LoadPlan { objective: OBJECTIVE, duration };
        load::run(clients.map(|gateway| cluster.gateway(gateway)), interval, plan)
    };
    load(WARM_UP);
    // The one that most requests go to.
    let busiest = (0..ENGINES).max_by_key(|engine| engines[*engine].seen().started.len());
    failing.store(busiest.unwrap_or(0), Ordering::Relaxed);
    let counts = load(FAILURE);
    Shown { met_failing_engine: met.load(Ordering::Relaxed), counts }
}
