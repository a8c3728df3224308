//! A client connection of the paged REST protocol: one coroutine that reads calls and answers them one after the
//! other. Which page is whose, and until when, is decided by `larchfall_paged_rest`; where a request goes, by the module.

use super::Reason;
use crate::admission::{self, InvalidRequest, RequestError};
use crate::request_context::{FinalAnswer, ResultReader};
use crate::state::State;
use crate::state::clock::timeout;
use crate::state::lock;
use crate::state::result_pages::{PageLookup, ResultPages};
use crate::wire::client_request::{self, ClientRequest};
use larchfall_operator_config::Rest;
use larchfall_paged_rest::call::{self, Call, Read as Got, Verb};
use larchfall_paged_rest::cursor::{End, Page, Settled};
use larchfall_paged_rest::document::{self, Addresses, Body, Fault};
use larchfall_paged_rest::results::Name;
use larchfall_paged_rest::slug::{self, Key, Place};
use larchfall_paged_rest::words::{self, Worded};
use larchfall_policy::time::{Duration, Timestamp};
use may::net::{TcpListener, TcpStream};
use nanorand::{Rng, WyRand};
use slog::{info, warn};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// What has begun to come is whole by then, and a connection says something within it.
const WHOLE_WITHIN: Duration = Duration::from_millis(2_000);
/// Clients pause between pages; what is quiet for longer costs others their place.
const QUIET: Duration = Duration::from_millis(10_000);
/// An answer is read by then, or its client reads none.
const READ_WITHIN: Duration = Duration::from_millis(10_000);
const CHUNK: usize = 4 * 1024;
/// A connection on which nothing comes looks this often whether this gateway has ended.
const LOOK: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_millis(5);
/// What is not taken in because this gateway ends is best tried again so much later, at another gateway.
const ENDS: Duration = Duration::from_millis(1_000);
const STATEMENT: &str = "/v1/statement";
const JSON: &str = "application/json";

/// All that the service keeps beside its connections.
pub struct RestService {
    site: Mutex<Arc<Rest>>,
    /// As at the start: what is open keeps its bounds.
    connections: usize,
    pub pages: ResultPages,
    key: Key,
    ids: Mutex<WyRand>,
    clients: AtomicUsize,
}

impl RestService {
    /// The key is drawn from the machine's chance: whoever knows this gateway's seed must not know its addresses.
    pub fn new(site: Rest, seed: u64) -> Result<RestService, getrandom::Error> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret)?;
        let (pages, ids) = (ResultPages::new(site.caps), Mutex::new(WyRand::new_seed(!seed)));
        let (connections, clients) = (site.connections, AtomicUsize::new(0));
        let site = Mutex::new(Arc::new(site));
        Ok(RestService { site, connections, pages, key: Key::new(&secret), ids, clients })
    }

    fn site(&self) -> Arc<Rest> {
        lock(&self.site).clone()
    }

    /// Other words for requests from the next call on. Listener, bounds and shares change with the next start.
    pub fn reload(&self, site: Rest) {
        *lock(&self.site) = Arc::new(site);
    }

    pub fn clients(&self) -> usize {
        self.clients.load(Ordering::Relaxed)
    }
}

/// Takes connections in while the service's share of them lasts.
pub fn accept(state: &Arc<State>, listener: &TcpListener, service: &Arc<RestService>) {
    loop {
        if service.clients() >= service.connections
            || state.stall_detector.is_event_poll_overdue(state.clock.now())
        {
            state.sleep(PAUSE);
            continue;
        }
        match listener.accept() {
            Ok((stream, from)) => {
                service.clients.fetch_add(1, Ordering::Relaxed);
                let (state, service) = (state.clone(), service.clone());
                may::go!(move || serve(&state, &service, stream, from));
                may::coroutine::yield_now();
            }
            Err(e) => {
                warn!(state.log, "accept failed"; "error" => e.to_string());
                state.sleep(PAUSE);
            }
        }
    }
}

/// Counts a connection out, whatever ends it.
struct Counted<'a>(&'a RestService);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.clients.fetch_sub(1, Ordering::Relaxed);
    }
}

