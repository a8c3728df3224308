//! Responses that are not pages.

use larchfall_paged_rest::call::Response;
use larchfall_paged_rest::document::QueryError;
use larchfall_policy::time::Duration;

pub(super) fn empty(status: u16) -> Response {
    Response { status, headers: Vec::new(), body: Vec::new() }
}

pub(super) fn ok(body: Vec<u8>) -> Response {
    Response { body, ..empty(200) }
}

/// A plain JSON error, for what has no result.
fn error(status: u16, error: &QueryError) -> Response {
    let body = serde_json::json!({ "error": error }).to_string().into_bytes();
    Response { body, ..empty(status) }
}

/// A call that can't be used.
pub(super) fn unusable(status: u16, why: &str) -> Response {
    error(status, &QueryError::unusable(why))
}

/// Trying again is harmless: nothing was admitted, or nothing has run.
pub(super) fn rejected(retry_after: Option<Duration>) -> Response {
    let milliseconds = retry_after.map(|retry_after| retry_after.micros() / 1000);
    let seconds = milliseconds.unwrap_or(1000).div_ceil(1000).max(1);
    let headers = vec![("Retry-After", seconds.to_string())];
    Response { headers, ..error(429, &QueryError::rejected(milliseconds)) }
}
