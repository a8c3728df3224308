//! Processor time a request and memory of a gateway, of some builds in turn, so that a machine whose speed drifts is held against
//! itself. cargo run --release -p larchfall-fault-tests --example request_cost -- TIMES PROGRAM [PROGRAM ...]

use larchfall_fault_tests::gateway_config::config;
use larchfall_fault_tests::gateway_process::{GatewayFiles, GatewayProcess};
use larchfall_fault_tests::load::{self, LoadPlan, steady_engine};
use larchfall_stub::discovery::Discovery;
use std::time::Duration;

const CLIENTS: usize = 24;
const INTERVAL: Duration = Duration::from_millis(20);
const OBJECTIVE: Duration = Duration::from_secs(1);
const WARM_UP: Duration = Duration::from_secs(1);
const DURATION: Duration = Duration::from_secs(6);

#[derive(Clone, Copy)]
struct Cost {
    micros_per_request: f64,
    megabytes: f64,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let times: usize = arguments.next().and_then(|times| times.parse().ok()).expect("how often");
    let programs: Vec<String> = arguments.collect();
    let mut costs: Vec<Vec<Cost>> = vec![Vec::new(); programs.len()];
    for _ in 0..times {
        for (program, costs) in programs.iter().zip(&mut costs) {
            costs.push(measure(program));
        }
    }
    for (program, mut costs) in programs.iter().zip(costs) {
        costs.sort_by(|a, b| a.micros_per_request.total_cmp(&b.micros_per_request));
        let median = costs[costs.len() / 2];
        println!(
            "{program}: {:.0} us a request (median of {times}; {:.0} to {:.0}), {:.1} MB",
            median.micros_per_request,
            costs[0].micros_per_request,
            costs[costs.len() - 1].micros_per_request,
            median.megabytes
        );
    }
}

fn measure(program: &str) -> Cost {
    let engine = steady_engine(Duration::from_millis(2));
    let discovery = Discovery::start("127.0.0.1:0").expect("a port");
    let config = config("127.0.0.1:0", discovery.address, Some(engine.address), 512);
    let files = GatewayFiles { config: &config, operator_config: None, environment: &[] };
    let gateway = GatewayProcess::start(program, discovery, &files);
    let load = |duration| {
        let plan = LoadPlan { objective: OBJECTIVE, duration };
        load::run(std::iter::repeat_n(&gateway, CLIENTS), |_| INTERVAL, plan)
    };
    load(WARM_UP);
    let before = gateway.resource_use();
    let counts = load(DURATION);
    let after = gateway.resource_use();
    assert_eq!(counts.wrong, 0, "{counts:?}");
    let micros = (after.cpu_time - before.cpu_time).as_micros() as f64;
    Cost {
        micros_per_request: micros / counts.sent.max(1) as f64,
        megabytes: after.memory_bytes as f64 / 1e6,
    }
}
