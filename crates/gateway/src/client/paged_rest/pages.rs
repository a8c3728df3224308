//! Calls for pages of results: they wait until their page is ready, and have their response then.

use super::calls::CallOrigin;
use super::responses;
use super::service::{CallSlot, RestService};
use crate::state::State;
use crate::state::client_connections::ClientConnection;
use crate::state::result_pages::AwaitedPage;
use crate::state::timers::WakeUp;
use larchfall_paged_rest::call::{Call, Method, Response};
use larchfall_paged_rest::cursor::{Page, ResultEnd, ResultOutcome};
use larchfall_paged_rest::document::{self, PageContent, PageLinks};
use larchfall_paged_rest::page_address::PageAddress;
use larchfall_paged_rest::results::ResultId;
use larchfall_policy::time::{Duration, Timestamp};
use std::sync::Arc;

/// A call that waits for its page.
pub(super) struct AwaitedCall {
    address: PageAddress,
    /// Whether the call posted the statement, so that its client knows no address of a page yet.
    is_first_page: bool,
    method: Method,
    /// Host that the call names.
    host: Option<String>,
    connection: Arc<ClientConnection>,
    /// Start of the elapsed time that a page without rows reports.
    since: Timestamp,
    /// When the call is answered with a page without rows.
    deadline: Timestamp,
    /// Wakes the connection at the deadline.
    _wake_up: WakeUp,
    _slot: CallSlot,
}

impl AwaitedCall {
    /// Begins to wait for a page of a result that was opened before.
    pub(super) fn for_page(
        state: &State,
        service: &RestService,
        origin: CallOrigin<'_>,
        call: &Call,
        address: PageAddress,
    ) -> AwaitedCall {
        let now = state.clock.now();
        let awaited = AwaitedCall::for_first_page(state, service, origin, call, address, now);
        AwaitedCall { is_first_page: false, ..awaited }
    }

    /// Begins to wait for the first page of a statement that the call has posted.
    pub(super) fn for_first_page(
        state: &State,
        service: &RestService,
        origin: CallOrigin<'_>,
        call: &Call,
        address: PageAddress,
        since: Timestamp,
    ) -> AwaitedCall {
        let deadline = state.clock.now() + service.settings().poll_timeout;
        AwaitedCall {
            address,
            is_first_page: true,
            method: call.method,
            host: call.header("host").map(str::to_owned),
            connection: origin.connection.clone(),
            since,
            deadline,
            _wake_up: state.timers.wake_at(deadline, origin.connection),
            _slot: origin.slot,
        }
    }

    /// The result that the page belongs to.
    pub(super) fn result(&self) -> ResultId {
        self.address.result
    }

    pub(super) fn method(&self) -> Method {
        self.method
    }

    /// Returns the response if the page is ready, or if the call has waited for as long as calls may: the response is a
    /// page without rows then.
    pub(super) fn poll(&self, state: &State, service: &RestService) -> Option<Response> {
        let now = state.clock.now();
        let empty_page = (now >= self.deadline).then(|| PageContent {
            elapsed_ms: now.since(self.since).micros() / 1000,
            ..PageContent::default()
        });
        let awaited = service.pages.poll_page(self.address, &self.connection, now, empty_page)?;
        Some(self.response(state, service, awaited))
    }

    fn response(&self, state: &State, service: &RestService, awaited: AwaitedPage) -> Response {
        match awaited {
            // The client has no page address yet, so it retries by posting the statement again.
            AwaitedPage::Page(Page { end: Some(ResultEnd::Rejected), content, .. }, outcome)
                if self.is_first_page =>
            {
                count_delivered(state, outcome);
                service.pages.abandon(self.address.result);
                let retry_after = content.error.and_then(|error| error.retry_after_millis);
                responses::rejected(retry_after.map(Duration::from_millis))
            }
            AwaitedPage::Page(page, outcome) => {
                count_delivered(state, outcome);
                responses::ok(self.document(service, &page))
            }
            // This gateway has signed the address, so the page existed at some time.
            AwaitedPage::Gone | AwaitedPage::Unknown => responses::invalid_call(410, "this page is gone"),
        }
    }

    /// Encodes a page as JSON, with links that start with the configured base URL, else with the call's `Host` header.
    fn document(&self, service: &RestService, page: &Page<PageContent>) -> Vec<u8> {
        let settings = service.settings();
        let base = match (&settings.base_url, &self.host) {
            (Some(base), _) => base.clone(),
            (None, Some(host)) => format!("http://{host}"),
            (None, None) => format!("http://{}", settings.listen),
        };
        let id = self.address.result.to_string();
        let next = page.end.is_none().then(|| {
            let next = PageAddress { token: page.token + 1, ..self.address };
            format!("{base}{}", service.address_key.path(next))
        });
        let info = format!("{base}/ui/query.html?{id}");
        document::encode(&page.content, page.end, PageLinks { id, info, next })
    }

    /// Ends the wait of a call whose connection has ended. If the client has left before it got the address of any page, it
    /// can't ask for the result again, and its request ends.
    pub(super) fn stop_waiting(&self, state: &State, service: &RestService, has_client_left: bool) {
        service.pages.stop_waiting(self.address.result, &self.connection);
        if has_client_left && self.is_first_page {
            cancel(state, service, self.address);
        }
    }
}

/// Counts a result as delivered when its last page is returned for the first time.
fn count_delivered(state: &State, outcome: Option<ResultOutcome>) {
    if let Some(ResultOutcome::Delivered(_)) = outcome {
        state.counters.update_gateway(|counters| counters.results_delivered += 1);
    }
}

/// Abandons a result because its client has cancelled it or has left.
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
