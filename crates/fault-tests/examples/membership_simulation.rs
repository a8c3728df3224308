//! How fast deaths are found, how often a living gateway is declared dead, and what that costs, by size of the cluster and loss:
//! cargo run --release -p larchfall-fault-tests --example membership_simulation [SIZE ...]

use hdrhistogram::Histogram;
use larchfall_fault_tests::simulation::membership::{MembershipSimulation, NoticedChange, name};
use larchfall_fault_tests::simulation::{Simulation, ms};
use larchfall_membership::member_update::MemberState;
use larchfall_policy::time::{Duration, Timestamp};

const KILLS: usize = 8;
const LOSSES: [f64; 3] = [0.0, 0.1, 0.3];
/// Large clusters are watched for a shorter time.
const LARGE: usize = 100;

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![10, 100, 300, 1000] } else { sizes };
    println!(
        "| gateways | loss | suspected first, ms (p50, p99) | declared dead first | all know | false deaths, a member and hour | datagrams a member and second | bytes |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for gateways in sizes {
        for loss in LOSSES {
            measure(gateways, loss);
        }
    }
}

/// Times from deaths until something was known of them.
struct Times(Histogram<u64>);

impl Times {
    fn new() -> Times {
        Times(Histogram::new(3).expect("three digits"))
    }

    fn record(&mut self, time: Duration) {
        self.0.record(time.micros() / 1000).expect("within bounds");
    }

    fn quantiles(&self) -> String {
        format!("{}, {}", self.0.value_at_quantile(0.5), self.0.value_at_quantile(0.99))
    }
}

/// From a gateway's death until the first other one held it in this state. One that was suspected as it died is not
/// suspected for the first time later.
fn first_noticed(cluster: &MembershipSimulation, of: usize, state: MemberState, died: Timestamp) -> Duration {
    let is_first = |noticed: &&NoticedChange| {
        noticed.at >= died && noticed.change.name == name(of) && noticed.change.state == state
    };
    let first = cluster.noticed.iter().find(is_first);
    first.map(|noticed| noticed.at.since(died)).unwrap_or_default()
}

fn measure(gateways: usize, loss: f64) {
    let mut cluster = MembershipSimulation::start(gateways, gateways as u64);
    let joined = cluster.run_until(ms(120_000), MembershipSimulation::agrees);
    assert!(joined.is_some(), "{gateways} gateways find each other");
    cluster.loss = loss;
    cluster.run(ms(20_000));
    // In calm.
    let before = cluster.traffic;
    let began = cluster.now();
    cluster.run(ms(if gateways > LARGE { 60_000 } else { 600_000 }));
    let member_seconds = gateways as f64 * cluster.now().since(began).secs();
    let datagrams = cluster.traffic.datagrams - before.datagrams;
    let bytes = cluster.traffic.bytes - before.bytes;
    let false_deaths = cluster.false_deaths(began) as f64 / member_seconds * 3600.0;
    let mut first_suspected = Times::new();
    let mut first_dead = Times::new();
    let mut all_know = Times::new();
    for kill in 0..KILLS.min(gateways / 2) {
        let of = gateways - 1 - kill;
        let died = cluster.now();
        cluster.kill(of);
        let is_known = |cluster: &MembershipSimulation| {
            let mut running = (0..gateways).filter(|gateway| cluster.gateways[*gateway].up);
            running.all(|by| cluster.member_state(by, of).is_none_or(|state| state == MemberState::Dead))
        };
        let known = cluster.run_until(ms(300_000), is_known);
        first_suspected.record(first_noticed(&cluster, of, MemberState::Suspected, died));
        first_dead.record(first_noticed(&cluster, of, MemberState::Dead, died));
        all_know.record(known.expect("a death is known in the end"));
    }
    println!(
        "| {gateways} | {:.0}% | {} | {} | {} | {false_deaths:.4} | {:.1} | {:.0} |",
        loss * 100.0,
        first_suspected.quantiles(),
        first_dead.quantiles(),
        all_know.quantiles(),
        datagrams as f64 / member_seconds,
        bytes as f64 / member_seconds
    );
}
