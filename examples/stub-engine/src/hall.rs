//! A hall of stand-in engines that keep a ledger of what they really ran, and when. One process after the other
//! listens at an address; what is not asked for in two seconds is given up there. One that listens no more runs on
//! what it has, asked for or not, as engines about to go were seen to do, and has ended a while later.

use crate::engine::{Asked, read_call, reply};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const FORGETS: Duration = Duration::from_secs(2);
/// From when it listens no more until it has ended.
pub const RUNS_ON: Duration = Duration::from_millis(3500);
const NEWS: Duration = Duration::from_millis(250);
const LOOK: Duration = Duration::from_millis(2);

/// What becomes of a statement that has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Runs(Duration),
    /// Runs for this long and ends in an error.
    Errs(Duration),
    Declined,
    /// The connection is cut, and the statement starts this much later, to run so long.
    CutAndLate(Duration, Duration),
}

/// One statement that ran.
#[derive(Clone, Debug)]
pub struct Ran {
    pub id: String,
    pub statement: String,
    pub process: usize,
    pub from: Instant,
    /// None while it runs.
    pub until: Option<Instant>,
}

/// One statement that came, be it run or turned away.
#[derive(Clone, Debug)]
pub struct Came {
    pub id: String,
    pub process: usize,
    pub at: Instant,
}

/// All that the engines of a hall have seen.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pub ran: Vec<Ran>,
    pub came: Vec<Came>,
}

struct Query {
    line: usize,
    ends: Instant,
    asked: Instant,
    fails: bool,
    over: bool,
}

type Decide = Box<dyn Fn(&str, &str) -> Fate + Send + Sync>;

struct Shared {
    decide: Decide,
    ledger: Mutex<Ledger>,
    /// Statements that came and have not started yet.
    on_their_way: AtomicUsize,
    /// By process and id; an id that comes again runs beside the one before, and both are told of by it.
    queries: Mutex<HashMap<(usize, String), Vec<Query>>>,
    /// Processes about to go, and when they will have ended.
    going: Mutex<BTreeMap<usize, Instant>>,
}

struct Address {
    at: SocketAddr,
    /// The process that is to listen here.
    process: Mutex<Option<usize>>,
    /// The one that does.
    open: Mutex<Option<usize>>,
}

pub struct Hall {
    shared: Arc<Shared>,
    addresses: Vec<Arc<Address>>,
    processes: usize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Hall {
    /// Engines at free ports of these addresses; `decide` is told id and statement.
    pub fn start(
        at: &[&str],
        decide: impl Fn(&str, &str) -> Fate + Send + Sync + 'static,
    ) -> io::Result<Hall> {
        let (ledger, on_their_way, queries) = (Mutex::default(), AtomicUsize::new(0), Mutex::default());
        let (decide, going) = (Box::new(decide), Mutex::default());
        let shared = Arc::new(Shared { decide, ledger, on_their_way, queries, going });
        let mut addresses = Vec::new();
        for (process, at) in at.iter().enumerate() {
            let listener = TcpListener::bind(at)?;
            let at = listener.local_addr()?;
            let (process, open) = (Mutex::new(Some(process)), Mutex::new(None));
            let address = Arc::new(Address { at, process, open });
            addresses.push(address.clone());
            let shared = shared.clone();
            thread::spawn(move || address.listen(&shared, listener));
        }
        let sweeper = Arc::downgrade(&shared);
        thread::spawn(move || {
            while let Some(shared) = sweeper.upgrade() {
                shared.sweep(Instant::now());
                drop(shared);
                thread::sleep(LOOK);
            }
        });
        let processes = addresses.len();
        Ok(Hall { shared, addresses, processes })
    }

    pub fn address(&self, i: usize) -> SocketAddr {
        self.addresses[i].at
    }

    /// The process there takes no more connections; true to what it has, it runs on.
    pub fn close(&self, i: usize) {
        if let Some(process) = lock(&self.addresses[i].process).take() {
            lock(&self.shared.going).insert(process, Instant::now() + RUNS_ON);
        }
        while lock(&self.addresses[i].open).is_some() {
            thread::sleep(LOOK);
        }
    }

    /// Another process listens there; its number.
    pub fn open(&mut self, i: usize) -> usize {
        let process = self.processes;
        self.processes += 1;
        *lock(&self.addresses[i].process) = Some(process);
        while *lock(&self.addresses[i].open) != Some(process) {
            thread::sleep(LOOK);
        }
        process
    }

    pub fn ledger(&self) -> Ledger {
        lock(&self.shared.ledger).clone()
    }

    /// Statements that came and are not over.
    pub fn running(&self) -> usize {
        let on_their_way = self.shared.on_their_way.load(Ordering::SeqCst);
        on_their_way + lock(&self.shared.queries).values().flatten().filter(|q| !q.over).count()
    }
}

impl Address {
    fn listen(&self, shared: &Arc<Shared>, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            let wanted = *lock(&self.process);
            match wanted {
                None => listener = None,
                Some(_) if listener.is_none() => listener = TcpListener::bind(self.at).ok(),
                Some(_) => {}
            }
            *lock(&self.open) = wanted.filter(|_| listener.is_some());
            let Some((open, process)) = listener.as_ref().zip(wanted) else {
                thread::sleep(LOOK);
                continue;
            };
            if open.set_nonblocking(true).is_err() {
                return;
            }
            match open.accept() {
                Ok((stream, _)) => {
                    let shared = shared.clone();
                    thread::spawn(move || shared.serve(stream, process));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(LOOK),
                Err(_) => return,
            }
        }
    }
}

impl Shared {
    /// Ends what has run its time, and gives up what was not asked for.
    fn sweep(&self, now: Instant) {
        let (mut queries, going) = (lock(&self.queries), lock(&self.going));
        for ((process, _), all) in queries.iter_mut() {
            for query in all.iter_mut().filter(|q| !q.over) {
                let until = query.ends.min(*going.get(process).unwrap_or(&(query.asked + FORGETS)));
                if until <= now {
                    query.over = true;
                    lock(&self.ledger).ran[query.line].until = Some(until);
                }
            }
        }
    }

