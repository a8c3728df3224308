//! One gateway asks the engines for all: several processes, engines that count who asks, a holder that is killed.

use larchfall_fault_tests::load::LoadPlan;
use larchfall_fault_tests::probing_cluster::{ProbingCluster, ProbingSetup};
use larchfall_fault_tests::process_log::field;
use larchfall_fault_tests::wait::wait_until;
use std::collections::BTreeSet;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty-host");
const INTERVAL: Duration = Duration::from_millis(15);
const SERVICE_TIME: Duration = Duration::from_millis(10);
const PLAN: LoadPlan =
    LoadPlan { objective: Duration::from_millis(1000), duration: Duration::from_millis(2500) };

#[test]
fn engines_are_asked_as_often_whatever_the_fleet_and_by_all_again_where_nobody_asks_for_them() {
    let mut probing = ProbingCluster::start(ProbingSetup {
        program: PROGRAM,
        gateways: 6,
        engines: 3,
        service_time: SERVICE_TIME,
        shared: true,
        seed: 91,
    });
    let cluster = &probing.cluster;
    let times = |gateway: usize, what: &str| {
        cluster.gateway(gateway).log.count(&format!("lease {what}, lease: probing:"))
    };
    wait_until("a probing lease to be held", || cluster.running().any(|i| times(i, "acquired") > 0));
    let received_reports = |gateway: usize| {
        cluster.gateway(gateway).signal("-USR1");
        let line = cluster.gateway(gateway).log.last("lease counters");
        let reports = line.and_then(|line| field(&line, "load_reports")?.parse::<u64>().ok());
        reports.is_some_and(|reports| reports > 0)
    };
    wait_until("others to receive load reports", || (0..6).filter(|i| received_reports(*i)).count() >= 5);
    let shared = probing.load(INTERVAL, PLAN);
    // Four times a second by its holder, and a few by gateways that had none fresh.
    assert!(shared.load_requests_per_second < 6.0, "{shared:?}");
    assert_eq!(shared.counts.wrong, 0, "{shared:?}");

    // No voter is left, so nobody asks for all: each gateway asks by itself again once what it was told is old.
    (0..3).for_each(|gateway| probing.cluster.kill(gateway));
    let cluster = &probing.cluster;
    // A gateway that renews under a newer fencing token logs `lease acquired` again without a loss before it.
    let no_lease_held = |gateway: usize| {
        let mut held = BTreeSet::new();
        for line in cluster.gateway(gateway).log.lines() {
            let Some(lease) = field(&line.text, "lease").filter(|lease| lease.starts_with("probing:")) else {
                continue;
            };
            if line.text.contains("lease acquired, ") {
                held.insert(lease.to_owned());
            } else if line.text.contains("lease lost, ") || line.text.contains("lease released, ") {
                held.remove(lease);
            }
        }
        held.is_empty()
    };
    wait_until("leases to end", || (3..6).all(no_lease_held));
    let alone = probing.load(INTERVAL, PLAN);
    assert!(alone.load_requests_per_second > shared.load_requests_per_second, "{alone:?} after {shared:?}");
    assert_eq!(alone.counts.wrong, 0, "{alone:?}");
}
