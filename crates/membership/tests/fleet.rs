//! Tests of simulated fleets in one process: joins, deaths, stalls, partitions and datagram loss. Each random seed gives a
//! reproducible run, and failure messages name the seed.

use larchfall_fault_tests::simulation::membership::{self as sim, MembershipSimulation, name};
use larchfall_fault_tests::simulation::{Simulation, ms};
use larchfall_membership::datagram::Datagram;
use larchfall_membership::member_update::{MemberInfo, MemberState};
use larchfall_membership::membership::{Membership, MembershipSettings, OutgoingDatagram, Rejection};
use larchfall_policy::time::Timestamp;

const SEEDS: std::ops::Range<u64> = 1..6;

/// Returns the first datagram that a newly started process sends.
fn first_datagram(name: &str, address: std::net::SocketAddrV4, now: Timestamp) -> Datagram {
    let info = MemberInfo { address, zone: "east".into(), requests_per_second: 1 };
    let mut process = Membership::new(name, 1, info, sim::settings(), 1, now);
    process.on_timer(now).datagrams.remove(0).datagram
}

/// Starts `n` gateways and waits until they agree on the member table.
fn joined_fleet(n: usize, seed: u64) -> MembershipSimulation {
    let mut fleet = MembershipSimulation::start(n, seed);
    let join_time = fleet.run_until(ms(60_000), MembershipSimulation::agrees);
    assert!(join_time.is_some(), "seed {seed}: {n} gateways did not agree on the members within 60 s");
    fleet
}

#[test]
fn gateways_join_through_two_seeds_and_datagrams_stay_within_the_size_limit() {
    for (n, seed) in [(2, 1), (12, 2), (100, 3)] {
        let fleet = joined_fleet(n, seed);
        assert!(
            fleet.traffic.longest_datagram <= 1200,
            "seed {seed}: longest datagram {} bytes",
            fleet.traffic.longest_datagram
        );
        assert_eq!(fleet.false_deaths(Timestamp::default()), 0, "seed {seed}: false deaths");
    }
}

#[test]
fn a_killed_gateway_is_declared_dead_and_a_leaving_gateway_is_marked_as_left() {
    for seed in SEEDS {
        let mut fleet = joined_fleet(12, seed);
        fleet.kill(5);
        let all_see_death = |fleet: &MembershipSimulation| {
            (0..12).filter(|i| *i != 5).all(|i| fleet.member_state(i, 5) == Some(MemberState::Dead))
        };
        assert!(
            fleet.run_until(ms(60_000), all_see_death).is_some(),
            "seed {seed}: not all gateways declared the killed one dead"
        );
        // The restarted process has the same name and a new generation, which supersedes the dead one.
        fleet.restart(5);
        assert!(
            fleet.run_until(ms(60_000), MembershipSimulation::agrees).is_some(),
            "seed {seed}: no agreement after the restart"
        );
        let now = fleet.now();
        let output = fleet.gateways[7].membership.leave(now);
        assert!(output.datagrams.len() >= 3, "seed {seed}: {} leave notices", output.datagrams.len());
        for OutgoingDatagram { to, datagram } in &output.datagrams {
            let i = usize::from(to.ip().octets()[3]);
            fleet.gateways[i].membership.on_datagram(sim::address(7), datagram, now).unwrap();
        }
        fleet.kill(7);
        let all_see_departure = |fleet: &MembershipSimulation| {
            (0..12).filter(|i| *i != 7).all(|i| fleet.member_state(i, 7) == Some(MemberState::Left))
        };
        assert!(
            fleet.run_until(ms(60_000), all_see_departure).is_some(),
            "seed {seed}: not all gateways marked the leaving one as left"
        );
    }
}

#[test]
fn no_live_member_is_declared_dead_under_half_datagram_loss_or_a_one_way_link() {
    // (fraction of datagrams lost, whether the link from gateway 2 to gateway 9 is cut in that direction only)
    for (loss, one_way) in [(0.5, false), (0.0, true)] {
        for seed in SEEDS {
            let mut fleet = joined_fleet(12, seed);
            let start = fleet.now();
            fleet.loss = loss;
            fleet.link = Box::new(move |from, to| !one_way || (from, to) != (2, 9));
            fleet.run(ms(120_000));
            assert_eq!(fleet.false_deaths(start), 0, "seed {seed}, loss {loss}: false deaths");
            (fleet.loss, fleet.link) = (0.0, Box::new(|_, _| true));
            assert!(
                fleet.run_until(ms(60_000), MembershipSimulation::agrees).is_some(),
                "seed {seed}, loss {loss}: no agreement after the faults ended"
            );
        }
    }
}

