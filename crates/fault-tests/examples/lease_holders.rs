//! Lease holders that fall out, as processes: how long nobody acts, and whether anything was accepted out of token order; then
//! what asking engines for their load costs with one gateway that asks for all and without.
//! cargo run --release -p larchfall-fault-tests --example lease_holders -- target/release/larchfall GATEWAYS TIMES

use hdrhistogram::Histogram;
use larchfall_fault_tests::fenced_resource::FencedResource;
use larchfall_fault_tests::gateway_cluster::GatewayCluster;
use larchfall_fault_tests::gateway_config::name_list;
use larchfall_fault_tests::load::LoadPlan;
use larchfall_fault_tests::probing_cluster::{ProbingCluster, ProbingSetup};
use larchfall_fault_tests::process_log::field;
use larchfall_fault_tests::wait::{wait_for, wait_until};
use std::thread;
use std::time::{Duration, Instant};

const LEASE: &str = "writer";

#[derive(Clone, Copy)]
enum Fall {
    Killed,
    Suspended,
    CutOff,
    ToldToEnd,
}

impl Fall {
    const ALL: [Fall; 4] = [Fall::Killed, Fall::Suspended, Fall::CutOff, Fall::ToldToEnd];

    fn words(self) -> &'static str {
        match self {
            Fall::Killed => "killed",
            Fall::Suspended => "suspended",
            Fall::CutOff => "cut off",
            Fall::ToldToEnd => "told to end",
        }
    }

    fn inflict(self, cluster: &mut GatewayCluster, holder: usize) {
        match self {
            Fall::Killed => cluster.kill(holder),
            Fall::Suspended => cluster.gateway(holder).signal("-STOP"),
            Fall::CutOff => cluster.network.isolate(holder),
            Fall::ToldToEnd => cluster.gateway(holder).signal("-TERM"),
        }
    }

    fn repair(self, cluster: &mut GatewayCluster, holder: usize) {
        match self {
            Fall::Suspended => cluster.gateway(holder).resume(),
            Fall::CutOff => cluster.network.heal(),
            Fall::Killed | Fall::ToldToEnd => cluster.start_gateway(holder),
        }
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program: &'static str = arguments.next().expect("the gateway's program").leak();
    let gateways = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(5);
    let times = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(20);
    measure_falls(program, gateways, times);
    for leases in [0, 1, 10, 64] {
        measure_cost_of_leases(program, leases);
    }
    for gateways in [6, 12, 24] {
        for shared in [false, true] {
            measure_probing(program, gateways, shared);
        }
    }
}

fn measure_falls(program: &'static str, gateways: usize, times: usize) {
    let resource = FencedResource::start().expect("a port");
    let table = format!(
        "[duties]\nelectors = {}\nlease-ms = 1000\nlongest-ms = 1000\nleast-ms = 2000\n\
         [[duty]]\nname = \"{LEASE}\"\ncommand = {}\nend-ms = 100\n",
        name_list(0..5),
        resource.command(Duration::from_millis(10))
    );
    let mut cluster =
        GatewayCluster::new(program, gateways, 17).with_operator_tables(|_| table.clone()).start_all();
    for fall in Fall::ALL {
        let mut gaps = Histogram::<u64>::new(3).expect("bounds that it knows");
        for _ in 0..times {
            cluster.wait_until_joined();
            let (token, holder) = wait_for("a holder", || {
                let token = resource.last_accepted(LEASE)?.token;
                Some((token, cluster.lease_holder(LEASE, token)?))
            });
            let began = Instant::now();
            fall.inflict(&mut cluster, holder);
            wait_until("another to act", || {
                resource.last_accepted(LEASE).is_some_and(|action| action.token > token)
            });
            let gap = resource.longest_gap(LEASE, began);
            gaps.record(gap.as_millis() as u64).expect("within bounds");
            fall.repair(&mut cluster, holder);
        }
        println!(
            "{gateways} gateways, {} {times} times: nobody acted for {} ms (p50), {} (p99), {} at most; out of order {}",
            fall.words(),
            gaps.value_at_quantile(0.5),
            gaps.value_at_quantile(0.99),
            gaps.max(),
            resource.rejected().len()
        );
    }
}

fn measure_probing(program: &'static str, gateways: usize, shared: bool) {
    let probing = ProbingCluster::start(ProbingSetup {
        program,
        gateways,
        engines: 6,
        service_time: Duration::from_millis(10),
        shared,
        seed: 5,
    });
    thread::sleep(Duration::from_secs(4));
    let plan = LoadPlan { objective: Duration::from_millis(200), duration: Duration::from_secs(8) };
    let shown = probing.load(Duration::from_millis(40), plan);
    // What a gateway that asks by itself at random times knows is as old, in the mean, as the time between two requests.
    let age_alone_ms = 1000.0 * gateways as f64 / shown.load_requests_per_second;
    let age_ms = if shared { mean_report_age_ms(&probing.cluster) } else { age_alone_ms };
    println!(
        "{gateways} gateways, shared {shared}: load requests an engine and second {:.1}, age of what is known {age_ms:.0} ms, in time {:.3} of {} sent, wrong {}",
        shown.load_requests_per_second,
        shown.counts.in_time_fraction(),
        shown.counts.sent,
        shown.counts.wrong
    );
}

/// How old, in the mean over gateways, what they know of engines is: each is asked some times.
fn mean_report_age_ms(cluster: &GatewayCluster) -> f64 {
    let mut sum = 0.0;
    let mut count = 0.0;
    for _ in 0..10 {
        for gateway in cluster.running() {
            let log = &cluster.gateway(gateway).log;
            let before = log.count("lease counters");
            cluster.gateway(gateway).signal("-USR1");
            wait_until("the counters", || log.count("lease counters") > before);
            let line = log.last("lease counters").unwrap_or_default();
            let age = field(&line, "load_reports_age_ms").and_then(|age| age.parse::<f64>().ok());
            sum += age.unwrap_or_default();
            count += 1.0;
        }
        thread::sleep(Duration::from_millis(130));
    }
    sum / count
}

/// Processor time of a gateway a second, with so many leases that ask for nothing beside.
fn measure_cost_of_leases(program: &'static str, leases: usize) {
    const GATEWAYS: u32 = 5;
    let table = format!("[duties]\nelectors = {}\nlongest-ms = 3000\nprobing = {leases}\n", name_list(0..3));
    let cluster = GatewayCluster::new(program, GATEWAYS as usize, 19)
        .with_operator_tables(|_| if leases > 0 { table.clone() } else { String::new() })
        .start_all();
    cluster.wait_until_joined();
    thread::sleep(Duration::from_secs(8));
    let cpu_time = || -> Duration {
        cluster.running().map(|gateway| cluster.gateway(gateway).resource_use().cpu_time).sum()
    };
    let before = cpu_time();
    let began = Instant::now();
    thread::sleep(Duration::from_secs(10));
    let spent = (cpu_time() - before).as_secs_f64() / began.elapsed().as_secs_f64() / f64::from(GATEWAYS);
    println!("{leases} leases: {:.2} ms of processor time a gateway and second", spent * 1000.0);
}
