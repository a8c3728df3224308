//! Load on a fleet of processes: clients that send requests at a steady pace over some time, and count what comes back.

use crate::process::Gateway;
use larchfall_stub::client::{Answer, Client};
use larchfall_stub::engine::{Act, Engine};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

static CLIENTS: AtomicUsize = AtomicUsize::new(0);

/// An engine that takes requests one after the other as far as its cores go: it bears `cores / takes` of them a second.
pub fn engine(takes: Duration, cores: u32) -> io::Result<Engine> {
    let free = Mutex::new(Instant::now());
    Engine::start("127.0.0.1:0", move |_| {
        let (mut free, now) = (free.lock().unwrap_or_else(PoisonError::into_inner), Instant::now());
        *free = now.max(*free) + takes / cores;
        Act::Serve(*free + takes - takes / cores - now, vec![b"1\n".to_vec()])
    })
}

/// Quick engines, of which each errors on everything while it is told to.
pub fn engines_that_fail(n: usize) -> io::Result<(Vec<Engine>, Vec<Arc<AtomicBool>>)> {
    let fails: Vec<Arc<AtomicBool>> = (0..n).map(|_| Arc::default()).collect();
    let engine = |fails: &Arc<AtomicBool>| {
        let fails = fails.clone();
        Engine::start("127.0.0.1:0", move |_| match fails.load(Ordering::Relaxed) {
            true => Act::Fail,
            false => Act::Serve(Duration::from_millis(2), vec![b"1\n".to_vec()]),
        })
    };
    Ok((fails.iter().map(engine).collect::<io::Result<_>>()?, fails))
}

/// What became of the requests of one gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    pub sent: usize,
    /// Returned within the response goal.
    pub in_time: usize,
    pub returned: usize,
    pub pushed_back: usize,
    /// No final answer, or more than one.
    pub wrong: usize,
}

impl Ledger {
    pub fn add(&mut self, other: &Ledger) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.returned += other.returned;
        self.pushed_back += other.pushed_back;
        self.wrong += other.wrong;
    }
}

/// Sends look-ups to each gateway, one in each `pace` of its place, for so long; what all got.
pub fn run<'a>(
    gateways: impl Iterator<Item = &'a Gateway>,
    pace: impl Fn(usize) -> Duration,
    goal: Duration,
    duration: Duration,
) -> Ledger {
    let clients: Vec<_> = gateways
        .enumerate()
        .map(|(i, gateway)| {
            let (address, pace) = (gateway.address, pace(i));
            // Ids are never used again: engines know requests by them.
            let number = CLIENTS.fetch_add(1, Ordering::Relaxed);
            // All at the same moments would be one wave after the other, whatever the pace. By the golden ratio any few
            // that follow each other are spread over the whole of it.
            let first = pace.mul_f64((i as f64 * 0.618_034).fract());
            thread::spawn(move || client(address, number, (first, pace), goal, duration))
        })
        .collect();
    let mut all = Ledger::default();
    clients.into_iter().for_each(|client| all.add(&client.join().unwrap_or_default()));
    all
}

fn client(
    address: SocketAddr,
    number: usize,
    (first, pace): (Duration, Duration),
    goal: Duration,
    duration: Duration,
) -> Ledger {
    let mut ledger = Ledger::default();
    let (Ok(mut to), began) = (Client::connect(address), Instant::now()) else { return ledger };
    let (mut out, mut next): (HashMap<u32, Instant>, Instant) = (HashMap::new(), began + first);
    let until = began + duration;
    while Instant::now() < until {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += pace;
        let id = format!("{number:08x}{:08x}", ledger.sent);
        let fields =
            [("req", &id[..]), ("timeout", "6000"), ("owner", "acme"), ("ms", "20"), ("est_mb", "5")];
        let Ok(id) = to.send("look", &fields, "select 1") else { break };
        ledger.sent += 1;
        out.insert(id, Instant::now());
        // What is quick is answered before the next is sent; what is not, in the end.
        let Ok((id, answer)) = to.answer() else { break };
        let Some(sent) = out.remove(&id) else {
            ledger.wrong += 1;
            continue;
        };
        match answer {
            Answer::Rows(_) => {
                ledger.returned += 1;
                ledger.in_time += usize::from(sent.elapsed() <= goal);
            }
            _ => ledger.pushed_back += 1,
        }
    }
    ledger.wrong += out.len();
    ledger
}