#[test]
fn a_stalled_gateway_declares_no_member_dead_and_rejoins() {
    for seed in SEEDS {
        let mut fleet = joined_fleet(12, seed);
        let start = fleet.now();
        fleet.suspend(3, ms(1_700));
        fleet.run(ms(20_000));
        let deaths_declared = fleet.noticed.iter().filter(|noticed| {
            noticed.at > start && noticed.by == 3 && noticed.change.state == MemberState::Dead
        });
        assert_eq!(deaths_declared.count(), 0, "seed {seed}: the stalled gateway declared members dead");
        assert!(
            fleet.run_until(ms(60_000), MembershipSimulation::agrees).is_some(),
            "seed {seed}: no agreement after the stall"
        );
    }
}

#[test]
fn partitioned_gateways_declare_each_other_dead_and_agree_after_the_partition_heals() {
    // (random seed, number of islands that the partition creates, duration in ms)
    for (seed, islands, duration_ms) in [(1, 2, 5_000), (2, 2, 60_000), (3, 3, 60_000), (4, 12, 30_000)] {
        let mut fleet = joined_fleet(12, seed);
        fleet.link = Box::new(move |a, b| a % islands == b % islands);
        fleet.run(ms(duration_ms));
        // A gateway that receives no datagrams at all lowers its local health and waits far longer, so islands of a single
        // gateway may not have declared deaths yet.
        assert!(
            islands == 12 || fleet.member_state(0, 1) != Some(MemberState::Alive),
            "seed {seed}: gateway 0 still considers gateway 1 alive, which is on another island"
        );
        fleet.link = Box::new(|_, _| true);
        assert!(
            fleet.run_until(ms(60_000), MembershipSimulation::agrees).is_some(),
            "seed {seed}: no agreement after {islands} islands were connected again"
        );
    }
}

#[test]
fn the_death_and_restart_of_most_of_a_fleet_are_detected() {
    for seed in SEEDS {
        let mut fleet = joined_fleet(20, seed);
        (0..14).for_each(|i| fleet.kill(i));
        assert!(
            fleet.run_until(ms(120_000), MembershipSimulation::agrees).is_some(),
            "seed {seed}: not all survivors declared the killed gateways dead"
        );
        (0..14).for_each(|i| fleet.restart(i));
        assert!(
            fleet.run_until(ms(60_000), MembershipSimulation::agrees).is_some(),
            "seed {seed}: no agreement after the restart"
        );
    }
}

#[test]
fn the_process_that_started_later_keeps_a_duplicate_name() {
    let mut fleet = joined_fleet(6, 9);
    fleet.restart(4);
    fleet.run(ms(10_000));
    let now = fleet.now();
    // A process with the same name and a lower generation starts at another address and contacts the seeds.
    let info = MemberInfo { address: sim::address(40), zone: "east".into(), requests_per_second: 20 };
    let mut older = Membership::new(&name(4), 1, info, sim::settings(), 1, now);
    let sent = older.on_timer(now).datagrams;
    assert!(!sent.is_empty());
    for OutgoingDatagram { to, datagram } in sent {
        let i = usize::from(to.ip().octets()[3]);
        let reply = fleet.gateways[i].membership.on_datagram(sim::address(40), &datagram, now).unwrap();
        assert!(reply.changes.is_empty(), "a lower generation changed the member table: {:?}", reply.changes);
        for response in reply.datagrams {
            let _ = older.on_datagram(to, &response.datagram, now);
        }
    }
    assert!(older.is_name_taken());
    assert!(
        older.on_timer(now + ms(10_000)).datagrams.is_empty(),
        "the older process sends datagrams after its name was taken"
    );
    // The process that started later keeps the name in spite of the datagrams of the older process.
    assert!(!fleet.gateways[4].membership.is_name_taken());
}

#[test]
fn unknown_senders_and_datagrams_from_another_address_are_rejected() {
    let mut fleet = joined_fleet(3, 4);
    let (now, outside) = (fleet.now(), "192.0.2.1:7400".parse().unwrap());
    // (announced address, source address)
    for (announced, source) in [(outside, outside), (sim::address(50), sim::address(51))] {
        let datagram = first_datagram("stranger", announced, now);
        let version_before = fleet.gateways[0].membership.version();
        assert_eq!(
            fleet.gateways[0].membership.on_datagram(source, &datagram, now),
            Err(Rejection::UnknownSender),
            "announced address {announced}, source address {source}"
        );
        assert_eq!(fleet.gateways[0].membership.version(), version_before);
    }
}

#[test]
fn a_flood_of_new_names_stays_within_max_members() {
    let mut fleet = joined_fleet(3, 4);
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
