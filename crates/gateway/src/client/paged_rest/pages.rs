//! Responds to calls for pages of results.

use super::responses;
use super::service::RestService;
use crate::state::State;
use crate::state::result_pages::AwaitedPage;
use larchfall_paged_rest::call::{Call, Response};
use larchfall_paged_rest::cursor::{Page, ResultOutcome};
use larchfall_paged_rest::document::{self, PageContent, PageLinks};
use larchfall_paged_rest::page_address::PageAddress;
use larchfall_policy::time::Timestamp;

/// Waits for a page and returns the response to the call for it.
pub(super) fn respond(state: &State, service: &RestService, call: &Call, address: PageAddress) -> Response {
    let lookup = wait_for_page(state, service, address, state.clock.now());
    page_response(state, service, call, address, lookup)
}

/// Waits for a page for up to the configured poll timeout, and then returns a page without rows. `since` is the start
/// of the elapsed time that such a page reports.
pub(super) fn wait_for_page(
    state: &State,
    service: &RestService,
    address: PageAddress,
    since: Timestamp,
) -> AwaitedPage {
    let empty = || PageContent {
        elapsed_ms: state.clock.now().since(since).micros() / 1000,
        ..PageContent::default()
    };
    service.pages.wait_for_page(address, &state.timers, service.settings().poll_timeout, empty)
}

/// Returns the response for the outcome of a page lookup.
pub(super) fn page_response(
    state: &State,
    service: &RestService,
    call: &Call,
    address: PageAddress,
    lookup: AwaitedPage,
) -> Response {
    match lookup {
        AwaitedPage::Page(page, outcome) => {
            count_delivered(state, outcome);
            responses::ok(page_document(service, call, address, &page))
        }
        // This gateway has signed the address, so the page existed at some time.
        AwaitedPage::Gone | AwaitedPage::Unknown => responses::invalid_call(410, "this page is gone"),
    }
}

/// Encodes a page as JSON, with links that start with the configured base URL, else with the call's `Host` header.
fn page_document(
    service: &RestService,
    call: &Call,
    address: PageAddress,
    page: &Page<PageContent>,
) -> Vec<u8> {
    let settings = service.settings();
    let base = match (&settings.base_url, call.header("host")) {
        (Some(base), _) => base.clone(),
        (None, Some(host)) => format!("http://{host}"),
        (None, None) => format!("http://{}", settings.listen),
    };
    let id = address.result.to_string();
    let next = page.end.is_none().then(|| {
        let next = PageAddress { token: page.token + 1, ..address };
        format!("{base}{}", service.address_key.path(next))
    });
    let info = format!("{base}/ui/query.html?{id}");
    document::encode(&page.content, page.end, PageLinks { id, info, next })
}

/// Counts a result as delivered when its last page is returned for the first time.
pub(super) fn count_delivered(state: &State, outcome: Option<ResultOutcome>) {
    if let Some(ResultOutcome::Delivered(_)) = outcome {
        state.counters.update_gateway(|counters| counters.results_delivered += 1);
    }
}

/// Abandons a result because its client has cancelled it.
pub(super) fn cancel(state: &State, service: &RestService, address: PageAddress) {
    if let Some(abandoned) = service.pages.abandon(address.result) {
        abandon_request(state, abandoned.request);
    }
}

/// Counts a result that its client abandoned. Ends the request that produces the result, if that request still runs.
pub fn abandon_request(state: &State, request: Option<usize>) {
    state.counters.update_gateway(|counters| counters.results_abandoned += 1);
    if let Some(request) = request {
        state.policy.record_disconnection(request);
    }
}
