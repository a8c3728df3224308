//! Dispatches calls by method and path.

use super::service::RestService;
use super::{pages, responses, statement};
use crate::state::State;
use crate::state::memory::MemoryAccount;
use larchfall_paged_rest::call::{Call, Method, Response};
use std::sync::Arc;

const STATEMENT_PATH: &str = "/v1/statement";
const INFO_PATH: &str = "/v1/info";
/// Response body for `INFO_PATH`: a coordinator that has started.
const INFO_BODY: &[u8] = br#"{"nodeVersion":{"version":"larchfall"},"coordinator":true,"starting":false}"#;

/// Handles a call and returns its response. A call for a page may block until the page is ready. The memory of a request
/// that the call starts is held by `account`.
pub(super) fn handle(
    state: &Arc<State>,
    service: &Arc<RestService>,
    account: &Arc<MemoryAccount>,
    call: &Call,
) -> Response {
    match (call.method, call.path.as_str()) {
        (Method::Post, STATEMENT_PATH) => statement::submit(state, service, account, call),
        (_, STATEMENT_PATH) => {
            let headers = vec![("Allow", "POST".to_owned())];
            Response { headers, ..responses::invalid_call(405, "statements are posted") }
        }
        (Method::Get | Method::Head, INFO_PATH) => responses::ok(INFO_BODY.to_vec()),
        (Method::Get | Method::Head, path) => match service.address_key.parse(path) {
            Some(page) => pages::respond(state, service, call, page),
            None => page_not_found(),
        },
        (Method::Delete, path) => match service.address_key.parse(path) {
            Some(page) => {
                pages::cancel(state, service, page);
                responses::empty(204)
            }
            None => page_not_found(),
        },
        _ => page_not_found(),
    }
}

fn page_not_found() -> Response {
    responses::invalid_call(404, "no such page")
}
