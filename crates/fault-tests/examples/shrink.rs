//! A fleet that shrinks from 12 gateways to 5 under load and grows back, with even shares that follow the living and with
//! those of the number in the settings: what was returned within the response goal of what was sent.
//! cargo run --release -p larchfall-fault-tests --example shrink -- target/release/larchfall SEEDS

use larchfall_fault_tests::load::{self, Ledger};
use larchfall_fault_tests::process::{Fleet, config_of, settings};
use larchfall_stub::engine::Engine;
use std::net::SocketAddr;
use std::time::Duration;

const MOST: usize = 12;
const LEAST: usize = 5;
/// Requests a second that the whole fleet is sent, whoever is there to take them.
const RATE: f64 = 255.0;
const CLIENTS: usize = 8;
const TAKES: Duration = Duration::from_millis(20);
const CORES: u32 = 2;
const GOAL: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(900);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program: &'static str = arguments.next().expect("the front's program").leak();
    let seeds: u64 = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(10);
    let mut all = [Ledger::default(), Ledger::default()];
    for seed in 0..seeds {
        for (which, shares) in [false, true].into_iter().enumerate() {
            let ledger = day(program, seed, shares);
            println!("seed {seed}, follows the living {shares}: {:.4} in time, {ledger:?}", part(&ledger));
            all[which].add(&ledger);
        }
    }
    let [named, living] = &all;
    println!(
        "in time: {:.4} by the settings, {:.4} by the living, ratio {:.3}",
        part(named),
        part(living),
        part(living) / part(named)
    );
}

fn part(ledger: &Ledger) -> f64 {
    ledger.in_time as f64 / ledger.sent.max(1) as f64
}

fn day(program: &'static str, seed: u64, shares: bool) -> Ledger {
    let engines: Vec<Engine> = (0..3).map(|_| load::engine(TAKES, CORES).expect("a port")).collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|e| e.address).collect();
    let mut fleet = Fleet::new(program, MOST, seed, |_, _| String::new(), |_| Vec::new());
    let settings = settings()
        .replace("\"instances\":1", &format!("\"instances\":{MOST}"))
        .replace("\"size_cores\":[64]", "\"size_cores\":[2]");
    fleet.config =
        Box::new(move |_, discovery| config_of("127.0.0.1:0", discovery, &addresses, 256, &settings));
    fleet.shares = shares;
    let mut fleet = fleet.begun();
    fleet.joined();
    let mut ledger = Ledger::default();
    let mut load = |fleet: &Fleet, duration: Duration| {
        let clients = fleet.up().count() * CLIENTS;
        let pace = Duration::from_secs_f64(clients as f64 / RATE);
        let gateways = fleet.up().flat_map(|i| [i; CLIENTS]).map(|i| fleet.gateway(i));
        ledger.add(&load::run(gateways, |_| pace, GOAL, duration));
    };
    load(&fleet, STEP * 2);
    for i in (LEAST..MOST).rev() {
        fleet.gateways[i] = None;
        load(&fleet, STEP);
    }
    load(&fleet, STEP * 6);
    for i in LEAST..MOST {
        fleet.begin(i);
        load(&fleet, STEP);
    }
    ledger
}
