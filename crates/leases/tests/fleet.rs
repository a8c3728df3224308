//! Simulations of whole clusters with leased roles in one process, with a random seed each: which gateway holds each
//! role, and how long a role has no lease holder.

use larchfall_fault_tests::simulation::leases::{DiskBehavior, LeaseSimulation, settings};
use larchfall_fault_tests::simulation::{Simulation, ms};
use larchfall_leases::manager::EndReason;
use larchfall_policy::time::Duration;
use nanorand::Rng;

/// Maximum time until all roles are held after a start or after the end of a fault.
const ACQUISITION_LIMIT: Duration = Duration::from_millis(12_000);

/// Starts a cluster and waits until all roles are held.
fn start_with_all_held(gateways: usize, voters: usize, roles: usize, seed: u64) -> LeaseSimulation {
    let mut fleet = LeaseSimulation::start(gateways, settings(voters, roles, true), seed);
    assert!(
        fleet.run_until(ACQUISITION_LIMIT, LeaseSimulation::all_held).is_some(),
        "seed {seed}: not all roles are held {ACQUISITION_LIMIT:?} after the start"
    );
    fleet
}

fn assert_no_violations(fleet: &LeaseSimulation, seed: u64) {
    assert_eq!(fleet.violations, [], "seed {seed}");
}

