//! Quotas over several processes: allocated by one quota allocator, used by all, whoever is cut off or dies.

use larchfall_fault_tests::gateway_cluster::GatewayCluster;
use larchfall_fault_tests::gateway_config::{config_of, name_list, settings_for};
use larchfall_fault_tests::load::{self, LoadCounts, LoadPlan, steady_engine};
use larchfall_fault_tests::network::Link;
use larchfall_fault_tests::process_log::field;
use larchfall_fault_tests::wait::{wait_for, wait_until};
use larchfall_stub::engine::Engine;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty-host");
const GATEWAYS: usize = 5;

const SLOW_START: &str = "cold/00000001";
const THREADS: &str = "threads/00000001";
const TENANT: &str = "customer/acme";

/// A slow-start engine may be overcommitted for as long as it counts what it was sent.
const SLOW_START_WINDOW: Duration = Duration::from_millis(500);

/// Gateways of which allocators grant quotas of these capacities, of one tenant and these engines.
fn start_cluster(engines: &[Engine], gateways: usize, capacities: &str, seed: u64) -> GatewayCluster {
    let leases = format!(
        "[duties]\nelectors = {}\nlease-ms = 1000\nlongest-ms = 1000\nkeepers = 1\n\
         share-ms = 600\nhand-out = {capacities}\n",
        name_list(0..3)
    );
    // Started now, and in slow start for as long as anything here takes; it bears what it is sent within half a second.
    let settings = settings_for(gateways)
        .replace("\"ramp_time\":14000000", "\"ramp_time\":600000000")
        .replace("\"fall\":2000000", "\"fall\":500000");
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    GatewayCluster::new(PROGRAM, gateways, seed)
        .with_operator_tables(|_| leases.clone())
        .with_config(move |_, discovery| {
            config_of("127.0.0.1:0", discovery, &addresses, 256, &settings)
                .replace("\"startedAtMs\":0", &format!("\"startedAtMs\":{started}"))
        })
        .start_all()
}

fn quick_engine() -> Engine {
    steady_engine(Duration::from_millis(2))
}

/// What a gateway says of its quotas.
#[derive(Clone, Copy, Debug)]
struct Quota {
    /// Fraction of one capacity that it may use.
    fraction: f64,
    /// How many quotas were granted to it, of all capacities.
    granted: usize,
}

fn quota(cluster: &GatewayCluster, gateway: usize, capacity: &str) -> Quota {
    let log = &cluster.gateway(gateway).log;
    let before = log.count("quotas, granted");
    cluster.gateway(gateway).signal("-USR1");
    wait_until("a line of quotas", || log.count("quotas, granted") > before);
    let line = log.last("quotas, granted").unwrap();
    // Capacities and their fractions are pairs within a field: `capacity:fraction`.
    let fraction = line.split(&format!("{capacity}:")).nth(1);
    let fraction = fraction.map(|rest| rest.split([',', ' ']).next().unwrap().parse().unwrap());
    let granted = field(&line, "granted");
    Quota { fraction: fraction.unwrap_or(0.0), granted: granted.unwrap().parse().unwrap() }
}

/// The quotas of all gateways that run, asked for within the engine's window: together they are within the whole.
fn quotas(cluster: &GatewayCluster, capacity: &str) -> Vec<Quota> {
    let began = Instant::now();
    let quotas: Vec<Quota> = cluster.running().map(|gateway| quota(cluster, gateway, capacity)).collect();
    let sum: f64 = quotas.iter().map(|quota| quota.fraction).sum();
    let limit = if capacity == SLOW_START { 1.001 } else { 1.501 };
    assert!(sum < limit || began.elapsed() > SLOW_START_WINDOW, "seed {}: {quotas:?}", cluster.seed);
    quotas
}

fn fractions(cluster: &GatewayCluster, capacity: &str) -> Vec<f64> {
    quotas(cluster, capacity).iter().map(|quota| quota.fraction).collect()
}

