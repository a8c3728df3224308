//! Troubles that come together: engines replaced at their addresses, calls that are cut and come in late, errors,
//! clients of both protocols that leave, and a flood in good form that takes all back. A hall of stand-in engines keeps the ledger
//! of what really ran; the seed of a run stands in each failure.

use crate::common::{Gateway, config_of, settings, site, wait_for};
use larchfall_fault_tests::audit::{End, RetryBudget, Run, Sent};
use larchfall_paged_rest::document::Document;
use larchfall_stub::client::{Answer, Client};
use larchfall_stub::discovery::{Discovery, Listed, frame};
use larchfall_stub::hall::{Fate, Hall, Ledger};
use larchfall_stub::rest::{RestClient, path};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENGINES: usize = 3;
const LASTS: Duration = Duration::from_secs(7);
const FREE: f64 = 2.0;
const PER_REQUEST: f64 = 0.1;
const WINDOW: Duration = Duration::from_secs(10);
const GRACE: Duration = Duration::from_secs(2);
#[derive(Default)]
struct Clients {
    sent: Mutex<HashMap<String, Sent>>,
    flood: Mutex<usize>,
}

fn fate(chance: &Mutex<WyRand>, statement: &str) -> Fate {
    let mut chance = chance.lock().unwrap();
    let ms = |chance: &mut WyRand, from, to| Duration::from_millis(chance.generate_range(from..to));
    if statement == "flood" {
        return Fate::Errs(ms(&mut chance, 5, 20));
    }
    match chance.generate_range(0..100_u32) {
        0..12 => Fate::Errs(ms(&mut chance, 1, 30)),
        12..20 => Fate::Declined,
        20..30 => Fate::CutAndLate(ms(&mut chance, 20, 140), ms(&mut chance, 100, 900)),
        30..35 => Fate::Runs(Duration::from_secs(60)),
        _ => Fate::Runs(ms(&mut chance, 5, 60)),
    }
}

