//! Faults that come together: engines replaced at their addresses, calls that are cut and come in late, errors, clients
//! of both protocols that disconnect, and a flood of valid requests that are all cancelled. The stub engines keep an audit
//! log of what really ran; the seed of a run stands in each failure.

use crate::common::{Gateway, config_of, settings, site, wait_for};
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
/// The retry budget of the settings that the gateway runs with.
const FREE_RETRIES: f64 = 2.0;
const RETRIES_PER_REQUEST: f64 = 0.1;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Requests that a client has open at a time, and the classes that it draws from.
const OPEN_REQUESTS: usize = 6;
const CLASSES: [&str; 4] = ["look", "look", "once", "load"];

/// What clients sent and how it ended.
#[derive(Default)]
struct Clients {
    sent: Mutex<HashMap<String, SentRequest>>,
    flood: Mutex<usize>,
}

impl Clients {
    fn record_sent(&self, id: &str, class: &'static str) {
        let sent = SentRequest { process: 0, class, at: Instant::now(), outcomes: Vec::new() };
        self.sent.lock().unwrap().insert(id.to_owned(), sent);
    }

    fn record_end(&self, id: &str, end: Outcome) {
        self.sent.lock().unwrap().get_mut(id).unwrap().outcomes.push(end);
    }
}

fn fate(chance: &Mutex<WyRand>, statement: &str) -> StatementOutcome {
    let mut chance = chance.lock().unwrap();
    let ms = |chance: &mut WyRand, from, to| Duration::from_millis(chance.generate_range(from..to));
    if statement == "flood" {
        return StatementOutcome::Fails(ms(&mut chance, 5, 20));
    }
    match chance.generate_range(0..100_u32) {
        0..12 => StatementOutcome::Fails(ms(&mut chance, 1, 30)),
        12..20 => StatementOutcome::Declined,
        20..30 => {
            let delay = ms(&mut chance, 20, 140);
            StatementOutcome::StartsAfterCut { delay, takes: ms(&mut chance, 100, 900) }
        }
        30..35 => StatementOutcome::Succeeds(Duration::from_secs(60)),
        _ => StatementOutcome::Succeeds(ms(&mut chance, 5, 60)),
    }
}

/// One client's names for its requests: ids that no other uses, and two order keys of its own.
struct Names {
    client: usize,
    requests: usize,
}

impl Names {
    fn next_id(&mut self) -> String {
        self.requests += 1;
        format!("{:08x}{:08x}", self.client + 1, self.requests)
    }

    fn key(&self) -> String {
        format!("{:016x}", self.client * 2 + self.requests % 2)
    }
}

fn chance_of(client: usize, seed: u64) -> WyRand {
    WyRand::new_seed(seed ^ (client as u64 + 1) << 32)
}

fn send_request(
    client: &mut Client,
    names: &mut Names,
    class: &'static str,
    clients: &Clients,
) -> (u32, String) {
    let id = names.next_id();
    let key = names.key();
    let mut fields =
        vec![("req", &id[..]), ("timeout", "6000"), ("owner", "acme"), ("ms", "20"), ("est_mb", "5")];
    if class == "load" {
        fields.extend([("opkey", &id[..]), ("subject", &key[..])]);
    }
    clients.record_sent(&id, class);
    let statement = format!("{class} {key} {}", names.requests);
    let message = client.send(class, &fields, &statement).unwrap();
    (message, id)
}

