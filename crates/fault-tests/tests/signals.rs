//! Signals between several processes: what one finds out others know, and neither a gateway with a broken way nor one with a
//! broken net has others leave sound engines out.

use larchfall_fault_tests::load;
use larchfall_fault_tests::process::{Fleet, config_of, settings, wait_for};
use larchfall_fault_tests::relay::{Relays, Way};
use larchfall_stub::engine::Engine;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty");
const GATEWAYS: usize = 6;
const ENGINES: usize = 6;

struct Tried {
    fleet: Fleet,
    relays: Relays,
    /// Engines that error on everything while they are told to.
    fails: Vec<Arc<AtomicBool>>,
    engines: Vec<Engine>,
}

impl Tried {
    fn start(seed: u64) -> Tried {
        Tried::with(seed, "")
    }

    /// Gateways in two zones, one after the other; `more` stands in their `[signals]`.
    fn with(seed: u64, more: &str) -> Tried {
        let (engines, fails) = load::engines_that_fail(ENGINES).unwrap();
        let addresses: Vec<SocketAddr> = engines.iter().map(|e| e.address).collect();
        let relays = Relays::start(GATEWAYS, &addresses).unwrap();
        let known: Vec<Vec<SocketAddr>> =
            (0..GATEWAYS).map(|f| (0..ENGINES).map(|e| relays.address(f, e)).collect()).collect();
        let table = format!("[signals]\nevery-ms = 50\nfanout = 5\n{more}");
        let mut fleet = Fleet::new(PROGRAM, GATEWAYS, seed, |_, _| table.clone(), |_| Vec::new());
        let settings = settings().replace("\"instances\":1", &format!("\"instances\":{GATEWAYS}"));
        fleet.config =
            Box::new(move |i, discovery| config_of("127.0.0.1:0", discovery, &known[i], 256, &settings));
        fleet.zone = Box::new(|i| ["east", "west"][i % 2].to_owned());
        let fleet = fleet.begun();
        fleet.joined();
        Tried { fleet, relays, fails, engines }
    }

    /// Load on these gateways, each from many clients, so that all engines are met.
    fn load(&self, on: &[usize], duration: Duration) {
        let gateways = on.iter().flat_map(|i| [*i; 12]).map(|i| self.fleet.gateway(i));
        let ledger = load::run(gateways, |_| Duration::from_millis(10), Duration::from_secs(1), duration);
        assert_eq!(ledger.wrong, 0, "seed {}: {ledger:?}", self.fleet.seed);
    }

    /// How many lines of a gateway's log hold all of these words.
    fn count(&self, i: usize, words: &[&str]) -> usize {
        let lines = self.fleet.gateway(i).log.lines();
        lines.iter().filter(|(_, line)| words.iter().all(|word| line.contains(word))).count()
    }

    /// Counts of one gateway as it logs them.
    fn counter(&self, i: usize, name: &str) -> usize {
        let log = &self.fleet.gateway(i).log;
        let before = log.count("health gossip counters");
        self.fleet.gateway(i).signal("-USR1");
        wait_for("the counters", || (log.count("health gossip counters") > before).then_some(()));
        let line = log.last("health gossip counters").unwrap();
        line.split(&format!("{name}: ")).nth(1).unwrap().split(',').next().unwrap().parse().unwrap()
    }
}

/// Four gateways in two zones meet an engine that fails; two that took nothing yet know of it, and one that starts anew after that
/// is not told what is long past.
#[test]
fn what_some_find_out_others_know() {
    let tried = Tried::start(151);
    // Counts that were there before a gateway first hears of them are no news: all have heard of all.
    tried.load(&[0, 1, 2, 3], Duration::from_millis(600));
    tried.fails[2].store(true, Ordering::Relaxed);
    wait_for("the idle to leave it out", || {
        tried.load(&[0, 1, 2, 3], Duration::from_millis(200));
        [4, 5].iter().all(|i| tried.count(*i, &["engine ejected", "evidence: gossip"]) > 0).then_some(())
    });
    let told = |i: usize| tried.fleet.gateway(i).log.last("evidence: gossip").unwrap();
    assert!([4, 5].iter().all(|i| told(*i).contains("engine ejected, engine: 2,")), "{}", told(4));
    // They do without it: no request of theirs meets it.
    let before = tried.count(4, &["engine ejected, engine: 2, evidence: outcomes"]);
    tried.load(&[4, 5], Duration::from_millis(300));
    assert_eq!(tried.count(4, &["engine ejected, engine: 2, evidence: outcomes"]), before);
    // Back again: whoever tries it finds out, and tells.
    tried.fails[2].store(false, Ordering::Relaxed);
    wait_for("all to have it back", || {
        tried.load(&[0, 1, 2, 3, 4, 5], Duration::from_millis(200));
        (0..GATEWAYS).all(|i| tried.count(i, &["engine restored, engine: 2,"]) > 0).then_some(())
    });
}