fn serve(state: &Arc<State>, service: &Arc<RestService>, mut stream: TcpStream, from: SocketAddr) {
    let _place = Counted(service);
    let _ = stream.set_nodelay(true);
    let reason = converse(state, service, &mut stream);
    drop(stream);
    info!(state.log, "paged REST connection ended";
        "from" => from.to_string(), "reason" => reason.code(), "detail" => reason.detail());
}

fn converse(state: &Arc<State>, service: &Arc<RestService>, stream: &mut TcpStream) -> Reason {
    let mut input = Vec::new();
    // When what is awaited must be whole, and whether its client was told to go on.
    let (mut until, mut told) = (state.clock.now() + WHOLE_WITHIN, false);
    loop {
        match call::read(&input, service.site().statement) {
            Ok(Got::Call(call, used)) => {
                input.drain(..used);
                let closes = call.closes || state.shutdown.is_complete();
                let bytes = handle(state, service, &call).bytes(closes, call.verb);
                if let Err(reason) = write(stream, &bytes) {
                    return reason;
                }
                if closes {
                    return if call.closes { Reason::AskedToClose } else { Reason::Stopped };
                }
                let_others(state);
                told = false;
                let within = if input.is_empty() { QUIET } else { WHOLE_WITHIN };
                until = state.clock.now() + within;
                continue;
            }
            Ok(Got::Continue) if !told => {
                told = true;
                if let Err(reason) = write(stream, call::CONTINUE) {
                    return reason;
                }
            }
            Ok(_) => {}
            Err(bad) => {
                let fault = Answer::fault(bad.status, Fault::unusable(bad.why));
                let _ = write(stream, &fault.bytes(true, Verb::Other));
                return Reason::Malformed(bad.why);
            }
        }
        if state.shutdown.is_complete() {
            return Reason::Stopped;
        }
        let left = state.clock.remaining(until);
        if left.is_zero() {
            return if input.is_empty() { Reason::Quiet } else { Reason::NotWhole };
        }
        let _ = stream.set_read_timeout(Some(left.min(timeout(LOOK))));
        let (began, mut chunk) = (input.is_empty(), [0; CHUNK]);
        match stream.read(&mut chunk) {
            Ok(0) => return Reason::ClientClosed,
            Ok(n) => {
                let_others(state);
                input.extend_from_slice(&chunk[..n]);
                if began {
                    until = state.clock.now() + WHOLE_WITHIN;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {}
            Err(_) => return Reason::ClientReset,
        }
    }
}

/// While any coroutine is ready the worker looks for no events: a client that never pauses would keep all others from
/// being heard.
fn let_others(state: &State) {
    while state.stall_detector.is_event_poll_overdue(state.clock.now()) {
        state.sleep(PAUSE);
    }
}

fn write(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), Reason> {
    let _ = stream.set_write_timeout(Some(timeout(READ_WITHIN)));
    stream.write_all(bytes).map_err(|e| match e.kind() {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => Reason::NotRead,
        _ => Reason::ClientReset,
    })
}

/// An answer before it is bytes.
struct Answer {
    status: u16,
    fields: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Answer {
    fn bare(status: u16) -> Answer {
        Answer { status, fields: Vec::new(), body: Vec::new() }
    }

    /// A plain JSON error, for what has no result.
    fn fault(status: u16, fault: Fault) -> Answer {
        let body = serde_json::json!({ "error": fault }).to_string().into_bytes();
        Answer { body, ..Answer::bare(status) }
    }

    /// Trying again is harmless: nothing was taken in, or nothing has run.
    fn pushed_back(after: Option<Duration>) -> Answer {
        let ms = after.map(|a| a.micros() / 1000);
        let seconds = ms.unwrap_or(1000).div_ceil(1000).max(1);
        let fields = vec![("Retry-After", seconds.to_string())];
        Answer { fields, ..Answer::fault(429, Fault::pushed_back(ms)) }
    }

    fn bytes(&self, closes: bool, verb: Verb) -> Vec<u8> {
        let mut bytes = call::answer(self.status, &self.fields, JSON, &self.body, closes);
        if verb == Verb::Head {
            bytes.truncate(bytes.len() - self.body.len());
        }
        bytes
    }
}

fn handle(state: &Arc<State>, service: &Arc<RestService>, call: &Call) -> Answer {
    let unknown = || Answer::fault(404, Fault::unusable("no such page"));
    match (call.verb, call.path.as_str()) {
        (Verb::Post, STATEMENT) => begin(state, service, call),
        (_, STATEMENT) => {
            let fields = vec![("Allow", "POST".to_owned())];
            Answer { fields, ..Answer::fault(405, Fault::unusable("statements are posted")) }
        }
        (Verb::Get | Verb::Head, "/v1/info") => {
            let body = br#"{"nodeVersion":{"version":"larchfall"},"coordinator":true,"starting":false}"#;
            Answer { body: body.to_vec(), ..Answer::bare(200) }
        }
        (Verb::Get | Verb::Head, path) => match service.key.read(path) {
            Some(place) => page(state, service, call, place),
            None => unknown(),
        },
        (Verb::Delete, path) => match service.key.read(path) {
            Some(place) => {
                if let Some(left) = service.pages.abandon(place.name) {
                    give_up(state, left.request);
                }
                Answer::bare(204)
            }
            None => unknown(),
        },
        _ => unknown(),
    }
}

/// Nobody reads what this request makes.
pub fn give_up(state: &State, request: Option<usize>) {
    state.counters.update(|counters| counters.results_abandoned += 1);
    if let Some(request) = request {
        state.policy.record_disconnection(request);
    }
}

/// A statement: its first page, if that comes soon.
fn begin(state: &Arc<State>, service: &Arc<RestService>, call: &Call) -> Answer {
    let now = state.clock.now();
    if state.shutdown.deadline().is_some() {
        let seconds = (ENDS.micros() / 1_000_000).max(1).to_string();
        let fields = vec![("Retry-After", seconds)];
        return Answer { fields, ..Answer::fault(503, Fault::unusable("this front ends")) };
    }
    let unusable = |why: String| {
        state.counters.update(|counters| counters.unusable += 1);
        Answer::fault(400, Fault::unusable(&why))
    };
    if call.body.is_empty() {
        return unusable("no statement".into());
    }
    let site = service.site();
    let worded = match words::read(call, site.headers, &site.request) {
        Ok(worded) => worded,
        Err(why) => return unusable(why),
    };
    let (number, id) = {
        let number: u64 = lock(&service.ids).generate();
        (number, format!("{number:016x}"))
    };
    let client_request = match request_of(&worded, number, &id, &call.body) {
        Ok(client_request) => client_request,
        Err(why) => return unusable(why.to_owned()),
    };
    let Some(name) = service.pages.open(now) else {
        state.counters.update(|counters| counters.over_limits += 1);
        return Answer::pushed_back(state.settings.max_retry_after);
    };
    let admitted = admission::admit(state, &client_request, now, |request| {
        service.pages.set_request(name, request);
        let (state, service, pending) = (state.clone(), service.clone(), Mutex::new(None));
        Arc::new(Paged { state, service, name, began: now, pending })
    });
    match admitted {
        Ok(()) => {}
        Err(error) => {
            service.pages.abandon(name);
            return match error {
                RequestError::Invalid(invalid) => Answer::fault(400, Fault::unusable(&part_of(invalid))),
                RequestError::TooManyInFlight => Answer::pushed_back(state.settings.max_retry_after),
            };
        }
    }
    let place = Place { name, token: 0 };
    match found(state, service, place, now) {
        // No address was given out yet, so that clients which come again do so with the statement.
        PageLookup::Page(Page { end: Some(End::PushedBack), body, .. }, settled) => {
            settle(state, settled);
            service.pages.abandon(name);
            let after = body.fault.and_then(|f| f.retry_after_millis).map(Duration::from_millis);
            Answer::pushed_back(after)
        }
        found => answer(state, service, call, place, found),
    }
}

/// The service's words for what the other protocol names by its fields.
fn part_of(invalid: InvalidRequest) -> String {
    match invalid {
        InvalidRequest::MissingIdempotencyKey => "reference is missing".to_owned(),
        InvalidRequest::MissingOrderKey => "key is missing".to_owned(),
        other => other.to_string(),
    }
}

fn request_of<'a>(
    worded: &'a Worded,
    number: u64,
    id: &'a str,
    statement: &'a [u8],
) -> Result<ClientRequest<'a>, &'static str> {
    let reference = worded.reference.as_deref();
    if reference.is_some_and(|r| !client_request::is_reference(r)) {
        return Err("reference is unusable");
    }
    let part = worded.key.as_deref().map(|t| client_request::key(t).ok_or("key is unusable"));
    let key = part.transpose()?;
    let wait = worded.time_limit.as_deref().map(|t| client_request::wait(t).ok_or("time-limit is unusable"));
    let work = worded.work.as_deref().map(|t| client_request::work(t).ok_or("work is unusable"));
    let memory = worded.memory.as_deref().map(|t| client_request::memory(t).ok_or("memory is unusable"));
    Ok(ClientRequest {
        class: worded.class.as_deref().ok_or("group is missing")?,
        id,
        number,
        tenant: worded.tenant.as_deref().unwrap_or(""),
        wait: wait.transpose()?,
        reference,
        key,
        work: work.transpose()?.flatten(),
        memory_mb: memory.transpose()?.flatten(),
        statement,
    })
}

fn page(state: &Arc<State>, service: &Arc<RestService>, call: &Call, place: Place) -> Answer {
    let found = found(state, service, place, state.clock.now());
    answer(state, service, call, place, found)
}

fn found(state: &State, service: &RestService, place: Place, began: Timestamp) -> PageLookup {
    let empty = || Body { elapsed_ms: state.clock.now().since(began).micros() / 1000, ..Body::default() };
    service.pages.wait_for_page(place, &state.timers, service.site().poll, empty)
}

fn settle(state: &State, settled: Option<Settled>) {
    if let Some(Settled::Answered(_)) = settled {
        state.counters.update(|counters| counters.results_read += 1);
    }
}

fn answer(state: &State, service: &RestService, call: &Call, place: Place, found: PageLookup) -> Answer {
    let (page, settled) = match found {
        PageLookup::Page(page, settled) => (page, settled),
        // Its address is one of ours, so it was there once.
        PageLookup::Gone | PageLookup::Unknown => {
            return Answer::fault(410, Fault::unusable("this page is gone"));
        }
    };
    settle(state, settled);
    let site = service.site();
    let base = match (&site.base, call.field("host")) {
        (Some(base), _) => base.clone(),
        (None, Some(host)) => format!("http://{host}"),
        (None, None) => format!("http://{}", site.listen),
    };
    let id = slug::id(place.name);
    let next = page.end.is_none().then(|| {
        let next = Place { token: page.token + 1, ..place };
        format!("{base}{}", service.key.path(next))
    });
    let to = Addresses { id: &id, info: format!("{base}/ui/query.html?{id}"), next };
    Answer { body: document::json(&page.body, page.end, to), ..Answer::bare(200) }
}

/// The reader of one result: the last rows are held back until it is known whether they are the last.
struct Paged {
    state: Arc<State>,
    service: Arc<RestService>,
    name: Name,
    began: Timestamp,
    pending: Mutex<Option<Vec<u8>>>,
}

impl Paged {
    fn body(&self, rows: Vec<u8>, fault: Option<Fault>) -> Body {
        let elapsed_ms = self.state.clock.now().since(self.began).micros() / 1000;
        Body { rows, fault, elapsed_ms }
    }
}

impl ResultReader for Paged {
    fn has_room(&self) -> bool {
        self.service.pages.has_room(self.name)
    }

    fn push_rows(&self, rows: Vec<u8>) {
        if let Some(before) = lock(&self.pending).replace(rows) {
            self.service.pages.push(self.name, self.body(before, None), None);
        }
    }

    fn restart(&self) -> bool {
        *lock(&self.pending) = None;
        self.service.pages.restart(self.name)
    }

    fn finish(&self, answer: FinalAnswer) -> bool {
        let rows = lock(&self.pending).take();
        let (rows, fault, end) = match answer {
            FinalAnswer::Returned => (rows.unwrap_or_default(), None, End::Returned),
            FinalAnswer::Rejected(wait) => {
                (Vec::new(), Some(Fault::pushed_back(wait.map(|w| w.micros() / 1000))), End::PushedBack)
            }
            FinalAnswer::Errored(why) => (Vec::new(), Some(Fault::errored(why)), End::Errored),
        };
        self.service.pages.push(self.name, self.body(rows, fault), Some(end))
    }
}