/// Sends requests of its own keys, mostly one after the other; cancels some, and drops some connections.
fn message_pack_client(gateway: SocketAddr, number: usize, seed: u64, over: &AtomicBool, clients: &Clients) {
    let mut chance = chance_of(number, seed);
    let mut client = Client::connect(gateway).unwrap();
    let mut open: BTreeMap<u32, String> = BTreeMap::new();
    let mut names = Names { client: number, requests: 0 };
    while !over.load(Ordering::Relaxed) || !open.is_empty() {
        while open.len() < OPEN_REQUESTS && !over.load(Ordering::Relaxed) {
            let class = CLASSES[chance.generate_range(0..CLASSES.len())];
            let (message, id) = send_request(&mut client, &mut names, class, clients);
            open.insert(message, id);
        }
        match chance.generate_range(0..40_u32) {
            0 => {
                // A client that disconnects, with all that it has open.
                open.values().for_each(|id| clients.record_end(id, Outcome::Abandoned));
                open.clear();
                client = Client::connect(gateway).unwrap();
                continue;
            }
            1..4 => {
                let (message, id) = open.pop_first().unwrap();
                client.abort(message).unwrap();
                clients.record_end(&id, Outcome::Abandoned);
                continue;
            }
            _ => {}
        }
        let (message, answer) = client.answer().unwrap();
        // What was cancelled may have been answered before.
        if let Some(id) = open.remove(&message) {
            clients.record_end(&id, answer.into());
        }
    }
    // Whatever still comes on this connection is one answer too many.
    let ping = client.ping().unwrap();
    loop {
        match client.answer().unwrap() {
            (id, Answer::Pong) if id == ping => return,
            (_, _) => continue,
        }
    }
}

/// The same over the paged protocol, one statement after the other; abandons some, between pages or before.
fn paged_client(gateway: SocketAddr, number: usize, seed: u64, over: &AtomicBool, clients: &Clients) {
    let mut chance = chance_of(number, seed);
    let mut client = RestClient::connect(gateway).unwrap();
    let mut names = Names { client: number, requests: 0 };
    while !over.load(Ordering::Relaxed) {
        let id = names.next_id();
        let key = names.key();
        let class = CLASSES[chance.generate_range(0..CLASSES.len())];
        let session = format!("time_limit_ms=6000,order_key={key}");
        let mut head = vec![("X-Trino-User", "acme"), ("X-Trino-Source", class)];
        if class == "load" {
            head.extend([("X-Trino-Session", &session[..]), ("Idempotency-Key", &id[..])]);
        }
        clients.record_sent(&id, class);
        // The gateway makes the id under which engines know a request; the statement tells which it is.
        let statement = format!("{class} {key} {} {id}", names.requests);
        let first = client.call("POST", "/v1/statement", &head, statement.as_bytes()).unwrap();
        let end = read_pages(gateway, &mut client, first, &mut chance, seed);
        clients.record_end(&id, end);
    }
}

