//! Clients of both protocols that misbehave, on loopback sockets, and usual clients beside them.

use crate::common::{Gateway, config, operator_config};
use larchfall_fault_tests::recording_engine::RecordingEngine;
use larchfall_fault_tests::usual_clients::{
    Figures, Outcome, PROTOCOLS, Protocol, TIMEOUT, USUAL_STATEMENT, UsualClients, raw_connection,
};
use larchfall_stub::discovery::Discovery;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// What the platform and the operator give a gateway.
#[derive(Clone, Copy, Debug)]
struct Limits {
    memory_mb: usize,
    descriptors: usize,
    rest_connections: usize,
}

const LIMITS: Limits = Limits { memory_mb: 192, descriptors: 1024, rest_connections: 32 };

/// A gateway with an engine that records its attempts.
struct TestBed {
    gateway: Gateway,
    engine: RecordingEngine,
}

impl TestBed {
    fn start(limits: Limits) -> TestBed {
        let engine = RecordingEngine::start();
        let discovery = Discovery::start("127.0.0.1:0").unwrap();
        let text = config("127.0.0.1:0", discovery.address, Some(engine.address), limits.descriptors);
        let text = text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{}", limits.memory_mb));
        let rest = format!("connections = {}\nin-hand = 8\npoll-ms = 5000", limits.rest_connections);
        let gateway = Gateway::start_with_operator_config(discovery, &text, Some(&operator_config(&rest)));
        TestBed { gateway, engine }
    }

    fn address(&self, protocol: Protocol) -> SocketAddr {
        match protocol {
            Protocol::MessagePack => self.gateway.address,
            Protocol::PagedRest => self.gateway.rest.unwrap(),
        }
    }

    /// Sends look-ups as usual clients of both protocols do, and returns the figures of each.
    fn serve_usual_clients(&self, duration: Duration) -> [Figures; 2] {
        let usual = PROTOCOLS.map(|protocol| UsualClients::start(protocol, self.address(protocol)));
        thread::sleep(duration);
        usual.map(UsualClients::stop)
    }
}

/// Threads that run until they are stopped.
struct Background {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Background {
    /// Runs `step` again and again on this many threads.
    fn start(threads: usize, step: impl Fn() + Clone + Send + 'static) -> Background {
        let stopped = Arc::new(AtomicBool::new(false));
        let start = |_| {
            let (stopped, step) = (stopped.clone(), step.clone());
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    step();
                }
            })
        };
        let threads = (0..threads).map(start).collect();
        Background { stopped, threads }
    }

    fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
    }
}

/// A connection that a gateway closes for others may cross a request, which its client sends again; all others are
/// served.
fn assert_served(figures: &Figures, description: &str) {
    let served = figures.count(Outcome::Served) + figures.count(Outcome::Closed);
    assert!(figures.count(Outcome::Served) > 0 && served == figures.total(), "{description}: {figures}");
}

/// Guards against a time of arrival that lies ever further back while connections wait in the listener's queue: each
/// new request counted as sent at the beginning of the pressure, and was rejected as too late.
#[test]
fn under_lasting_pressure_of_connections_the_time_of_a_request_runs_from_its_arrival() {
    const THREADS: usize = 8;
    const CONNECTIONS: usize = 12;
    // 16 connections of clients fit.
    let test_bed = TestBed::start(Limits { descriptors: 64, rest_connections: 4, ..LIMITS });
    let address = test_bed.address(Protocol::MessagePack);
    let pressure = Background::start(THREADS, move || {
        let silent: Vec<TcpStream> = (0..CONNECTIONS).filter_map(|_| raw_connection(address)).collect();
        thread::sleep(Duration::from_millis(20));
        drop(silent);
    });
    // Longer than the time limit of a request.
    thread::sleep(TIMEOUT + Duration::from_millis(500));
    let [message_pack, _] = test_bed.serve_usual_clients(Duration::from_secs(3));
    pressure.stop();
    assert_served(&message_pack, "MessagePack");
    assert!(test_bed.engine.count(USUAL_STATEMENT) >= message_pack.count(Outcome::Served));
}
