//! Several faults at once: engines replaced at their addresses, calls that are cut and arrive late, errors, clients of both
//! protocols that disconnect, and a flood of valid requests that are all cancelled. The stub engines keep an audit log of
//! the statements that ran. Each failure message names the seed of the run.

use crate::common::{Gateway, config_of, operator_config, settings, wait_for};
use larchfall_fault_tests::audit::{DrainAnnouncement, Outcome, RetryBudget, RunRecord, SentRequest};
use larchfall_paged_rest::document::Document;
use larchfall_stub::client::{Answer, Client};
use larchfall_stub::discovery::{Discovery, Endpoint, frame};
use larchfall_stub::rest::{Answer as RestAnswer, RestClient, path};
use larchfall_stub::stub_engines::{AuditLog, StatementOutcome, StubEngines};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENGINES: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(7);
/// The retry budget in the gateway's settings: free retries, further retries for each request, and the window in
/// which both are counted.
const FREE_RETRIES: f64 = 2.0;
const RETRIES_PER_REQUEST: f64 = 0.1;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Requests that a MessagePack client has open at a time.
const OPEN_REQUESTS: usize = 6;
/// Request classes to draw from; `look` is drawn twice as often as each other class.
const CLASSES: [&str; 4] = ["look", "look", "once", "load"];

/// The requests that clients sent and their outcomes.
#[derive(Default)]
struct ClientRecords {
    /// By request id.
    sent: Mutex<HashMap<String, SentRequest>>,
    /// Number of requests that the last reporting flooding client sent.
    flood: Mutex<usize>,
}

impl ClientRecords {
    fn record_sent(&self, id: &str, class: &'static str) {
        let sent = SentRequest { process: 0, class, at: Instant::now(), outcomes: Vec::new() };
        self.sent.lock().unwrap().insert(id.to_owned(), sent);
    }

    fn record_outcome(&self, id: &str, outcome: Outcome) {
        self.sent.lock().unwrap().get_mut(id).unwrap().outcomes.push(outcome);
    }
}

/// Draws the outcome of a statement at a stub engine.
fn draw_statement_outcome(rng: &Mutex<WyRand>, statement: &str) -> StatementOutcome {
    let mut rng = rng.lock().unwrap();
    let ms = |rng: &mut WyRand, from, to| Duration::from_millis(rng.generate_range(from..to));
    if statement == "flood" {
        return StatementOutcome::Fails(ms(&mut rng, 5, 20));
    }
    match rng.generate_range(0..100_u32) {
        0..12 => StatementOutcome::Fails(ms(&mut rng, 1, 30)),
        12..20 => StatementOutcome::Declined,
        20..30 => {
            let delay = ms(&mut rng, 20, 140);
            StatementOutcome::StartsAfterCut { delay, takes: ms(&mut rng, 100, 900) }
        }
        30..35 => StatementOutcome::Succeeds(Duration::from_secs(60)),
        _ => StatementOutcome::Succeeds(ms(&mut rng, 5, 60)),
    }
}

/// Generates the request ids of one client, which no other client uses, and its two ordering keys.
struct RequestNames {
    client: usize,
    requests: usize,
}

impl RequestNames {
    fn next_id(&mut self) -> String {
        self.requests += 1;
        format!("{:08x}{:08x}", self.client + 1, self.requests)
    }

    fn ordering_key(&self) -> String {
        format!("{:016x}", self.client * 2 + self.requests % 2)
    }
}

fn client_rng(client: usize, seed: u64) -> WyRand {
    WyRand::new_seed(seed ^ (client as u64 + 1) << 32)
}

fn send_request(
    client: &mut Client,
    names: &mut RequestNames,
    class: &'static str,
    records: &ClientRecords,
) -> (u32, String) {
    let id = names.next_id();
    let key = names.ordering_key();
    let mut fields =
        vec![("req", &id[..]), ("timeout", "6000"), ("owner", "acme"), ("ms", "20"), ("est_mb", "5")];
    if class == "load" {
        fields.extend([("opkey", &id[..]), ("subject", &key[..])]);
    }
    records.record_sent(&id, class);
    let statement = format!("{class} {key} {}", names.requests);
    let message = client.send(class, &fields, &statement).unwrap();
    (message, id)
}

