//! Clients of a storm, one for each process of a gateway: requests of three request classes, some of them of keys of its own, of
//! which so many are open at a time; and the book of what was sent and how it ended.

use crate::audit::{End, Sent};
use larchfall_stub::client::Client;
use larchfall_stub::hall::Fate;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Within this a request that is returned counts as in time.
pub const GOAL: Duration = Duration::from_secs(1);
/// What a client waits after a push-back.
const REST: Duration = Duration::from_millis(20);

#[derive(Default)]
pub struct Book {
    pub sent: Mutex<HashMap<String, Sent>>,
    /// Ends as they came: when, and how long after the request was sent.
    pub ended: Mutex<Vec<(Instant, Duration, End)>>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Book {
    fn end(&self, id: &str, end: End) {
        let now = Instant::now();
        if let Some(sent) = lock(&self.sent).get_mut(id) {
            sent.ends.push(end.clone());
            lock(&self.ended).push((now, now - sent.at, end));
        }
    }
}

/// What becomes of a statement: one in six goes wrong, in one of three ways.
pub fn fate(chance: &Mutex<WyRand>) -> Fate {
    let mut chance = lock(chance);
    let ms = |chance: &mut WyRand, from, to| Duration::from_millis(chance.generate_range(from..to));
    match chance.generate_range(0..100_u32) {
        0..6 => Fate::Errs(ms(&mut chance, 1, 30)),
        6..12 => Fate::Declined,
        12..18 => Fate::CutAndLate(ms(&mut chance, 20, 140), ms(&mut chance, 100, 900)),
        _ => Fate::Runs(ms(&mut chance, 5, 60)),
    }
}

/// What all clients go by.
#[derive(Clone)]
pub struct Common {
    pub seed: u64,
    pub open: usize,
    /// So many times that, just now.
    pub load: Arc<AtomicU32>,
    pub over: Arc<AtomicBool>,
    pub book: Arc<Book>,
}

/// A client of one process of a gateway, until that is gone or all is over.
pub fn client(gateway: SocketAddr, process: usize, common: &Common) {
    let Common { seed, open: most, load, over, book } = common;
    let mut chance = WyRand::new_seed(seed ^ (process as u64 + 1) << 32);
    let Ok(mut to) = Client::connect(gateway) else { return };
    let mut open: BTreeMap<u32, String> = BTreeMap::new();
    let mut n = 0;
    while !over.load(Ordering::Relaxed) || !open.is_empty() {
        while open.len() < most * load.load(Ordering::Relaxed) as usize && !over.load(Ordering::Relaxed) {
            n += 1;
            let id = format!("{:08x}{n:08x}", process + 1);
            let class = ["look", "look", "once", "load"][chance.generate_range(0..4_usize)];
            let key = format!("{:016x}", process * 2 + n % 2);
            let fields =
                [("req", &id[..]), ("timeout", "8000"), ("owner", "acme"), ("ms", "20"), ("est_mb", "5")];
            let of_key = [("opkey", &id[..]), ("subject", &key[..])];
            let fields: Vec<_> =
                fields.into_iter().chain(of_key.into_iter().filter(|_| class == "load")).collect();
            let sent = Sent { gateway: process, class, at: Instant::now(), ends: Vec::new() };
            lock(&book.sent).insert(id.clone(), sent);
            let Ok(sent) = to.send(class, &fields, &format!("{class} {key} {n}")) else {
                book.end(&id, End::GatewayGone);
                open.values().for_each(|id| book.end(id, End::GatewayGone));
                return;
            };
            open.insert(sent, id);
        }
        match to.answer() {
            Ok((sent, answer)) => match open.remove(&sent) {
                Some(id) => {
                    let end = End::from(answer);
                    // Whoever comes back at once is pushed back at once, and nothing else is counted.
                    let rests = end == End::PushedBack;
                    book.end(&id, end);
                    thread::sleep(if rests { REST } else { Duration::ZERO });
                }
                // The audit names it: an answer to nothing is a second one of somebody's.
                None => lock(&book.ended).push((
                    Instant::now(),
                    Duration::ZERO,
                    End::Errored("to nothing".into()),
                )),
            },
            Err(_) => return open.values().for_each(|id| book.end(id, End::GatewayGone)),
        }
    }
}
