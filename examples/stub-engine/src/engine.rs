//! A toy query engine on one address. What it does with a statement is up to whoever starts it.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What becomes of a statement, or of the connection that brings it.
#[derive(Clone, Debug)]
pub enum Act {
    /// Ends after this long with these pages.
    Serve(Duration, Vec<Vec<u8>>),
    /// Never runs.
    Decline,
    /// Ends in an error.
    Fail,
    /// The connection is cut once the call has come whole, and the query is unknown from then on.
    Cut,
    /// Nothing is ever said again on this connection; the query runs on and ends at once with this page.
    Hang(Vec<u8>),
    /// These bytes are written as they are, and the connection ends.
    Say(Vec<u8>),
    /// The first page tells of two; the second is lost.
    LosePage,
}

/// One statement as it came.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub id: String,
    pub head: HashMap<String, String>,
    pub statement: Vec<u8>,
}

/// What an engine has seen so far.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub started: Vec<Call>,
    pub given_up: Vec<String>,
    /// Times that its load was asked for.
    pub probes: usize,
    pub connections: usize,
    /// Statements started and not yet over, now and at most.
    pub running: usize,
}

struct Query {
    act: Act,
    began: Instant,
}

type Decide = Box<dyn Fn(&Call) -> Act + Send + Sync>;

pub struct Engine {
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    decide: Decide,
    queries: Mutex<HashMap<String, Query>>,
    seen: Mutex<Seen>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// News of a query are held back this long.
const NEWS: Duration = Duration::from_millis(250);
const LOOK: Duration = Duration::from_millis(2);

impl Engine {
    pub fn start(at: &str, decide: impl Fn(&Call) -> Act + Send + Sync + 'static) -> io::Result<Engine> {
        let listener = TcpListener::bind(at)?;
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
            let Asked { verb, path, head, body } = read_call(&mut input)?;
            let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
            match (verb.as_str(), &parts[..]) {
                ("POST", ["obj"]) => {
                    let id = head.get("x-trace")?.clone();
                    let call = Call { id: id.clone(), head, statement: body };
                    let act = (self.decide)(&call);
                    lock(&self.seen).started.push(call);
                    match &act {
                        Act::Cut => return None,
                        Act::Say(bytes) => {
                            output.write_all(bytes).ok()?;
                            return None;
                        }
                        Act::Hang(page) => {
                            let act = Act::Serve(Duration::ZERO, vec![page.clone()]);
                            lock(&self.queries).insert(id, Query { act, began: Instant::now() });
                            let mut rest = [0; 1024];
                            while input.read(&mut rest).ok()? > 0 {}
                            return None;
                        }
                        _ => {}
                    }
                    lock(&self.queries).insert(id.clone(), Query { act, began: Instant::now() });
                    lock(&self.seen).running += 1;
                    output.write_all(&self.news(&id)).ok()?;
                }
                ("GET", ["obj", id, "0"]) => output.write_all(&self.news(id)).ok()?,
                ("GET", ["obj", id, page]) => {
                    let page = page.parse::<usize>().ok()?;
                    output.write_all(&self.page(id, page)).ok()?;
                }
                ("DELETE", ["obj", id]) => {
                    lock(&self.queries).remove(*id);
                    lock(&self.seen).given_up.push((*id).to_owned());
                    output.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
                }
                ("PUT", ["obj", _]) => output.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?,
                ("GET", ["stats"]) => {
                    let running = {
                        let mut seen = lock(&self.seen);
                        seen.probes += 1;
                        seen.running
                    };
                    output.write_all(&reply(200, &format!("X-Stats: inflight:{running}\r\n"), b"")).ok()?;
                }
                ("GET", ["alive"]) => output.write_all(&reply(200, "", b"")).ok()?,
                _ => output.write_all(&reply(404, "", b"")).ok()?,
            }
        }
    }

    /// The end of a query, or nothing new after a while.
    fn news(&self, id: &str) -> Vec<u8> {
        let until = Instant::now() + NEWS;
        loop {
            {
                let queries = lock(&self.queries);
                let Some(query) = queries.get(id) else { return reply(500, "", b"") };
                match &query.act {
                    Act::Serve(takes, pages) if query.began.elapsed() >= *takes => {
                        let first = pages.first().map_or(&b""[..], |p| p);
                        return reply(200, &format!("Page-Count: {}\r\n", pages.len().max(1)), first);
                    }
                    Act::Decline => return reply(503, "X-Declined: 1\r\n", b""),
                    Act::Fail => return reply(500, "", b""),
                    Act::LosePage => return reply(200, "Page-Count: 2\r\n", b"one\n"),
                    _ => {}
                }
            }
            if Instant::now() >= until {
                return reply(202, "X-Stats: inflight:1;util:0.1\r\n", b"");
            }
            thread::sleep(LOOK);
        }
    }

    fn page(&self, id: &str, page: usize) -> Vec<u8> {
        let queries = lock(&self.queries);
        match queries.get(id).map(|q| &q.act) {
            Some(Act::Serve(_, pages)) if page < pages.len() => {
                reply(200, &format!("Page-No: {page}\r\n"), &pages[page])
            }
            _ => reply(500, "", b""),
        }
    }
}

/// One call as it came.
pub(crate) struct Asked {
    pub verb: String,
    pub path: String,
    pub head: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// The next call on a connection; `None` once it has ended.
pub(crate) fn read_call(input: &mut impl BufRead) -> Option<Asked> {
    let mut first = String::new();
    if input.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut words = first.split_whitespace();
    let (verb, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut head = HashMap::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(':') else { break };
        head.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = head.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some(Asked { verb, path, head, body })
}

pub(crate) fn reply(status: u16, head: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} Toy\r\n{head}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