/// Sends requests of its own keys, mostly one after the other; leaves some, and some connections.
fn usual(gateway: SocketAddr, me: usize, seed: u64, over: &AtomicBool, clients: &Clients) {
    let mut chance = WyRand::new_seed(seed ^ (me as u64 + 1) << 32);
    let mut client = Client::connect(gateway).unwrap();
    let mut open: BTreeMap<u32, String> = BTreeMap::new();
    let mut n = 0;
    let end = |id: &str, end| clients.sent.lock().unwrap().get_mut(id).unwrap().ends.push(end);
    while !over.load(Ordering::Relaxed) || !open.is_empty() {
        while open.len() < 6 && !over.load(Ordering::Relaxed) {
            n += 1;
            let id = format!("{:08x}{n:08x}", me + 1);
            let class = ["look", "look", "once", "load"][chance.generate_range(0..4_usize)];
            let key = format!("{:016x}", me * 2 + n % 2);
            let fields =
                [("req", &id[..]), ("timeout", "6000"), ("owner", "acme"), ("ms", "20"), ("est_mb", "5")];
            let load = [("opkey", &id[..]), ("subject", &key[..])];
            let fields: Vec<_> =
                fields.into_iter().chain(load.into_iter().filter(|_| class == "load")).collect();
            clients
                .sent
                .lock()
                .unwrap()
                .insert(id.clone(), Sent { gateway: 0, class, at: Instant::now(), ends: Vec::new() });
            let sent = client.send(class, &fields, &format!("{class} {key} {n}")).unwrap();
            open.insert(sent, id);
        }
        match chance.generate_range(0..40_u32) {
            0 => {
                // A client that goes, with all that it has open.
                open.values().for_each(|id| end(id, End::Left));
                open.clear();
                client = Client::connect(gateway).unwrap();
                continue;
            }
            1..4 => {
                let (sent, id) = open.pop_first().unwrap();
                client.abort(sent).unwrap();
                end(&id, End::Left);
                continue;
            }
            _ => {}
        }
        let (sent, answer) = client.answer().unwrap();
        // What was taken back may have been answered before.
        if let Some(id) = open.remove(&sent) {
            end(&id, answer.into());
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

/// The same over the paged protocol, one statement after the other; walks away from some, between pages or before.
fn paged(gateway: SocketAddr, me: usize, seed: u64, over: &AtomicBool, clients: &Clients) {
    let mut chance = WyRand::new_seed(seed ^ (me as u64 + 1) << 32);
    let mut client = RestClient::connect(gateway).unwrap();
    let mut n = 0;
    while !over.load(Ordering::Relaxed) {
        n += 1;
        let id = format!("{:08x}{n:08x}", me + 1);
        let class = ["look", "look", "once", "load"][chance.generate_range(0..4_usize)];
        let key = format!("{:016x}", me * 2 + n % 2);
        let session = format!("time_limit_ms=6000,order_key={key}");
        let mut head = vec![("X-Trino-User", "acme"), ("X-Trino-Source", class)];
        if class == "load" {
            head.extend([("X-Trino-Session", &session[..]), ("Idempotency-Key", &id[..])]);
        }
        clients
            .sent
            .lock()
            .unwrap()
            .insert(id.clone(), Sent { gateway: 0, class, at: Instant::now(), ends: Vec::new() });
        // The gateway makes the id under which engines know a request; the statement tells which it is.
        let statement = format!("{class} {key} {n} {id}");
        let mut answer = client.call("POST", "/v1/statement", &head, statement.as_bytes()).unwrap();
        let end = loop {
            if answer.status == 429 {
                break End::PushedBack;
            }
            assert_eq!(answer.status, 200, "seed {seed}: {}", String::from_utf8_lossy(&answer.body));
            let document: Document = serde_json::from_slice(&answer.body).unwrap();
            let Some(next) = document.next_uri else {
                break match document.error {
                    Some(e) if e.error_name == "QUERY_QUEUE_FULL" => End::PushedBack,
                    Some(e) => End::Errored(e.error_name),
                    None => End::Returned,
                };
            };
            match chance.generate_range(0..30_u32) {
                0 => {
                    // Its result is kept for a while, and left then.
                    client = RestClient::connect(gateway).unwrap();
                    break End::Left;
                }
                1 => {
                    assert_eq!(client.call("DELETE", path(&next), &[], b"").unwrap().status, 204);
                    break End::Left;
                }
                _ => answer = client.call("GET", path(&next), &[], b"").unwrap(),
            }
        };
        clients.sent.lock().unwrap().get_mut(&id).unwrap().ends.push(end);
    }
}

/// Look-ups in good form by the hundred, all taken back at once.
fn flood(gateway: SocketAddr, over: &AtomicBool, clients: &Clients) {
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

/// One engine after the other drains, closes while it runs on what it has, and another listens at its address.
fn replace(hall: &mut Hall, discovery: &Discovery, over: Instant) -> Vec<(usize, Instant)> {
    let mut number = 1;
    // By address: id, state and process.
    let mut list: Vec<(u32, u8, usize)> = (0..ENGINES).map(|i| (i as u32 + 1, 0, i)).collect();
    let (mut ids, mut drained) = (ENGINES as u32, Vec::new());
    let say = |list: &[(u32, u8, usize)], hall: &Hall, number: u64| {
        let listed: Vec<Listed> = (0..ENGINES)
            .map(|i| Listed { id: list[i].0, address: hall.address(i), state: list[i].1, zone: 0, kind: 0 })
            .collect();
        discovery.say(number, frame(number, true, &listed));
    };
    for round in 0.. {
        if Instant::now() >= over {
            break;
        }
        let i = round % ENGINES;
        list[i].1 = 1;
        number += 1;
        say(&list, hall, number);
        drained.push((list[i].2, Instant::now()));
        thread::sleep(Duration::from_millis(300));
        hall.close(i);
        thread::sleep(Duration::from_millis(200));
        ids += 1;
        list[i] = (ids, 0, hall.open(i));
        thread::sleep(Duration::from_millis(200));
        number += 1;
        say(&list, hall, number);
        thread::sleep(Duration::from_millis(300));
    }
    drained
}

fn check(seed: u64, ledger: &Ledger, clients: &Clients, drained: &[(usize, Instant)]) {
    let sent = clients.sent.lock().unwrap();
    let retry_budget = RetryBudget { free: FREE, per_request: PER_REQUEST, window: WINDOW };
    let (faults, tried) =
        Run { ledger, sent: &sent, drained, unheard: &[], stood: &[], grace: GRACE, retry_budget }.faults();
    assert_eq!(faults, [""; 0], "seed {seed}");
    println!(
        "seed {seed}: {} batches, {} of the flood, {} statements ran, {tried:?}",
        sent.len(),
        clients.flood.lock().unwrap(),
        ledger.ran.len()
    );
    assert!(sent.len() > 100 && tried.further > 0 && tried.longest_key > 5, "seed {seed}: too little");
}

fn play(seed: u64) {
    let chance = Mutex::new(WyRand::new_seed(seed));
    let at: Vec<String> = (0..ENGINES).map(|i| format!("127.0.{}.{}:0", 10 + seed % 200, 1 + i)).collect();
    let at: Vec<&str> = at.iter().map(String::as_str).collect();
    let mut hall = Hall::start(&at, move |_, statement| fate(&chance, statement)).unwrap();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let engines: Vec<SocketAddr> = (0..ENGINES).map(|i| hall.address(i)).collect();
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
    for me in 0..4 {
        let (over, clients, to) = (over.clone(), clients.clone(), gateway.address);
        threads.push(thread::spawn(move || usual(to, me, seed, &over, &clients)));
    }
    for me in 4..7 {
        let (over, clients, to) = (over.clone(), clients.clone(), gateway.rest.unwrap());
        threads.push(thread::spawn(move || paged(to, me, seed, &over, &clients)));
    }
    for _ in 0..2 {
        let (over, clients, to) = (over.clone(), clients.clone(), gateway.address);
        threads.push(thread::spawn(move || flood(to, &over, &clients)));
    }
    let drained = replace(&mut hall, &discovery, Instant::now() + LASTS);
    over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| t.join().unwrap());
    wait_for("all to be over at the engines", || (hall.running() == 0).then_some(()));
    check(seed, &hall.ledger(), &clients, &drained);
}

#[test]
fn rules_hold_under_replaced_engines_cuts_errors_and_a_flood() {
    for seed in [11, 12, 13, 14] {
        play(seed);
    }
}
