//! A cluster that shrinks from 12 gateways to 5 under load and grows back, with even quotas that follow the living and with
//! those of the number in the settings: what was returned in time of what was sent.
//! cargo run --release -p larchfall-fault-tests --example shrinking_cluster -- target/release/larchfall SEEDS

use larchfall_fault_tests::gateway_cluster::GatewayCluster;
use larchfall_fault_tests::gateway_config::{config_of, settings_for};
use larchfall_fault_tests::load::{self, LoadCounts, LoadPlan, limited_engine};
use larchfall_stub::engine::Engine;
use std::net::SocketAddr;
use std::time::Duration;

const MOST: usize = 12;
const LEAST: usize = 5;
const ENGINES: usize = 3;
/// Requests a second that the whole cluster is sent, whoever is there to take them.
const REQUESTS_PER_SECOND: f64 = 255.0;
const CLIENTS_PER_GATEWAY: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const CORES: u32 = 2;
const OBJECTIVE: Duration = Duration::from_millis(200);
/// Load between two changes of the cluster.
const STEP: Duration = Duration::from_millis(900);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program: &'static str = arguments.next().expect("the gateway's program").leak();
    let seeds: u64 = arguments.next().and_then(|seeds| seeds.parse().ok()).unwrap_or(10);
    let mut by_settings = LoadCounts::default();
    let mut by_living = LoadCounts::default();
    for seed in 0..seeds {
        for (counts_living, total) in [(false, &mut by_settings), (true, &mut by_living)] {
            let counts = run(program, seed, counts_living);
            let in_time = counts.in_time_fraction();
            println!("seed {seed}, follows the living {counts_living}: {in_time:.4} in time, {counts:?}");
            total.add(&counts);
        }
    }
    println!(
        "in time: {:.4} by the settings, {:.4} by the living, ratio {:.3}",
        by_settings.in_time_fraction(),
        by_living.in_time_fraction(),
        by_living.in_time_fraction() / by_settings.in_time_fraction()
    );
}

/// Load on all that run, the same in all whatever their number.
fn load(cluster: &GatewayCluster, duration: Duration) -> LoadCounts {
    let clients = cluster.running().count() * CLIENTS_PER_GATEWAY;
    let interval = Duration::from_secs_f64(clients as f64 / REQUESTS_PER_SECOND);
    let gateways = cluster.running().flat_map(|gateway| [gateway; CLIENTS_PER_GATEWAY]);
    let plan = LoadPlan { objective: OBJECTIVE, duration };
    load::run(gateways.map(|gateway| cluster.gateway(gateway)), |_| interval, plan)
}

fn run(program: &'static str, seed: u64, counts_living: bool) -> LoadCounts {
    let engines: Vec<Engine> =
        (0..ENGINES).map(|_| limited_engine(SERVICE_TIME, CORES).expect("a port")).collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let settings = settings_for(MOST).replace("\"size_cores\":[64]", "\"size_cores\":[2]");
    let mut cluster = GatewayCluster::new(program, MOST, seed)
        .with_config(move |_, discovery| config_of("127.0.0.1:0", discovery, &addresses, 256, &settings))
        .counting_living(counts_living)
        .start_all();
    cluster.wait_until_joined();
    let mut counts = load(&cluster, STEP * 2);
    for gateway in (LEAST..MOST).rev() {
        cluster.kill(gateway);
        counts.add(&load(&cluster, STEP));
    }
    counts.add(&load(&cluster, STEP * 6));
    for gateway in LEAST..MOST {
        cluster.start_gateway(gateway);
        counts.add(&load(&cluster, STEP));
    }
    counts
}
