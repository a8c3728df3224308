//! Clients of a scenario, one for each process of a gateway: each keeps some requests of three request classes open, some of
//! them with keys of its own. What was sent, and how it ended, goes into one log.

use crate::audit::{Outcome, SentRequest};
use crate::sync::lock;
use larchfall_stub::client::Client;
use larchfall_stub::stub_engines::StatementOutcome;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that is returned within this time is in time.
pub const LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);
/// A client that retried at once would be rejected at once, and nothing else would be counted.
const PAUSE_AFTER_REJECTION: Duration = Duration::from_millis(20);
/// Half of all requests are look-ups.
const CLASSES: [&str; 4] = ["look", "look", "once", "load"];

/// A request that has ended.
#[derive(Clone, Debug)]
pub struct EndedRequest {
    /// When it ended.
    pub at: Instant,
    /// How long after it was sent.
    pub took: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

/// All requests of a run.
#[derive(Default)]
pub struct RequestLog {
    /// What was sent, by the request's id.
    pub sent: Mutex<HashMap<String, SentRequest>>,
    /// What ended, in order.
    pub ended: Mutex<Vec<EndedRequest>>,
}

impl RequestLog {
    fn record_end(&self, id: &str, outcome: Outcome) {
        let now = Instant::now();
        if let Some(sent) = lock(&self.sent).get_mut(id) {
            sent.outcomes.push(outcome.clone());
            lock(&self.ended).push(EndedRequest { at: now, took: now - sent.at, outcome });
        }
    }

    /// The audit finds this one: an answer to no request is a second one to some request.
    fn record_unexpected_answer(&self) {
        let outcome = Outcome::Errored("to nothing".into());
        lock(&self.ended).push(EndedRequest { at: Instant::now(), took: Duration::ZERO, outcome });
    }
}

/// Draws what becomes of a statement: one in six does not succeed, in one of three ways.
pub fn draw_statement_outcome(random: &Mutex<WyRand>) -> StatementOutcome {
    let mut random = lock(random);
    let draw_ms =
        |random: &mut WyRand, range: Range<u64>| Duration::from_millis(random.generate_range(range));
    match random.generate_range(0..100_u32) {
        0..6 => StatementOutcome::Fails(draw_ms(&mut random, 1..30)),
        6..12 => StatementOutcome::Declined,
        12..18 => {
            let delay = draw_ms(&mut random, 20..140);
            let takes = draw_ms(&mut random, 100..900);
            StatementOutcome::StartsAfterCut { delay, takes }
        }
        _ => StatementOutcome::Succeeds(draw_ms(&mut random, 5..60)),
    }
}

/// What all clients of a run share.
#[derive(Clone)]
pub struct ClientSettings {
    /// Each client draws from this seed and its process's number.
    pub seed: u64,
    /// Requests that a client keeps open.
    pub open_requests: usize,
    /// It keeps this many times as many open just now.
    pub load_factor: Arc<AtomicU32>,
    /// No new requests are sent.
    pub stop: Arc<AtomicBool>,
    /// Where requests are recorded.
    pub log: Arc<RequestLog>,
}

/// A client of one process of a gateway.
struct ScenarioClient<'a> {
    settings: &'a ClientSettings,
    process: usize,
    random: WyRand,
    connection: Client,
    /// Ids of requests by the ids that their answers will carry.
    open: BTreeMap<u32, String>,
    sent: usize,
}

/// Sends requests to a process of a gateway until it is gone or all is over.
pub fn run_client(gateway: SocketAddr, process: usize, settings: &ClientSettings) {
    let Ok(connection) = Client::connect(gateway) else { return };
    let random = WyRand::new_seed(settings.seed ^ (process as u64 + 1) << 32);
    let mut client = ScenarioClient { settings, process, random, connection, open: BTreeMap::new(), sent: 0 };
    if client.run().is_none() {
        let open = std::mem::take(&mut client.open);
        open.values().for_each(|id| settings.log.record_end(id, Outcome::GatewayGone));
    }
}

impl ScenarioClient<'_> {
    /// `None` if the connection ended while requests were open.
    fn run(&mut self) -> Option<()> {
        while !self.is_stopped() || !self.open.is_empty() {
            while self.open.len() < self.wanted_open() && !self.is_stopped() {
                self.send_request()?;
            }
            self.receive_answer()?;
        }
        Some(())
    }

    fn is_stopped(&self) -> bool {
        self.settings.stop.load(Ordering::Relaxed)
    }

    fn wanted_open(&self) -> usize {
        self.settings.open_requests * self.settings.load_factor.load(Ordering::Relaxed) as usize
    }

    fn send_request(&mut self) -> Option<()> {
        self.sent += 1;
        let number = self.sent;
        let id = format!("{:08x}{number:08x}", self.process + 1);
        let class = CLASSES[self.random.generate_range(0..CLASSES.len())];
        let key = format!("{:016x}", self.process * 2 + number % 2);
        let mut fields =
            vec![("req", &id[..]), ("timeout", "8000"), ("owner", "acme"), ("ms", "20"), ("est_mb", "5")];
        if class == "load" {
            fields.extend([("opkey", &id[..]), ("subject", &key[..])]);
        }
        let log = &self.settings.log;
        let sent = SentRequest { process: self.process, class, at: Instant::now(), outcomes: Vec::new() };
        lock(&log.sent).insert(id.clone(), sent);
        let Ok(answer_id) = self.connection.send(class, &fields, &format!("{class} {key} {number}")) else {
            log.record_end(&id, Outcome::GatewayGone);
            return None;
        };
        self.open.insert(answer_id, id);
        Some(())
    }

    fn receive_answer(&mut self) -> Option<()> {
        let (answer_id, answer) = self.connection.answer().ok()?;
        let Some(id) = self.open.remove(&answer_id) else {
            self.settings.log.record_unexpected_answer();
            return Some(());
        };
        let outcome = Outcome::from(answer);
        let rejected = outcome == Outcome::Rejected;
        self.settings.log.record_end(&id, outcome);
        if rejected {
            thread::sleep(PAUSE_AFTER_REJECTION);
        }
        Some(())
    }
}
