//! Subsets of engines over several processes: few connections, every engine in use, and what gateways do when engines fail,
//! gateways die and lists change.

use larchfall_fault_tests::gateway_cluster::GatewayCluster;
use larchfall_fault_tests::gateway_config::{config_of, settings_for};
use larchfall_fault_tests::gateway_process::publish;
use larchfall_fault_tests::load::{self, BreakableEngine, LoadCounts, LoadPlan};
use larchfall_fault_tests::process_log::field;
use larchfall_fault_tests::wait::wait_until;
use larchfall_stub::discovery::{Discovery, Endpoint};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty-host");
const GATEWAYS: usize = 8;
const ENGINES: usize = 16;
const SUBSET_SIZE: usize = 4;
const OBJECTIVE: Duration = Duration::from_secs(1);

/// Gateways that use some of the engines, which fail while they are told to.
struct TestBed {
    cluster: GatewayCluster,
    engines: Vec<BreakableEngine>,
}

/// How many engines a gateway uses, and of how many.
#[derive(Clone, Copy, PartialEq, Eq)]
struct SubsetSize {
    used: usize,
    engines: usize,
}

impl TestBed {
    fn start(seed: u64) -> TestBed {
        let engines: Vec<BreakableEngine> = (0..ENGINES).map(|_| BreakableEngine::start().unwrap()).collect();
        let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.engine.address).collect();
        let table =
            format!("[subsets]\nleast = {SUBSET_SIZE}\ngrows-ms = 200\nshrinks-ms = 300\nlook-ms = 100\n");
        let settings = settings_for(GATEWAYS);
        let cluster = GatewayCluster::new(PROGRAM, GATEWAYS, seed)
            .with_operator_tables(|_| table.clone())
            .with_config(move |_, discovery| config_of("127.0.0.1:0", discovery, &addresses, 256, &settings))
            .start_all();
        cluster.wait_until_joined();
        let test_bed = TestBed { cluster, engines };
        test_bed.wait_until_all_use(|size| size.used == SUBSET_SIZE);
        test_bed
    }

    /// The size of this gateway's subset, as it last logged it.
    fn subset_size(&self, gateway: usize) -> Option<SubsetSize> {
        let line = self.cluster.gateway(gateway).log.last("subset changed")?;
        let number = |name: &str| field(&line, name)?.parse().ok();
        Some(SubsetSize { used: number("used")?, engines: number("engines")? })
    }

    /// The engines of this gateway's subset, by their places here.
    fn subset(&self, gateway: usize) -> Vec<usize> {
        let line = self.cluster.gateway(gateway).log.last("subset changed").unwrap();
        let ids = field(&line, "ids").unwrap().split(' ');
        ids.map(|id| usize::from_str_radix(id, 16).unwrap() - 1).collect()
    }

    /// How many gateways use each engine.
    fn user_counts(&self) -> Vec<usize> {
        let mut users = vec![0; ENGINES];
        self.cluster.running().flat_map(|gateway| self.subset(gateway)).for_each(|engine| users[engine] += 1);
        users
    }

    /// Waits until all work by the same lists: then no engine has more than its part, and a quarter more.
    fn wait_until_planned(&self) {
        let pairs = self.cluster.running().count() * SUBSET_SIZE;
        let most = (pairs as f64 / ENGINES as f64 * 1.25).ceil() as usize;
        wait_until(&format!("seed {}: one plan at all", self.cluster.seed), || {
            let users = self.user_counts();
            users.iter().sum::<usize>() == pairs && users.iter().all(|count| *count <= most)
        });
    }

    fn wait_until_all_use(&self, expected: impl Fn(SubsetSize) -> bool) {
        wait_until(&format!("seed {}: all to use so many", self.cluster.seed), || {
            self.cluster.running().all(|gateway| self.subset_size(gateway).is_some_and(&expected))
        });
    }

    fn load(&self, duration: Duration) -> LoadCounts {
        let gateways = self.cluster.running().map(|gateway| self.cluster.gateway(gateway));
        let plan = LoadPlan { objective: OBJECTIVE, duration };
        load::run(gateways, |_| Duration::from_millis(8), plan)
    }
}

