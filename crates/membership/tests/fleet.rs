//! Fleets of members in one process, by seed: joins, deaths, stalls, partitions, loss. Each failure names its seed.

use larchfall_fault_tests::simulation::membership::{self as sim, MembershipSimulation, name};
use larchfall_fault_tests::simulation::{Simulation, ms};
use larchfall_membership::datagram::Datagram;
use larchfall_membership::member_update::{MemberInfo, MemberState};
use larchfall_membership::membership::{Membership, MembershipSettings, OutgoingDatagram, Rejection};
use larchfall_policy::time::Timestamp;

const SEEDS: std::ops::Range<u64> = 1..6;

/// The first datagram that a new process sends.
fn first_datagram(name: &str, address: std::net::SocketAddrV4, now: Timestamp) -> Datagram {
    let info = MemberInfo { address, zone: "east".into(), requests_per_second: 1 };
    let mut process = Membership::new(name, 1, info, sim::settings(), 1, now);
    process.on_timer(now).datagrams.remove(0).datagram
}

fn joined(n: usize, seed: u64) -> MembershipSimulation {
    let mut fleet = MembershipSimulation::start(n, seed);
    let took = fleet.run_until(ms(60_000), MembershipSimulation::agrees);
    assert!(took.is_some(), "seed {seed}: {n} gateways did not find each other");
    fleet
}

#[test]
fn gateways_find_each_other_through_two_seeds_and_datagrams_stay_short() {
    for (n, seed) in [(2, 1), (12, 2), (100, 3)] {
        let fleet = joined(n, seed);
        assert!(fleet.traffic.longest_datagram <= 1200, "seed {seed}: {}", fleet.traffic.longest_datagram);
        assert_eq!(fleet.false_deaths(Timestamp::default()), 0, "seed {seed}");
    }
}

#[test]
fn a_killed_gateway_is_found_dead_and_one_that_leaves_is_known_to_have_left() {
    for seed in SEEDS {
        let mut fleet = joined(12, seed);
        fleet.kill(5);
        let dead = |f: &MembershipSimulation| {
            (0..12).filter(|i| *i != 5).all(|i| f.member_state(i, 5) == Some(MemberState::Dead))
        };
        assert!(fleet.run_until(ms(60_000), dead).is_some(), "seed {seed}: not all know");
        // Back under its name: another generation, taken in though the one before is dead.
        fleet.restart(5);
        assert!(fleet.run_until(ms(60_000), MembershipSimulation::agrees).is_some(), "seed {seed}: not back");
        let now = fleet.now();
        let out = fleet.gateways[7].membership.leave(now);
        assert!(out.datagrams.len() >= 3, "seed {seed}: told {}", out.datagrams.len());
        for OutgoingDatagram { to, datagram } in &out.datagrams {
            let i = usize::from(to.ip().octets()[3]);
            fleet.gateways[i].membership.on_datagram(sim::address(7), datagram, now).unwrap();
        }
        fleet.kill(7);
        let left = |f: &MembershipSimulation| {
            (0..12).filter(|i| *i != 7).all(|i| f.member_state(i, 7) == Some(MemberState::Left))
        };
        assert!(fleet.run_until(ms(60_000), left).is_some(), "seed {seed}: not all know that it left");
    }
}

#[test]
fn with_half_of_all_datagrams_lost_or_a_link_one_way_only_no_live_member_is_declared_dead() {
    // (share lost, whether 9 does not hear 2, which hears 9)
    for (loss, one_way) in [(0.5, false), (0.0, true)] {
        for seed in SEEDS {
            let mut fleet = joined(12, seed);
            let from = fleet.now();
            fleet.loss = loss;
            fleet.link = Box::new(move |a, b| !one_way || (a, b) != (2, 9));
            fleet.run(ms(120_000));
            assert_eq!(fleet.false_deaths(from), 0, "seed {seed}, loss {loss}");
            (fleet.loss, fleet.link) = (0.0, Box::new(|_, _| true));
            assert!(
                fleet.run_until(ms(60_000), MembershipSimulation::agrees).is_some(),
                "seed {seed}, loss {loss}"
            );
        }
    }
}

