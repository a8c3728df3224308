//! How long nobody holds a duty when its holder falls out, and what duties cost between gateways, in one process by seed:
//! cargo run --release -p larchfall-fault-tests --example lease_simulation

use hdrhistogram::Histogram;
use larchfall_fault_tests::simulation::leases::{LeaseSimulation, settings};
use larchfall_fault_tests::simulation::{Simulation, ms};
use nanorand::Rng;

const TIMES: u64 = 200;

fn main() {
    println!(
        "| fronts | what happens to the holder | nobody holds it, ms (p50, p99, most) | not found again in 20 s | wrong |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for n in [5, 12, 24] {
        for what in ["killed", "stopped", "cut off", "leaves"] {
            falls(n, what);
        }
    }
    println!("\n| fronts | duties | letters a front and second |\n| --- | --- | --- |");
    for n in [5, 24, 100] {
        for duties in [1, 10, 100] {
            let mut fleet = LeaseSimulation::start(n, settings(5, duties, true), 7);
            fleet.action_interval = ms(500);
            fleet.run(ms(20_000));
            let before = fleet.messages_sent;
            fleet.run(ms(10_000));
            println!("| {n} | {duties} | {:.1} |", (fleet.messages_sent - before) as f64 / 10.0 / n as f64);
        }
    }
}

fn falls(n: usize, what: &str) {
    let mut gaps = Histogram::<u64>::new(3).expect("bounds that it knows");
    let (mut lost, mut wrong) = (0, 0);
    for seed in 0..TIMES {
        let mut fleet = LeaseSimulation::start(n, settings(5, 1, true), seed);
        fleet.run_until(ms(20_000), LeaseSimulation::all_held);
        let duration = ms(fleet.random().generate_range(6_000..9_000));
        fleet.run(duration);
        let Some(holder) = fleet.holders("duty:000").first().copied() else { continue };
        fleet.gaps.clear();
        match what {
            "killed" => fleet.kill(holder),
            "stopped" => fleet.suspend(holder, ms(30_000)),
            "cut off" => fleet.link = Box::new(move |a, b| (a == holder) == (b == holder)),
            _ => fleet.leave(holder),
        }
        let other = |f: &LeaseSimulation| f.holders("duty:000").iter().any(|i| *i != holder);
        lost += usize::from(fleet.run_until(ms(20_000), other).is_none());
        fleet.run(ms(15_000));
        let gap = fleet.gaps.iter().max().map_or(0, |gap| gap.micros() / 1000);
        gaps.record(gap).expect("within bounds");
        wrong += fleet.violations.len();
    }
    let at = |q| gaps.value_at_quantile(q);
    println!("| {n} | {what} | {}, {}, {} | {lost} | {wrong} |", at(0.5), at(0.99), gaps.max());
}
