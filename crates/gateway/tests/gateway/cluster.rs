//! Several gateways as programs of their own, and a net between them that breaks. Each failure names the seed.

use crate::common::{PROGRAM, wait_for};
use larchfall_fault_tests::net::{Link, SOUND};
use larchfall_fault_tests::process::{Fleet, PERIOD, gateways_table, name};
use std::net::UdpSocket;
use std::time::{Duration, Instant};

#[test]
fn a_gateway_killed_is_held_for_dead_by_all_and_its_next_process_for_alive() {
    let mut fleet = Fleet::start(PROGRAM, 8, 11);
    fleet.joined();
    fleet.gateways[5] = None;
    fleet.wait_until_held(&[5], "dead");
    fleet.begin(5);
    fleet.joined();
    // Told to stop, it says so itself: nobody has to find it silent.
    fleet.gateway(3).signal("-TERM");
    fleet.gateway(3).log.wait_for("shutdown complete");
    fleet.gateways[3] = None;
    fleet.wait_until_held(&[3], "left");
    for by in fleet.up() {
        assert_eq!(fleet.gateway(by).log.count("name: n03, state: dead"), 0, "{} found it silent", name(by));
    }
}

#[test]
fn a_gateway_stopped_for_some_periods_buries_nobody_and_is_alive_again() {
    let fleet = Fleet::start(PROGRAM, 6, 12);
    fleet.joined();
    fleet.gateway(2).stop();
    let from = Instant::now();
    wait_for("five periods", || (from.elapsed() > PERIOD * 5).then_some(()));
    fleet.gateway(2).signal("-CONT");
    fleet.until_passed(400);
    assert_eq!(fleet.gateway(2).log.count(", state: dead"), 0, "it held others for dead");
    fleet.joined();
}

#[test]
fn islands_hold_each_other_for_dead_and_agree_once_they_are_joined() {
    // (gateways, islands, seed)
    for (n, islands, seed) in [(8, 2, 13), (12, 3, 17)] {
        let fleet = Fleet::start(PROGRAM, n, seed);
        fleet.joined();
        fleet.net.set(|a, b| a % islands != b % islands, Link { cut: true, ..SOUND });
        wait_for("each island to hold the others for dead", || {
            let dead = |by: usize, of: usize| fleet.held(by, of).as_deref() == Some("dead");
            let all = |by: usize| (0..n).filter(|of| of % islands != by % islands).all(|of| dead(by, of));
            (0..n).all(all).then_some(())
        });
        // A file read again in the middle of it changes seeds, and keeps who is known.
        fleet.gateway(0).reload_site(&gateways_table(&fleet.net, 0, 0, &[1, 3]));
        fleet.gateway(0).log.wait_for("configuration reloaded");
        fleet.net.heal();
        fleet.joined();
    }
}

/// Guards against a gateway that is cut off and takes what it sees for all there is: it would feed a cold engine alone
/// what all were to feed it together.
#[test]
fn the_gateways_counted_follow_the_living_and_not_those_out_of_sight() {
    let mut fleet = Fleet::start(PROGRAM, 6, 21);
    fleet.joined();
    let counted = |fleet: &Fleet, by: usize| {
        let line = fleet.gateway(by).log.last("gateways counted, count: ")?;
        line.split("count: ").nth(1)?.split(',').next()?.parse::<usize>().ok()
    };
    wait_for("all six to count", || (0..6).all(|i| counted(&fleet, i) == Some(6)).then_some(()));
    // Cut off, it holds all others for dead at last, and still counts them; they go on without it.
    fleet.net.set(|a, b| (a == 5) != (b == 5), Link { cut: true, ..SOUND });
    wait_for("the others to count five", || (0..5).all(|i| counted(&fleet, i) == Some(5)).then_some(()));
    assert_eq!(counted(&fleet, 5), Some(6));
    fleet.net.heal();
    wait_for("all six again", || (0..6).all(|i| counted(&fleet, i) == Some(6)).then_some(()));
    // Two that die are not counted in the end; those who die after them may as well be the larger side of a split.
    fleet.gateways[4] = None;
    fleet.gateways[5] = None;
    wait_for("four to count", || (0..4).all(|i| counted(&fleet, i) == Some(4)).then_some(()));
}

