//! Stub engines that record each statement arrival and execution in an audit log. Each engine address is served by a
//! sequence of simulated engine processes. A process drops a statement that no client has polled for two seconds. A
//! process that is shutting down stops listening, keeps running its statements whether they are polled or not (a
//! behavior observed in real engines during shutdown), and exits after `SHUTDOWN_TIME`.

use crate::engine_api::{EngineCall, POLL_INTERVAL, lock, long_poll};
use crate::http::{HttpRequest, NO_CONTENT, read_request, response};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time since the last poll after which a running statement is dropped.
const UNPOLLED_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which a process keeps running its statements after it stops listening.
pub const SHUTDOWN_TIME: Duration = Duration::from_millis(3500);

/// How an engine handles a statement that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatementOutcome {
    /// The statement runs for this duration and succeeds.
    Succeeds(Duration),
    /// The statement runs for this duration and ends in an error.
    Fails(Duration),
    /// The engine declines the statement with status 503 and never runs it.
    Declined,
    /// The engine closes the connection without a response and starts the statement later.
    StartsAfterCut {
        /// Time from closing the connection to the start of the statement.
        delay: Duration,
        /// Run time of the statement.
        takes: Duration,
    },
}

/// The execution of a statement; one id may have several executions.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Id that the gateway assigned to the statement, from the header `X-Trace`.
    pub id: String,
    /// Statement text, with invalid UTF-8 replaced.
    pub statement: String,
    /// Number of the engine process; all processes are numbered from 0 in start order.
    pub process: usize,
    /// Start time of the execution.
    pub started: Instant,
    /// Time at which the execution ended, was cancelled or was dropped; `None` while the statement is running.
    pub ended: Option<Instant>,
}

/// The arrival of a statement at an engine, whether the statement ran or not.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id that the gateway assigned to the statement, from the header `X-Trace`.
    pub id: String,
    /// Number of the engine process; all processes are numbered from 0 in start order.
    pub process: usize,
    /// Arrival time of the statement.
    pub at: Instant,
}

/// All statement arrivals and executions on all engines.
#[derive(Clone, Debug, Default)]
pub struct AuditLog {
    /// Executions in start order.
    pub executions: Vec<Execution>,
    /// Arrivals in order of receipt, including declined statements.
    pub arrivals: Vec<Arrival>,
}

struct Query {
    /// Index in `AuditLog::executions`.
    execution_index: usize,
    ends_at: Instant,
    last_poll: Instant,
    fails: bool,
    is_ended: bool,
}

/// Process number and statement id; a statement is visible only to the process that runs it.
type QueryKey = (usize, String);
type OutcomeFn = Box<dyn Fn(&str, &str) -> StatementOutcome + Send + Sync>;

struct Shared {
    decide: OutcomeFn,
    audit_log: Mutex<AuditLog>,
    /// Number of statements that arrived and have yet to start after `StartsAfterCut::delay`.
    not_started: AtomicUsize,
    /// Statements by key. Statements with the same key run concurrently; a poll returns the result of the newest.
    queries: Mutex<HashMap<QueryKey, Vec<Query>>>,
    /// Numbers of the processes that were told to shut down, with the exit time of each process.
    shutting_down: Mutex<BTreeMap<usize, Instant>>,
}

struct EngineAddress {
    address: SocketAddr,
    /// Number of the process that should listen on `address`; `None` if the address should be closed.
    desired_process: Mutex<Option<usize>>,
    /// Number of the process that is listening on `address`; `None` while the address is closed.
    listening_process: Mutex<Option<usize>>,
}

/// Stub engines with fixed addresses; the process that serves an address can be replaced.
pub struct StubEngines {
    shared: Arc<Shared>,
    addresses: Vec<Arc<EngineAddress>>,
    processes_started: usize,
}

impl StubEngines {
    /// Starts an engine on each address in `listen`; port 0 selects a free port. `decide` receives the id and the text
    /// of each statement.
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
                desired_process: Mutex::new(Some(process)),
                listening_process: Mutex::new(None),
            });
            addresses.push(address.clone());
            let shared = shared.clone();
            thread::spawn(move || address.listen(&shared, listener));
        }
        let weak_shared = Arc::downgrade(&shared);
        thread::spawn(move || {
            while let Some(shared) = weak_shared.upgrade() {
                shared.end_expired(Instant::now());
                drop(shared);
                thread::sleep(POLL_INTERVAL);
            }
        });
        let processes_started = addresses.len();
        Ok(StubEngines { shared, addresses, processes_started })
    }

    /// Returns the address of the engine with index `engine` in the list of addresses passed to `start`.
    pub fn address(&self, engine: usize) -> SocketAddr {
        self.addresses[engine].address
    }

    /// Shuts down the process of an engine and waits until the process no longer accepts connections. The process keeps
    /// running its statements for `SHUTDOWN_TIME`.
    pub fn close(&self, engine: usize) {
        if let Some(process) = lock(&self.addresses[engine].desired_process).take() {
            lock(&self.shared.shutting_down).insert(process, Instant::now() + SHUTDOWN_TIME);
        }
        while lock(&self.addresses[engine].listening_process).is_some() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Starts a new process on the address of an engine, waits until the process listens and returns the process
    /// number.
    pub fn open(&mut self, engine: usize) -> usize {
        let process = self.processes_started;
        self.processes_started += 1;
        *lock(&self.addresses[engine].desired_process) = Some(process);
        while *lock(&self.addresses[engine].listening_process) != Some(process) {
            thread::sleep(POLL_INTERVAL);
        }
        process
    }

    /// Returns a copy of the audit log.
    pub fn audit_log(&self) -> AuditLog {
        lock(&self.shared.audit_log).clone()
    }

    /// Returns the number of statements that are running or have yet to start after a cut connection.
    pub fn running(&self) -> usize {
        let not_started = self.shared.not_started.load(Ordering::SeqCst);
        not_started + lock(&self.shared.queries).values().flatten().filter(|query| !query.is_ended).count()
    }
}

