//! Several stub engines that keep an audit log of what they really ran, and when. One process after the other listens at
//! an address; a statement whose result nobody polls for is dropped after two seconds. A process that no longer listens
//! runs what it has, polled for or not, as engines that shut down were seen to do, and has ended a while later.

use crate::engine_api::{EngineCall, POLL_INTERVAL, lock, long_poll};
use crate::http::{HttpRequest, NO_CONTENT, read_request, response};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A statement that is not polled for is dropped after this long.
const UNPOLLED_LIFETIME: Duration = Duration::from_secs(2);
/// How long a process runs once it no longer listens.
pub const SHUTDOWN_TIME: Duration = Duration::from_millis(3500);

/// What becomes of a statement that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatementOutcome {
    /// Runs for this long and succeeds.
    Succeeds(Duration),
    /// Runs for this long and ends in an error.
    Fails(Duration),
    /// Never runs.
    Declined,
    /// The connection is cut, and the statement starts later nevertheless.
    StartsAfterCut {
        /// From the cut to its start.
        delay: Duration,
        /// How long it runs.
        takes: Duration,
    },
}

/// One statement that ran.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The id that the gateway gave it.
    pub id: String,
    /// Its text.
    pub statement: String,
    /// The engine's process, numbered in the order of their starts.
    pub process: usize,
    /// When it began to run.
    pub started: Instant,
    /// When it ended; `None` while it runs.
    pub ended: Option<Instant>,
}

/// One statement that arrived, whether it ran or not.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The id that the gateway gave it.
    pub id: String,
    /// The engine's process, numbered in the order of their starts.
    pub process: usize,
    /// When it arrived.
    pub at: Instant,
}

/// All that the engines have received and run.
#[derive(Clone, Debug, Default)]
pub struct AuditLog {
    /// Statements that ran.
    pub executions: Vec<Execution>,
    /// Statements that arrived.
    pub arrivals: Vec<Arrival>,
}

struct Query {
    /// Its place among the executions of the audit log.
    execution: usize,
    ends: Instant,
    last_poll: Instant,
    fails: bool,
    over: bool,
}

/// A statement is known to the process that runs it, by its id.
type QueryKey = (usize, String);
type Decide = Box<dyn Fn(&str, &str) -> StatementOutcome + Send + Sync>;

struct Shared {
    decide: Decide,
    audit_log: Mutex<AuditLog>,
    /// Statements that arrived and have not started yet.
    not_started: AtomicUsize,
    /// An id that arrives again runs beside the one before, and polls for it return the newer one.
    queries: Mutex<HashMap<QueryKey, Vec<Query>>>,
    /// Processes that shut down, and when they will have ended.
    shutting_down: Mutex<BTreeMap<usize, Instant>>,
}

struct EngineAddress {
    address: SocketAddr,
    /// The process that is to listen here.
    wanted: Mutex<Option<usize>>,
    /// The process that does.
    listening: Mutex<Option<usize>>,
}

/// Engines at addresses that stay while their processes are replaced.
pub struct StubEngines {
    shared: Arc<Shared>,
    addresses: Vec<Arc<EngineAddress>>,
    processes_started: usize,
}

impl StubEngines {
    /// Engines at free ports of these addresses; `decide` gets a statement's id and text.
    pub fn start(
        listen: &[&str],
        decide: impl Fn(&str, &str) -> StatementOutcome + Send + Sync + 'static,
    ) -> io::Result<StubEngines> {
        let shared = Arc::new(Shared {
            decide: Box::new(decide),
            audit_log: Mutex::default(),
            not_started: AtomicUsize::new(0),
            queries: Mutex::default(),
            shutting_down: Mutex::default(),
        });
        let mut addresses = Vec::new();
        for (process, listen) in listen.iter().enumerate() {
            let listener = TcpListener::bind(listen)?;
            let address = Arc::new(EngineAddress {
                address: listener.local_addr()?,
                wanted: Mutex::new(Some(process)),
                listening: Mutex::new(None),
            });
            addresses.push(address.clone());
            let shared = shared.clone();
            thread::spawn(move || address.listen(&shared, listener));
        }
        let sweeper = Arc::downgrade(&shared);
        thread::spawn(move || {
            while let Some(shared) = sweeper.upgrade() {
                shared.end_expired(Instant::now());
                drop(shared);
                thread::sleep(POLL_INTERVAL);
            }
        });
        let processes_started = addresses.len();
        Ok(StubEngines { shared, addresses, processes_started })
    }

    /// The address of the engine at this place.
    pub fn address(&self, engine: usize) -> SocketAddr {
        self.addresses[engine].address
    }