/// One gateway cannot reach an engine, and another cannot reach any: both say so, and nobody else leaves one out.
#[test]
fn neither_a_broken_way_nor_a_broken_net_of_one_gateway_spreads() {
    let tried = Tried::start(152);
    tried.load(&[0, 1, 2, 3, 4, 5], Duration::from_millis(600));
    tried.relays.set(|f, e| (f, e) == (0, 1) || f == 1, Way::Cut);
    wait_for("both to find it out", || {
        tried.load(&[0, 1], Duration::from_millis(200));
        (tried.count(0, &["engine ejected, engine: 1,"]) > 0
            && tried.count(1, &["engine ejected", "evidence: outcomes"]) > 1)
            .then_some(())
    });
    let heard = tried.counter(4, "received");
    wait_for("their letters to come", || {
        tried.load(&[0, 1], Duration::from_millis(300));
        (tried.counter(4, "received") > heard + 40).then_some(())
    });
    for i in 2..GATEWAYS {
        assert_eq!(
            tried.count(i, &["engine ejected, "]),
            0,
            "front {i}: {:?}",
            tried.fleet.gateway(i).log.last("engine ejected, ")
        );
    }
    assert_eq!(tried.counter(4, "ignored"), 0);
}

const TURN: Duration = Duration::from_millis(1_500);

impl Tried {
    /// All leave this engine out, by what they met or were told.
    fn leaves_out(&self, e: usize, on: &[usize]) {
        self.fails[e].store(true, Ordering::Relaxed);
        wait_for("all to leave it out", || {
            self.load(on, Duration::from_millis(200));
            on.iter().all(|i| self.count(*i, &[&format!("engine ejected, engine: {e},")]) > 0).then_some(())
        });
    }

    /// Requests that came to an engine, by each gateway's load, within about so long; and how long that took.
    fn met(&self, e: usize, on: &[usize], duration: Duration) -> (usize, Duration) {
        let (before, from) = (self.engines[e].seen().started.len(), Instant::now());
        self.load(on, duration);
        (self.engines[e].seen().started.len() - before, from.elapsed())
    }

    fn all_have_it_back(&self, e: usize, on: &[usize]) {
        self.fails[e].store(false, Ordering::Relaxed);
        wait_for("all to have it back", || {
            self.load(on, Duration::from_millis(200));
            let back = |i: &usize| {
                let lines = self.fleet.gateway(*i).log.last(&format!(", engine: {e}, evidence"));
                lines.is_some_and(|line| line.contains("engine restored"))
            };
            on.iter().all(back).then_some(())
        });
    }
}

/// Slots in a span, at most: one that had begun, and those that begin in it.
fn slots(duration: Duration) -> usize {
    duration.div_duration_f64(TURN) as usize + 2
}

/// Six gateways at an engine that is dead: one of them tries it in each slot. Then two of them die, one stands still and one is cut
/// off from all others, each of which may have had the turn: the rest have it back.
#[test]
fn one_gateway_a_slot_tries_what_is_left_out_and_another_where_that_one_is_gone() {
    let mut tried = Tried::with(153, &format!("turn-ms = {}\n", TURN.as_millis()));
    let all: Vec<usize> = (0..GATEWAYS).collect();
    tried.load(&all, Duration::from_millis(600));
    tried.leaves_out(2, &all);
    // What each had under way to it, and the first looks at whose turn it is.
    tried.load(&all, Duration::from_millis(300));
    let (met, took) = tried.met(2, &all, TURN * 4);
    assert!(met <= slots(took), "{met} batches in {took:?}");
    assert!(met > 0, "somebody tries it");
    [0, 1].into_iter().for_each(|i| tried.fleet.gateways[i] = None);
    tried.fleet.gateway(2).stop();
    tried.fleet.net.set(
        |a, b| (a == 3) != (b == 3),
        larchfall_fault_tests::net::Link { cut: true, ..larchfall_fault_tests::net::SOUND },
    );
    tried.all_have_it_back(2, &[3, 4, 5]);
    tried.fleet.gateway(2).signal("-CONT");
    tried.fleet.net.heal();
    tried.all_have_it_back(2, &[2, 3, 4, 5]);
}

/// Two islands do not agree on whose turn it is: one try a slot on each. Healed, one again.
#[test]
fn islands_try_once_a_slot_each_and_once_together_when_healed() {
    let tried = Tried::with(154, &format!("turn-ms = {}\n", TURN.as_millis()));
    let all: Vec<usize> = (0..GATEWAYS).collect();
    tried.load(&all, Duration::from_millis(600));
    tried.leaves_out(1, &all);
    tried.fleet.net.set(
        |a, b| a / 3 != b / 3,
        larchfall_fault_tests::net::Link { cut: true, ..larchfall_fault_tests::net::SOUND },
    );
    let apart = |i: usize| {
        (0..GATEWAYS).filter(|j| j / 3 != i / 3).all(|j| tried.fleet.held(i, j).as_deref() == Some("dead"))
    };
    wait_for("two islands", || all.iter().all(|i| apart(*i)).then_some(()));
    let (met, took) = tried.met(1, &all, TURN * 3);
    assert!(met <= 2 * slots(took), "{met} batches in {took:?}");
    tried.fleet.net.heal();
    tried.fleet.joined();
    tried.load(&all, Duration::from_millis(300));
    let (met, took) = tried.met(1, &all, TURN * 3);
    assert!(met <= slots(took), "{met} batches in {took:?}");
    tried.all_have_it_back(1, &all);
}