fn wait_until_granted(cluster: &GatewayCluster, capacity: &str, to: usize) -> Vec<f64> {
    wait_for(&format!("seed {}: quotas to be granted to {to}", cluster.seed), || {
        let quotas = quotas(cluster, capacity);
        let granted = quotas.iter().filter(|quota| quota.granted > 0).count();
        (granted >= to).then(|| quotas.iter().map(|quota| quota.fraction).collect())
    })
}

fn allocator(cluster: &GatewayCluster) -> usize {
    wait_for("an allocator", || {
        let times = |gateway: usize, what: &str| {
            cluster.gateway(gateway).log.count(&format!("lease {what}, lease: keeper:0,"))
        };
        cluster.running().find(|i| times(*i, "acquired") > times(*i, "lost") + times(*i, "released"))
    })
}

/// Load on all: many times as much on one of them.
fn load_on(cluster: &GatewayCluster, busy: usize, duration: Duration) -> LoadCounts {
    // A client that sends one request after the other waits until its connection has rested, 25 ms: the others pause for longer.
    let interval = |client: usize| Duration::from_millis(if client == busy { 4 } else { 130 });
    let gateways = cluster.running().map(|gateway| cluster.gateway(gateway));
    load::run(gateways, interval, LoadPlan { objective: Duration::from_secs(1), duration })
}

#[test]
fn quotas_follow_traffic_and_are_within_the_whole_whoever_dies_or_is_cut_off() {
    let mut cluster = start_cluster(&[quick_engine()], GATEWAYS, "[\"cold\"]", 95);
    cluster.wait_until_joined();
    wait_until_granted(&cluster, SLOW_START, GATEWAYS);
    let counts = load_on(&cluster, 3, Duration::from_millis(2_500));
    assert_eq!(counts.wrong, 0, "{counts:?}");
    let after_load = fractions(&cluster, SLOW_START);
    assert!(after_load[3] > 0.3 && after_load[3] > 2.0 * after_load[4], "{after_load:?}");

    // Cut off from the others, a gateway falls back to its careful quota, and so does each while there is no allocator.
    cluster.network.isolate(4);
    wait_until("the isolated one to fall back", || {
        (fractions(&cluster, SLOW_START)[4] - 0.5 / GATEWAYS as f64).abs() < 0.001
    });
    cluster.network.heal();
    wait_until_granted(&cluster, SLOW_START, GATEWAYS);
    let allocator = allocator(&cluster);
    cluster.kill(allocator);
    // Looked at over and over until the next allocator grants, and some time after.
    wait_until_granted(&cluster, SLOW_START, GATEWAYS - 1);
    for _ in 0..10 {
        quotas(&cluster, SLOW_START);
    }
}

/// Quotas of threads and of a tenant follow traffic that moves; an allocator that was suspended grants nothing once it runs
/// again, and a gateway without a grant uses an even quota.
#[test]
fn quotas_of_threads_and_tenants_follow_traffic_and_fall_back_to_even_ones() {
    let cluster = start_cluster(&[quick_engine()], GATEWAYS, "[\"threads\", \"customers\"]", 96);
    cluster.wait_until_joined();
    wait_until_granted(&cluster, THREADS, GATEWAYS);
    for busy in [3, 4] {
        let counts = load_on(&cluster, busy, Duration::from_millis(2_500));
        assert_eq!(counts.wrong, 0, "{counts:?}");
        for capacity in [THREADS, TENANT] {
            let fractions = fractions(&cluster, capacity);
            let largest = (0..GATEWAYS).max_by(|a, b| fractions[*a].total_cmp(&fractions[*b]));
            assert!(largest == Some(busy) && fractions[busy] > 0.3, "{capacity}: {fractions:?}");
        }
    }
    let suspended = allocator(&cluster);
    let log = &cluster.gateway(suspended).log;
    assert!(log.count("quota allocation") > 0, "it says how fairly it allocates");
    cluster.gateway(suspended).suspend();
    let others: Vec<usize> = (0..GATEWAYS).filter(|i| *i != suspended).collect();
    let even = 1.0 / GATEWAYS as f64;
    wait_until("the others to use even quotas", || {
        others.iter().all(|i| (quota(&cluster, *i, THREADS).fraction - even).abs() < 0.001)
    });
    wait_until("the next allocator to grant", || {
        others.iter().all(|i| quota(&cluster, *i, THREADS).granted == 2)
    });
    cluster.gateway(suspended).resume();
    wait_until_granted(&cluster, THREADS, GATEWAYS);
    for _ in 0..10 {
        quotas(&cluster, THREADS);
    }
    assert_ne!(allocator(&cluster), suspended, "it is another's now");
}

