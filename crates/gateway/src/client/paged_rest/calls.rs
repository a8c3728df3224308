//! Dispatches calls by method and path.

use super::service::{CallSlot, RestService};
use super::{pages, responses};
use crate::state::State;
use crate::state::client_connections::ClientConnection;
use crate::state::memory::MemoryAccount;
use larchfall_paged_rest::call::{Call, Method, Response};
use larchfall_paged_rest::page_address::PageAddress;
use larchfall_policy::time::Timestamp;
use std::sync::Arc;

const STATEMENT_PATH: &str = "/v1/statement";
const INFO_PATH: &str = "/v1/info";
/// Response body for `INFO_PATH`: a coordinator that has started.
const INFO_BODY: &[u8] = br#"{"nodeVersion":{"version":"larchfall"},"coordinator":true,"starting":false}"#;

/// What a call that may wait for a page comes with.
pub(super) struct CallOrigin<'a> {
    pub(super) connection: &'a Arc<ClientConnection>,
    /// Account for the memory of a request that the call starts.
    pub(super) account: &'a Arc<MemoryAccount>,
    /// Earliest time at which the call may have been sent.
    pub(super) sent: Timestamp,
    pub(super) slot: CallSlot,
}

/// What a call asks for.
pub(super) enum Target {
    /// To run a statement, and return the first page of its result.
    Statement,
    /// A page of a result.
    Page(PageAddress),
    /// What the gateway answers by itself.
    Immediate(Response),
}

/// Finds out what a call asks for, and carries it out if it need not wait.
pub(super) fn dispatch(state: &State, service: &RestService, call: &Call) -> Target {
    Target::Immediate(match (call.method, call.path.as_str()) {
        (Method::Post, STATEMENT_PATH) => return Target::Statement,
        (_, STATEMENT_PATH) => {
            let headers = vec![("Allow", "POST".to_owned())];
            Response { headers, ..responses::invalid_call(405, "statements are posted") }
        }
        (Method::Get | Method::Head, INFO_PATH) => responses::ok(INFO_BODY.to_vec()),
        (Method::Get | Method::Head, path) => match service.address_key.parse(path) {
            Some(page) => return Target::Page(page),
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
    })
}

fn page_not_found() -> Response {
    responses::invalid_call(404, "no such page")
}
