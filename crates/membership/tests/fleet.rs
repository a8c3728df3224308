//! Fleets of members in one process, by seed: joins, deaths, stalls, splits, loss. Each failure names its seed.

use larchfall_fault_tests::fleet::{self as sim, Fleet, ms, name};
use larchfall_membership::claim::{About, Standing};
use larchfall_membership::members::{Members, Refused, Settings};
use larchfall_policy::time::Timestamp;

const SEEDS: std::ops::Range<u64> = 1..6;

fn joined(n: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(n, seed);
    let took = fleet.until(ms(60_000), Fleet::agrees);
    assert!(took.is_some(), "seed {seed}: {n} fronts did not find each other");
    fleet
}

#[test]
fn gateways_find_each_other_through_two_seeds_and_letters_stay_short() {
    for (n, seed) in [(2, 1), (12, 2), (100, 3)] {
        let fleet = joined(n, seed);
        assert!(fleet.longest <= 1200, "seed {seed}: {}", fleet.longest);
        assert_eq!(fleet.buried_alive(Timestamp::default()), 0, "seed {seed}");
    }
}

#[test]
fn a_killed_gateway_is_found_dead_and_one_that_leaves_is_known_to_have_left() {
    for seed in SEEDS {
        let mut fleet = joined(12, seed);
        fleet.kill(5);
        let dead = |f: &Fleet| (0..12).filter(|i| *i != 5).all(|i| f.held(i, 5) == Some(Standing::Dead));
        assert!(fleet.until(ms(60_000), dead).is_some(), "seed {seed}: not all know");
        // Back under its name: another generation, taken in though the one before is dead.
        fleet.restart(5);
        assert!(fleet.until(ms(60_000), Fleet::agrees).is_some(), "seed {seed}: not back");
        let now = fleet.now;
        let out = fleet.nodes[7].members.leave(now);
        assert!(out.letters.len() >= 3, "seed {seed}: told {}", out.letters.len());
        for (to, letter) in &out.letters {
            let i = usize::from(to.ip().octets()[3]);
            fleet.nodes[i].members.hear(sim::address(7), letter, now).unwrap();
        }
        fleet.kill(7);
        let left = |f: &Fleet| (0..12).filter(|i| *i != 7).all(|i| f.held(i, 7) == Some(Standing::Left));
        assert!(fleet.until(ms(60_000), left).is_some(), "seed {seed}: not all know that it left");
    }
}

#[test]
fn half_of_all_letters_lost_or_one_link_one_way_only_bury_nobody() {
    // (share lost, whether 9 does not hear 2, which hears 9)
    for (loss, one_way) in [(0.5, false), (0.0, true)] {
        for seed in SEEDS {
            let mut fleet = joined(12, seed);
            let from = fleet.now;
            fleet.loss = loss;
            fleet.link = Box::new(move |a, b| !one_way || (a, b) != (2, 9));
            fleet.run(ms(120_000));
            assert_eq!(fleet.buried_alive(from), 0, "seed {seed}, loss {loss}");
            (fleet.loss, fleet.link) = (0.0, Box::new(|_, _| true));
            assert!(fleet.until(ms(60_000), Fleet::agrees).is_some(), "seed {seed}, loss {loss}");
        }
    }
}

#[test]
fn who_stood_still_buries_nobody_and_is_back() {
    for seed in SEEDS {
        let mut fleet = joined(12, seed);
        let from = fleet.now;
        fleet.stop(3, ms(1_700));
        fleet.run(ms(20_000));
        let by_it = fleet.sights.iter().filter(|s| s.at > from && s.by == 3 && s.change.to == Standing::Dead);
        assert_eq!(by_it.count(), 0, "seed {seed}: it held others for dead");
        assert!(fleet.until(ms(60_000), Fleet::agrees).is_some(), "seed {seed}");
    }
}

