//! Health gossip between several processes: what one finds out others know, and neither a gateway with a broken connection nor
//! one with a broken network makes others eject healthy engines.

use larchfall_fault_tests::gateway_cluster::GatewayCluster;
use larchfall_fault_tests::gateway_config::{config_of, settings_for};
use larchfall_fault_tests::load::{self, BreakableEngine, LoadPlan};
use larchfall_fault_tests::network::Link;
use larchfall_fault_tests::process_log::field;
use larchfall_fault_tests::proxy::{Proxies, ProxyMode};
use larchfall_fault_tests::wait::wait_until;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty-host");
const GATEWAYS: usize = 6;
const ENGINES: usize = 6;
const CLIENTS_PER_GATEWAY: usize = 12;
/// One gateway in each slot of this length may probe an engine that is ejected.
const PROBE_SLOT: Duration = Duration::from_millis(1_500);

struct TestBed {
    cluster: GatewayCluster,
    proxies: Proxies,
    engines: Vec<BreakableEngine>,
}

/// Requests that an engine received, and the time in which it did.
struct Received {
    requests: usize,
    within: Duration,
}

impl TestBed {
    fn start(seed: u64) -> TestBed {
        TestBed::start_with(seed, "")
    }

    fn start_with_probe_slots(seed: u64) -> TestBed {
        TestBed::start_with(seed, &format!("turn-ms = {}\n", PROBE_SLOT.as_millis()))
    }

    /// Gateways in two zones by turns; `more` stands in their `[signals]`.
    fn start_with(seed: u64, more: &str) -> TestBed {
        let engines: Vec<BreakableEngine> = (0..ENGINES).map(|_| BreakableEngine::start().unwrap()).collect();
        let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.engine.address).collect();
        let proxies = Proxies::start(GATEWAYS, &addresses).unwrap();
        let known: Vec<Vec<SocketAddr>> = (0..GATEWAYS).map(|gateway| proxies.addresses(gateway)).collect();
        let table = format!("[signals]\nevery-ms = 50\nfanout = 5\n{more}");
        let settings = settings_for(GATEWAYS);
        let cluster = GatewayCluster::new(PROGRAM, GATEWAYS, seed)
            .with_operator_tables(|_| table.clone())
            .with_config(move |gateway, discovery| {
                config_of("127.0.0.1:0", discovery, &known[gateway], 256, &settings)
            })
            .with_zones(|gateway| ["east", "west"][gateway % 2].to_owned())
            .start_all();
        cluster.wait_until_joined();
        TestBed { cluster, proxies, engines }
    }

    /// Load on these gateways, each from many clients, so that all engines are met.
    fn load(&self, on: &[usize], duration: Duration) {
        let gateways = on.iter().flat_map(|gateway| [*gateway; CLIENTS_PER_GATEWAY]);
        let gateways = gateways.map(|gateway| self.cluster.gateway(gateway));
        let plan = LoadPlan { objective: Duration::from_secs(1), duration };
        let counts = load::run(gateways, |_| Duration::from_millis(10), plan);
        assert_eq!(counts.wrong, 0, "seed {}: {counts:?}", self.cluster.seed);
    }

    /// How many lines of a gateway's log contain all of these words.
    fn count_lines(&self, gateway: usize, words: &[&str]) -> usize {
        let lines = self.cluster.gateway(gateway).log.lines();
        lines.iter().filter(|line| words.iter().all(|word| line.text.contains(word))).count()
    }

    /// A counter of a gateway, as it logs it when it is asked.
    fn counter(&self, gateway: usize, name: &str) -> usize {
        let log = &self.cluster.gateway(gateway).log;
        let before = log.count("health gossip counters");
        self.cluster.gateway(gateway).signal("-USR1");
        wait_until("the counters", || log.count("health gossip counters") > before);
        let line = log.last("health gossip counters").unwrap();
        field(&line, name).unwrap().parse().unwrap()
    }

    /// An engine breaks; waits until all of these have ejected it, by what they met or were told.
    fn break_until_ejected(&self, engine: usize, by: &[usize]) {
        self.engines[engine].set_broken(true);
        let words = format!("engine ejected, engine: {engine},");
        wait_until("all to eject it", || {
            self.load(by, Duration::from_millis(200));
            by.iter().all(|gateway| self.count_lines(*gateway, &[&words]) > 0)
        });
    }

    /// An engine works again; waits until all of these have restored it.
    fn mend_until_restored(&self, engine: usize, by: &[usize]) {
        self.engines[engine].set_broken(false);
        let words = format!(", engine: {engine}, evidence");
        wait_until("all to restore it", || {
            self.load(by, Duration::from_millis(200));
            by.iter().all(|gateway| {
                let line = self.cluster.gateway(*gateway).log.last(&words);
                line.is_some_and(|line| line.contains("engine restored"))
            })
        });
    }

    /// What an engine receives while there is load on these gateways for this long or little longer.
    fn received_under_load(&self, engine: usize, on: &[usize], duration: Duration) -> Received {
        let requests = || self.engines[engine].engine.seen().started.len();
        let before = requests();
        let began = Instant::now();
        self.load(on, duration);
        Received { requests: requests() - before, within: began.elapsed() }
    }
}

/// The probe slots in a time, at most: one that had begun, and those that begin in it.
fn max_slots(duration: Duration) -> usize {
    duration.div_duration_f64(PROBE_SLOT) as usize + 2
}

