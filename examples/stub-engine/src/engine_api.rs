//! Functions shared by the stub engines: parsing of calls to the HTTP interface of an engine, and the long poll for a
//! statement result.

use crate::http::{HttpRequest, response};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time that a long poll waits for the result before the engine responds that the statement is still running.
const LONG_POLL: Duration = Duration::from_millis(250);
/// Interval at which a thread polls state that another thread changes.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A parsed call to the HTTP interface of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineCall<'a> {
    StartStatement,
    PollResult { id: &'a str },
    FetchPage { id: &'a str, page: &'a str },
    CancelStatement { id: &'a str },
    UpdateStatement,
    LoadReport,
    HealthCheck,
    Unknown,
}

impl<'a> EngineCall<'a> {
    /// Classifies a request by its method and path.
    pub(crate) fn parse(request: &'a HttpRequest) -> EngineCall<'a> {
        let segments: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        match (request.method.as_str(), &segments[..]) {
            ("POST", ["obj"]) => EngineCall::StartStatement,
            ("GET", ["obj", id, "0"]) => EngineCall::PollResult { id },
            ("GET", ["obj", id, page]) => EngineCall::FetchPage { id, page },
            ("DELETE", ["obj", id]) => EngineCall::CancelStatement { id },
            ("PUT", ["obj", _]) => EngineCall::UpdateStatement,
            ("GET", ["stats"]) => EngineCall::LoadReport,
            ("GET", ["alive"]) => EngineCall::HealthCheck,
            _ => EngineCall::Unknown,
        }
    }
}

/// Polls `result` until `result` returns a response. Returns status 202 (still running) if there is no response after
/// `LONG_POLL`.
pub(crate) fn long_poll(mut result: impl FnMut() -> Option<Vec<u8>>) -> Vec<u8> {
    let deadline = Instant::now() + LONG_POLL;
    loop {
        if let Some(response) = result() {
            return response;
        }
        if Instant::now() >= deadline {
            return response(202, "X-Stats: inflight:1;util:0.1\r\n", b"");
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Locks a mutex, also one poisoned by a panic of another thread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