/// The lease holder is killed, suspended, cut off in both directions or in one, or leaves. Exactly one other gateway
/// must acquire the role within a lease, the delay until the gateway's turn and some rounds. The previous holder must
/// not become a second holder after the fault.
#[test]
fn one_other_gateway_takes_over_after_any_fault_of_the_holder() {
    type Fault = (&'static str, fn(&mut LeaseSimulation, usize), Duration);
    let faults: [Fault; 6] = [
        ("killed", |fleet, holder| fleet.kill(holder), ms(5_500)),
        ("suspended", |fleet, holder| fleet.suspend(holder, ms(20_000)), ms(5_500)),
        (
            "cut off",
            |fleet, holder| fleet.link = Box::new(move |from, to| (from == holder) == (to == holder)),
            ms(5_500),
        ),
        ("receives no messages", |fleet, holder| fleet.link = Box::new(move |_, to| to != holder), ms(6_500)),
        (
            "sent messages are lost",
            |fleet, holder| fleet.link = Box::new(move |from, _| from != holder),
            ms(5_500),
        ),
        ("leaves", |fleet, holder| fleet.leave(holder), ms(200)),
    ];
    for (fault_name, inject_fault, limit) in faults {
        for seed in 0..12 {
            let mut fleet = start_with_all_held(7, 5, 1, seed);
            let first_holder = fleet.holders("duty:000")[0];
            fleet.run(ms(100 * seed));
            inject_fault(&mut fleet, first_holder);
            let has_other_holder = |fleet: &LeaseSimulation| {
                let holders = fleet.holders("duty:000");
                matches!(holders[..], [holder] if holder != first_holder)
            };
            let takeover = fleet.run_until(limit, has_other_holder);
            assert!(takeover.is_some(), "seed {seed}: {fault_name}: no other holder within {limit:?}");
            // After the network is repaired, the first holder must not become a second holder.
            fleet.link = Box::new(|_, _| true);
            fleet.run(ms(30_000));
            assert_no_violations(&fleet, seed);
            assert!(fleet.all_held(), "seed {seed}: {fault_name}: a role is not held after the fault");
        }
    }
}

/// The network is split into the first voters and all other gateways. Roles are held on the side that has a majority of
/// the voters, and on the other side none.
#[test]
fn a_majority_of_voters_is_needed_and_is_enough() {
    // (voters, voters that are cut off, whether the other gateways hold the roles)
    for (voters, cut_off, expected) in
        [(3, 1, true), (3, 2, false), (5, 2, true), (5, 3, false), (7, 3, true)]
    {
        let mut fleet = start_with_all_held(voters + 3, voters, 2, 3);
        fleet.link = Box::new(move |from, to| (from < cut_off) == (to < cut_off));
        fleet.run(ms(12_000));
        let others_hold_all = |fleet: &LeaseSimulation| {
            fleet.settings.roles.iter().all(|role| fleet.holders(role).iter().any(|i| *i >= cut_off))
        };
        assert_eq!(others_hold_all(&fleet), expected, "{cut_off} of {voters} voters cut off");
        let cut_off_holds_any =
            fleet.settings.roles.iter().any(|role| fleet.holders(role).iter().any(|i| *i < cut_off));
        assert_eq!(cut_off_holds_any, cut_off * 2 > voters, "{cut_off} of {voters} voters cut off");
        fleet.link = Box::new(|_, _| true);
        assert!(
            fleet.run_until(ACQUISITION_LIMIT, LeaseSimulation::all_held).is_some(),
            "{cut_off} of {voters} voters cut off: not all roles are held after the network is repaired"
        );
        assert_no_violations(&fleet, 3);
    }
}

/// Faults of voters: all are killed at once and started one after the other, one restarts each second and is therefore
/// always silent, or the clock of one runs five percent fast or slow.
#[test]
fn voters_that_restart_or_whose_clock_drifts_cause_no_second_holder() {
    for seed in 0..6 {
        let mut fleet = start_with_all_held(6, 3, 3, seed);
        (0..3).for_each(|i| fleet.kill(i));
        for i in 0..3 {
            fleet.run(ms(700));
            fleet.restart(i);
        }
        assert!(
            fleet.run_until(ms(16_000), LeaseSimulation::all_held).is_some(),
            "seed {seed}: not all roles are held after the voters restarted"
        );
        for _ in 0..20 {
            fleet.run(ms(1_000));
            fleet.restart(1);
        }
        assert!(fleet.all_held(), "seed {seed}: a role is not held although two voters are a majority");
        assert!(
            fleet.settings.roles.iter().all(|role| fleet.holders(role) != [1]),
            "seed {seed}: a gateway that restarts each second holds a role"
        );
        assert_no_violations(&fleet, seed);
    }
    for (clock_rate, seed) in [(1.05, 1), (0.95, 2)] {
        let mut fleet = LeaseSimulation::start(5, settings(3, 2, false), seed);
        fleet.gateways[0].clock_rate = clock_rate;
        fleet.restart(0);
        for step in 0..20 {
            fleet.run(ms(4_000));
            fleet.suspend(step % 5, ms(3_500));
        }
        assert_no_violations(&fleet, seed);
    }
}

/// While its disk fails, a voter grants no new tokens but renews existing leases. If a disk loses writes or returns an
/// older record, the wall clock keeps tokens increasing. A slow disk delays only new tokens.
#[test]
fn disks_that_fail_lose_writes_or_are_slow_cause_no_violations() {
    // (behavior of the disk, duration of a write, whether another gateway takes over within 7.5 s)
    for (behavior, write_time, taken_over) in [
        (DiskBehavior::Fails, ms(2), false),
        (DiskBehavior::LosesWrites, ms(2), true),
        (DiskBehavior::Healthy, ms(300), true),
        (DiskBehavior::Healthy, ms(3_100), false),
    ] {
        let mut fleet = start_with_all_held(6, 3, 2, 5);
        for gateway in &mut fleet.gateways {
            (gateway.disk, gateway.write_time) = (behavior, write_time);
        }
        fleet.run(ms(10_000));
        assert!(fleet.all_held(), "{behavior:?}: a role is not held although renewals need no disk");
        let first_holder = fleet.holders("duty:000")[0];
        fleet.suspend(first_holder, ms(8_000));
        let has_other_holder =
            |fleet: &LeaseSimulation| fleet.holders("duty:000").iter().any(|i| *i != first_holder);
        assert_eq!(
            fleet.run_until(ms(7_500), has_other_holder).is_some(),
            taken_over,
            "{behavior:?}, writes take {write_time:?}"
        );
        // Tokens increase although the disks have not kept the voter records.
        for i in 0..3 {
            fleet.kill(i);
            fleet.restart(i);
            fleet.gateways[i].write_time = ms(2);
            fleet.gateways[i].disk = DiskBehavior::Healthy;
        }
        assert!(
            fleet.run_until(ms(20_000), LeaseSimulation::all_held).is_some(),
            "{behavior:?}: not all roles are held after the voters restarted"
        );
        assert_no_violations(&fleet, 5);
    }
}

/// A hundred roles are held by 24 gateways, of which a third is killed and later restarted. Only the roles of killed
/// gateways may move while these are down.
#[test]
fn a_hundred_roles_are_spread_and_only_roles_of_killed_gateways_move() {
    let mut fleet = LeaseSimulation::start(24, settings(5, 100, true), 9);
    fleet.action_interval = ms(200);
    fleet.run(ms(40_000));
    let all_holders = |fleet: &LeaseSimulation| {
        fleet.settings.roles.iter().map(|role| fleet.holders(role)[0]).collect::<Vec<_>>()
    };
    let before = all_holders(&fleet);
    let most_roles = (0..24).map(|i| before.iter().filter(|h| **h == i).count()).max().unwrap_or_default();
    assert!(most_roles <= 14, "one gateway holds {most_roles} of a hundred roles");
    let ended_leases: usize = fleet.ended.values().sum();
    fleet.run(ms(20_000));
    assert_eq!(
        fleet.ended.values().sum::<usize>(),
        ended_leases,
        "roles move although no gateway starts or stops"
    );
    let killed: Vec<usize> = (16..24).collect();
    killed.iter().for_each(|i| fleet.kill(*i));
    assert!(
        fleet.run_until(ms(9_000), LeaseSimulation::all_held).is_some(),
        "not all roles are held 9 s after a third of the gateways was killed"
    );
    let after = all_holders(&fleet);
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new && !killed.contains(old)).count();
    assert_eq!(moved, 0, "roles moved although their holders were alive");
    killed.iter().for_each(|i| fleet.restart(*i));
    fleet.run(ms(30_000));
    assert_no_violations(&fleet, 9);
    assert!(fleet.all_held(), "a role is not held 30 s after the killed gateways restarted");
    assert!(!fleet.ended.contains_key(&EndReason::Expired), "leases expired: {:?}", fleet.ended);
}