/// Reads a result to its end, or abandons it.
fn read_pages(
    gateway: SocketAddr,
    client: &mut RestClient,
    first: RestAnswer,
    chance: &mut WyRand,
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
        match chance.generate_range(0..30_u32) {
            0 => {
                // Its result is kept for a while, and abandoned then.
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

/// Valid requests by the hundred, all cancelled at once.
fn flooding_client(gateway: SocketAddr, over: &AtomicBool, clients: &Clients) {
    let mut n = 0;
    while !over.load(Ordering::Relaxed) {
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
        *clients.flood.lock().unwrap() = n;
        thread::sleep(Duration::from_millis(20));
    }
}

/// One entry of the endpoint list.
#[derive(Clone, Copy)]
struct Entry {
    id: u32,
    state: u8,
    /// The process that listens at this entry's address.
    process: usize,
}

const READY: u8 = 0;
const DRAINING: u8 = 1;

fn send_list(discovery: &Discovery, stub_engines: &StubEngines, entries: &[Entry], number: u64) {
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
    discovery.say(number, frame(number, true, &listed));
}

/// One engine after the other drains and closes while it runs on what it has, and another listens at its address.
/// Returns which process drained when.
fn replace_engines(
    stub_engines: &mut StubEngines,
    discovery: &Discovery,
    until: Instant,
) -> Vec<DrainAnnouncement> {
    let mut event = 1;
    let mut entries: Vec<Entry> =
        (0..ENGINES).map(|i| Entry { id: i as u32 + 1, state: READY, process: i }).collect();
    let mut drained = Vec::new();
    for round in 0.. {
        if Instant::now() >= until {
            break;
        }
        let i = round % ENGINES;
        entries[i].state = DRAINING;
        event += 1;
        send_list(discovery, stub_engines, &entries, event);
        drained.push(DrainAnnouncement { process: entries[i].process, at: Instant::now() });
        thread::sleep(Duration::from_millis(300));
        stub_engines.close(i);
        thread::sleep(Duration::from_millis(200));
        let id = (ENGINES + round + 1) as u32;
        entries[i] = Entry { id, state: READY, process: stub_engines.open(i) };
        thread::sleep(Duration::from_millis(200));
        event += 1;
        send_list(discovery, stub_engines, &entries, event);
        thread::sleep(Duration::from_millis(300));
    }
    drained
}

fn check_rules(seed: u64, audit_log: &AuditLog, clients: &Clients, drained: &[DrainAnnouncement]) {
    let sent = clients.sent.lock().unwrap();
    let retry_budget =
        RetryBudget { free: FREE_RETRIES, per_request: RETRIES_PER_REQUEST, window: RETRY_WINDOW };
    let report = RunRecord {
        audit_log,
        sent: &sent,
        drained,
        outages: &[],
        stalls: &[],
        drain_grace: DRAIN_GRACE,
        retry_budget,
    }
    .audit();
    let coverage = report.coverage;
    assert_eq!(report.violations, [""; 0], "seed {seed}");
    println!(
        "seed {seed}: {} requests, {} of the flood, {} statements ran, {coverage:?}",
        sent.len(),
        clients.flood.lock().unwrap(),
        audit_log.executions.len()
    );
    assert!(
        sent.len() > 100 && coverage.retries > 0 && coverage.longest_key > 5,
        "seed {seed}: too little happened"
    );
}

fn run_seed(seed: u64) {
    let chance = Mutex::new(WyRand::new_seed(seed));
    let addresses: Vec<String> =
        (0..ENGINES).map(|i| format!("127.0.{}.{}:0", 10 + seed % 200, 1 + i)).collect();
    let addresses: Vec<&str> = addresses.iter().map(String::as_str).collect();
    let mut stub_engines =
        StubEngines::start(&addresses, move |_, statement| fate(&chance, statement)).unwrap();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let engines: Vec<SocketAddr> = (0..ENGINES).map(|i| stub_engines.address(i)).collect();
    let retry_budget = r#""safety":{"budget_free":2.0,"extra_per_request":0.1,"extra_window":10000000,"#;
    let settings = settings().replace(r#""safety":{"#, retry_budget);
    let text = config_of("127.0.0.1:0", discovery.address, &engines, 512, &settings);
    let gateway = Gateway::start_site(
        Discovery::start("127.0.0.1:0").unwrap(),
        &text,
        Some(&site("poll-ms = 200\nkept-for-ms = 1000")),
    );
    let (over, clients) = (Arc::new(AtomicBool::new(false)), Arc::new(Clients::default()));
    let mut threads = Vec::new();
    for number in 0..4 {
        let (over, clients, to) = (over.clone(), clients.clone(), gateway.address);
        threads.push(thread::spawn(move || message_pack_client(to, number, seed, &over, &clients)));
    }
    for number in 4..7 {
        let (over, clients, to) = (over.clone(), clients.clone(), gateway.rest.unwrap());
        threads.push(thread::spawn(move || paged_client(to, number, seed, &over, &clients)));
    }
    for _ in 0..2 {
        let (over, clients, to) = (over.clone(), clients.clone(), gateway.address);
        threads.push(thread::spawn(move || flooding_client(to, &over, &clients)));
    }
    let drained = replace_engines(&mut stub_engines, &discovery, Instant::now() + RUN_TIME);
    over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| t.join().unwrap());
    wait_for("all to be over at the engines", || (stub_engines.running() == 0).then_some(()));
    check_rules(seed, &stub_engines.audit_log(), &clients, &drained);
}

#[test]
fn rules_hold_under_replaced_engines_cuts_errors_and_a_flood() {
    for seed in [11, 12, 13, 14] {
        run_seed(seed);
    }
}
