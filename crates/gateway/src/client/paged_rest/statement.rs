//! Handles a posted statement: admits it as a request and responds with the first page of its result, or with a page
//! without rows if the first page is not ready in time.

use super::pages;
use super::request_fields;
use super::responses;
use super::result_reader::PagedResult;
use super::service::RestService;
use crate::admission::{self, RequestError};
use crate::state::State;
use crate::state::memory::MemoryAccount;
use crate::state::result_pages::AwaitedPage;
use larchfall_paged_rest::call::{Call, Response};
use larchfall_paged_rest::cursor::{Page, ResultEnd};
use larchfall_paged_rest::page_address::PageAddress;
use larchfall_paged_rest::request_fields as call_fields;
use larchfall_policy::time::{Duration, Timestamp};
use std::sync::Arc;

/// `Retry-After` of statements that arrive during the shutdown of this gateway. The client should retry at another one.
const SHUTDOWN_RETRY_SECONDS: u64 = 1;

/// Admits a statement and returns the response to its call.
pub(super) fn submit(
    state: &Arc<State>,
    service: &Arc<RestService>,
    account: &Arc<MemoryAccount>,
    call: &Call,
) -> Response {
    let received = state.clock.now();
    match admit(state, service, account, call, received) {
        Ok(first_page) => first_page_response(state, service, call, first_page, received),
        Err(response) => response,
    }
}

/// Admits a statement. Returns the address of its first page, or the error response if the statement is not admitted.
fn admit(
    state: &Arc<State>,
    service: &Arc<RestService>,
    account: &Arc<MemoryAccount>,
    call: &Call,
    received: Timestamp,
) -> Result<PageAddress, Response> {
    if state.shutdown.deadline().is_some() {
        let headers = vec![("Retry-After", SHUTDOWN_RETRY_SECONDS.to_string())];
        return Err(Response { headers, ..responses::invalid_call(503, "this front ends") });
    }
    let invalid = |reason: &str| {
        state.counters.update_gateway(|counters| counters.invalid_requests += 1);
        responses::invalid_call(400, reason)
    };
    if call.body.is_empty() {
        return Err(invalid("no statement"));
    }
    let settings = service.settings();
    let fields = call_fields::read(call, settings.header_family, &settings.sources)
        .map_err(|error| invalid(&error.to_string()))?;
    let id_number = service.next_request_id();
    let id = format!("{id_number:016x}");
    let request = request_fields::build_client_request(&fields, id_number, &id, &call.body)
        .map_err(|error| invalid(&error.to_string()))?;
    let Some(result) = service.pages.open(received) else {
        state.counters.update_gateway(|counters| counters.over_limits += 1);
        return Err(responses::rejected(state.settings.max_retry_after));
    };
    let admitted = admission::admit(state, account, &request, received, |index| {
        service.pages.set_request(result, index);
        Arc::new(PagedResult::new(state, service, result, received))
    });
    match admitted {
        Ok(()) => Ok(PageAddress { result, token: 0 }),
        Err(error) => {
            service.pages.abandon(result);
            Err(match error {
                RequestError::Invalid(error) => {
                    responses::invalid_call(400, &request_fields::invalid_request_text(error))
                }
                RequestError::OverMemoryBudget(_) => responses::rejected(state.settings.max_retry_after),
            })
        }
    }
}

/// Waits for the first page and returns the response. A rejected request is answered with status 429 instead of a page.
fn first_page_response(
    state: &State,
    service: &RestService,
    call: &Call,
    first_page: PageAddress,
    received: Timestamp,
) -> Response {
    match pages::wait_for_page(state, service, first_page, received) {
        // The client has no page address yet, so it retries by posting the statement again.
        AwaitedPage::Page(Page { end: Some(ResultEnd::Rejected), content, .. }, outcome) => {
            pages::count_delivered(state, outcome);
            service.pages.abandon(first_page.result);
            let retry_after = content.error.and_then(|error| error.retry_after_millis);
            responses::rejected(retry_after.map(Duration::from_millis))
        }
        lookup => pages::page_response(state, service, call, first_page, lookup),
    }
}
