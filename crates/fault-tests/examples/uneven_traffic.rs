//! Twelve gateways of which one takes half of all traffic, and another one after some seconds: what was returned in time of what
//! was sent, with even quotas of each engine, with quotas that allocators grant, and with one gateway that has all engines and
//! all traffic to itself.
//! cargo run --release -p larchfall-fault-tests --example uneven_traffic -- target/release/larchfall SEEDS

use larchfall_fault_tests::gateway_cluster::GatewayCluster;
use larchfall_fault_tests::gateway_config::{config_of, name_list, settings_for};
use larchfall_fault_tests::load::{self, LoadCounts, LoadPlan, limited_engine};
use larchfall_stub::engine::Engine;
use nanorand::{Rng, WyRand};
use std::net::SocketAddr;
use std::time::Duration;

const GATEWAYS: usize = 12;
const CLIENTS: usize = 96;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const CORES: u32 = 2;
const ENGINES: usize = 3;
/// Three engines bear 300 requests a second together.
const REQUESTS_PER_SECOND: [f64; 2] = [255.0, 330.0];
const OBJECTIVE: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, PartialEq)]
enum Division {
    Even,
    Granted,
    OneGateway,
}

impl Division {
    const ALL: [Division; 3] = [Division::Even, Division::Granted, Division::OneGateway];

    fn words(self) -> &'static str {
        match self {
            Division::Even => "even",
            Division::Granted => "granted",
            Division::OneGateway => "one gateway",
        }
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program: &'static str = arguments.next().expect("the gateway's program").leak();
    let seeds: u64 = arguments.next().and_then(|seeds| seeds.parse().ok()).unwrap_or(10);
    for rate in REQUESTS_PER_SECOND {
        let mut totals = [LoadCounts::default(); 3];
        for seed in 0..seeds {
            let mut shown = Vec::new();
            for (division, total) in Division::ALL.into_iter().zip(&mut totals) {
                let counts = run(program, seed, division, rate);
                shown.push(format!("{} {:.4}", division.words(), counts.in_time_fraction()));
                total.add(&counts);
            }
            println!("{rate} a second, seed {seed}: {}", shown.join(", "));
        }
        let [even, granted, one] = totals.map(|counts| counts.in_time_fraction());
        println!(
            "{rate} a second, in time: {even:.4} with even quotas, {granted:.4} granted, {one:.4} by one gateway; ratio {:.3}, {:.2} of the way; rejected {}, {}, {}; wrong {}, {}, {}",
            granted / even,
            (granted - even) / (one - even),
            totals[0].rejected,
            totals[1].rejected,
            totals[2].rejected,
            totals[0].wrong,
            totals[1].wrong,
            totals[2].wrong,
        );
    }
}

fn start_cluster(
    program: &'static str,
    seed: u64,
    division: Division,
    addresses: Vec<SocketAddr>,
) -> GatewayCluster {
    let gateways = if division == Division::OneGateway { 1 } else { GATEWAYS };
    let leases = format!(
        "[duties]\nelectors = {}\nlease-ms = 1000\nlongest-ms = 1000\nkeepers = 2\nshare-ms = 800\n\
         hand-out = [\"threads\"]\n",
        name_list(0..3)
    );
    let table = if division == Division::Granted { leases } else { String::new() };
    let settings = settings_for(gateways).replace("\"size_cores\":[64]", "\"size_cores\":[2]");
    let cluster = GatewayCluster::new(program, gateways, seed)
        .with_operator_tables(|_| table.clone())
        .with_config(move |_, discovery| config_of("127.0.0.1:0", discovery, &addresses, 512, &settings))
        .counting_living(false)
        .start_all();
    cluster.wait_until_joined();
    cluster
}

fn run(program: &'static str, seed: u64, division: Division, rate: f64) -> LoadCounts {
    let engines: Vec<Engine> =
        (0..ENGINES).map(|_| limited_engine(SERVICE_TIME, CORES).expect("a port")).collect();
    let addresses = engines.iter().map(|engine| engine.address).collect();
    let cluster = start_cluster(program, seed, division, addresses);
    let gateways = cluster.gateways.len();
    let mut random = WyRand::new_seed(seed);
    let first_busy = random.generate_range(0..gateways);
    let later_busy = random.generate_range(0..gateways);
    let interval = Duration::from_secs_f64(CLIENTS as f64 / rate);
    let load = |busy: usize| {
        let others: Vec<usize> = (0..gateways).filter(|i| *i != busy || gateways == 1).collect();
        // Every other client is at the busy one.
        let gateway_of = |client: usize| {
            if client.is_multiple_of(2) { busy } else { others[client / 2 % others.len()] }
        };
        let clients = (0..CLIENTS).map(|client| cluster.gateway(gateway_of(client)));
        load::run(clients, |_| interval, LoadPlan { objective: OBJECTIVE, duration: STEP })
    };
    // Gateways learn what engines bear, and allocators begin.
    load(first_busy);
    let mut counts = load(first_busy);
    counts.add(&load(later_busy));
    counts
}