/// Four gateways in two zones meet an engine that fails; two that sent it nothing yet know of it, and one that starts anew after
/// that is not told what is long past.
#[test]
fn what_some_find_out_others_know() {
    let test_bed = TestBed::start(151);
    // Counts that were there before a gateway first hears of them are no news: all have heard of all.
    test_bed.load(&[0, 1, 2, 3], Duration::from_millis(600));
    test_bed.engines[2].set_broken(true);
    wait_until("the idle to eject it", || {
        test_bed.load(&[0, 1, 2, 3], Duration::from_millis(200));
        [4, 5].iter().all(|i| test_bed.count_lines(*i, &["engine ejected", "evidence: gossip"]) > 0)
    });
    let told = |gateway: usize| test_bed.cluster.gateway(gateway).log.last("evidence: gossip").unwrap();
    assert!([4, 5].iter().all(|i| told(*i).contains("engine ejected, engine: 2,")), "{}", told(4));
    // They do without it: no request of theirs meets it.
    let by_outcomes = ["engine ejected, engine: 2, evidence: outcomes"];
    let before = test_bed.count_lines(4, &by_outcomes);
    test_bed.load(&[4, 5], Duration::from_millis(300));
    assert_eq!(test_bed.count_lines(4, &by_outcomes), before);
    // Healthy again: the one that probes it finds out, and tells.
    test_bed.engines[2].set_broken(false);
    wait_until("all to restore it", || {
        test_bed.load(&[0, 1, 2, 3, 4, 5], Duration::from_millis(200));
        (0..GATEWAYS).all(|i| test_bed.count_lines(i, &["engine restored, engine: 2,"]) > 0)
    });
}

/// One gateway cannot reach an engine, and another cannot reach any: both say so, and nobody else ejects one.
#[test]
fn neither_a_broken_connection_nor_a_broken_network_of_one_gateway_spreads() {
    let test_bed = TestBed::start(152);
    test_bed.load(&[0, 1, 2, 3, 4, 5], Duration::from_millis(600));
    let is_broken = |gateway, engine| (gateway, engine) == (0, 1) || gateway == 1;
    test_bed.proxies.set_mode(is_broken, ProxyMode::Cut);
    wait_until("both to find it out", || {
        test_bed.load(&[0, 1], Duration::from_millis(200));
        test_bed.count_lines(0, &["engine ejected, engine: 1,"]) > 0
            && test_bed.count_lines(1, &["engine ejected", "evidence: outcomes"]) > 1
    });
    let received = test_bed.counter(4, "received");
    wait_until("their messages to arrive", || {
        test_bed.load(&[0, 1], Duration::from_millis(300));
        test_bed.counter(4, "received") > received + 40
    });
    for gateway in 2..GATEWAYS {
        let last = test_bed.cluster.gateway(gateway).log.last("engine ejected, ");
        let times = test_bed.count_lines(gateway, &["engine ejected, "]);
        assert_eq!(times, 0, "gateway {gateway}: {last:?}");
    }
    assert_eq!(test_bed.counter(4, "ignored"), 0);
}

/// Six gateways at an engine that is dead: one of them probes it in each slot. Then two of them die, one is suspended and one is
/// cut off from all others, each of which may have had the slot: the rest restore it.
#[test]
fn one_gateway_a_slot_probes_what_is_ejected_and_another_where_that_one_is_gone() {
    let mut test_bed = TestBed::start_with_probe_slots(153);
    let all: Vec<usize> = (0..GATEWAYS).collect();
    test_bed.load(&all, Duration::from_millis(600));
    test_bed.break_until_ejected(2, &all);
    // What each had under way to it, and the first looks at whose slot it is.
    test_bed.load(&all, Duration::from_millis(300));
    let received = test_bed.received_under_load(2, &all, PROBE_SLOT * 4);
    assert!(
        received.requests <= max_slots(received.within),
        "{} requests in {:?}",
        received.requests,
        received.within
    );
    assert!(received.requests > 0, "somebody probes it");
    [0, 1].into_iter().for_each(|gateway| test_bed.cluster.kill(gateway));
    test_bed.cluster.gateway(2).suspend();
    test_bed.cluster.network.isolate(3);
    test_bed.mend_until_restored(2, &[3, 4, 5]);
    test_bed.cluster.gateway(2).resume();
    test_bed.cluster.network.heal();
    test_bed.mend_until_restored(2, &[2, 3, 4, 5]);
}

/// Two parts of a network do not agree on whose slot it is: one probe a slot in each. Healed, one again.
#[test]
fn parts_of_a_network_probe_once_a_slot_each_and_once_together_when_healed() {
    let test_bed = TestBed::start_with_probe_slots(154);
    let cluster = &test_bed.cluster;
    let all: Vec<usize> = (0..GATEWAYS).collect();
    test_bed.load(&all, Duration::from_millis(600));
    test_bed.break_until_ejected(1, &all);
    cluster.network.set_links(|from, to| from / 3 != to / 3, Link::CUT);
    let holds_other_part_dead = |by: usize| {
        let mut other_part = (0..GATEWAYS).filter(|of| of / 3 != by / 3);
        other_part.all(|of| cluster.member_state(by, of).as_deref() == Some("dead"))
    };
    wait_until("two parts", || all.iter().all(|gateway| holds_other_part_dead(*gateway)));
    let received = test_bed.received_under_load(1, &all, PROBE_SLOT * 3);
    assert!(
        received.requests <= 2 * max_slots(received.within),
        "{} requests in {:?}",
        received.requests,
        received.within
    );
    cluster.network.heal();
    cluster.wait_until_joined();
    test_bed.load(&all, Duration::from_millis(300));
    let received = test_bed.received_under_load(1, &all, PROBE_SLOT * 3);
    assert!(
        received.requests <= max_slots(received.within),
        "{} requests in {:?}",
        received.requests,
        received.within
    );
    test_bed.mend_until_restored(1, &all);
}
