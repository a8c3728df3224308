//! A cold engine's allowance over several processes: handed out by one keeper, used by all, whoever is cut off or dies.

use larchfall_fault_tests::load;
use larchfall_fault_tests::net::{Link, SOUND};
use larchfall_fault_tests::process::{Fleet, config_of, settings, wait_for};
use larchfall_stub::engine::{Act, Engine};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty");
const GATEWAYS: usize = 5;

const SLOW_START: &str = "cold/00000001";
const THREADS: &str = "threads/00000001";
const TENANT: &str = "customer/acme";

/// Gateways of which keepers hand out what is named, of one engine and one tenant.
fn fleet(engine: &Engine, gateways: usize, hand_out: &str, seed: u64) -> Fleet {
    fleet_of(std::slice::from_ref(engine), gateways, hand_out, seed)
}

fn fleet_of(engines: &[Engine], gateways: usize, hand_out: &str, seed: u64) -> Fleet {
    let duties = format!(
        "[duties]\nelectors = [\"n00\", \"n01\", \"n02\"]\nlease-ms = 1000\nlongest-ms = 1000\nkeepers = 1\n\
         share-ms = 600\nhand-out = {hand_out}\n"
    );
    let mut fleet = Fleet::new(PROGRAM, gateways, seed, |_, _| duties.clone(), |_| Vec::new());
    // Started now, and cold for as long as anything here takes; it bears what it is sent within half a second.
    let settings = settings()
        .replace("\"instances\":1", &format!("\"instances\":{gateways}"))
        .replace("\"ramp_time\":14000000", "\"ramp_time\":600000000")
        .replace("\"fall\":2000000", "\"fall\":500000");
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    fleet.config = Box::new(move |_, discovery| {
        config_of("127.0.0.1:0", discovery, &addresses, 256, &settings)
            .replace("\"startedAtMs\":0", &format!("\"startedAtMs\":{started}"))
    });
    fleet.begun()
}

fn quick() -> Engine {
    let serve = |_: &_| Act::Serve(Duration::from_millis(2), vec![b"1\n".to_vec()]);
    Engine::start("127.0.0.1:0", serve).unwrap()
}

/// The part of a capacity that this gateway says it may use, and how many were handed out to it.
fn part(fleet: &Fleet, i: usize, what: &str) -> (f64, usize) {
    let log = &fleet.gateway(i).log;
    let before = log.count("quotas, granted");
    fleet.gateway(i).signal("-USR1");
    wait_for("a line of shares", || (log.count("quotas, granted") > before).then_some(()));
    let line = log.last("quotas, granted").unwrap();
    let after = |word: &str| line.split(word).nth(1).map(|p| p.split([',', ' ']).next().unwrap());
    let part = after(&format!("{what}:")).map_or(0.0, |p| p.parse().unwrap());
    (part, after("granted: ").unwrap().parse().unwrap())
}

/// All parts, looked at within a window of the engine's: together they are within the whole. And how many were handed out.
fn parts(fleet: &Fleet, what: &str) -> (Vec<f64>, usize) {
    let from = Instant::now();
    let all: Vec<(f64, usize)> = fleet.up().map(|i| part(fleet, i, what)).collect();
    let sum: f64 = all.iter().map(|(part, _)| part).sum();
    let whole = if what == SLOW_START { 1.001 } else { 1.501 };
    assert!(sum < whole || from.elapsed() > Duration::from_millis(500), "seed {}: {all:?}", fleet.seed);
    (all.iter().map(|(part, _)| *part).collect(), all.iter().filter(|(_, has)| *has > 0).count())
}

fn until_handed_out(fleet: &Fleet, what: &str, to: usize) -> Vec<f64> {
    wait_for(&format!("seed {}: shares to be handed out to {to}", fleet.seed), || {
        let (all, has) = parts(fleet, what);
        (has >= to).then_some(all)
    })
}

fn keeper(fleet: &Fleet) -> usize {
    wait_for("a keeper", || {
        let count =
            |i: usize, what: &str| fleet.gateway(i).log.count(&format!("lease {what}, lease: keeper:0,"));
        fleet.up().find(|i| count(*i, "acquired") > count(*i, "lost") + count(*i, "released"))
    })
}

/// Load on all: many times as much on one of them.
fn load_on(fleet: &Fleet, busy: usize, duration: Duration) -> load::Ledger {
    // Whoever sends one call after the other waits until its connection has rested, 25 ms: the others pause for longer.
    let pace = |i: usize| Duration::from_millis(if i == busy { 4 } else { 130 });
    load::run(fleet.up().map(|i| fleet.gateway(i)), pace, Duration::from_secs(1), duration)
}

#[test]
fn shares_follow_traffic_and_are_within_the_whole_whoever_dies_or_is_cut_off() {
    let engine = quick();
    let mut fleet = fleet(&engine, GATEWAYS, "[\"cold\"]", 95);
    fleet.joined();
    until_handed_out(&fleet, SLOW_START, GATEWAYS);
    let ledger = load_on(&fleet, 3, Duration::from_millis(2_500));
    assert_eq!(ledger.wrong, 0, "{ledger:?}");
    let (shares, _) = parts(&fleet, SLOW_START);
    assert!(shares[3] > 0.3 && shares[3] > 2.0 * shares[4], "{shares:?}");

    // Cut off from the others, a gateway falls back to the careful part, and so does each while there is no keeper.
    fleet.net.set(|a, b| (a == 4) != (b == 4), Link { cut: true, ..SOUND });
    wait_for("the island to fall back", || {
        let (all, _) = parts(&fleet, SLOW_START);
        ((all[4] - 0.5 / GATEWAYS as f64).abs() < 0.001).then_some(())
    });
    fleet.net.heal();
    until_handed_out(&fleet, SLOW_START, GATEWAYS);
    let keeper = keeper(&fleet);
    fleet.gateways[keeper] = None;
    // Looked at over and over until the next keeper hands out, and some time after.
    until_handed_out(&fleet, SLOW_START, GATEWAYS - 1);
    for _ in 0..10 {
        parts(&fleet, SLOW_START);
    }
}