#[test]
fn sides_of_a_split_bury_each_other_and_agree_again_once_it_heals() {
    // (how many islands, how long they last)
    for (seed, islands, lasts) in [(1, 2, 5_000), (2, 2, 60_000), (3, 3, 60_000), (4, 12, 30_000)] {
        let mut fleet = joined(12, seed);
        fleet.link = Box::new(move |a, b| a % islands == b % islands);
        fleet.run(ms(lasts));
        // One that hears nobody at all takes that for its own fault, and waits far longer.
        assert!(
            islands == 12 || fleet.held(0, 1) != Some(Standing::Alive),
            "seed {seed}: the split is not seen"
        );
        fleet.link = Box::new(|_, _| true);
        assert!(fleet.until(ms(60_000), Fleet::agrees).is_some(), "seed {seed}: {islands} islands");
    }
}

#[test]
fn most_of_a_fleet_killed_at_once_is_found_and_comes_back() {
    for seed in SEEDS {
        let mut fleet = joined(20, seed);
        (0..14).for_each(|i| fleet.kill(i));
        assert!(fleet.until(ms(120_000), Fleet::agrees).is_some(), "seed {seed}: the dead are not known");
        (0..14).for_each(|i| fleet.restart(i));
        assert!(fleet.until(ms(60_000), Fleet::agrees).is_some(), "seed {seed}: not back");
    }
}

#[test]
fn of_two_processes_with_one_name_the_later_has_it() {
    let mut fleet = joined(6, 9);
    fleet.restart(4);
    fleet.run(ms(10_000));
    // Another of that name, started before this one, wakes at another address and asks the seeds.
    let about = About { address: sim::address(40), zone: "east".into(), serves: 20 };
    let mut older = Members::new(&name(4), 1, about, sim::settings(), 1, fleet.now);
    let asked = older.wake(fleet.now).letters;
    assert!(!asked.is_empty());
    for (to, letter) in asked {
        let i = usize::from(to.ip().octets()[3]);
        let reply = fleet.nodes[i].members.hear(sim::address(40), &letter, fleet.now).unwrap();
        assert!(reply.changes.is_empty(), "an older generation changes nothing: {:?}", reply.changes);
        for (_, letter) in reply.letters {
            let _ = older.hear(to, &letter, fleet.now);
        }
    }
    assert!(older.name_taken());
    assert!(older.wake(fleet.now + ms(10_000)).letters.is_empty(), "it keeps quiet from then on");
    // The later one keeps its name, whatever the older one writes to it.
    assert!(!fleet.nodes[4].members.name_taken());
}

#[test]
fn strangers_and_letters_under_another_address_are_not_believed() {
    let mut fleet = joined(3, 4);
    let (now, outside) = (fleet.now, "192.0.2.1:7400".parse().unwrap());
    let other = |address| {
        let about = About { address, zone: "east".into(), serves: 1 };
        Members::new("stranger", 1, about, sim::settings(), 1, now).wake(now).letters.remove(0).1
    };
    // (what it says its address is, where it comes from)
    for (says, from) in [(outside, outside), (sim::address(50), sim::address(51))] {
        let letter = other(says);
        let before = fleet.nodes[0].members.version();
        assert_eq!(
            fleet.nodes[0].members.hear(from, &letter, now),
            Err(Refused::Stranger),
            "{says} from {from}"
        );
        assert_eq!(fleet.nodes[0].members.version(), before);
    }
}

#[test]
fn a_flood_of_new_names_stays_within_the_bound() {
    let mut fleet = joined(3, 4);
    let now = fleet.now;
    let settings = Settings { most: 40, ..sim::settings() };
    fleet.nodes[0].members.set(settings);
    for i in 0..500 {
        let about = About { address: sim::address(1000 + i), zone: "east".into(), serves: 1 };
        let letter =
            Members::new(&format!("x{i}"), 1, about, sim::settings(), 1, now).wake(now).letters.remove(0).1;
        let _ = fleet.nodes[0].members.hear(sim::address(1000 + i), &letter, now);
    }
    assert_eq!(fleet.nodes[0].members.table().len(), 40);
}
