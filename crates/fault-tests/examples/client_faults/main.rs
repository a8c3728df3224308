//! Probes how a gateway serves usual clients beside clients that misbehave, over both protocols. Prints a line of
//! figures for each probe: answers and latencies of usual clients, memory, and what the engine recorded.
//!
//! `cargo run --release -p larchfall-fault-tests --example client_faults -- PROGRAM [PROBE]...`, where each PROBE is the
//! beginning of a probe's name: `a 32 1024 Silent` (memory in MB, descriptors), `b Pings`, `c`, `d`.

mod departures;
mod floods;
mod slow_clients;
mod test_bed;

use floods::Flood;
use slow_clients::Misbehavior;
use std::time::Duration;
use test_bed::Limits;

const SMALL: Limits = Limits { memory_mb: 32, descriptors: 1024, rest_connections: 32 };
const FEW_DESCRIPTORS: Limits = Limits { memory_mb: 32, descriptors: 256, rest_connections: 1 };
const LARGE: Limits = Limits { memory_mb: 192, descriptors: 1024, rest_connections: 128 };

/// Number of clients that misbehave at once.
const CLIENTS: usize = 700;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program = arguments.next().expect("the gateway's program");
    let chosen: Vec<String> = arguments.collect();
    let is_chosen =
        |probe: &str| chosen.is_empty() || chosen.iter().any(|prefix| probe.starts_with(prefix.as_str()));
    for limits in [SMALL, FEW_DESCRIPTORS, LARGE] {
        for misbehavior in [
            Misbehavior::Silent,
            Misbehavior::WritesSlowly { statement_bytes: 60_000 },
            Misbehavior::WritesSlowly { statement_bytes: 120_000 },
            Misbehavior::StopsHalfWay { statement_bytes: 120_000 },
            Misbehavior::StopsHalfWay { statement_bytes: 60_000 },
            Misbehavior::SendsShortFields,
        ] {
            if is_chosen(&format!("a {} {} {misbehavior:?}", limits.memory_mb, limits.descriptors)) {
                slow_clients::probe(&program, limits, CLIENTS, misbehavior);
            }
        }
    }
    for flood in [Flood::Pings, Flood::UnknownClasses, Flood::NewNames, Flood::LongLoads] {
        if is_chosen(&format!("b {flood:?}")) {
            floods::probe(&program, SMALL, flood);
        }
    }
    if is_chosen("c") {
        for stay in [Duration::ZERO, Duration::from_millis(200)] {
            departures::unread_requests(&program, SMALL, 1, 100, stay);
            departures::unread_requests(&program, SMALL, 30, 100, stay);
            departures::unread_requests(&program, SMALL, 30, 20_000, stay);
        }
        departures::repeated_ids(&program, SMALL);
    }
    if is_chosen("d") {
        departures::replaced_engines(&program, SMALL);
    }
}
