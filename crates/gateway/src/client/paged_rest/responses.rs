//! Responses other than pages.

use crate::state::State;
use larchfall_paged_rest::call::Response;
use larchfall_paged_rest::document::QueryError;
use larchfall_policy::time::Duration;

/// A response without a body.
pub(super) fn empty(status: u16) -> Response {
    Response { status, headers: Vec::new(), body: Vec::new() }
}

/// A successful response with a JSON body.
pub(super) fn ok(body: Vec<u8>) -> Response {
    Response { body, ..empty(200) }
}

/// An error as JSON, for calls that have no result document.
fn error_response(status: u16, error: &QueryError) -> Response {
    let body = serde_json::json!({ "error": error }).to_string().into_bytes();
    Response { body, ..empty(status) }
}

/// The response to an invalid call. `reason` is the text that the client receives.
pub(super) fn invalid_call(status: u16, reason: &str) -> Response {
    error_response(status, &QueryError::unusable(reason))
}

/// A rejection with status 429. The client can retry safely, since nothing was admitted or nothing has run. The
/// `Retry-After` header is in whole seconds, rounded up, and 1 if no retry-after time is known.
pub(super) fn rejected(retry_after: Option<Duration>) -> Response {
    let milliseconds = retry_after.map(|retry_after| retry_after.micros() / 1000);
    let seconds = milliseconds.unwrap_or(1000).div_ceil(1000).max(1);
    let headers = vec![("Retry-After", seconds.to_string())];
    Response { headers, ..error_response(429, &QueryError::rejected(milliseconds)) }
}

/// The rejection of a call that one of the gateway's limits does not admit, which is counted.
pub(super) fn over_limits(state: &State) -> Response {
    state.counters.update_gateway(|counters| counters.over_limits += 1);
    rejected(state.settings.max_retry_after)
}
