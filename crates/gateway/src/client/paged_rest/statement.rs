//! A posted statement: admitted as a request, and answered with its first page if that comes soon.

use super::pages;
use super::request_fields;
use super::responses;
use super::result_reader::PagedResult;
use super::service::RestService;
use crate::admission::{self, RequestError};
use crate::state::State;
use crate::state::result_pages::AwaitedPage;
use larchfall_paged_rest::call::{Call, Response};
use larchfall_paged_rest::cursor::{Page, ResultEnd};
use larchfall_paged_rest::page_address::PageAddress;
use larchfall_paged_rest::request_fields as call_fields;
use larchfall_policy::time::{Duration, Timestamp};
use std::sync::Arc;

/// A statement that comes while this gateway shuts down is best tried again so much later, at another gateway.
const SHUTDOWN_RETRY_SECONDS: u64 = 1;

pub(super) fn begin(state: &Arc<State>, service: &Arc<RestService>, call: &Call) -> Response {
    let received = state.clock.now();
    match admit(state, service, call, received) {
        Ok(first_page) => respond_with_first(state, service, call, first_page, received),
        Err(response) => response,
    }
}

/// Admits a statement and returns the place of its first page, or the response where it was not admitted.
fn admit(
    state: &Arc<State>,
    service: &Arc<RestService>,
    call: &Call,
    received: Timestamp,
) -> Result<PageAddress, Response> {
    if state.shutdown.deadline().is_some() {
        let headers = vec![("Retry-After", SHUTDOWN_RETRY_SECONDS.to_string())];
        return Err(Response { headers, ..responses::unusable(503, "this front ends") });
    }
    let unusable = |why: &str| {
        state.counters.update_gateway(|counters| counters.invalid_requests += 1);
        responses::unusable(400, why)
    };
    if call.body.is_empty() {
        return Err(unusable("no statement"));
    }
    let settings = service.settings();
    let fields = call_fields::read(call, settings.header_family, &settings.sources)
        .map_err(|error| unusable(&error.to_string()))?;
    let id_number = service.next_id();
    let id = format!("{id_number:016x}");
    let request = request_fields::client_request(&fields, id_number, &id, &call.body)
        .map_err(|error| unusable(&error.to_string()))?;
    let Some(result) = service.pages.open(received) else {
        state.counters.update_gateway(|counters| counters.over_limits += 1);
        return Err(responses::rejected(state.settings.max_retry_after));
    };
    let admitted = admission::admit(state, &request, received, |index| {
        service.pages.set_request(result, index);
        Arc::new(PagedResult::new(state, service, result, received))
    });
    match admitted {
        Ok(()) => Ok(PageAddress { result, token: 0 }),
        Err(error) => {
            service.pages.abandon(result);
            Err(match error {
                RequestError::Invalid(invalid) => {
                    responses::unusable(400, &request_fields::invalid_request_text(invalid))
                }
                RequestError::TooManyInFlight => responses::rejected(state.settings.max_retry_after),
            })
        }
    }
}

fn respond_with_first(
    state: &State,
    service: &RestService,
    call: &Call,
    first_page: PageAddress,
    received: Timestamp,
) -> Response {
    match pages::find(state, service, first_page, received) {
        // No address was given out yet: a client that tries again does so with the statement.
        AwaitedPage::Page(Page { end: Some(ResultEnd::Rejected), content, .. }, final_answer) => {
            pages::count_delivered(state, final_answer);
            service.pages.abandon(first_page.result);
            let retry_after = content.error.and_then(|error| error.retry_after_millis);
            responses::rejected(retry_after.map(Duration::from_millis))
        }
        found => pages::respond_with(state, service, call, first_page, found),
    }
}
