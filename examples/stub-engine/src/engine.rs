//! A query engine on one address. What it does with a statement is up to whoever starts it.

use crate::engine_api::{EngineCall, lock, long_poll};
use crate::http::{HttpRequest, NO_CONTENT, read_request, response};
use std::collections::HashMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What becomes of a statement, or of the connection that brings it.
#[derive(Clone, Debug)]
pub enum EngineBehavior {
    /// Ends after this long with these pages.
    Serve(Duration, Vec<Vec<u8>>),
    /// Never runs.
    Decline,
    /// Ends in an error.
    Fail,
    /// The connection is cut once the whole call was read, and the query is unknown from then on.
    Cut,
    /// Nothing more is written to this connection; the query runs and ends at once with this page.
    Hang(Vec<u8>),
    /// These bytes are written as they are, and the connection ends.
    WriteRaw(Vec<u8>),
    /// The first page announces two; the second is lost.
    LosePage,
}

/// One statement as it was received.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The id that the gateway gave it.
    pub id: String,
    /// Headers by name in lower case.
    pub head: HashMap<String, String>,
    /// The text of the statement.
    pub statement: Vec<u8>,
}

/// What an engine has received so far.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// All statements, in order of arrival.
    pub started: Vec<Call>,
    /// Ids of statements that were cancelled.
    pub cancelled: Vec<String>,
    /// Number of requests for a load report.
    pub load_requests: usize,
    /// Connections accepted.
    pub connections: usize,
    /// Statements accepted; ones that have ended are not taken off.
    pub running: usize,
}

struct Query {
    behavior: EngineBehavior,
    began: Instant,
}

type Decide = Box<dyn Fn(&Call) -> EngineBehavior + Send + Sync>;

/// A running engine; it serves until the process ends.
pub struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    decide: Decide,
    queries: Mutex<HashMap<String, Query>>,
    seen: Mutex<Seen>,
}

impl Engine {
    /// Listens at an address; `decide` says what becomes of each statement.
    pub fn start(
        listen: &str,
        decide: impl Fn(&Call) -> EngineBehavior + Send + Sync + 'static,
    ) -> io::Result<Engine> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let inner =
            Arc::new(Inner { decide: Box::new(decide), queries: Mutex::default(), seen: Mutex::default() });
        let shared = inner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                lock(&shared.seen).connections += 1;
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(Engine { address, inner })
    }

    /// A copy of what was received so far.
    pub fn seen(&self) -> Seen {
        lock(&self.inner.seen).clone()
    }
}

impl Inner {
    /// One call after the other until the connection ends.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut input = BufReader::new(stream.try_clone().ok()?);
        let mut output = stream;
        loop {
            let request = read_request(&mut input)?;
            match EngineCall::of(&request) {
                EngineCall::StartStatement => self.start_statement(request, &mut input, &mut output)?,
                EngineCall::PollResult { id } => output.write_all(&self.poll_result(id)).ok()?,
                EngineCall::FetchPage { id, page } => {
                    let page = page.parse::<usize>().ok()?;
                    output.write_all(&self.page(id, page)).ok()?;
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

    /// `None` ends the connection.
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
                lock(&self.queries).insert(id, Query { behavior, began: Instant::now() });
                let mut rest = [0; 1024];
                while input.read(&mut rest).ok()? > 0 {}
                return None;
            }
            EngineBehavior::Serve(..)
            | EngineBehavior::Decline
            | EngineBehavior::Fail
            | EngineBehavior::LosePage => {}
        }
        lock(&self.queries).insert(id.clone(), Query { behavior, began: Instant::now() });
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
                EngineBehavior::Serve(takes, pages) if query.began.elapsed() >= *takes => {
                    let first = pages.first().map_or(&b""[..], |page| page);
                    Some(response(200, &format!("Page-Count: {}\r\n", pages.len().max(1)), first))
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

    fn page(&self, id: &str, page: usize) -> Vec<u8> {
        let queries = lock(&self.queries);
        match queries.get(id).map(|query| &query.behavior) {
            Some(EngineBehavior::Serve(_, pages)) if page < pages.len() => {
                response(200, &format!("Page-No: {page}\r\n"), &pages[page])
            }
            _ => response(500, "", b""),
        }
    }
}
