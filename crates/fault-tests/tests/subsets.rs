//! Subsets of engines over several processes: few connections, every engine in use, and what gateways do when engines fail,
//! gateways die and lists change.

use larchfall_fault_tests::load::{self, Ledger};
use larchfall_fault_tests::process::{self, Fleet, config_of, settings, wait_for};
use larchfall_stub::discovery::Discovery;
use larchfall_stub::engine::Engine;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty");
const GATEWAYS: usize = 8;
const ENGINES: usize = 16;
const LEAST: usize = 4;
const GOAL: Duration = Duration::from_secs(1);

/// Engines that fail while they are told to, and gateways that use some of them.
struct Tried {
    fleet: Fleet,
    engines: Vec<Engine>,
    fails: Vec<Arc<AtomicBool>>,
}

impl Tried {
    fn start(seed: u64) -> Tried {
        let (engines, fails) = load::engines_that_fail(ENGINES).unwrap();
        let addresses: Vec<SocketAddr> = engines.iter().map(|e| e.address).collect();
        let table = format!("[subsets]\nleast = {LEAST}\ngrows-ms = 200\nshrinks-ms = 300\nlook-ms = 100\n");
        let mut fleet = Fleet::new(PROGRAM, GATEWAYS, seed, |_, _| table.clone(), |_| Vec::new());
        let settings = settings().replace("\"instances\":1", &format!("\"instances\":{GATEWAYS}"));
        fleet.config =
            Box::new(move |_, discovery| config_of("127.0.0.1:0", discovery, &addresses, 256, &settings));
        let fleet = fleet.begun();
        fleet.joined();
        let tried = Tried { fleet, engines, fails };
        tried.until_all_use(|used, _| used == LEAST);
        tried
    }

    /// How many engines this gateway last said that it uses, and of how many.
    fn uses(&self, i: usize) -> Option<(usize, usize)> {
        let line = self.fleet.gateway(i).log.last("subset changed")?;
        let field = |name: &str| line.split(name).nth(1)?.split(',').next()?.parse().ok();
        Some((field("used: ")?, field("engines: ")?))
    }

    /// Which engines those are, by their places here.
    fn ids(&self, i: usize) -> Vec<usize> {
        let line = self.fleet.gateway(i).log.last("subset changed").unwrap();
        let ids = line.split("ids: ").nth(1).unwrap().split(',').next().unwrap();
        ids.split(' ').map(|id| usize::from_str_radix(id, 16).unwrap() - 1).collect()
    }

    /// How many gateways use each engine.
    fn users(&self) -> Vec<usize> {
        let mut users = vec![0; ENGINES];
        self.fleet.up().flat_map(|i| self.ids(i)).for_each(|e| users[e] += 1);
        users
    }

    /// Waits until all work by the same lists: then no engine has more than its part, and a quarter more.
    fn until_planned(&self) {
        let pairs = self.fleet.up().count() * LEAST;
        let most = (pairs as f64 / ENGINES as f64 * 1.25).ceil() as usize;
        wait_for(&format!("seed {}: one plan at all", self.fleet.seed), || {
            let users = self.users();
            let even = users.iter().sum::<usize>() == pairs && users.iter().all(|n| *n <= most);
            even.then_some(())
        });
    }

    fn until_all_use(&self, so: impl Fn(usize, usize) -> bool) {
        wait_for(&format!("seed {}: all to use so many", self.fleet.seed), || {
            let all = self.fleet.up().all(|i| self.uses(i).is_some_and(|(used, of)| so(used, of)));
            all.then_some(())
        });
    }

    fn load(&self, duration: Duration) -> Ledger {
        let up = self.fleet.up().map(|i| self.fleet.gateway(i));
        load::run(up, |_| Duration::from_millis(8), GOAL, duration)
    }
}