/// Random combinations of process, network, disk and clock faults.
#[test]
fn random_faults_cause_neither_two_holders_nor_actions_out_of_token_order() {
    for seed in 100..124 {
        let gateways = 5 + seed as usize % 6;
        let voters = if gateways > 7 { 5 } else { 3 };
        let mut fleet = LeaseSimulation::start(gateways, settings(voters, 3, seed % 2 == 0), seed);
        for i in 0..gateways {
            fleet.gateways[i].clock_rate = 0.97 + 0.06 * fleet.random().generate::<f64>();
            fleet.restart(i);
        }
        for _ in 0..60 {
            let duration = ms(fleet.random().generate_range(50..2_500));
            fleet.run(duration);
            let (i, j) =
                (fleet.random().generate_range(0..gateways), fleet.random().generate_range(0..gateways));
            match fleet.random().generate_range(0..10_u32) {
                0 => fleet.kill(i),
                1 | 2 => fleet.restart(i),
                3 => fleet.suspend(i, duration * 3.0),
                4 => {
                    fleet.link =
                        Box::new(move |from, to| (from == i) == (to == i) || (from == j) == (to == j));
                }
                5 => fleet.link = Box::new(move |from, to| from % 2 == to % 2 || (from, to) == (i, j)),
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
        assert_no_violations(&fleet, seed);
        fleet.link = Box::new(|_, _| true);
        (fleet.loss, fleet.max_delay) = (0.0, ms(5));
        for i in 0..gateways {
            fleet.gateways[i].disk = DiskBehavior::Healthy;
            fleet.restart(i);
        }
        assert!(
            fleet.run_until(ms(20_000), LeaseSimulation::all_held).is_some(),
            "seed {seed}: not all roles are held 20 s after the end of all faults"
        );
        assert_no_violations(&fleet, seed);
    }
}
