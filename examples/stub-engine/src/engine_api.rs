//! What all stub engines have in common: the calls of the engines' HTTP interface, and the long poll for a result.

use crate::http::{HttpRequest, response};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A poll for the result of a running statement is answered after this long.
const LONG_POLL: Duration = Duration::from_millis(250);
/// Pause between two looks at something that another thread changes.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A call of the engines' interface.
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
    pub(crate) fn of(request: &'a HttpRequest) -> EngineCall<'a> {
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

/// Waits for the result of a statement, and answers that it still runs if there is none in time.
pub(crate) fn long_poll(mut result: impl FnMut() -> Option<Vec<u8>>) -> Vec<u8> {
    let deadline = Instant::now() + LONG_POLL;
    loop {
        if let Some(result) = result() {
            return result;
        }
        if Instant::now() >= deadline {
            return response(202, "X-Stats: inflight:1;util:0.1\r\n", b"");
        }
        thread::sleep(POLL_INTERVAL);
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
