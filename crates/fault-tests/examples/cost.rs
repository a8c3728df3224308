//! Processor time a request and memory of a gateway, of some builds in turn, so that a machine whose speed drifts is held against
//! itself. cargo run --release -p larchfall-fault-tests --example cost -- TIMES PROGRAM [PROGRAM ...]

use larchfall_fault_tests::load;
use larchfall_fault_tests::process::{Gateway, config};
use larchfall_stub::discovery::Discovery;
use larchfall_stub::engine::{Act, Engine};
use std::time::Duration;

const CLIENTS: usize = 24;
const PACE: Duration = Duration::from_millis(20);
const DURATION: Duration = Duration::from_secs(6);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let times: usize = arguments.next().and_then(|n| n.parse().ok()).expect("how often");
    let programs: Vec<String> = arguments.collect();
    let mut shown: Vec<Vec<(f64, f64)>> = vec![Vec::new(); programs.len()];
    for _ in 0..times {
        for (program, shown) in programs.iter().zip(&mut shown) {
            shown.push(play(program));
        }
    }
    for (program, mut shown) in programs.iter().zip(shown) {
        shown.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (least, median, most) = (shown[0], shown[shown.len() / 2], shown[shown.len() - 1]);
        println!(
            "{program}: {:.0} us a batch (median of {times}; {:.0} to {:.0}), {:.1} MB",
            median.0, least.0, most.0, median.1
        );
    }
}

/// Microseconds of processor time a request, and megabytes held after it.
fn play(program: &str) -> (f64, f64) {
    let serve = |_: &_| Act::Serve(Duration::from_millis(2), vec![b"1\n".to_vec()]);
    let engine = Engine::start("127.0.0.1:0", serve).expect("a port");
    let discovery = Discovery::start("127.0.0.1:0").expect("a port");
    let text = config("127.0.0.1:0", discovery.address, Some(engine.address), 512);
    let gateway = Gateway::start(program, discovery, &text, None, &[]);
    let load = |duration| {
        load::run(std::iter::repeat_n(&gateway, CLIENTS), |_| PACE, Duration::from_secs(1), duration)
    };
    load(Duration::from_secs(1));
    let before = gateway.used().0;
    let ledger = load(DURATION);
    let (after, memory) = gateway.used();
    assert_eq!(ledger.wrong, 0, "{ledger:?}");
    ((after - before).as_micros() as f64 / ledger.sent.max(1) as f64, memory as f64 / 1e6)
}
