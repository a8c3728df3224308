//! Clients of both protocols that misbehave, on loopback sockets, and usual clients beside them.

use crate::common::{Gateway, config, operator_config};
use larchfall_fault_tests::recording_engine::{LONG, LONG_RUN, RecordingEngine};
use larchfall_fault_tests::usual_clients::{
    Connection, Figures, Outcome, PROTOCOLS, Protocol, RequestText, TIMEOUT, USUAL_STATEMENT, UsualClients,
    next_id, raw_connection,
};
use larchfall_paged_rest::document::Document;
use larchfall_stub::discovery::Discovery;
use larchfall_stub::engine::{Engine, EngineBehavior};
use larchfall_stub::rest::{RestClient, path};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time after the departure of a client within which its requests may still be sent to an engine.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);

/// Time within which a look-up is to be answered: the aim of its class in the settings.
const LOOK_UP_AIM: Duration = Duration::from_millis(1000);

/// What the platform and the operator give a gateway.
#[derive(Clone, Copy, Debug)]
struct Limits {
    memory_mb: usize,
    descriptors: usize,
    rest_connections: usize,
    poll_ms: u64,
}

const LIMITS: Limits = Limits { memory_mb: 192, descriptors: 1024, rest_connections: 32, poll_ms: 5000 };

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
        let Limits { rest_connections, poll_ms, .. } = limits;
        let rest = format!("connections = {rest_connections}\nin-hand = 8\npoll-ms = {poll_ms}");
        let gateway = Gateway::start_with_operator_config(discovery, &text, Some(&operator_config(&rest)));
        TestBed { gateway, engine }
    }

    fn address(&self, protocol: Protocol) -> SocketAddr {
        match protocol {
            Protocol::MessagePack => self.gateway.address,
            Protocol::PagedRest => self.gateway.rest.unwrap(),
        }
    }

    /// Connects and writes requests of this class with this statement, each with a new id.
    fn send(&self, protocol: Protocol, requests: u32, class: &str, statement: &str) -> TcpStream {
        let address = self.address(protocol);
        let encode = |message_id| {
            let id = next_id();
            RequestText { class, id: &id, key: "7", statement }.encode(protocol, address, message_id)
        };
        let bytes: Vec<u8> = (1..=requests).flat_map(encode).collect();
        let mut stream = raw_connection(address).unwrap();
        stream.set_write_timeout(Some(TIMEOUT)).unwrap();
        // A gateway that has enough of it may end the connection before all is written.
        let _ = stream.write_all(&bytes);
        stream
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

/// Guards against requests that are sent although their client closed its connection while it waited for the answer.
#[test]
fn a_client_that_leaves_while_it_waits_takes_its_request_back() {
    for protocol in PROTOCOLS {
        let test_bed = TestBed::start(LIMITS);
        let first = test_bed.send(protocol, 1, "load", LONG);
        thread::sleep(LONG_RUN / 4);
        let second = test_bed.send(protocol, 1, "load", "second");
        thread::sleep(LONG_RUN / 4);
        drop(second);
        thread::sleep(LONG_RUN * 2);
        assert_eq!(test_bed.engine.count(LONG), 1, "{protocol:?}: the load before");
        assert_eq!(test_bed.engine.count("second"), 0, "{protocol:?}: sent after its client had left");
        drop(first);
    }
}

/// Guards against requests that are sent after their client has closed its connection between two calls, and against the
/// loss of those whose client comes back.
#[test]
fn a_paged_request_is_sent_only_while_its_client_has_a_connection() {
    const POLL: Duration = Duration::from_millis(50);
    for comes_back in [false, true] {
        let test_bed = TestBed::start(Limits { poll_ms: POLL.as_millis() as u64, ..LIMITS });
        let address = test_bed.address(Protocol::PagedRest);
        let _first = test_bed.send(Protocol::PagedRest, 1, "load", LONG);
        thread::sleep(POLL);
        let id = next_id();
        let request = RequestText { class: "load", id: &id, key: "7", statement: "second" };
        let mut client = RestClient::connect(address).unwrap();
        client.raw(&request.encode(Protocol::PagedRest, address, 1)).unwrap();
        let answer = client.answer().unwrap();
        let mut document: Document = serde_json::from_slice(&answer.body).unwrap();
        assert!(document.next_uri.is_some() && document.data.is_none(), "{document:?}");
        drop(client);
        thread::sleep(LONG_RUN / 4);
        if comes_back {
            let mut client = RestClient::connect(address).unwrap();
            while let Some(next) = document.next_uri.take() {
                let answer = client.call("GET", path(&next), &[], b"").unwrap();
                document = serde_json::from_slice(&answer.body).unwrap();
            }
            assert!(document.data.is_some(), "{document:?}");
        } else {
            thread::sleep(LONG_RUN * 2);
        }
        assert_eq!(test_bed.engine.count("second"), usize::from(comes_back), "comes back: {comes_back}");
    }
}

/// Guards against requests that are read and sent after their client has gone, since nobody looked at the end of the
/// connection while input was left.
#[test]
fn requests_that_are_unread_when_their_client_leaves_are_not_sent() {
    for protocol in PROTOCOLS {
        for (class, statement_bytes) in [("once", 100), ("load", 100), ("once", 20_000)] {
            let test_bed = TestBed::start(LIMITS);
            let statement = format!("{LONG} {}", " ".repeat(statement_bytes));
            let stream = test_bed.send(protocol, 30, class, &statement);
            thread::sleep(LONG_RUN / 4);
            drop(stream);
            let gone = Instant::now();
            thread::sleep(LONG_RUN * 3);
            let times = test_bed.engine.times_of(LONG);
            let late = times.iter().filter(|at| **at > gone + DEPARTURE_GRACE).count();
            assert_eq!(
                late,
                0,
                "{protocol:?}, {class}, {statement_bytes} bytes: {} sent in all",
                times.len()
            );
            assert!(!times.is_empty(), "{protocol:?}, {class}: nothing was sent before the client left");
        }
    }
}

/// Guards against clients that together take the memory which each usual client's request needs: parts of large requests
/// on all connections that may be open.
#[test]
fn half_written_requests_leave_usual_clients_their_share_of_memory() {
    const THREADS: usize = 16;
    const CONNECTIONS: usize = 40;
    const STATEMENT_BYTES: usize = 60_000;
    let limits = Limits { memory_mb: 32, poll_ms: 1000, ..LIMITS };
    for protocol in PROTOCOLS {
        let test_bed = TestBed::start(limits);
        let address = test_bed.address(protocol);
        let id = next_id();
        let statement = " ".repeat(STATEMENT_BYTES);
        let request = RequestText { class: "look", id: &id, key: "7", statement: &statement };
        let request = Arc::new(request.encode(protocol, address, 1));
        let writers = Background::start(THREADS, move || {
            let half_written = |_| {
                let mut stream = raw_connection(address)?;
                stream.write_all(&request[..request.len() / 2]).ok()?;
                Some(stream)
            };
            let half_written: Vec<TcpStream> = (0..CONNECTIONS).filter_map(half_written).collect();
            thread::sleep(Duration::from_millis(100));
            drop(half_written);
        });
        thread::sleep(Duration::from_millis(600));
        let usual = test_bed.serve_usual_clients(Duration::from_secs(3));
        let peak = test_bed.gateway.peak_memory_bytes();
        writers.stop();
        for (usual_protocol, figures) in PROTOCOLS.iter().zip(&usual) {
            let description = format!("half-written {protocol:?}, usual clients of {usual_protocol:?}");
            assert_served(figures, &description);
        }
        assert!(peak <= limits.memory_mb << 20, "{protocol:?}: {} KiB", peak >> 10);
    }
}

/// The beginning of a request that announces more fields than any request has.
fn many_short_fields(protocol: Protocol) -> Vec<u8> {
    const FIELDS: u32 = 60_000;
    match protocol {
        Protocol::MessagePack => {
            let head = [0x94, 0, 1, 0xa4, b'l', b'o', b'o', b'k', 0x92, 0xdf];
            let fields = [0xa0, 0x01].repeat(FIELDS as usize);
            [&head[..], &FIELDS.to_be_bytes(), &fields].concat()
        }
        Protocol::PagedRest => {
            let fields: String = (0..FIELDS).map(|field| format!("a{field}:\r\n")).collect();
            format!("POST /v1/statement HTTP/1.1\r\n{fields}").into_bytes()
        }
    }
}

/// Guards against heads of very many short fields, each of which took some 10 ms to read: hundreds of them at once
/// delayed all other clients.
#[test]
fn requests_of_very_many_short_fields_are_refused_at_once_and_delay_no_others() {
    const THREADS: usize = 64;
    let limits = Limits { memory_mb: 32, poll_ms: 1000, ..LIMITS };
    for protocol in PROTOCOLS {
        let test_bed = TestBed::start(limits);
        let address = test_bed.address(protocol);
        let request = Arc::new(many_short_fields(protocol));
        let flood = Background::start(THREADS, move || {
            let Some(mut stream) = raw_connection(address) else { return };
            let _ = stream.write_all(&request);
            let _ = stream.read(&mut [0; 1024]);
        });
        let usual = test_bed.serve_usual_clients(Duration::from_secs(3));
        let mut stream = raw_connection(address).unwrap();
        stream.write_all(&many_short_fields(protocol)[..8 * 1024]).unwrap();
        let mut answer = [0; 1024];
        let length = stream.read(&mut answer).unwrap_or(0);
        flood.stop();
        let answer = String::from_utf8_lossy(&answer[..length]);
        let refusal = if protocol == Protocol::MessagePack { "too many fields" } else { "431" };
        assert!(answer.contains(refusal), "{protocol:?}: {answer}");
        for (usual_protocol, figures) in PROTOCOLS.iter().zip(&usual) {
            let description = format!("short fields of {protocol:?}, usual clients of {usual_protocol:?}");
            assert_served(figures, &description);
            let slowest = Duration::from_millis(figures.latency_ms(100) as u64);
            assert!(slowest < LOOK_UP_AIM, "{description}: {figures}");
        }
        let peak = test_bed.gateway.peak_memory_bytes();
        assert!(peak <= limits.memory_mb << 20, "{protocol:?}: {} KiB", peak >> 10);
    }
}

/// Requests of classes that do not exist, each of another: as many as a client writes at once.
fn unknown_requests(protocol: Protocol, host: SocketAddr, write: u32) -> Vec<u8> {
    const REQUESTS: u32 = 20;
    let encode = |message_id| {
        let id = next_id();
        let class = format!("class-{id}");
        let request = RequestText { class: &class, id: &id, key: &id, statement: "select 1" };
        request.encode(protocol, host, message_id)
    };
    (write * REQUESTS + 1..=(write + 1) * REQUESTS).flat_map(encode).collect()
}

/// Guards against a connection whose input never ends and whose coroutine never pauses: others were served 3 s later, or
/// not at all.
#[test]
fn one_client_at_full_speed_does_not_delay_others() {
    const FLOOD: Duration = Duration::from_secs(8);
    for protocol in PROTOCOLS {
        let test_bed = TestBed::start(Limits { poll_ms: 1000, memory_mb: 32, ..LIMITS });
        let address = test_bed.address(protocol);
        let usual = PROTOCOLS.map(|usual| (usual, UsualClients::start(usual, test_bed.address(usual))));
        let flood = Background::start(1, move || {
            let Some(mut stream) = raw_connection(address) else { return };
            let mut input = stream.try_clone().unwrap();
            let reader = thread::spawn(move || while matches!(input.read(&mut [0; 16 * 1024]), Ok(1..)) {});
            let until = Instant::now() + FLOOD;
            for write in (0..).take_while(|_| Instant::now() < until) {
                if stream.write_all(&unknown_requests(protocol, address, write)).is_err() {
                    break;
                }
            }
            let _ = stream.shutdown(Shutdown::Both);
            reader.join().unwrap();
        });
        thread::sleep(FLOOD - Duration::from_millis(500));
        let usual = usual.map(|(usual_protocol, usual)| (usual_protocol, usual.stop()));
        flood.stop();
        for (usual_protocol, figures) in usual {
            let description = format!("flood of {protocol:?}, usual clients of {usual_protocol:?}");
            assert_served(&figures, &description);
            let slowest = Duration::from_millis(figures.latency_ms(100) as u64);
            assert!(slowest < LOOK_UP_AIM, "{description}: {figures}");
        }
    }
}

/// Guards against an effect that happens twice: a statement that may run once only ran again when its id or its
/// idempotency key came again after its client had left.
#[test]
fn a_statement_that_runs_once_only_does_not_run_again_when_its_id_comes_again() {
    for protocol in PROTOCOLS {
        for stay in [LONG_RUN / 2, LONG_RUN * 2] {
            let test_bed = TestBed::start(LIMITS);
            let address = test_bed.address(protocol);
            let id = next_id();
            let request = RequestText { class: "once", id: &id, key: "7", statement: LONG };
            let request = request.encode(protocol, address, 1);
            let mut first = raw_connection(address).unwrap();
            first.write_all(&request).unwrap();
            thread::sleep(stay);
            drop(first);
            thread::sleep(DEPARTURE_GRACE);
            let mut second = raw_connection(address).unwrap();
            second.write_all(&request).unwrap();
            let mut answer = [0; 1024];
            let length = second.read(&mut answer).unwrap_or(0);
            let answer = String::from_utf8_lossy(&answer[..length]);
            let refusal = if protocol == Protocol::MessagePack { "this id " } else { "409" };
            let description = format!("{protocol:?}, left after {stay:?}");
            assert!(answer.contains(refusal), "{description}: {answer}");
            thread::sleep(LONG_RUN * 2);
            assert_eq!(test_bed.engine.count(LONG), 1, "{description}");
        }
    }
}

/// Guards against the refusal of a repetition that is safe: a request that was rejected has not run.
#[test]
fn a_rejected_statement_may_come_again_under_its_id() {
    for protocol in PROTOCOLS {
        let declines = Arc::new(AtomicBool::new(true));
        let declines_now = declines.clone();
        let engine = Engine::start("127.0.0.1:0", move |_| {
            if declines_now.load(Ordering::Relaxed) {
                EngineBehavior::Decline
            } else {
                EngineBehavior::Serve(Duration::ZERO, vec![b"ok\n".to_vec()])
            }
        })
        .unwrap();
        let discovery = Discovery::start("127.0.0.1:0").unwrap();
        let text = config("127.0.0.1:0", discovery.address, Some(engine.address), LIMITS.descriptors);
        let gateway = Gateway::start_with_operator_config(discovery, &text, Some(&operator_config("")));
        let address = match protocol {
            Protocol::MessagePack => gateway.address,
            Protocol::PagedRest => gateway.rest.unwrap(),
        };
        let id = next_id();
        let request = RequestText { class: "once", id: &id, key: "7", statement: "select 1" };
        let request = request.encode(protocol, address, 1);
        let answer_to = || {
            let mut stream = raw_connection(address).unwrap();
            stream.write_all(&request).unwrap();
            let mut answer = [0; 1024];
            let length = stream.read(&mut answer).unwrap_or(0);
            String::from_utf8_lossy(&answer[..length]).into_owned()
        };
        let rejected = answer_to();
        assert!(rejected.contains("Rejected") || rejected.contains("429"), "{protocol:?}: {rejected}");
        declines.store(false, Ordering::Relaxed);
        let served = answer_to();
        assert!(served.contains("ok"), "{protocol:?}: {served}");
    }
}

/// Guards against a refusal that a client has to wait for until it has written the rest of its request.
#[test]
fn a_request_over_the_memory_budget_is_rejected_before_it_has_come_whole() {
    const FULL: usize = 300;
    const STATEMENT_BYTES: usize = 60_000;
    for protocol in PROTOCOLS {
        let test_bed = TestBed::start(Limits { memory_mb: 32, ..LIMITS });
        let address = test_bed.address(protocol);
        let id = next_id();
        let statement = " ".repeat(STATEMENT_BYTES);
        let request = RequestText { class: "look", id: &id, key: "7", statement: &statement };
        let request = request.encode(protocol, address, 1);
        let half_written: Vec<TcpStream> = (0..FULL)
            .filter_map(|_| {
                let mut stream = raw_connection(address)?;
                let _ = stream.write_all(&request[..request.len() * 9 / 10]);
                Some(stream)
            })
            .collect();
        let mut answers = half_written.into_iter().filter_map(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
            let mut answer = [0; 1024];
            let length = stream.read(&mut answer).ok()?;
            let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
            Some(answer).filter(|answer| answer.contains("Rejected") || answer.contains("429"))
        });
        assert!(answers.next().is_some(), "{protocol:?}: none was rejected");
    }
}