#[test]
fn a_gateway_that_stalled_declares_nobody_dead_and_is_back() {
    for seed in SEEDS {
        let mut fleet = joined(12, seed);
        let from = fleet.now();
        fleet.suspend(3, ms(1_700));
        fleet.run(ms(20_000));
        let by_it =
            fleet.noticed.iter().filter(|s| s.at > from && s.by == 3 && s.change.state == MemberState::Dead);
        assert_eq!(by_it.count(), 0, "seed {seed}: it held others for dead");
        assert!(fleet.run_until(ms(60_000), MembershipSimulation::agrees).is_some(), "seed {seed}");
    }
}

#[test]
fn sides_of_a_partition_declare_each_other_dead_and_agree_again_once_it_heals() {
    // (how many islands, how long they last)
    for (seed, islands, lasts) in [(1, 2, 5_000), (2, 2, 60_000), (3, 3, 60_000), (4, 12, 30_000)] {
        let mut fleet = joined(12, seed);
        fleet.link = Box::new(move |a, b| a % islands == b % islands);
        fleet.run(ms(lasts));
        // One that hears nobody at all takes that for its own fault, and waits far longer.
        assert!(
            islands == 12 || fleet.member_state(0, 1) != Some(MemberState::Alive),
            "seed {seed}: the split is not seen"
        );
        fleet.link = Box::new(|_, _| true);
        assert!(
            fleet.run_until(ms(60_000), MembershipSimulation::agrees).is_some(),
            "seed {seed}: {islands} islands"
        );
    }
}

#[test]
fn most_of_a_fleet_killed_at_once_is_found_and_comes_back() {
    for seed in SEEDS {
        let mut fleet = joined(20, seed);
        (0..14).for_each(|i| fleet.kill(i));
        assert!(
            fleet.run_until(ms(120_000), MembershipSimulation::agrees).is_some(),
            "seed {seed}: the dead are not known"
        );
        (0..14).for_each(|i| fleet.restart(i));
        assert!(fleet.run_until(ms(60_000), MembershipSimulation::agrees).is_some(), "seed {seed}: not back");
    }
}

#[test]
fn of_two_processes_with_one_name_the_later_has_it() {
    let mut fleet = joined(6, 9);
    fleet.restart(4);
    fleet.run(ms(10_000));
    let now = fleet.now();
    // Another of that name, started before this one, wakes at another address and asks the seeds.
    let info = MemberInfo { address: sim::address(40), zone: "east".into(), requests_per_second: 20 };
    let mut older = Membership::new(&name(4), 1, info, sim::settings(), 1, now);
    let sent = older.on_timer(now).datagrams;
    assert!(!sent.is_empty());
    for OutgoingDatagram { to, datagram } in sent {
        let i = usize::from(to.ip().octets()[3]);
        let reply = fleet.gateways[i].membership.on_datagram(sim::address(40), &datagram, now).unwrap();
        assert!(reply.changes.is_empty(), "an older generation changes nothing: {:?}", reply.changes);
        for answer in reply.datagrams {
            let _ = older.on_datagram(to, &answer.datagram, now);
        }
    }
    assert!(older.is_name_taken());
    assert!(older.on_timer(now + ms(10_000)).datagrams.is_empty(), "it keeps quiet from then on");
    // The later one keeps its name, whatever the older one writes to it.
    assert!(!fleet.gateways[4].membership.is_name_taken());
}

#[test]
fn unknown_senders_and_datagrams_from_another_address_are_rejected() {
    let mut fleet = joined(3, 4);
    let (now, outside) = (fleet.now(), "192.0.2.1:7400".parse().unwrap());
    // (what it says its address is, where it comes from)
    for (says, from) in [(outside, outside), (sim::address(50), sim::address(51))] {
        let datagram = first_datagram("stranger", says, now);
        let before = fleet.gateways[0].membership.version();
        assert_eq!(
            fleet.gateways[0].membership.on_datagram(from, &datagram, now),
            Err(Rejection::UnknownSender),
            "{says} from {from}"
        );
        assert_eq!(fleet.gateways[0].membership.version(), before);
    }
}

#[test]
fn a_flood_of_new_names_stays_within_the_bound() {
    let mut fleet = joined(3, 4);
    let now = fleet.now();
    let settings = MembershipSettings { max_members: 40, ..sim::settings() };
    fleet.gateways[0].membership.update_settings(settings);
    for i in 0..500 {
        let address = sim::address(1000 + i);
        let datagram = first_datagram(&format!("x{i}"), address, now);
        let _ = fleet.gateways[0].membership.on_datagram(address, &datagram, now);
    }
    assert_eq!(fleet.gateways[0].membership.members().len(), 40);
}
