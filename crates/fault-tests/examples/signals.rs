//! An engine that begins to fail, over twelve gateways with thin and uneven traffic: how many requests met it until nobody sent
//! there any more but for trials, with signals and without.
//! cargo run --release -p larchfall-fault-tests --example signals -- target/release/larchfall SEEDS

use larchfall_fault_tests::load::{self, Ledger};
use larchfall_fault_tests::process::{Fleet, config_of, settings};
use larchfall_stub::engine::{Act, Engine};
use nanorand::{Rng, WyRand};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const GATEWAYS: usize = 12;
const ENGINES: usize = 6;
const GOAL: Duration = Duration::from_millis(200);
const LASTS: Duration = Duration::from_secs(8);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program: &'static str = arguments.next().expect("the front's program").leak();
    let seeds: u64 = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(5);
    let mut all = [0, 0];
    for seed in 0..seeds {
        let met = [false, true].map(|told| day(program, seed, told));
        println!(
            "seed {seed}: batches that met the failing engine {} without signals, {} with; in time {:.4}, {:.4}",
            met[0].0,
            met[1].0,
            part(&met[0].1),
            part(&met[1].1)
        );
        all.iter_mut().zip(&met).for_each(|(all, met)| *all += met.0);
    }
    println!("together {} without, {} with", all[0], all[1]);
}

fn part(ledger: &Ledger) -> f64 {
    ledger.in_time as f64 / ledger.sent.max(1) as f64
}

fn day(program: &'static str, seed: u64, told: bool) -> (usize, Ledger) {
    let fails = Arc::new(AtomicUsize::new(usize::MAX));
    let met = Arc::new(AtomicUsize::new(0));
    let engine = |e: usize| {
        let (fails, met) = (fails.clone(), met.clone());
        let serve = move |_: &_| {
            if fails.load(Ordering::Relaxed) != e {
                return Act::Serve(Duration::from_millis(10), vec![b"1\n".to_vec()]);
            }
            met.fetch_add(1, Ordering::Relaxed);
            Act::Fail
        };
        Engine::start("127.0.0.1:0", serve).expect("a port")
    };
    let engines: Vec<Engine> = (0..ENGINES).map(engine).collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|e| e.address).collect();
    let table = if told { "[signals]\n" } else { "" };
    let mut fleet = Fleet::new(program, GATEWAYS, seed, |_, _| table.to_owned(), |_| Vec::new());
    let settings = settings().replace("\"instances\":1", &format!("\"instances\":{GATEWAYS}"));
    fleet.config =
        Box::new(move |_, discovery| config_of("127.0.0.1:0", discovery, &addresses, 256, &settings));
    fleet.zone = Box::new(|i| ["east", "west", "north"][i % 3].to_owned());
    let fleet = fleet.begun();
    fleet.joined();
    let mut chance = WyRand::new_seed(seed);
    // Each gateway has six clients; a request in 20 ms at two gateways, in 300 ms to a second at all others.
    let paces: Vec<u64> =
        (0..GATEWAYS).map(|i| if i < 2 { 120 } else { chance.generate_range(2_000..6_000) }).collect();
    let load = |duration| {
        let gateways = (0..GATEWAYS).flat_map(|i| [i; 6]).map(|i| fleet.gateway(i));
        load::run(gateways, |c| Duration::from_millis(paces[c / 6]), GOAL, duration)
    };
    load(Duration::from_secs(3));
    // The one that most go to.
    let most = (0..ENGINES).max_by_key(|e| engines[*e].seen().started.len());
    fails.store(most.unwrap_or(0), Ordering::Relaxed);
    let ledger = load(LASTS);
    (met.load(Ordering::Relaxed), ledger)
}