/// A cluster that grows from four to twelve and shrinks back under load: what a slow-start engine bears is never granted twice.
#[test]
fn quotas_are_within_the_whole_while_a_cluster_grows_and_shrinks() {
    const MOST: usize = 12;
    let mut cluster = start_cluster(&[quick_engine()], MOST, "[\"cold\", \"threads\"]", 97);
    cluster.wait_until_joined();
    wait_until_granted(&cluster, SLOW_START, MOST);
    (4..MOST).for_each(|gateway| cluster.kill(gateway));
    // Of the eight that are gone only their careful quotas are kept back, once their grants have run out.
    let careful = 0.5 / MOST as f64;
    let whole = 1.0 - 8.0 * careful;
    wait_until("the four to have what the others had", || {
        load_on(&cluster, 1, Duration::from_millis(300));
        fractions(&cluster, SLOW_START).iter().sum::<f64>() > 0.95 * whole
    });
    for gateway in 4..MOST {
        cluster.start_gateway(gateway);
        load_on(&cluster, gateway, Duration::from_millis(300));
        quotas(&cluster, SLOW_START);
    }
    cluster.wait_until_joined();
    let fractions = wait_until_granted(&cluster, SLOW_START, MOST);
    assert!(fractions.iter().all(|fraction| *fraction >= careful - 0.001), "{fractions:?}");
}

/// Six engines in slow start at once; a cluster cut into halves, of which one has the allocator and most voters, under load;
/// healed; then all gateways started anew one after the other. Of no engine is more than the whole ever granted.
#[test]
fn six_slow_start_engines_halves_and_restarts_in_turn() {
    let engines: Vec<Engine> = (0..6).map(|_| quick_engine()).collect();
    let mut cluster = start_cluster(&engines, 6, "[\"cold\"]", 98);
    cluster.wait_until_joined();
    let capacities: Vec<String> = (1..=6).map(|id| format!("cold/{id:08x}")).collect();
    let check_all = |cluster: &GatewayCluster| {
        capacities.iter().for_each(|capacity| drop(quotas(cluster, capacity)));
    };
    wait_until_granted(&cluster, &capacities[0], 6);
    check_all(&cluster);
    let allocator = allocator(&cluster);
    // The allocator's half has two of three voters; the other half has nobody to ask.
    let in_other_half = |gateway: usize| {
        gateway == 2
            || if allocator < 3 { gateway > 3 } else { gateway < 6 && gateway != allocator && gateway > 2 }
    };
    cluster.network.set_links(|from, to| in_other_half(from) != in_other_half(to), Link::CUT);
    let careful = 0.5 / 6.0;
    wait_until("the other half to be on its own", || {
        load_on(&cluster, 0, Duration::from_millis(200));
        check_all(&cluster);
        let mut other_half = cluster.running().filter(|gateway| in_other_half(*gateway));
        other_half.all(|gateway| quota(&cluster, gateway, &capacities[5]).fraction < careful + 0.001)
    });
    cluster.network.heal();
    wait_until_granted(&cluster, &capacities[0], 6);
    for gateway in 0..6 {
        cluster.start_gateway(gateway);
        load_on(&cluster, gateway, Duration::from_millis(150));
        check_all(&cluster);
    }
    cluster.wait_until_joined();
    wait_until_granted(&cluster, &capacities[0], 6);
    check_all(&cluster);
}
