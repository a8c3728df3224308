//! Clients of both protocols that misbehave, on loopback sockets, and usual clients beside them.

use crate::common::{Gateway, config, operator_config};
use larchfall_fault_tests::recording_engine::RecordingEngine;
use larchfall_fault_tests::usual_clients::{
    Connection, Figures, Outcome, PROTOCOLS, Protocol, RequestText, TIMEOUT, USUAL_STATEMENT, UsualClients,
    next_id, raw_connection,
};
use larchfall_stub::discovery::Discovery;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time after the departure of a client within which its requests may still be sent to an engine.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);

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

/// What clients by hundreds leave on their connections.
#[derive(Clone, Copy, Debug)]
enum Left {
    Nothing,
    HalfARequest,
}

/// Connects usual clients after others that hold their connections open and send nothing more.
fn serve_beside_waiting_connections(limits: Limits, connections: usize, left: Left) {
    const USUAL_CLIENTS: usize = 6;
    for protocol in PROTOCOLS {
        let test_bed = TestBed::start(limits);
        let address = test_bed.address(protocol);
        let id = next_id();
        let request = RequestText { class: "look", id: &id, key: "7", statement: &" ".repeat(2000) };
        let request = request.encode(protocol, address, 1);
        let waiting: Vec<TcpStream> = (0..connections)
            .filter_map(|_| {
                let mut stream = raw_connection(address)?;
                if let Left::HalfARequest = left {
                    let _ = stream.write_all(&request[..request.len() / 2]);
                }
                Some(stream)
            })
            .collect();
        thread::sleep(Duration::from_millis(300));
        let usual: Vec<JoinHandle<Outcome>> = (0..USUAL_CLIENTS)
            .map(|_| thread::spawn(move || Connection::open(protocol, address).unwrap().request(address, 1)))
            .collect();
        let outcomes: Vec<Outcome> = usual.into_iter().map(|client| client.join().unwrap()).collect();
        let gone = Instant::now();
        let description = format!("{limits:?}, {connections} of {protocol:?}, {left:?}");
        assert_eq!(outcomes, [Outcome::Served; USUAL_CLIENTS], "{description}");
        drop(waiting);
        thread::sleep(Duration::from_millis(500));
        let late = |at: &Instant| *at > gone + DEPARTURE_GRACE;
        assert!(!test_bed.engine.times_of(USUAL_STATEMENT).iter().any(late), "{description}: sent late");
    }
}

/// Guards against connections that say nothing and hold a place while those of other clients wait in the listener's
/// queue; paged REST kept each for 2 s.
#[test]
fn silent_connections_keep_no_other_client_waiting() {
    for (rest_connections, descriptors) in [(32, 1024), (1, 1024), (1, 256), (16, 256)] {
        let limits = Limits { rest_connections, descriptors, ..LIMITS };
        serve_beside_waiting_connections(limits, 300, Left::Nothing);
    }
}

/// Guards against connections that stop in the middle of a request and hold a place for as long as they may.
#[test]
fn connections_that_stop_within_a_request_keep_no_other_client_waiting() {
    for (rest_connections, descriptors) in [(32, 1024), (1, 256)] {
        let limits = Limits { rest_connections, descriptors, ..LIMITS };
        serve_beside_waiting_connections(limits, 300, Left::HalfARequest);
    }
}
