//! How long nobody holds a lease when its holder falls out, and what leases cost between gateways, in one process by seed:
//! cargo run --release -p larchfall-fault-tests --example lease_simulation

use hdrhistogram::Histogram;
use larchfall_fault_tests::simulation::leases::{LeaseSimulation, settings};
use larchfall_fault_tests::simulation::{Simulation, ms};
use nanorand::Rng;

const SEEDS: u64 = 200;
const VOTERS: usize = 5;
const ROLE: &str = "duty:000";

#[derive(Clone, Copy)]
enum Fall {
    Killed,
    Suspended,
    CutOff,
    Leaves,
}

impl Fall {
    const ALL: [Fall; 4] = [Fall::Killed, Fall::Suspended, Fall::CutOff, Fall::Leaves];

    fn words(self) -> &'static str {
        match self {
            Fall::Killed => "killed",
            Fall::Suspended => "suspended",
            Fall::CutOff => "cut off",
            Fall::Leaves => "leaves",
        }
    }

    fn inflict(self, cluster: &mut LeaseSimulation, holder: usize) {
        match self {
            Fall::Killed => cluster.kill(holder),
            Fall::Suspended => cluster.suspend(holder, ms(30_000)),
            Fall::CutOff => cluster.link = Box::new(move |from, to| (from == holder) == (to == holder)),
            Fall::Leaves => cluster.leave(holder),
        }
    }
}

fn main() {
    println!(
        "| gateways | what happens to the holder | nobody holds it, ms (p50, p99, most) | not held again in 20 s | wrong |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for gateways in [5, 12, 24] {
        for fall in Fall::ALL {
            measure_fall(gateways, fall);
        }
    }
    println!("\n| gateways | leases | messages a gateway and second |\n| --- | --- | --- |");
    for gateways in [5, 24, 100] {
        for role_count in [1, 10, 100] {
            measure_traffic(gateways, role_count);
        }
    }
}

fn measure_fall(gateways: usize, fall: Fall) {
    let mut unheld_ms = Histogram::<u64>::new(3).expect("bounds that it knows");
    let mut not_held_again = 0;
    let mut wrong = 0;
    for seed in 0..SEEDS {
        let mut cluster = LeaseSimulation::start(gateways, settings(VOTERS, 1, true), seed);
        cluster.run_until(ms(20_000), LeaseSimulation::all_held);
        let calm = ms(cluster.random().generate_range(6_000..9_000));
        cluster.run(calm);
        let Some(holder) = cluster.holders(ROLE).first().copied() else { continue };
        cluster.gaps.clear();
        fall.inflict(&mut cluster, holder);
        let has_successor =
            |cluster: &LeaseSimulation| cluster.holders(ROLE).iter().any(|other| *other != holder);
        not_held_again += usize::from(cluster.run_until(ms(20_000), has_successor).is_none());
        cluster.run(ms(15_000));
        let longest_ms = cluster.gaps.iter().max().map_or(0, |gap| gap.micros() / 1000);
        unheld_ms.record(longest_ms).expect("within bounds");
        wrong += cluster.violations.len();
    }
    println!(
        "| {gateways} | {} | {}, {}, {} | {not_held_again} | {wrong} |",
        fall.words(),
        unheld_ms.value_at_quantile(0.5),
        unheld_ms.value_at_quantile(0.99),
        unheld_ms.max()
    );
}

fn measure_traffic(gateways: usize, role_count: usize) {
    let mut cluster = LeaseSimulation::start(gateways, settings(VOTERS, role_count, true), 7);
    cluster.action_interval = ms(500);
    cluster.run(ms(20_000));
    let before = cluster.messages_sent;
    cluster.run(ms(10_000));
    let per_second = (cluster.messages_sent - before) as f64 / 10.0;
    println!("| {gateways} | {role_count} | {:.1} |", per_second / gateways as f64);
}
