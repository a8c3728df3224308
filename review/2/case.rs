//! Case 2: bad clients send hundreds of requests at once. The platform kills a front that goes over the memory in its
//! configuration, so it has to stay within.

use crate::Verdict;
use crate::client::{Answer, Client};
use crate::discovery::{Discovery, Listed};
use crate::engine::{Delivery, Engine, Plan};
use crate::front::{Front, FrontLimits, FrontSetup};
use crate::record::Record;
use crate::settings::CARDIFF;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: usize = 64;
const BAD_CLIENTS: u64 = 2;
/// Connections of a bad client, and requests at once on each.
const CONNECTIONS: u64 = 12;
const REQUESTS: u64 = 32;
/// Bytes of the statement of such a request.
const STATEMENT_BYTES: usize = 120_000;
/// How long the platform watches.
const WATCHED: Duration = Duration::from_secs(20);
const BAD_CLIENTS_COME_AFTER: Duration = Duration::from_secs(3);

/// A load of many rows of values; all are of one group of tables and one key.
fn bad_statement() -> Vec<u8> {
    let mut statement = b"insert into feed_3.events values ".to_vec();
    while statement.len() < STATEMENT_BYTES {
        statement.extend(b"(4711, 'swansea', 'goal', 77), ");
    }
    statement.truncate(STATEMENT_BYTES);
    statement
}

/// One connection of a bad client: sends its requests at once, and reads what it is sent.
fn send_at_once(front: SocketAddr, number: u64, answers: &AtomicUsize, stop: &AtomicBool) -> io::Result<()> {
    let mut client = Client::connect(front)?;
    let statement = bad_statement();
    for request in 0..REQUESTS {
        let id = format!("{:016x}", 0xbad0_0000 + number * 1000 + request);
        let fields = [
            ("req", id.as_str()),
            ("timeout", "20000"),
            ("owner", "dragon-odds"),
            ("opkey", id.as_str()),
            ("subject", "7f3a9c21e0b4d655"),
        ];
        client.request("feed-load", &fields, &statement)?;
    }
    while !stop.load(Ordering::Relaxed) {
        if client.answer(Duration::from_millis(100))?.is_some() {
            answers.fetch_add(1, Ordering::Relaxed);
        }
    }
    Ok(())
}

/// The usual client: a look-up every 100 ms. Returns how many were sent, and how many got their final answer.
fn look_up(front: SocketAddr, record: &Record, stop: &AtomicBool) -> (u64, u64) {
    let (mut sent, mut answered) = (0, 0);
    let Ok(mut client) = Client::connect(front) else { return (0, 0) };
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let id = format!("{:016x}", 0x9b1f_0000_u64 + sent);
        let fields =
            [("req", id.as_str()), ("timeout", "5000"), ("owner", "valley-broadcast"), ("ms", "120.0")];
        let asked = client.request("score-lookup", &fields, b"select * from scores_17.matches");
        match asked.and_then(|_| client.answer(Duration::from_millis(5_500))) {
            Ok(Some((_, Answer::Rows(_) | Answer::Error(_)))) => answered += 1,
            outcome => {
                record.line(format!("usual client: no answer to {id}: {outcome:?}"));
                return (sent, answered);
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    (sent, answered)
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let engine = |name: &str| {
        let plan = Plan { runs: Duration::from_millis(120), pages: vec![b"a\tb\tc\n".to_vec()] };
        Engine::start(name, record, move |_| plan.clone(), |_, _| Delivery::Whole)
    };
    let engines = [engine("e1")?, engine("e2")?];
    let discovery =
        Discovery::start(&[Listed::up(1, engines[0].address), Listed::up(2, engines[1].address)])?;
    let mut front = Front::start(
        record,
        &FrontSetup {
            number: 0,
            fronts: 1,
            limits: FrontLimits { memory_mb: MEMORY_MB, sockets: 1024 },
            discovery: &discovery,
            settings: CARDIFF,
        },
    )?;
    let address = front.address;
    let stop = Arc::new(AtomicBool::new(false));
    let bad_answers = Arc::new(AtomicUsize::new(0));
    let usual = {
        let (record, stop) = (record.clone(), stop.clone());
        thread::spawn(move || look_up(address, &record, &stop))
    };
    let limit_kib = MEMORY_MB as u64 * 1024;
    let started = Instant::now();
    let (mut peak_kib, mut bad_sent, mut shown) = (0, !trouble, Instant::now());
    let mut killed = false;
    while started.elapsed() < WATCHED {
        if !bad_sent && started.elapsed() >= BAD_CLIENTS_COME_AFTER {
            bad_sent = true;
            record.line(format!(
                "{BAD_CLIENTS} bad clients: each {} requests at once on {CONNECTIONS} connections, {STATEMENT_BYTES} bytes each",
                CONNECTIONS * REQUESTS
            ));
            for number in 0..BAD_CLIENTS * CONNECTIONS {
                let (answers, stop) = (bad_answers.clone(), stop.clone());
                thread::spawn(move || {
                    let _ = send_at_once(address, number, &answers, &stop);
                });
            }
        }
        if !front.is_running() {
            return Ok(Verdict::Broken("the front ended by itself".to_owned()));
        }
        let resident_kib = front.resident_kib().unwrap_or(0);
        peak_kib = peak_kib.max(resident_kib);
        if shown.elapsed() >= Duration::from_secs(1) {
            shown = Instant::now();
            record.line(format!("platform: the front has {resident_kib} KiB, most so far {peak_kib} KiB"));
        }
        if resident_kib > limit_kib {
            record.line(format!("platform: {resident_kib} KiB are over {limit_kib} KiB: kills the front"));
            front.kill();
            killed = true;
            break;
        }
        thread::sleep(Duration::from_millis(2));
    }
    stop.store(true, Ordering::Relaxed);
    let (sent, answered) = usual.join().unwrap_or_default();
    let bad = bad_answers.load(Ordering::Relaxed);
    let counts = format!(
        "most memory {peak_kib} KiB of {limit_kib} KiB; usual client: {sent} sent, {answered} answered; bad clients: {bad} answers"
    );
    if sent == 0 || (!killed && answered == 0) {
        return Err(io::Error::other(format!("the usual client was not served; {counts}")));
    }
    Ok(if killed { Verdict::Broken(format!("killed for memory; {counts}")) } else { Verdict::Held(counts) })
}