impl EngineAddress {
    /// Accepts connections for `desired_process`, and closes or reopens the listener when `desired_process` changes.
    fn listen(&self, shared: &Arc<Shared>, initial_listener: TcpListener) {
        let mut listener = Some(initial_listener);
        loop {
            let desired_process = *lock(&self.desired_process);
            match desired_process {
                None => listener = None,
                Some(_) if listener.is_none() => listener = TcpListener::bind(self.address).ok(),
                Some(_) => {}
            }
            *lock(&self.listening_process) = desired_process.filter(|_| listener.is_some());
            let Some((open_listener, process)) = listener.as_ref().zip(desired_process) else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            if open_listener.set_nonblocking(true).is_err() {
                return;
            }
            match open_listener.accept() {
                Ok((stream, _)) => {
                    let shared = shared.clone();
                    thread::spawn(move || shared.serve_connection(stream, process));
                }
                // No connection is pending, the client closed a pending connection, or no file descriptor is
                // available; retry.
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }
}

impl Shared {
    /// Ends statements that have reached their end time, were not polled for `UNPOLLED_LIFETIME`, or whose process
    /// exited. The lifetime limit does not apply to a process that is shutting down.
    fn end_expired(&self, now: Instant) {
        let mut queries = lock(&self.queries);
        let shutting_down = lock(&self.shutting_down);
        for ((process, _), same_id_queries) in queries.iter_mut() {
            for query in same_id_queries.iter_mut().filter(|query| !query.is_ended) {
                let dropped_at = query.last_poll + UNPOLLED_LIFETIME;
                let ended_at = query.ends_at.min(*shutting_down.get(process).unwrap_or(&dropped_at));
                if ended_at <= now {
                    query.is_ended = true;
                    lock(&self.audit_log).executions[query.execution_index].ended = Some(ended_at);
                }
            }
        }
    }

    /// Records the start of a statement in the audit log and registers the statement for polling.
    fn start_execution(&self, process: usize, id: &str, statement: &str, run_time: Duration, fails: bool) {
        let now = Instant::now();
        let execution = Execution {
            id: id.to_owned(),
            statement: statement.to_owned(),
            process,
            started: now,
            ended: None,
        };
        let execution_index = {
            let executions = &mut lock(&self.audit_log).executions;
            executions.push(execution);
            executions.len() - 1
        };
        let query =
            Query { execution_index, ends_at: now + run_time, last_poll: now, fails, is_ended: false };
        lock(&self.queries).entry((process, id.to_owned())).or_default().push(query);
    }

    /// Serves the calls on a connection in order; returns `None` when the connection has ended.
    fn serve_connection(&self, stream: TcpStream, process: usize) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        let mut input = BufReader::new(stream.try_clone().ok()?);
        let mut output = stream;
        loop {
            let request = read_request(&mut input)?;
            match EngineCall::parse(&request) {
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

    /// Applies the selected outcome to a statement; returns `None` if the connection must be closed.
    fn start_statement(&self, process: usize, request: &HttpRequest, output: &mut TcpStream) -> Option<()> {
        let id = request.headers.get("x-trace")?;
        let statement = String::from_utf8_lossy(&request.body);
        let arrival = Arrival { id: id.clone(), process, at: Instant::now() };
        lock(&self.audit_log).arrivals.push(arrival);
        match (self.decide)(id, &statement) {
            StatementOutcome::Succeeds(run_time) => {
                self.start_execution(process, id, &statement, run_time, false);
            }
            StatementOutcome::Fails(run_time) => {
                self.start_execution(process, id, &statement, run_time, true);
            }
            StatementOutcome::Declined => {
                return output.write_all(&response(503, "X-Declined: 1\r\n", b"")).ok();
            }
            StatementOutcome::StartsAfterCut { delay, takes: run_time } => {
                self.not_started.fetch_add(1, Ordering::SeqCst);
                let _ = output.shutdown(Shutdown::Both);
                thread::sleep(delay);
                self.start_execution(process, id, &statement, run_time, false);
                self.not_started.fetch_sub(1, Ordering::SeqCst);
                return None;
            }
        }
        output.write_all(&self.poll_result(process, id)).ok()
    }

    fn cancel(&self, process: usize, id: &str) {
        let mut queries = lock(&self.queries);
        let same_id_queries = queries.get_mut(&(process, id.to_owned()));
        for query in same_id_queries.into_iter().flatten().filter(|query| !query.is_ended) {
            query.is_ended = true;
            lock(&self.audit_log).executions[query.execution_index].ended = Some(Instant::now());
        }
    }

    fn poll_result(&self, process: usize, id: &str) -> Vec<u8> {
        long_poll(|| {
            self.end_expired(Instant::now());
            let mut queries = lock(&self.queries);
            let same_id_queries = queries.get_mut(&(process, id.to_owned()));
            let Some((newest, earlier)) =
                same_id_queries.and_then(|same_id_queries| same_id_queries.split_last_mut())
            else {
                return Some(response(500, "", b""));
            };
            let now = Instant::now();
            earlier.iter_mut().for_each(|query| query.last_poll = now);
            newest.last_poll = now;
            let cancelled = newest.ends_at > Instant::now();
            match (newest.is_ended, newest.fails || cancelled) {
                (true, true) => Some(response(500, "", b"")),
                (true, false) => Some(response(200, "Page-Count: 1\r\n", b"ok\n")),
                (false, _) => None,
            }
        })
    }
}
