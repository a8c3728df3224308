//! What it costs a cluster to find out that an engine is dead, to probe it, and to have it back; and what a lie costs:
//! cargo run --release -p larchfall-fault-tests --example gossip_simulation [SIZE ...]

use larchfall_fault_tests::simulation::Simulation;
use larchfall_fault_tests::simulation::health_gossip::{GossipMode, GossipSetup, GossipSimulation};
use larchfall_policy::time::Duration;

const PROBE_SLOT: Duration = Duration::from_millis(1_000);
const MODES: [GossipMode; 4] = [
    GossipMode::None,
    GossipMode::Verdicts,
    GossipMode::Reports,
    GossipMode::ReportsWithProbeSlots(PROBE_SLOT),
];
const WARM_UP: Duration = Duration::from_millis(10_000);
const FIRST_FAILURE: Duration = Duration::from_millis(10_000);
const LATER_FAILURE: Duration = Duration::from_millis(20_000);
const LYING: Duration = Duration::from_millis(20_000);
const MAX_RECOVERY: Duration = Duration::from_millis(120_000);

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![10, 100, 300, 1000] } else { sizes };
    println!(
        "| gateways | told | loss | attempts that met the dead engine, first 10 s | a second, the 20 s after | all have it back, s | by one liar ejected, of all gateways' time | by a third of one zone |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for gateways in sizes {
        for mode in MODES {
            print_row(&setup(gateways, mode, 0.0));
        }
        print_row(&setup(gateways, GossipMode::ReportsWithProbeSlots(PROBE_SLOT), 0.5));
    }
}

fn setup(gateways: usize, mode: GossipMode, loss: f64) -> GossipSetup {
    GossipSetup { gateways, mode, requests_per_second: 4.0, loss, liars: 0 }
}

/// An engine's failure and its recovery.
struct FailureCost {
    /// Attempts that met it at first.
    first_attempts: usize,
    /// Attempts that met it later.
    later_attempts: usize,
    /// From when it works until all but one gateway in a hundred have it back: one with next to no traffic probes nothing.
    recovery: Duration,
}

fn measure_failure(setup: &GossipSetup) -> FailureCost {
    let mut cluster = GossipSimulation::start(setup.clone(), 1);
    cluster.run(WARM_UP);
    cluster.bad_engine_works = false;
    cluster.counts = Default::default();
    cluster.run(FIRST_FAILURE);
    let first_attempts = std::mem::take(&mut cluster.counts).failed_attempts;
    cluster.run(LATER_FAILURE);
    let later_attempts = std::mem::take(&mut cluster.counts).failed_attempts;
    cluster.bad_engine_works = true;
    let few = setup.gateways / 100;
    let recovery = cluster.run_until(MAX_RECOVERY, |cluster| cluster.ejecting_gateways() <= few);
    FailureCost { first_attempts, later_attempts, recovery: recovery.unwrap_or(MAX_RECOVERY) }
}

/// The percentage of its time for which an engine that works is ejected at gateways that do not lie.
fn measure_lies(setup: &GossipSetup, liars: usize) -> f64 {
    let mut cluster = GossipSimulation::start(GossipSetup { liars, ..setup.clone() }, 2);
    cluster.run(WARM_UP);
    cluster.counts = Default::default();
    cluster.run(LYING);
    let honest = (setup.gateways - liars) as f64;
    cluster.counts.ejected_time.secs() / (LYING.secs() * honest) * 100.0
}

fn print_row(setup: &GossipSetup) {
    let cost = measure_failure(setup);
    println!(
        "| {} | {:?} | {:.0}% | {} | {:.1} | {:.1} | {:.2}% | {:.2}% |",
        setup.gateways,
        setup.mode,
        setup.loss * 100.0,
        cost.first_attempts,
        cost.later_attempts as f64 / LATER_FAILURE.secs(),
        cost.recovery.secs(),
        measure_lies(setup, 1),
        measure_lies(setup, (setup.gateways / 9).max(1))
    );
}
