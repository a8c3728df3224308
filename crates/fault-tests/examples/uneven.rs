//! Twelve gateways of which one takes half of all traffic, and another one after some seconds: what was returned within the
//! response goal of what was sent, with even parts of each engine, with parts that keepers hand out, and with one gateway
//! that has all engines and all traffic to itself.
//! cargo run --release -p larchfall-fault-tests --example uneven -- target/release/larchfall SEEDS

use larchfall_fault_tests::load::{self, Ledger};
use larchfall_fault_tests::process::{Fleet, config_of, name, settings};
use larchfall_stub::engine::Engine;
use nanorand::{Rng, WyRand};
use std::net::SocketAddr;
use std::time::Duration;

const GATEWAYS: usize = 12;
const CLIENTS: usize = 96;
const TAKES: Duration = Duration::from_millis(20);
const CORES: u32 = 2;
const ENGINES: usize = 3;
/// Three engines bear 300 requests a second together.
const RATES: [f64; 2] = [255.0, 330.0];
const GOAL: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_secs(5);
const WAYS: [&str; 3] = ["even", "handed out", "one front"];

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program: &'static str = arguments.next().expect("the front's program").leak();
    let seeds: u64 = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(10);
    for rate in RATES {
        let mut all = [Ledger::default(), Ledger::default(), Ledger::default()];
        for seed in 0..seeds {
            let mut parts = Vec::new();
            for (which, way) in WAYS.into_iter().enumerate() {
                let ledger = day(program, seed, way, rate);
                parts.push(format!("{way} {:.4}", part(&ledger)));
                all[which].add(&ledger);
            }
            println!("{rate} a second, seed {seed}: {}", parts.join(", "));
        }
        let [even, handed, one] = all.each_ref().map(part);
        println!(
            "{rate} a second, in time: {even:.4} with even parts, {handed:.4} handed out, {one:.4} by one front; ratio {:.3}, {:.2} of the way; pushed back {}, {}, {}; wrong {}, {}, {}",
            handed / even,
            (handed - even) / (one - even),
            all[0].pushed_back,
            all[1].pushed_back,
            all[2].pushed_back,
            all[0].wrong,
            all[1].wrong,
            all[2].wrong,
        );
    }
}

fn part(ledger: &Ledger) -> f64 {
    ledger.in_time as f64 / ledger.sent.max(1) as f64
}

fn day(program: &'static str, seed: u64, way: &str, rate: f64) -> Ledger {
    let engines: Vec<Engine> = (0..ENGINES).map(|_| load::engine(TAKES, CORES).expect("a port")).collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|e| e.address).collect();
    let gateways = if way == "one front" { 1 } else { GATEWAYS };
    let electors: Vec<String> = (0..3).map(|i| format!("\"{}\"", name(i))).collect();
    let duties = format!(
        "[duties]\nelectors = [{}]\nlease-ms = 1000\nlongest-ms = 1000\nkeepers = 2\nshare-ms = 800\n\
         hand-out = [\"threads\"]\n",
        electors.join(", ")
    );
    let table = if way == "handed out" { duties } else { String::new() };
    let mut fleet = Fleet::new(program, gateways, seed, |_, _| table.clone(), |_| Vec::new());
    let settings = settings()
        .replace("\"instances\":1", &format!("\"instances\":{gateways}"))
        .replace("\"size_cores\":[64]", "\"size_cores\":[2]");
    fleet.config =
        Box::new(move |_, discovery| config_of("127.0.0.1:0", discovery, &addresses, 512, &settings));
    fleet.shares = false;
    let fleet = fleet.begun();
    fleet.joined();
    let mut chance = WyRand::new_seed(seed);
    let busy: Vec<usize> = (0..2).map(|_| chance.generate_range(0..gateways)).collect();
    let mut ledger = Ledger::default();
    for (step, busy) in [busy[0], busy[0], busy[1]].into_iter().enumerate() {
        let others: Vec<usize> = (0..gateways).filter(|i| *i != busy || gateways == 1).collect();
        // Every other client is at the busy one.
        let place = |c: usize| if c.is_multiple_of(2) { busy } else { others[c / 2 % others.len()] };
        let pace = Duration::from_secs_f64(CLIENTS as f64 / rate);
        let shown = load::run((0..CLIENTS).map(|c| fleet.gateway(place(c))), |_| pace, GOAL, STEP);
        // The first step is for gateways to learn what engines bear, and for keepers to begin.
        if step > 0 {
            ledger.add(&shown);
        }
    }
    ledger
}