/// Keeps `OPEN_REQUESTS` requests with its own ordering keys open until the end of the run. Cancels some requests and
/// drops some connections.
fn message_pack_client(
    gateway: SocketAddr,
    number: usize,
    seed: u64,
    stopped: &AtomicBool,
    records: &ClientRecords,
) {
    let mut rng = client_rng(number, seed);
    let mut client = Client::connect(gateway).unwrap();
    let mut open: BTreeMap<u32, String> = BTreeMap::new();
    let mut names = RequestNames { client: number, requests: 0 };
    while !stopped.load(Ordering::Relaxed) || !open.is_empty() {
        while open.len() < OPEN_REQUESTS && !stopped.load(Ordering::Relaxed) {
            let class = CLASSES[rng.generate_range(0..CLASSES.len())];
            let (message, id) = send_request(&mut client, &mut names, class, records);
            open.insert(message, id);
        }
        match rng.generate_range(0..40_u32) {
            0 => {
                // The client disconnects and abandons all its open requests.
                open.values().for_each(|id| records.record_outcome(id, Outcome::Abandoned));
                open.clear();
                client = Client::connect(gateway).unwrap();
                continue;
            }
            1..4 => {
                let (message, id) = open.pop_first().unwrap();
                client.abort(message).unwrap();
                records.record_outcome(&id, Outcome::Abandoned);
                continue;
            }
            _ => {}
        }
        let (message, answer) = client.answer().unwrap();
        // A response to a cancelled request may have been under way; its outcome is recorded already.
        if let Some(id) = open.remove(&message) {
            records.record_outcome(&id, answer.into());
        }
    }
    // Drains the connection up to the pong: a response before it belongs to no open request.
    let ping = client.ping().unwrap();
    loop {
        match client.answer().unwrap() {
            (id, Answer::Pong) if id == ping => return,
            (_, _) => continue,
        }
    }
}

/// Sends statements over the paged REST protocol one after the other. Abandons some results before or between pages.
fn paged_client(
    gateway: SocketAddr,
    number: usize,
    seed: u64,
    stopped: &AtomicBool,
    records: &ClientRecords,
) {
    let mut rng = client_rng(number, seed);
    let mut client = RestClient::connect(gateway).unwrap();
    let mut names = RequestNames { client: number, requests: 0 };
    while !stopped.load(Ordering::Relaxed) {
        let id = names.next_id();
        let key = names.ordering_key();
        let class = CLASSES[rng.generate_range(0..CLASSES.len())];
        let session = format!("time_limit_ms=6000,order_key={key}");
        let mut head = vec![("X-Trino-User", "acme"), ("X-Trino-Source", class)];
        if class == "load" {
            head.extend([("X-Trino-Session", &session[..]), ("Idempotency-Key", &id[..])]);
        }
        records.record_sent(&id, class);
        // The gateway generates the request id that engines see, so the statement carries the client's id for the audit.
        let statement = format!("{class} {key} {} {id}", names.requests);
        let first = client.call("POST", "/v1/statement", &head, statement.as_bytes()).unwrap();
        let end = read_pages(gateway, &mut client, first, &mut rng, seed);
        records.record_outcome(&id, end);
    }
}

/// Reads a result to its end or abandons it, and returns the outcome.
fn read_pages(
    gateway: SocketAddr,
    client: &mut RestClient,
    first: RestAnswer,
    rng: &mut WyRand,
    seed: u64,
) -> Outcome {
    let mut answer = first;
    loop {
        if answer.status == 429 {
            return Outcome::Rejected;
        }
        assert_eq!(answer.status, 200, "seed {seed}: {}", String::from_utf8_lossy(&answer.body));
        let document: Document = serde_json::from_slice(&answer.body).unwrap();
        let Some(next) = document.next_uri else {
            return match document.error {
                Some(error) if error.error_name == "QUERY_QUEUE_FULL" => Outcome::Rejected,
                Some(error) => Outcome::Errored(error.error_name),
                None => Outcome::Returned,
            };
        };
        match rng.generate_range(0..30_u32) {
            0 => {
                // After the client disconnects, the gateway keeps the result for a while and then abandons it.
                *client = RestClient::connect(gateway).unwrap();
                return Outcome::Abandoned;
            }
            1 => {
                assert_eq!(client.call("DELETE", path(&next), &[], b"").unwrap().status, 204);
                return Outcome::Abandoned;
            }
            _ => answer = client.call("GET", path(&next), &[], b"").unwrap(),
        }
    }
}

/// Sends valid requests in batches of 24 and cancels each right after it is sent.
fn flooding_client(gateway: SocketAddr, stopped: &AtomicBool, records: &ClientRecords) {
    let mut n = 0;
    while !stopped.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::connect(gateway) else { continue };
        for _ in 0..24 {
            n += 1;
            let id = format!("f{n:015x}");
            let fields =
                [("req", &id[..]), ("timeout", "3000"), ("owner", "acme"), ("ms", "20"), ("est_mb", "5")];
            let Ok(sent) = client.send("look", &fields, "flood") else { break };
            if client.abort(sent).is_err() {
                break;
            }
        }
        *records.flood.lock().unwrap() = n;
        thread::sleep(Duration::from_millis(20));
    }
}

/// An entry of the endpoint list; its position is the index of its address.
#[derive(Clone, Copy)]
struct Entry {
    id: u32,
    state: u8,
    /// The stub engine process that listens at the address.
    process: usize,
}

const READY: u8 = 0;
const DRAINING: u8 = 1;

fn publish_endpoint_list(
    discovery: &Discovery,
    stub_engines: &StubEngines,
    entries: &[Entry],
    revision: u64,
) {
    let listed: Vec<Endpoint> = entries
        .iter()
        .enumerate()
        .map(|(i, entry)| Endpoint {
            id: entry.id,
            address: stub_engines.address(i),
            state: entry.state,
            zone: 0,
            kind: 0,
        })
        .collect();
    discovery.say(revision, frame(revision, true, &listed));
}