/// Each gateway speaks to its part of the engines only, and all engines are spoken to. A gateway that dies leaves its part to
/// others, and no engine without a gateway.
#[test]
fn few_connections_and_no_engine_without_a_gateway() {
    let mut test_bed = TestBed::start(141);
    let counts = test_bed.load(Duration::from_millis(1_500));
    assert!(counts.all_returned(), "{counts:?}");
    test_bed.wait_until_planned();
    // Every pair has one connection; a few more from before all gateways knew each other.
    let connections: usize = test_bed.engines.iter().map(|engine| engine.engine.seen().connections).sum();
    assert!(connections <= GATEWAYS * SUBSET_SIZE * 2, "{connections}");
    for gateway in [1, 5] {
        test_bed.cluster.kill(gateway);
    }
    let others: Vec<usize> = test_bed.cluster.running().collect();
    wait_until("the dead to be known", || {
        others.iter().all(|by| test_bed.cluster.member_state(*by, 1).as_deref() == Some("dead"))
    });
    test_bed.wait_until_planned();
    let used = test_bed.user_counts().iter().filter(|count| **count > 0).count();
    assert!(used >= ENGINES - 4, "{used} of {ENGINES}");
    let counts = test_bed.load(Duration::from_millis(500));
    assert!(counts.all_returned(), "{counts:?}");
}

/// All that one gateway uses fail: once half of them are known to, it uses all at once, serves on, and comes back.
#[test]
fn gateways_widen_when_half_of_their_engines_fail_and_come_back() {
    let test_bed = TestBed::start(142);
    test_bed.wait_until_planned();
    for engine in test_bed.subset(0) {
        test_bed.engines[engine].set_broken(true);
    }
    wait_until("the gateway to use all", || {
        test_bed.load(Duration::from_millis(300));
        test_bed.subset_size(0) == Some(SubsetSize { used: ENGINES, engines: ENGINES })
    });
    let counts = test_bed.load(Duration::from_millis(800));
    assert!(counts.in_time * 10 > counts.sent * 9 && counts.wrong == 0, "{counts:?}");
    test_bed.engines.iter().for_each(|engine| engine.set_broken(false));
    // Four that were found failing are restored by probes only, some seconds apart: until then some stay beside them.
    wait_until("it to come back", || {
        let counts = test_bed.load(Duration::from_millis(300));
        assert_eq!(counts.wrong, 0, "{counts:?}");
        let is_back = |gateway| test_bed.subset_size(gateway).is_some_and(|size| size.used <= 11);
        test_bed.cluster.running().all(is_back)
    });
}

/// Lists that change in quick succession: what leaves the list leaves the subsets, what comes is used, and no request is lost.
#[test]
fn lists_that_change_often_leave_no_class_without_engines() {
    let test_bed = TestBed::start(143);
    let cluster = &test_bed.cluster;
    let discoveries: Vec<Arc<Discovery>> =
        cluster.running().map(|gateway| cluster.gateway(gateway).discovery.clone()).collect();
    let addresses: Vec<SocketAddr> = test_bed.engines.iter().map(|engine| engine.engine.address).collect();
    let whole_list: Vec<Endpoint> =
        (1..).zip(&addresses).map(|(id, address)| Endpoint::ready(id, *address)).collect();
    let endpoints = whole_list.clone();
    let changes = std::thread::spawn(move || {
        for round in 0..20 {
            // Three of sixteen drain, others each time.
            let drains = |engine: usize| (engine + round).is_multiple_of(5) && engine < 15;
            let list: Vec<Endpoint> = (0..ENGINES)
                .map(|engine| Endpoint { state: u8::from(drains(engine)), ..endpoints[engine] })
                .collect();
            discoveries.iter().for_each(|discovery| publish(discovery, round as u64 + 2, &list));
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    let counts = test_bed.load(Duration::from_millis(2_500));
    changes.join().unwrap();
    assert!(counts.all_returned(), "{counts:?}");
    cluster.running().for_each(|gateway| cluster.gateway(gateway).list(99, &whole_list[..3]));
    test_bed.wait_until_all_use(|size| size == SubsetSize { used: 3, engines: 3 });
    let counts = test_bed.load(Duration::from_millis(500));
    assert!(counts.all_returned(), "{counts:?}");
}