/// Each gateway speaks to its part of the engines only, and all engines are spoken to. A gateway that dies leaves its part to
/// others, and no engine without a gateway.
#[test]
fn few_connections_and_no_engine_without_a_gateway() {
    let mut tried = Tried::start(141);
    let ledger = tried.load(Duration::from_millis(1_500));
    assert_eq!((ledger.returned, ledger.wrong), (ledger.sent, 0), "{ledger:?}");
    tried.until_planned();
    // Every pair has one connection; a few more from before all gateways knew each other.
    let connections: usize = tried.engines.iter().map(|e| e.seen().connections).sum();
    assert!(connections <= GATEWAYS * LEAST * 2, "{connections}");
    for i in [1, 5] {
        tried.fleet.gateways[i] = None;
    }
    let others: Vec<usize> = tried.fleet.up().collect();
    wait_for("the dead to be known", || {
        let known = |by: &usize| tried.fleet.held(*by, 1).as_deref() == Some("dead");
        others.iter().all(known).then_some(())
    });
    tried.until_planned();
    let used = tried.users().iter().filter(|n| **n > 0).count();
    assert!(used >= ENGINES - 4, "{used} of {ENGINES}");
    let ledger = tried.load(Duration::from_millis(500));
    assert_eq!((ledger.returned, ledger.wrong), (ledger.sent, 0), "{ledger:?}");
}

/// All that one gateway uses fail: once half of them are known to, it goes wide at once, serves on, and comes back.
#[test]
fn gateways_widen_when_half_of_their_engines_fail_and_come_back() {
    let tried = Tried::start(142);
    tried.until_planned();
    let mine = tried.ids(0);
    mine.iter().for_each(|e| tried.fails[*e].store(true, Ordering::Relaxed));
    wait_for("the front to go wide", || {
        tried.load(Duration::from_millis(300));
        (tried.uses(0)? == (ENGINES, ENGINES)).then_some(())
    });
    let ledger = tried.load(Duration::from_millis(800));
    assert!(ledger.in_time * 10 > ledger.sent * 9 && ledger.wrong == 0, "{ledger:?}");
    tried.fails.iter().for_each(|fails| fails.store(false, Ordering::Relaxed));
    // Four that were found failing are cleared by trials only, some seconds apart: until then some stay beside them.
    wait_for("it to come back", || {
        let ledger = tried.load(Duration::from_millis(300));
        assert_eq!(ledger.wrong, 0, "{ledger:?}");
        tried.fleet.up().all(|i| tried.uses(i).is_some_and(|(used, _)| used <= 11)).then_some(())
    });
}

/// Lists that change in quick succession: what leaves the list leaves the subsets, what comes is used, and no request is lost.
#[test]
fn lists_that_change_often_leave_no_class_without_engines() {
    let tried = Tried::start(143);
    let entry = |e: usize, state| (e as u32 + 1, tried.engines[e].address, state);
    let fleet = &tried.fleet;
    let discoveries: Vec<Arc<Discovery>> = fleet.up().map(|i| fleet.gateway(i).discovery.clone()).collect();
    let addresses: Vec<SocketAddr> = tried.engines.iter().map(|e| e.address).collect();
    let lists = std::thread::spawn(move || {
        for round in 0..20 {
            // Three of sixteen drain, others each time.
            let drains = |e: usize| u8::from((e + round).is_multiple_of(5) && e < 15);
            let list: Vec<_> = (0..ENGINES).map(|e| (e as u32 + 1, addresses[e], drains(e))).collect();
            discoveries.iter().for_each(|discovery| process::list(discovery, round as u64 + 2, &list));
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    let ledger = tried.load(Duration::from_millis(2_500));
    lists.join().unwrap();
    assert_eq!((ledger.wrong, ledger.returned), (0, ledger.sent), "{ledger:?}");
    let list: Vec<_> = (0..3).map(|e| entry(e, 0)).collect();
    fleet.up().for_each(|i| fleet.gateway(i).list(99, &list));
    tried.until_all_use(|used, of| (used, of) == (3, 3));
    let ledger = tried.load(Duration::from_millis(500));
    assert_eq!((ledger.wrong, ledger.returned), (0, ledger.sent), "{ledger:?}");
}
