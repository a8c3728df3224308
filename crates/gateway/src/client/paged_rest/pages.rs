//! The pages of results, as they are asked for.

use super::responses;
use super::service::RestService;
use crate::state::State;
use crate::state::result_pages::AwaitedPage;
use larchfall_paged_rest::call::{Call, Response};
use larchfall_paged_rest::cursor::{FinalAnswer, Page};
use larchfall_paged_rest::document::{self, PageContent, PageLinks};
use larchfall_paged_rest::page_address::PageAddress;
use larchfall_policy::time::Timestamp;

/// The response to a call for a page.
pub(super) fn respond(state: &State, service: &RestService, call: &Call, address: PageAddress) -> Response {
    let found = find(state, service, address, state.clock.now());
    respond_with(state, service, call, address, found)
}

/// Looks a page up, and waits for it as long as the settings allow.
pub(super) fn find(
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

/// The response with what was found at a page's address.
pub(super) fn respond_with(
    state: &State,
    service: &RestService,
    call: &Call,
    address: PageAddress,
    found: AwaitedPage,
) -> Response {
    match found {
        AwaitedPage::Page(page, final_answer) => {
            count_delivered(state, final_answer);
            responses::ok(page_document(service, call, address, &page))
        }
        // The address is one that this gateway made, so the page was there once.
        AwaitedPage::Gone | AwaitedPage::Unknown => responses::unusable(410, "this page is gone"),
    }
}

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

/// Counts a result whose last page was handed out.
pub(super) fn count_delivered(state: &State, final_answer: Option<FinalAnswer>) {
    if let Some(FinalAnswer::Delivered(_)) = final_answer {
        state.counters.update_gateway(|counters| counters.results_delivered += 1);
    }
}

/// Ends a result for its client.
pub(super) fn cancel(state: &State, service: &RestService, address: PageAddress) {
    if let Some(abandoned) = service.pages.abandon(address.result) {
        abandon_request(state, abandoned.request);
    }
}

/// Counts a result that its client abandoned, and ends the request that makes it, if that still runs.
pub fn abandon_request(state: &State, request: Option<usize>) {
    state.counters.update_gateway(|counters| counters.results_abandoned += 1);
    if let Some(request) = request {
        state.policy.record_disconnection(request);
    }
}
