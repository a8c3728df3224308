//! Load on gateways that are processes: clients that send requests at a steady pace for some time and count the answers.

use crate::gateway_process::GatewayProcess;
use crate::sync::lock;
use larchfall_stub::client::{Answer, Client};
use larchfall_stub::engine::{Engine, EngineBehavior};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Clients of this process so far. Engines know requests by their ids, so that none may be used twice.
static CLIENTS_STARTED: AtomicUsize = AtomicUsize::new(0);

/// The fractional part of the golden ratio: multiples of it are spread evenly, modulo one, however many there are.
const GOLDEN_RATIO: f64 = 0.618_034;

/// One page of one row.
fn one_row() -> Vec<Vec<u8>> {
    vec![b"1\n".to_vec()]
}

/// An engine that returns one row after this long.
///
/// # Panics
///
/// If there is no free port.
pub fn steady_engine(takes: Duration) -> Engine {
    Engine::start("127.0.0.1:0", move |_| EngineBehavior::Serve(takes, one_row())).expect("a free port")
}

/// An engine that serves requests one after the other as far as its cores go: `cores / takes` of them a second.
pub fn limited_engine(takes: Duration, cores: u32) -> io::Result<Engine> {
    let free_from = Mutex::new(Instant::now());
    Engine::start("127.0.0.1:0", move |_| {
        let mut free_from = lock(&free_from);
        let now = Instant::now();
        *free_from = now.max(*free_from) + takes / cores;
        EngineBehavior::Serve(*free_from + takes - takes / cores - now, one_row())
    })
}

/// A quick engine that answers every statement with an error while it is told to.
pub struct BreakableEngine {
    /// The engine.
    pub engine: Engine,
    broken: Arc<AtomicBool>,
}

impl BreakableEngine {
    /// One that works.
    pub fn start() -> io::Result<BreakableEngine> {
        let broken = Arc::new(AtomicBool::new(false));
        let is_broken = broken.clone();
        let engine = Engine::start("127.0.0.1:0", move |_| {
            if is_broken.load(Ordering::Relaxed) {
                EngineBehavior::Fail
            } else {
                EngineBehavior::Serve(Duration::from_millis(2), one_row())
            }
        })?;
        Ok(BreakableEngine { engine, broken })
    }

    /// Whether statements fail from now on.
    pub fn set_broken(&self, broken: bool) {
        self.broken.store(broken, Ordering::Relaxed);
    }
}

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadCounts {
    /// Requests sent.
    pub sent: usize,
    /// Returned within the latency objective.
    pub in_time: usize,
    /// Returned at all.
    pub returned: usize,
    /// Answered with an error.
    pub rejected: usize,
    /// No answer, or more than one.
    pub wrong: usize,
}

impl LoadCounts {
    /// Adds the counts of other requests.
    pub fn add(&mut self, other: &LoadCounts) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.returned += other.returned;
        self.rejected += other.rejected;
        self.wrong += other.wrong;
    }

    /// Whether all that was sent was returned, each once.
    pub fn all_returned(&self) -> bool {
        self.returned == self.sent && self.wrong == 0
    }

    /// The fraction of requests that were returned in time, in 0..=1.
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.sent.max(1) as f64
    }
}

/// How long to send, and what counts as in time.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// The latency objective.
    pub objective: Duration,
    /// For how long clients send.
    pub duration: Duration,
}

/// One client of a gateway.
struct PacedClient {
    address: SocketAddr,
    number: usize,
    /// Before its first request.
    offset: Duration,
    /// From one request to the next.
    interval: Duration,
    plan: LoadPlan,
}

/// Sends look-ups from one client for each of these gateways, by each client's interval; returns what all got.
pub fn run<'a>(
    gateways: impl Iterator<Item = &'a GatewayProcess>,
    interval: impl Fn(usize) -> Duration,
    plan: LoadPlan,
) -> LoadCounts {
    let clients: Vec<_> = gateways
        .enumerate()
        .map(|(i, gateway)| {
            let interval = interval(i);
            let client = PacedClient {
                address: gateway.address,
                number: CLIENTS_STARTED.fetch_add(1, Ordering::Relaxed),
                // Clients that all send at the same moments would make one wave after the other, whatever their interval.
                offset: interval.mul_f64((i as f64 * GOLDEN_RATIO).fract()),
                interval,
                plan,
            };
            thread::spawn(move || client.run())
        })
        .collect();
    let mut total = LoadCounts::default();
    clients.into_iter().for_each(|client| total.add(&client.join().unwrap_or_default()));
    total
}

impl PacedClient {
    fn run(&self) -> LoadCounts {
        let mut counts = LoadCounts::default();
        let Ok(mut client) = Client::connect(self.address) else { return counts };
        let began = Instant::now();
        let deadline = began + self.plan.duration;
        let mut next = began + self.offset;
        let mut open: HashMap<u32, Instant> = HashMap::new();
        while Instant::now() < deadline {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += self.interval;
            let id = format!("{:08x}{:08x}", self.number, counts.sent);
            let fields =
                [("req", &id[..]), ("timeout", "6000"), ("owner", "acme"), ("ms", "20"), ("est_mb", "5")];
            let Ok(id) = client.send("look", &fields, "select 1") else { break };
            counts.sent += 1;
            open.insert(id, Instant::now());
            // A quick request is answered before the next is sent, a slow one at the end.
            let Ok((id, answer)) = client.answer() else { break };
            let Some(sent) = open.remove(&id) else {
                counts.wrong += 1;
                continue;
            };
            match answer {
                Answer::Rows(_) => {
                    counts.returned += 1;
                    counts.in_time += usize::from(sent.elapsed() <= self.plan.objective);
                }
                Answer::Error(..) | Answer::Pong => counts.rejected += 1,
            }
        }
        counts.wrong += open.len();
        counts
    }
}