    fn begin(&self, process: usize, id: &str, statement: &str, takes: Duration, fails: bool) {
        let now = Instant::now();
        let (id, statement) = (id.to_owned(), statement.to_owned());
        let line = {
            let mut ledger = lock(&self.ledger);
            ledger.ran.push(Ran { id: id.clone(), statement, process, from: now, until: None });
            ledger.ran.len() - 1
        };
        let query = Query { line, ends: now + takes, asked: now, fails, over: false };
        lock(&self.queries).entry((process, id)).or_default().push(query);
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, process: usize) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        let mut input = BufReader::new(stream.try_clone().ok()?);
        let mut output = stream;
        loop {
            let Asked { verb, path, head, body } = read_call(&mut input)?;
            let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
            match (verb.as_str(), &parts[..]) {
                ("POST", ["obj"]) => {
                    let id = head.get("x-trace")?.clone();
                    let statement = String::from_utf8_lossy(&body).into_owned();
                    let at = Instant::now();
                    lock(&self.ledger).came.push(Came { id: id.clone(), process, at });
                    match (self.decide)(&id, &statement) {
                        Fate::Runs(takes) => self.begin(process, &id, &statement, takes, false),
                        Fate::Errs(takes) => self.begin(process, &id, &statement, takes, true),
                        Fate::Declined => {
                            output.write_all(&reply(503, "X-Declined: 1\r\n", b"")).ok()?;
                            continue;
                        }
                        Fate::CutAndLate(after, takes) => {
                            self.on_their_way.fetch_add(1, Ordering::SeqCst);
                            let _ = output.shutdown(Shutdown::Both);
                            thread::sleep(after);
                            self.begin(process, &id, &statement, takes, false);
                            self.on_their_way.fetch_sub(1, Ordering::SeqCst);
                            return None;
                        }
                    }
                    output.write_all(&self.news(process, &id)).ok()?;
                }
                ("GET", ["obj", id, "0"]) => output.write_all(&self.news(process, id)).ok()?,
                ("DELETE", ["obj", id]) => {
                    let mut queries = lock(&self.queries);
                    let known = queries.get_mut(&(process, (*id).to_owned()));
                    for query in known.into_iter().flatten().filter(|q| !q.over) {
                        query.over = true;
                        lock(&self.ledger).ran[query.line].until = Some(Instant::now());
                    }
                    drop(queries);
                    output.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
                }
                _ => output.write_all(&reply(404, "", b"")).ok()?,
            }
        }
    }

    /// The end of a query, or nothing new after a while.
    fn news(&self, process: usize, id: &str) -> Vec<u8> {
        let until = Instant::now() + NEWS;
        loop {
            self.sweep(Instant::now());
            {
                let mut queries = lock(&self.queries);
                let known = queries.get_mut(&(process, id.to_owned()));
                let Some((query, before)) = known.and_then(|all| all.split_last_mut()) else {
                    return reply(500, "", b"");
                };
                let now = Instant::now();
                before.iter_mut().for_each(|q| q.asked = now);
                query.asked = now;
                match (query.over, query.fails || query.ends > Instant::now()) {
                    (true, true) => return reply(500, "", b""),
                    (true, false) => return reply(200, "Page-Count: 1\r\n", b"ok\n"),
                    (false, _) => {}
                }
            }
            if Instant::now() >= until {
                return reply(202, "X-Stats: inflight:1;util:0.1\r\n", b"");
            }
            thread::sleep(LOOK);
        }
    }
}
