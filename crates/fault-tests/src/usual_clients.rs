//! Requests of both protocols, and clients that send one small request at a time and wait for its answer, beside clients
//! that misbehave.

use larchfall_stub::client::{Answer, Client, encode_request};
use larchfall_stub::rest::{RestClient, encode_call};
use std::fmt;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A protocol of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// MessagePack-RPC.
    MessagePack,
    /// The paged REST protocol.
    PagedRest,
}

/// Both protocols of clients.
pub const PROTOCOLS: [Protocol; 2] = [Protocol::MessagePack, Protocol::PagedRest];

/// The statement of usual clients.
pub const USUAL_STATEMENT: &str = "select usual";
/// How long a usual client waits for its answer.
pub const TIMEOUT: Duration = Duration::from_millis(3000);
/// Pause between two requests of a usual client.
const PAUSE: Duration = Duration::from_millis(50);

static LAST_ID: AtomicU64 = AtomicU64::new(0x1000_0000);

/// An id that no other request of the run has.
pub fn next_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed))
}

/// A request of either protocol, with a time limit of [`TIMEOUT`].
pub struct RequestText<'a> {
    /// Name of the request class.
    pub class: &'a str,
    /// Request id and idempotency key. Paged REST knows no ids of clients.
    pub id: &'a str,
    /// Ordering key.
    pub key: &'a str,
    /// The statement.
    pub statement: &'a str,
}

impl RequestText<'_> {
    /// Encodes the request as message number `message_id` of its connection.
    ///
    /// # Panics
    ///
    /// If the statement is longer than MessagePack can express.
    pub fn encode(&self, protocol: Protocol, host: SocketAddr, message_id: u32) -> Vec<u8> {
        match protocol {
            Protocol::MessagePack => {
                let timeout = TIMEOUT.as_millis().to_string();
                let fields = [
                    ("req", self.id),
                    ("timeout", &timeout),
                    ("owner", "acme"),
                    ("opkey", self.id),
                    ("subject", self.key),
                ];
                encode_request(message_id, self.class, &fields, self.statement).unwrap()
            }
            Protocol::PagedRest => {
                let session = format!("order_key={},time_limit_ms={}", self.key, TIMEOUT.as_millis());
                let headers = [
                    ("X-Trino-User", "acme"),
                    ("X-Trino-Source", self.class),
                    ("X-Trino-Session", &session),
                    ("Idempotency-Key", self.id),
                ];
                encode_call(host, "POST", "/v1/statement", &headers, self.statement.as_bytes())
            }
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With its rows.
    Served,
    /// With the protocol's answer to a request that may be sent again.
    Rejected,
    /// With any other answer.
    Errored,
    /// Without an answer, by the end of the connection.
    Closed,
    /// Without an answer within [`TIMEOUT`].
    Unanswered,
}

/// A connection of a usual client.
pub enum Connection {
    /// To the MessagePack-RPC listener.
    MessagePack(Client),
    /// To the paged REST listener.
    PagedRest(RestClient),
}

impl Connection {
    /// Connects; `None` if nothing listens.
    pub fn open(protocol: Protocol, address: SocketAddr) -> Option<Connection> {
        Some(match protocol {
            Protocol::MessagePack => {
                let client = Client::connect(address).ok()?;
                client.set_answer_timeout(TIMEOUT).ok()?;
                Connection::MessagePack(client)
            }
            Protocol::PagedRest => {
                let client = RestClient::connect(address).ok()?;
                client.set_answer_timeout(TIMEOUT).ok()?;
                Connection::PagedRest(client)
            }
        })
    }

    /// Sends a look-up as message number `message_id` of the connection, and waits for its answer.
    pub fn request(&mut self, address: SocketAddr, message_id: u32) -> Outcome {
        let id = next_id();
        let request = RequestText { class: "look", id: &id, key: "1", statement: USUAL_STATEMENT };
        let outcome = match self {
            Connection::MessagePack(client) => {
                let bytes = request.encode(Protocol::MessagePack, address, message_id);
                client.raw(&bytes).and_then(|()| client.answer()).map(|(_, answer)| match answer {
                    Answer::Rows(_) => Outcome::Served,
                    Answer::Error(name, _) if name == "Rejected" => Outcome::Rejected,
                    _ => Outcome::Errored,
                })
            }
            Connection::PagedRest(client) => {
                let bytes = request.encode(Protocol::PagedRest, address, message_id);
                client.raw(&bytes).and_then(|()| client.answer()).map(|answer| match answer.status {
                    200 if answer.body.windows(4).any(|text| text == b"\"ok\"") => Outcome::Served,
                    200 => Outcome::Unanswered,
                    429 => Outcome::Rejected,
                    _ => Outcome::Errored,
                })
            }
        };
        outcome.unwrap_or_else(|error| match error.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => Outcome::Unanswered,
            _ => Outcome::Closed,
        })
    }
}

/// Answers and latencies of usual clients.
#[derive(Default)]
pub struct Figures {
    results: Vec<(Outcome, Duration)>,
}

impl Figures {
    /// Number of requests.
    pub fn total(&self) -> usize {
        self.results.len()
    }

    /// Number of requests that ended like this.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.results.iter().filter(|(other, _)| *other == outcome).count()
    }

    /// The latency in milliseconds that this percentage of requests did not exceed.
    pub fn latency_ms(&self, percent: usize) -> u128 {
        let mut latencies: Vec<Duration> = self.results.iter().map(|(_, latency)| *latency).collect();
        latencies.sort_unstable();
        let index = (latencies.len() * percent / 100).min(latencies.len().saturating_sub(1));
        latencies.get(index).map_or(0, Duration::as_millis)
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "usual served {} rejected {} errored {} closed {} unanswered {}, p50 {} p99 {} max {} ms",
            self.count(Outcome::Served),
            self.count(Outcome::Rejected),
            self.count(Outcome::Errored),
            self.count(Outcome::Closed),
            self.count(Outcome::Unanswered),
            self.latency_ms(50),
            self.latency_ms(99),
            self.latency_ms(100)
        )
    }
}

/// Usual clients of one protocol that send until they are stopped: each second request on a new connection.
pub struct UsualClients {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<Figures>,
}

impl UsualClients {
    /// Starts to send to a gateway.
    pub fn start(protocol: Protocol, address: SocketAddr) -> UsualClients {
        let stopped = Arc::new(AtomicBool::new(false));
        let until = stopped.clone();
        let thread = thread::spawn(move || {
            let mut figures = Figures::default();
            while !until.load(Ordering::Relaxed) {
                let started = Instant::now();
                if let Some(mut connection) = Connection::open(protocol, address) {
                    for message_id in 1..=2 {
                        let started = Instant::now();
                        let outcome = connection.request(address, message_id);
                        figures.results.push((outcome, started.elapsed()));
                        thread::sleep(PAUSE);
                    }
                } else {
                    figures.results.push((Outcome::Closed, started.elapsed()));
                }
            }
            figures
        });
        UsualClients { stopped, thread }
    }

    /// Waits for the last answer, and returns the figures.
    ///
    /// # Panics
    ///
    /// If the client's thread has panicked.
    pub fn stop(self) -> Figures {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

/// Opens a connection for raw bytes.
pub fn raw_connection(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    Some(stream)
}

/// Writes bytes in parts with a pause after each. Returns false once the connection has ended.
pub fn write_slowly(stream: &mut TcpStream, bytes: &[u8], part_bytes: usize, pause: Duration) -> bool {
    bytes.chunks(part_bytes).all(|part| {
        thread::sleep(pause);
        stream.write_all(part).is_ok()
    })
}