/// One that gets a fifth of its core, in slices: it answers late, is suspected perhaps, and refutes that.
#[test]
fn a_gateway_at_the_limit_of_its_core_is_not_held_for_dead() {
    let fleet = Fleet::start(PROGRAM, 6, 22);
    fleet.joined();
    let from = Instant::now();
    let pause = |duration: Duration| {
        let from = Instant::now();
        wait_for("a slice", || (from.elapsed() >= duration).then_some(()));
    };
    while from.elapsed() < PERIOD * 25 {
        fleet.gateway(4).stop();
        pause(Duration::from_millis(120));
        fleet.gateway(4).signal("-CONT");
        pause(Duration::from_millis(30));
    }
    assert_eq!(fleet.deaths(), 0, "seed 22");
    fleet.joined();
}

#[test]
fn a_link_that_flaps_buries_nobody() {
    let fleet = Fleet::start(PROGRAM, 6, 18);
    fleet.joined();
    for flap in 0..24 {
        let link = Link { cut: flap % 2 == 0, ..SOUND };
        fleet.net.set(|a, b| (a == 2) != (b == 2), link);
        let from = Instant::now();
        wait_for("half a period", || (from.elapsed() > PERIOD / 2).then_some(()));
    }
    fleet.net.heal();
    assert_eq!(fleet.deaths(), 0, "seed 18");
    fleet.joined();
}

#[test]
fn most_of_a_fleet_killed_at_once_and_started_again_agrees() {
    let mut fleet = Fleet::start(PROGRAM, 12, 19);
    fleet.joined();
    let killed: Vec<usize> = (0..8).collect();
    killed.iter().for_each(|i| fleet.gateways[*i] = None);
    // Both seeds are among them: those who stay look for the dead at their addresses, and are found so.
    killed.iter().skip(2).for_each(|i| fleet.begin(*i));
    let back: Vec<usize> = (2..12).collect();
    fleet.wait_until_held(&back, "alive");
    fleet.wait_until_held(&[0, 1], "dead");
    killed.iter().take(2).for_each(|i| fleet.begin(*i));
    fleet.joined();
}

#[test]
fn back_within_a_period_is_another_generation_and_of_two_with_one_name_the_later_has_it() {
    let mut fleet = Fleet::start(PROGRAM, 6, 20);
    fleet.joined();
    let generation = |fleet: &Fleet, by: usize| {
        let line = fleet.gateway(by).log.last("member changed, name: n04, state: alive")?;
        line.split("generation: ").nth(1)?.split(',').next()?.parse::<u64>().ok()
    };
    let before = generation(&fleet, 0).unwrap();
    fleet.begin(4);
    wait_for("the next generation to be known to all", || {
        let newer = |by: usize| generation(&fleet, by).is_some_and(|g| g > before);
        [0, 1, 2, 3, 5].into_iter().all(newer).then_some(())
    });
    // A second process under that name, at another address of the net.
    fleet.gateways[5] = None;
    fleet.begin_as(5, 4);
    fleet.gateway(4).log.wait_for("another process has this name");
    assert_eq!(fleet.gateway(5).log.count("another process has this name"), 0);
}

#[test]
fn half_of_all_datagrams_lost_and_many_doubled_and_late_or_one_link_one_way_bury_nobody() {
    let bad = Link { loses: 0.5, doubles: 0.2, delays: Duration::from_millis(25), ..SOUND };
    let all: fn(usize, usize) -> bool = |_, _| true;
    // (which links, how, gateways, datagrams, seed)
    let cases =
        [(all, bad, 8, 2_500, 14), (|a, b| (a, b) == (1, 4), Link { cut: true, ..SOUND }, 6, 1_500, 15)];
    for (which, link, gateways, datagrams, seed) in cases {
        let fleet = Fleet::start(PROGRAM, gateways, seed);
        fleet.joined();
        fleet.net.set(which, link);
        fleet.until_passed(datagrams);
        assert_eq!(fleet.deaths(), 0, "seed {seed}");
        fleet.net.heal();
        fleet.joined();
    }
}

#[test]
fn noise_and_strangers_by_the_thousand_change_nothing() {
    let fleet = Fleet::start(PROGRAM, 3, 16);
    fleet.joined();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for n in 0..20_000_u32 {
        let bytes = [1, n as u8, (n >> 8) as u8, 7, 7, 7];
        stranger.send_to(&bytes[..usize::from(bytes[1]) % 6], fleet.net.home(1)).unwrap();
    }
    let before = fleet.net.passed();
    wait_for("the others to go on", || (fleet.net.passed() > before + 100).then_some(()));
    fleet.gateway(1).signal("-USR1");
    let counters = fleet.gateway(1).log.wait_for("membership counters");
    let spoilt: u64 = counters.split("corrupt: ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    assert!(spoilt > 0, "{counters}");
    fleet.gateway(1).log.wait_for("member, ");
    fleet.joined();
}