    /// The process there accepts no more connections; what it has, it runs.
    pub fn close(&self, engine: usize) {
        if let Some(process) = lock(&self.addresses[engine].wanted).take() {
            lock(&self.shared.shutting_down).insert(process, Instant::now() + SHUTDOWN_TIME);
        }
        while lock(&self.addresses[engine].listening).is_some() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Another process listens there; its number.
    pub fn open(&mut self, engine: usize) -> usize {
        let process = self.processes_started;
        self.processes_started += 1;
        *lock(&self.addresses[engine].wanted) = Some(process);
        while *lock(&self.addresses[engine].listening) != Some(process) {
            thread::sleep(POLL_INTERVAL);
        }
        process
    }

    /// A copy of the audit log.
    pub fn audit_log(&self) -> AuditLog {
        lock(&self.shared.audit_log).clone()
    }

    /// Statements that arrived and are not over.
    pub fn running(&self) -> usize {
        let not_started = self.shared.not_started.load(Ordering::SeqCst);
        not_started + lock(&self.shared.queries).values().flatten().filter(|query| !query.over).count()
    }
}

impl EngineAddress {
    fn listen(&self, shared: &Arc<Shared>, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            let wanted = *lock(&self.wanted);
            match wanted {
                None => listener = None,
                Some(_) if listener.is_none() => listener = TcpListener::bind(self.address).ok(),
                Some(_) => {}
            }
            *lock(&self.listening) = wanted.filter(|_| listener.is_some());
            let Some((open, process)) = listener.as_ref().zip(wanted) else {
                thread::sleep(POLL_INTERVAL);
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
                // None waits, or one was gone before it was accepted, or there is no descriptor left just now.
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }
}

impl Shared {
    /// Ends what has run its time, and what nobody polled for.
    fn end_expired(&self, now: Instant) {
        let mut queries = lock(&self.queries);
        let shutting_down = lock(&self.shutting_down);
        for ((process, _), same_id) in queries.iter_mut() {
            for query in same_id.iter_mut().filter(|query| !query.over) {
                let dropped = query.last_poll + UNPOLLED_LIFETIME;
                let ended = query.ends.min(*shutting_down.get(process).unwrap_or(&dropped));
                if ended <= now {
                    query.over = true;
                    lock(&self.audit_log).executions[query.execution].ended = Some(ended);
                }
            }
        }
    }

    fn begin(&self, process: usize, id: &str, statement: &str, takes: Duration, fails: bool) {
        let now = Instant::now();
        let execution = Execution {
            id: id.to_owned(),
            statement: statement.to_owned(),
            process,
            started: now,
            ended: None,
        };
        let execution = {
            let executions = &mut lock(&self.audit_log).executions;
            executions.push(execution);
            executions.len() - 1
        };
        let query = Query { execution, ends: now + takes, last_poll: now, fails, over: false };
        lock(&self.queries).entry((process, id.to_owned())).or_default().push(query);
    }

    fn serve(&self, stream: TcpStream, process: usize) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        let mut input = BufReader::new(stream.try_clone().ok()?);
        let mut output = stream;
        loop {
            let request = read_request(&mut input)?;
            match EngineCall::of(&request) {
                EngineCall::StartStatement => self.start_statement(process, &request, &mut output)?,
                EngineCall::PollResult { id } => output.write_all(&self.poll_result(process, id)).ok()?,
                EngineCall::CancelStatement { id } => {
                    self.cancel(process, id);
                    output.write_all(NO_CONTENT).ok()?;
                }
                EngineCall::FetchPage { .. }
                | EngineCall::UpdateStatement
                | EngineCall::LoadReport
                | EngineCall::HealthCheck
                | EngineCall::Unknown => output.write_all(&response(404, "", b"")).ok()?,
            }
        }
    }

    /// `None` ends the connection.
    fn start_statement(&self, process: usize, request: &HttpRequest, output: &mut TcpStream) -> Option<()> {
        let id = request.headers.get("x-trace")?;
        let statement = String::from_utf8_lossy(&request.body);
        let arrival = Arrival { id: id.clone(), process, at: Instant::now() };
        lock(&self.audit_log).arrivals.push(arrival);
        match (self.decide)(id, &statement) {
            StatementOutcome::Succeeds(takes) => self.begin(process, id, &statement, takes, false),
            StatementOutcome::Fails(takes) => self.begin(process, id, &statement, takes, true),
            StatementOutcome::Declined => {
                return output.write_all(&response(503, "X-Declined: 1\r\n", b"")).ok();
            }
            StatementOutcome::StartsAfterCut { delay, takes } => {
                self.not_started.fetch_add(1, Ordering::SeqCst);
                let _ = output.shutdown(Shutdown::Both);
                thread::sleep(delay);
                self.begin(process, id, &statement, takes, false);
                self.not_started.fetch_sub(1, Ordering::SeqCst);
                return None;
            }
        }
        output.write_all(&self.poll_result(process, id)).ok()
    }

    fn cancel(&self, process: usize, id: &str) {
        let mut queries = lock(&self.queries);
        let same_id = queries.get_mut(&(process, id.to_owned()));
        for query in same_id.into_iter().flatten().filter(|query| !query.over) {
            query.over = true;
            lock(&self.audit_log).executions[query.execution].ended = Some(Instant::now());
        }
    }

    fn poll_result(&self, process: usize, id: &str) -> Vec<u8> {
        long_poll(|| {
            self.end_expired(Instant::now());
            let mut queries = lock(&self.queries);
            let same_id = queries.get_mut(&(process, id.to_owned()));
            let Some((newest, earlier)) = same_id.and_then(|same_id| same_id.split_last_mut()) else {
                return Some(response(500, "", b""));
            };
            let now = Instant::now();
            earlier.iter_mut().for_each(|query| query.last_poll = now);
            newest.last_poll = now;
            let cancelled = newest.ends > Instant::now();
            match (newest.over, newest.fails || cancelled) {
                (true, true) => Some(response(500, "", b"")),
                (true, false) => Some(response(200, "Page-Count: 1\r\n", b"ok\n")),
                (false, _) => None,
            }
        })
    }
}