/// Parts of threads and of a tenant's allowance follow traffic that moves; a keeper that stands still hands nothing out
/// once it wakes, and whoever has no share uses an even part.
#[test]
fn parts_of_threads_and_tenants_follow_traffic_and_fall_back_to_even_ones() {
    let engine = quick();
    let fleet = fleet(&engine, GATEWAYS, "[\"threads\", \"customers\"]", 96);
    fleet.joined();
    until_handed_out(&fleet, THREADS, GATEWAYS);
    for busy in [3, 4] {
        let ledger = load_on(&fleet, busy, Duration::from_millis(2_500));
        assert_eq!(ledger.wrong, 0, "{ledger:?}");
        for what in [THREADS, TENANT] {
            let (shares, _) = parts(&fleet, what);
            let most = (0..GATEWAYS).max_by(|a, b| shares[*a].total_cmp(&shares[*b]));
            assert!(most == Some(busy) && shares[busy] > 0.3, "{what}: {shares:?}");
        }
    }
    let kept = keeper(&fleet);
    let log = &fleet.gateway(kept).log;
    assert!(log.count("quota allocation") > 0, "it says how fairly it hands out");
    fleet.gateway(kept).stop();
    let others: Vec<usize> = (0..GATEWAYS).filter(|i| *i != kept).collect();
    let even = 1.0 / GATEWAYS as f64;
    wait_for("the others to use even parts", || {
        others.iter().all(|i| (part(&fleet, *i, THREADS).0 - even).abs() < 0.001).then_some(())
    });
    wait_for("the next keeper to hand out", || {
        others.iter().all(|i| part(&fleet, *i, THREADS).1 == 2).then_some(())
    });
    fleet.gateway(kept).signal("-CONT");
    until_handed_out(&fleet, THREADS, GATEWAYS);
    for _ in 0..10 {
        parts(&fleet, THREADS);
    }
    assert_ne!(keeper(&fleet), kept, "it is another's now");
}

/// A fleet that grows from four to twelve and shrinks back under load: what a cold engine bears is never given out twice.
#[test]
fn shares_are_within_the_whole_while_a_fleet_grows_and_shrinks() {
    const MOST: usize = 12;
    let engine = quick();
    let mut fleet = fleet(&engine, MOST, "[\"cold\", \"threads\"]", 97);
    fleet.joined();
    until_handed_out(&fleet, SLOW_START, MOST);
    (4..MOST).for_each(|i| fleet.gateways[i] = None);
    // Of the eight that are gone only their careful parts are kept back, once their shares have run out.
    let careful = 0.5 / MOST as f64;
    let whole = 1.0 - 8.0 * careful;
    wait_for("the four to have what the others had", || {
        load_on(&fleet, 1, Duration::from_millis(300));
        (parts(&fleet, SLOW_START).0.iter().sum::<f64>() > 0.95 * whole).then_some(())
    });
    for i in 4..MOST {
        fleet.begin(i);
        load_on(&fleet, i, Duration::from_millis(300));
        parts(&fleet, SLOW_START);
    }
    fleet.joined();
    let all = until_handed_out(&fleet, SLOW_START, MOST);
    assert!(all.iter().all(|part| *part >= careful - 0.001), "{all:?}");
}

/// Six cold engines at once; a fleet cut into halves, of which one has the keeper and most electors, under load; healed; then
/// all gateways started anew one after the other. Of no engine is more than the whole ever out.
#[test]
fn six_slow_start_engines_halves_and_restarts_in_turn() {
    let engines: Vec<Engine> = (0..6).map(|_| quick()).collect();
    let mut fleet = fleet_of(&engines, 6, "[\"cold\"]", 98);
    fleet.joined();
    let names: Vec<String> = (1..=6).map(|id| format!("cold/{id:08x}")).collect();
    let looked = |fleet: &Fleet| names.iter().for_each(|what| drop(parts(fleet, what)));
    until_handed_out(&fleet, &names[0], 6);
    looked(&fleet);
    let kept = keeper(&fleet);
    // The keeper's half has two of three electors; the other half has nobody to ask.
    let half = |i: usize| if kept < 3 { i == 2 || i > 3 } else { i == 2 || (i < 6 && i != kept && i > 2) };
    fleet.net.set(|a, b| half(a) != half(b), Link { cut: true, ..SOUND });
    let careful = 0.5 / 6.0;
    wait_for("the other half to be on its own", || {
        load_on(&fleet, 0, Duration::from_millis(200));
        looked(&fleet);
        fleet.up().filter(|i| half(*i)).all(|i| part(&fleet, i, &names[5]).0 < careful + 0.001).then_some(())
    });
    fleet.net.heal();
    until_handed_out(&fleet, &names[0], 6);
    for i in 0..6 {
        fleet.begin(i);
        load_on(&fleet, i, Duration::from_millis(150));
        looked(&fleet);
    }
    fleet.joined();
    until_handed_out(&fleet, &names[0], 6);
    looked(&fleet);
}
