//! What each call asks for.

use super::service::RestService;
use super::{pages, responses, statement};
use crate::state::State;
use larchfall_paged_rest::call::{Call, Method, Response};
use std::sync::Arc;

const STATEMENT_PATH: &str = "/v1/statement";
const INFO_PATH: &str = "/v1/info";
const INFO: &[u8] = br#"{"nodeVersion":{"version":"larchfall"},"coordinator":true,"starting":false}"#;

pub(super) fn handle(state: &Arc<State>, service: &Arc<RestService>, call: &Call) -> Response {
    match (call.method, call.path.as_str()) {
        (Method::Post, STATEMENT_PATH) => statement::begin(state, service, call),
        (_, STATEMENT_PATH) => {
            let headers = vec![("Allow", "POST".to_owned())];
            Response { headers, ..responses::unusable(405, "statements are posted") }
        }
        (Method::Get | Method::Head, INFO_PATH) => responses::ok(INFO.to_vec()),
        (Method::Get | Method::Head, path) => match service.address_key.parse(path) {
            Some(page) => pages::respond(state, service, call, page),
            None => unknown_page(),
        },
        (Method::Delete, path) => match service.address_key.parse(path) {
            Some(page) => {
                pages::cancel(state, service, page);
                responses::empty(204)
            }
            None => unknown_page(),
        },
        _ => unknown_page(),
    }
}

fn unknown_page() -> Response {
    responses::unusable(404, "no such page")
}
