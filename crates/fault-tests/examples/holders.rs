//! Holders that fall out, as processes: how long nobody acts, and whether anything was taken out of token order; then what
//! asking engines costs with one gateway that asks for all and without.
//! cargo run --release -p larchfall-fault-tests --example holders -- target/release/larchfall Gateways TIMES

use hdrhistogram::Histogram;
use larchfall_fault_tests::net::{Link, SOUND};
use larchfall_fault_tests::probed::Probed;
use larchfall_fault_tests::process::{Fleet, name, wait_for};
use larchfall_fault_tests::vault::Vault;
use std::time::{Duration, Instant};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program: &'static str = arguments.next().expect("the front's program").leak();
    let gateways = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(5);
    let times = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(20);
    falls(program, gateways, times);
    for duties in [0, 1, 10, 64] {
        costs(program, duties);
    }
    for gateways in [6, 12, 24] {
        for shared in [false, true] {
            let probed = Probed::start(program, gateways, 6, Duration::from_millis(10), shared, 5);
            std::thread::sleep(Duration::from_secs(4));
            let (pace, goal) = (Duration::from_millis(40), Duration::from_millis(200));
            let shown = probed.load(pace, goal, Duration::from_secs(8));
            let l = &shown.ledger;
            // A gateway that asks by itself at random times knows an engine as old, in the mean, as the time between two looks.
            let alone = 1000.0 * gateways as f64 / shown.probes;
            let age = if shared { told_age(&probed.fleet) } else { alone };
            println!(
                "{gateways} fronts, shared {shared}: probes an engine and second {:.1}, age of what is known {age:.0} ms, in time {:.3} of {} sent, wrong {}",
                shown.probes,
                l.in_time as f64 / l.sent as f64,
                l.sent,
                l.wrong
            );
        }
    }
}

fn falls(program: &'static str, gateways: usize, times: usize) {
    let vault = Vault::start().expect("a port");
    let electors: Vec<String> = (0..5).map(|i| format!("\"{}\"", name(i))).collect();
    let table = format!(
        "[duties]\nelectors = [{}]\nlease-ms = 1000\nlongest-ms = 1000\nleast-ms = 2000\n\
         [[duty]]\nname = \"writer\"\ncommand = {}\nend-ms = 100\n",
        electors.join(", "),
        vault.command(Duration::from_millis(10))
    );
    let mut fleet = Fleet::new(program, gateways, 17, |_, _| table.clone(), |_| Vec::new()).begun();
    for what in ["killed", "stopped", "cut off", "told to end"] {
        let mut gaps = Histogram::<u64>::new(3).expect("bounds that it knows");
        for _ in 0..times {
            fleet.joined();
            let (holder, token) = wait_for("a holder", || {
                let token = vault.last("writer")?.token;
                let line = format!("lease acquired, lease: writer, token: {token}");
                Some((fleet.up().find(|i| fleet.gateway(*i).log.last(&line).is_some())?, token))
            });
            let from = Instant::now();
            match what {
                "killed" => fleet.gateways[holder] = None,
                "stopped" => fleet.gateway(holder).signal("-STOP"),
                "cut off" => {
                    fleet.net.set(|a, b| (a == holder) != (b == holder), Link { cut: true, ..SOUND });
                }
                _ => fleet.gateway(holder).signal("-TERM"),
            }
            wait_for("another to act", || vault.last("writer").filter(|a| a.token > token));
            let gap = vault.longest_gap("writer", from);
            gaps.record(gap.as_millis() as u64).expect("within bounds");
            match what {
                "stopped" => fleet.gateway(holder).signal("-CONT"),
                "cut off" => fleet.net.heal(),
                _ => fleet.begin(holder),
            }
        }
        let at = |q| gaps.value_at_quantile(q);
        println!(
            "{gateways} fronts, {what} {times} times: nobody acted for {} ms (p50), {} (p99), {} at most; out of order {}",
            at(0.5),
            at(0.99),
            gaps.max(),
            vault.refused().len()
        );
    }
}

/// How old, in the mean over gateways, what they know of engines is: each is asked some times.
fn told_age(fleet: &Fleet) -> f64 {
    let (mut sum, mut n) = (0.0, 0.0);
    for _ in 0..10 {
        for i in fleet.up() {
            let log = &fleet.gateway(i).log;
            let before = log.count("lease counters");
            fleet.gateway(i).signal("-USR1");
            wait_for("the counters", || (log.count("lease counters") > before).then_some(()));
            let line = log.last("lease counters").unwrap_or_default();
            let age = line
                .split("load_reports_age_ms: ")
                .nth(1)
                .and_then(|l| l.split(',').next()?.parse::<f64>().ok());
            (sum, n) = (sum + age.unwrap_or_default(), n + 1.0);
        }
        std::thread::sleep(Duration::from_millis(130));
    }
    sum / n
}

/// Processor time of a gateway a second, with so many duties that ask for nothing beside.
fn costs(program: &'static str, duties: usize) {
    let electors: Vec<String> = (0..3).map(|i| format!("\"{}\"", name(i))).collect();
    let table =
        format!("[duties]\nelectors = [{}]\nlongest-ms = 3000\nprobing = {duties}\n", electors.join(", "));
    let more = move |_: &_, _| if duties > 0 { table.clone() } else { String::new() };
    let fleet = Fleet::new(program, 5, 19, more, |_| Vec::new()).begun();
    fleet.joined();
    std::thread::sleep(Duration::from_secs(8));
    let used = |fleet: &Fleet| (0..5).map(|i| fleet.gateway(i).used().0).sum::<Duration>();
    let (before, from) = (used(&fleet), Instant::now());
    std::thread::sleep(Duration::from_secs(10));
    let spent = (used(&fleet) - before).as_secs_f64() / from.elapsed().as_secs_f64() / 5.0;
    println!("{duties} duties: {:.2} ms of processor time a front and second", spent * 1000.0);
}