/// Replaces one engine after the other: the engine is announced as draining, stops listening while its queries run on, and
/// a new process listens at its address. Returns when each process was announced as draining.
fn replace_engines(
    stub_engines: &mut StubEngines,
    discovery: &Discovery,
    until: Instant,
) -> Vec<DrainAnnouncement> {
    let mut revision = 1;
    let mut entries: Vec<Entry> =
        (0..ENGINES).map(|i| Entry { id: i as u32 + 1, state: READY, process: i }).collect();
    let mut drain_announcements = Vec::new();
    for round in 0.. {
        if Instant::now() >= until {
            break;
        }
        let i = round % ENGINES;
        entries[i].state = DRAINING;
        revision += 1;
        publish_endpoint_list(discovery, stub_engines, &entries, revision);
        drain_announcements.push(DrainAnnouncement { process: entries[i].process, at: Instant::now() });
        thread::sleep(Duration::from_millis(300));
        stub_engines.close(i);
        thread::sleep(Duration::from_millis(200));
        let id = (ENGINES + round + 1) as u32;
        entries[i] = Entry { id, state: READY, process: stub_engines.open(i) };
        thread::sleep(Duration::from_millis(200));
        revision += 1;
        publish_endpoint_list(discovery, stub_engines, &entries, revision);
        thread::sleep(Duration::from_millis(300));
    }
    drain_announcements
}

fn audit_run(
    seed: u64,
    audit_log: &AuditLog,
    records: &ClientRecords,
    drain_announcements: &[DrainAnnouncement],
) {
    let sent = records.sent.lock().unwrap();
    let retry_budget =
        RetryBudget { free: FREE_RETRIES, per_request: RETRIES_PER_REQUEST, window: RETRY_WINDOW };
    let report = RunRecord {
        audit_log,
        sent: &sent,
        drained: drain_announcements,
        outages: &[],
        stalls: &[],
        drain_grace: DRAIN_GRACE,
        retry_budget,
    }
    .audit();
    let coverage = report.coverage;
    assert_eq!(report.violations, [""; 0], "seed {seed}");
    println!(
        "seed {seed}: {} requests, {} flood requests, {} executions, {coverage:?}",
        sent.len(),
        records.flood.lock().unwrap(),
        audit_log.executions.len()
    );
    assert!(
        sent.len() > 100 && coverage.retries > 0 && coverage.longest_key > 5,
        "seed {seed}: too few requests, retries or requests of one key to test the rules"
    );
}

fn run_seed(seed: u64) {
    let rng = Mutex::new(WyRand::new_seed(seed));
    let addresses: Vec<String> =
        (0..ENGINES).map(|i| format!("127.0.{}.{}:0", 10 + seed % 200, 1 + i)).collect();
    let addresses: Vec<&str> = addresses.iter().map(String::as_str).collect();
    let mut stub_engines =
        StubEngines::start(&addresses, move |_, statement| draw_statement_outcome(&rng, statement)).unwrap();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let engines: Vec<SocketAddr> = (0..ENGINES).map(|i| stub_engines.address(i)).collect();
    let retry_budget = r#""safety":{"budget_free":2.0,"extra_per_request":0.1,"extra_window":10000000,"#;
    let settings = settings().replace(r#""safety":{"#, retry_budget);
    let text = config_of("127.0.0.1:0", discovery.address, &engines, 512, &settings);
    let gateway = Gateway::start_with_operator_config(
        Discovery::start("127.0.0.1:0").unwrap(),
        &text,
        Some(&operator_config("poll-ms = 200\nkept-for-ms = 1000")),
    );
    let (stopped, records) = (Arc::new(AtomicBool::new(false)), Arc::new(ClientRecords::default()));
    let mut threads = Vec::new();
    for number in 0..4 {
        let (stopped, records, to) = (stopped.clone(), records.clone(), gateway.address);
        threads.push(thread::spawn(move || message_pack_client(to, number, seed, &stopped, &records)));
    }
    for number in 4..7 {
        let (stopped, records, to) = (stopped.clone(), records.clone(), gateway.rest.unwrap());
        threads.push(thread::spawn(move || paged_client(to, number, seed, &stopped, &records)));
    }
    for _ in 0..2 {
        let (stopped, records, to) = (stopped.clone(), records.clone(), gateway.address);
        threads.push(thread::spawn(move || flooding_client(to, &stopped, &records)));
    }
    let drain_announcements = replace_engines(&mut stub_engines, &discovery, Instant::now() + RUN_TIME);
    stopped.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| t.join().unwrap());
    wait_for("all statements to end at the engines", || (stub_engines.running() == 0).then_some(()));
    audit_run(seed, &stub_engines.audit_log(), &records, &drain_announcements);
}

#[test]
fn the_audit_finds_no_violation_under_replaced_engines_cuts_errors_and_a_flood() {
    for seed in [11, 12, 13, 14] {
        run_seed(seed);
    }
}
