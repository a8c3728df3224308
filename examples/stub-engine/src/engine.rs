//! A stub engine that listens on one address. The caller that starts the engine supplies a function that selects the
//! behavior for each statement.

use crate::engine_api::{EngineCall, lock, long_poll};
use crate::http::{HttpRequest, NO_CONTENT, read_request, response};
use std::collections::HashMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How the engine handles a statement or the connection on which the statement arrived.
#[derive(Clone, Debug)]
pub enum EngineBehavior {
    /// The query finishes after this duration and has these result pages.
    Serve(Duration, Vec<Vec<u8>>),
    /// The engine declines the statement with status 503 and never runs the query.
    Decline,
    /// The query fails: polls for the result return status 500.
    Fail,
    /// The engine closes the connection after reading the whole call and does not register the query.
    Cut,
    /// The engine writes nothing more to the connection; the query finishes immediately with this result page.
    Hang(Vec<u8>),
    /// The engine writes these bytes unchanged in place of a response and closes the connection.
    WriteRaw(Vec<u8>),
    /// The response with the first page announces two pages; a fetch of the second page fails with status 500.
    LosePage,
}

/// A statement call that the engine received.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Id that the gateway assigned to the statement, from the header `X-Trace`.
    pub id: String,
    /// Header values by lower-case header name.
    pub head: HashMap<String, String>,
    /// Statement text, as the bytes of the HTTP body.
    pub statement: Vec<u8>,
}

/// Statements and calls that the engine has received since its start.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// All received statements in order of arrival, including declined and failed statements.
    pub started: Vec<Call>,
    /// Ids of cancelled statements in order of cancellation.
    pub cancelled: Vec<String>,
    /// Number of load report calls.
    pub load_requests: usize,
    /// Number of accepted connections.
    pub connections: usize,
    /// Number of statements not handled as `Cut`, `Hang` or `WriteRaw`; not decremented when a statement ends.
    pub running: usize,
}

struct Query {
    behavior: EngineBehavior,
    started_at: Instant,
}

type BehaviorFn = Box<dyn Fn(&Call) -> EngineBehavior + Send + Sync>;

/// A running engine; its threads run until the process exits.
pub struct Engine {
    /// Address on which the engine listens, with the assigned port if port 0 was requested.
    pub address: SocketAddr,
    state: Arc<EngineState>,
}

struct EngineState {
    decide: BehaviorFn,
    queries: Mutex<HashMap<String, Query>>,
    seen: Mutex<Seen>,
}

impl Engine {
    /// Listens on the address `listen`; `decide` selects the behavior for each statement.
    pub fn start(
        listen: &str,
        decide: impl Fn(&Call) -> EngineBehavior + Send + Sync + 'static,
    ) -> io::Result<Engine> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let state = Arc::new(EngineState {
            decide: Box::new(decide),
            queries: Mutex::default(),
            seen: Mutex::default(),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                lock(&shared.seen).connections += 1;
                let shared = shared.clone();
                thread::spawn(move || shared.serve_connection(stream));
            }
        });
        Ok(Engine { address, state })
    }

    /// Returns a copy of the record of received statements and calls.
    pub fn seen(&self) -> Seen {
        lock(&self.state.seen).clone()
    }
}

impl EngineState {
    /// Serves the calls on a connection in order; returns `None` when the connection has ended.
    fn serve_connection(&self, stream: TcpStream) -> Option<()> {
        let mut input = BufReader::new(stream.try_clone().ok()?);
        let mut output = stream;
        loop {
            let request = read_request(&mut input)?;
            match EngineCall::parse(&request) {
                EngineCall::StartStatement => self.start_statement(request, &mut input, &mut output)?,
                EngineCall::PollResult { id } => output.write_all(&self.poll_result(id)).ok()?,
                EngineCall::FetchPage { id, page } => {
                    let page = page.parse::<usize>().ok()?;
                    output.write_all(&self.fetch_page(id, page)).ok()?;
                }
                EngineCall::CancelStatement { id } => {
                    lock(&self.queries).remove(id);
                    lock(&self.seen).cancelled.push(id.to_owned());
                    output.write_all(NO_CONTENT).ok()?;
                }
                EngineCall::UpdateStatement => output.write_all(NO_CONTENT).ok()?,
                EngineCall::LoadReport => output.write_all(&self.load_report()).ok()?,
                EngineCall::HealthCheck => output.write_all(&response(200, "", b"")).ok()?,
                EngineCall::Unknown => output.write_all(&response(404, "", b"")).ok()?,
            }
        }
    }

    /// Applies the selected behavior to a statement; returns `None` if the connection must be closed.
    fn start_statement(
        &self,
        request: HttpRequest,
        input: &mut BufReader<TcpStream>,
        output: &mut TcpStream,
    ) -> Option<()> {
        let id = request.headers.get("x-trace")?.clone();
        let call = Call { id: id.clone(), head: request.headers, statement: request.body };
        let behavior = (self.decide)(&call);
        lock(&self.seen).started.push(call);
        match &behavior {
            EngineBehavior::Cut => return None,
            EngineBehavior::WriteRaw(bytes) => {
                output.write_all(bytes).ok()?;
                return None;
            }
            EngineBehavior::Hang(page) => {
                let behavior = EngineBehavior::Serve(Duration::ZERO, vec![page.clone()]);
                lock(&self.queries).insert(id, Query { behavior, started_at: Instant::now() });
                let mut discarded = [0; 1024];
                while input.read(&mut discarded).ok()? > 0 {}
                return None;
            }
            EngineBehavior::Serve(..)
            | EngineBehavior::Decline
            | EngineBehavior::Fail
            | EngineBehavior::LosePage => {}
        }
        lock(&self.queries).insert(id.clone(), Query { behavior, started_at: Instant::now() });
        lock(&self.seen).running += 1;
        output.write_all(&self.poll_result(&id)).ok()
    }

    fn load_report(&self) -> Vec<u8> {
        let mut seen = lock(&self.seen);
        seen.load_requests += 1;
        response(200, &format!("X-Stats: inflight:{}\r\n", seen.running), b"")
    }

    fn poll_result(&self, id: &str) -> Vec<u8> {
        long_poll(|| {
            let queries = lock(&self.queries);
            let Some(query) = queries.get(id) else { return Some(response(500, "", b"")) };
            match &query.behavior {
                EngineBehavior::Serve(duration, pages) if query.started_at.elapsed() >= *duration => {
                    let first_page = pages.first().map_or(&b""[..], |page| page);
                    Some(response(200, &format!("Page-Count: {}\r\n", pages.len().max(1)), first_page))
                }
                EngineBehavior::Decline => Some(response(503, "X-Declined: 1\r\n", b"")),
                EngineBehavior::Fail => Some(response(500, "", b"")),
                EngineBehavior::LosePage => Some(response(200, "Page-Count: 2\r\n", b"one\n")),
                EngineBehavior::Serve(..)
                | EngineBehavior::Cut
                | EngineBehavior::Hang(_)
                | EngineBehavior::WriteRaw(_) => None,
            }
        })
    }

    fn fetch_page(&self, id: &str, page: usize) -> Vec<u8> {
        let queries = lock(&self.queries);
        match queries.get(id).map(|query| &query.behavior) {
            Some(EngineBehavior::Serve(_, pages)) if page < pages.len() => {
                response(200, &format!("Page-No: {page}\r\n"), &pages[page])
            }
            _ => response(500, "", b""),
        }
    }
}
