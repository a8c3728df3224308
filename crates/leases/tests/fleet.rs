//! Whole fleets with leased roles in one process, by seed: what is held, by whom, and how long nobody holds it.

use larchfall_fault_tests::simulation::leases::{DiskBehavior, LeaseSimulation, name, settings};
use larchfall_fault_tests::simulation::{Simulation, ms};
use larchfall_leases::manager::EndReason;
use larchfall_policy::time::Duration;
use nanorand::Rng;

const BOUND: Duration = Duration::from_millis(12_000);

fn held(n: usize, voters: usize, roles: usize, seed: u64) -> LeaseSimulation {
    let mut fleet = LeaseSimulation::start(n, settings(voters, roles, true), seed);
    assert!(
        fleet.run_until(BOUND, LeaseSimulation::all_held).is_some(),
        "seed {seed}: nobody held them at first"
    );
    fleet
}

fn assert_nothing_wrong(fleet: &LeaseSimulation, seed: u64) {
    assert_eq!(fleet.violations, [], "seed {seed}");
}

/// The holder dies, stalls, is cut off (both ways, or from the voters only), or leaves: another has it within a lease,
/// the wait for its turn and some rounds, and goes on alone.
#[test]
fn a_holder_that_fails_in_any_way_is_followed_by_one_other() {
    type Fault = (&'static str, fn(&mut LeaseSimulation, usize), Duration);
    let faults: [Fault; 6] = [
        ("killed", |f, i| f.kill(i), ms(5_500)),
        ("stopped", |f, i| f.suspend(i, ms(20_000)), ms(5_500)),
        ("cut off", |f, i| f.link = Box::new(move |a, b| (a == i) == (b == i)), ms(5_500)),
        ("hears nothing", |f, i| f.link = Box::new(move |_, b| b != i), ms(6_500)),
        ("is not heard", |f, i| f.link = Box::new(move |a, _| a != i), ms(5_500)),
        ("leaves", |f, i| f.leave(i), ms(200)),
    ];
    for (what, fault, within) in faults {
        for seed in 0..12 {
            let mut fleet = held(7, 5, 1, seed);
            let first = fleet.holders("duty:000")[0];
            fleet.run(ms(100 * seed));
            fault(&mut fleet, first);
            let other = |f: &LeaseSimulation| matches!(f.holders("duty:000")[..], [i] if i != first);
            let took = fleet.run_until(within, other);
            assert!(took.is_some(), "seed {seed}: {what}, no other within {within:?}");
            // All is well again, and the first is no second holder when it is back.
            fleet.link = Box::new(|_, _| true);
            fleet.run(ms(30_000));
            assert_nothing_wrong(&fleet, seed);
            assert!(fleet.all_held(), "seed {seed}: {what}");
        }
    }
}

/// (voters, of them out of reach, whether somebody may hold it)
#[test]
fn a_majority_of_voters_is_needed_and_is_enough() {
    for (voters, out, may) in [(3, 1, true), (3, 2, false), (5, 2, true), (5, 3, false), (7, 3, true)] {
        let mut fleet = held(voters + 3, voters, 2, 3);
        fleet.link = Box::new(move |a, b| (a < out) == (b < out));
        fleet.run(ms(12_000));
        let there =
            |f: &LeaseSimulation| f.settings.roles.iter().all(|d| f.holders(d).iter().any(|i| *i >= out));
        assert_eq!(there(&fleet), may, "{out} of {voters} away");
        let minority = fleet.settings.roles.iter().any(|d| fleet.holders(d).iter().any(|i| *i < out));
        assert_eq!(minority, out * 2 > voters, "{out} of {voters} away");
        fleet.link = Box::new(|_, _| true);
        assert!(fleet.run_until(BOUND, LeaseSimulation::all_held).is_some(), "{out} of {voters}: not healed");
        assert_nothing_wrong(&fleet, 3);
    }
}

/// All voters killed at once and started in turn; one that restarts each second and is never heard; one whose clock runs
/// five in a hundred fast, or slow.
#[test]
fn voters_that_restart_or_whose_clock_is_off_make_no_second_holder() {
    for seed in 0..6 {
        let mut fleet = held(6, 3, 3, seed);
        (0..3).for_each(|i| fleet.kill(i));
        for i in 0..3 {
            fleet.run(ms(700));
            fleet.restart(i);
        }
        assert!(fleet.run_until(ms(16_000), LeaseSimulation::all_held).is_some(), "seed {seed}");
        for _ in 0..20 {
            fleet.run(ms(1_000));
            fleet.restart(1);
        }
        assert!(fleet.all_held(), "seed {seed}: the others are a majority");
        assert!(fleet.settings.roles.iter().all(|d| fleet.holders(d) != [1]), "seed {seed}: it never waits");
        assert_nothing_wrong(&fleet, seed);
    }
    for (rate, seed) in [(1.05, 1), (0.95, 2)] {
        let mut fleet = LeaseSimulation::start(5, settings(3, 2, false), seed);
        fleet.gateways[0].clock_rate = rate;
        fleet.restart(0);
        for turn in 0..20 {
            fleet.run(ms(4_000));
            fleet.suspend(turn % 5, ms(3_500));
        }
        assert_nothing_wrong(&fleet, seed);
    }
}

/// A disk that fails grants nothing new and keeps what runs; one that lies, or that comes back with an older record, is
/// made good by the clock; one that is slow delays what is new and nothing else.
#[test]
fn disks_that_fail_lie_or_are_slow() {
    for (does, takes, held_again) in [
        (DiskBehavior::Fails, ms(2), false),
        (DiskBehavior::LosesWrites, ms(2), true),
        (DiskBehavior::Healthy, ms(300), true),
        (DiskBehavior::Healthy, ms(3_100), false),
    ] {
        let mut fleet = held(6, 3, 2, 5);
        for node in &mut fleet.gateways {
            (node.disk, node.write_time) = (does, takes);
        }
        fleet.run(ms(10_000));
        assert!(fleet.all_held(), "{does:?}: renewals need no disk");
        let first = fleet.holders("duty:000")[0];
        fleet.suspend(first, ms(8_000));
        let others = |f: &LeaseSimulation| f.holders("duty:000").iter().any(|i| *i != first);
        assert_eq!(fleet.run_until(ms(7_500), others).is_some(), held_again, "{does:?}, {takes:?}");
        // Tokens grow although nobody kept them.
        for i in 0..3 {
            fleet.kill(i);
            fleet.restart(i);
            fleet.gateways[i].write_time = ms(2);
            fleet.gateways[i].disk = DiskBehavior::Healthy;
        }
        assert!(fleet.run_until(ms(20_000), LeaseSimulation::all_held).is_some(), "{does:?}");
        assert_nothing_wrong(&fleet, 5);
    }
}

/// A hundred roles over 24 gateways of which a third dies and comes back; few move beside those that had to.
#[test]
fn a_hundred_roles_are_spread_and_few_move_when_gateways_come_and_go() {
    let mut fleet = LeaseSimulation::start(24, settings(5, 100, true), 9);
    fleet.action_interval = ms(200);
    fleet.run(ms(40_000));
    let by = |f: &LeaseSimulation| f.settings.roles.iter().map(|d| f.holders(d)[0]).collect::<Vec<_>>();
    let before = by(&fleet);
    let most = (0..24).map(|i| before.iter().filter(|h| **h == i).count()).max().unwrap_or_default();
    assert!(most <= 14, "one gateway holds {most} of a hundred");
    let settled: usize = fleet.ended.values().sum();
    fleet.run(ms(20_000));
    assert_eq!(fleet.ended.values().sum::<usize>(), settled, "they swing");
    let gone: Vec<usize> = (16..24).collect();
    gone.iter().for_each(|i| fleet.kill(*i));
    assert!(fleet.run_until(ms(9_000), LeaseSimulation::all_held).is_some(), "not all found again");
    let after = by(&fleet);
    let moved = before.iter().zip(&after).filter(|(b, a)| b != a && !gone.contains(b)).count();
    assert_eq!(moved, 0, "moved without need");
    gone.iter().for_each(|i| fleet.restart(*i));
    fleet.run(ms(30_000));
    assert_nothing_wrong(&fleet, 9);
    assert!(fleet.all_held());
    assert!(!fleet.ended.contains_key(&EndReason::Expired), "{:?}", fleet.ended);
}

/// Everything at once, drawn by seed.
#[test]
fn whatever_comes_no_two_hold_one_role_and_no_action_is_taken_out_of_order() {
    for seed in 100..124 {
        let n = 5 + seed as usize % 6;
        let mut fleet =
            LeaseSimulation::start(n, settings(if n > 7 { 5 } else { 3 }, 3, seed % 2 == 0), seed);
        for i in 0..n {
            fleet.gateways[i].clock_rate = 0.97 + 0.06 * fleet.random().generate::<f64>();
            fleet.restart(i);
        }
        for _ in 0..60 {
            let duration = ms(fleet.random().generate_range(50..2_500));
            fleet.run(duration);
            let (i, j) = (fleet.random().generate_range(0..n), fleet.random().generate_range(0..n));
            match fleet.random().generate_range(0..10_u32) {
                0 => fleet.kill(i),
                1 | 2 => fleet.restart(i),
                3 => fleet.suspend(i, duration * 3.0),
                4 => fleet.link = Box::new(move |a, b| (a == i) == (b == i) || (a == j) == (b == j)),
                5 => fleet.link = Box::new(move |a, b| a % 2 == b % 2 || (a, b) == (i, j)),
                6 => (fleet.loss, fleet.max_delay) = (0.4, ms(2_000)),
                7 => fleet.leave(i),
                8 => {
                    fleet.gateways[i].disk =
                        [DiskBehavior::Fails, DiskBehavior::LosesWrites, DiskBehavior::Healthy][j % 3];
                }
                _ => {
                    fleet.link = Box::new(|_, _| true);
                    (fleet.loss, fleet.max_delay) = (0.0, ms(5));
                }
            }
        }
        assert_nothing_wrong(&fleet, seed);
        fleet.link = Box::new(|_, _| true);
        (fleet.loss, fleet.max_delay) = (0.0, ms(5));
        for i in 0..n {
            fleet.gateways[i].disk = DiskBehavior::Healthy;
            fleet.restart(i);
        }
        assert!(
            fleet.run_until(ms(20_000), LeaseSimulation::all_held).is_some(),
            "seed {seed}: not healed: {}",
            name(0)
        );
        assert_nothing_wrong(&fleet, seed);
    }
}
