//! One gateway asks the engines for all: several processes, engines that count who asks, a holder that is killed.

use larchfall_fault_tests::probed::Probed;
use larchfall_fault_tests::process::wait_for;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty");
const PACE: Duration = Duration::from_millis(15);
const TAKES: Duration = Duration::from_millis(10);
const GOAL: Duration = Duration::from_millis(1000);
const DURATION: Duration = Duration::from_millis(2500);

#[test]
fn engines_are_asked_as_often_whatever_the_fleet_and_by_all_again_where_nobody_asks_for_them() {
    let probed = Probed::start(PROGRAM, 6, 3, TAKES, true, 91);
    let held = || {
        probed
            .fleet
            .up()
            .filter(|i| probed.fleet.gateway(*i).log.count("lease acquired, lease: probing:") > 0)
            .count()
    };
    wait_for("both duties to be held", || (held() > 0).then_some(()));
    let told = |i: usize| {
        probed.fleet.gateway(i).signal("-USR1");
        let line = probed.fleet.gateway(i).log.last("lease counters")?;
        line.split("load_reports: ").nth(1)?.split(',').next()?.parse::<u64>().ok().filter(|n| *n > 0)
    };
    wait_for("others to be told", || (0..6).filter(|i| told(*i).is_some()).count().ge(&5).then_some(()));
    let shown = probed.load(PACE, GOAL, DURATION);
    // Four times a second by its holder, and a few by gateways that had none fresh.
    assert!(shown.probes < 6.0, "{shown:?}");
    assert_eq!(shown.ledger.wrong, 0, "{shown:?}");

    // No elector left, so nobody asks for all: each gateway asks by itself again once what it was told is old.
    let mut probed = probed;
    (0..3).for_each(|i| probed.fleet.gateways[i] = None);
    wait_for("leases to end", || {
        let last = |i: usize| probed.fleet.gateway(i).log.count("lease lost, lease: probing:");
        let holds = |i: usize| probed.fleet.gateway(i).log.count("lease acquired, lease: probing:");
        (3..6).all(|i| last(i) >= holds(i)).then_some(())
    });
    let alone = probed.load(PACE, GOAL, DURATION);
    assert!(alone.probes > shown.probes, "{alone:?} after {shown:?}");
    assert_eq!(alone.ledger.wrong, 0, "{alone:?}");
}
