//! The results that a client reads on one connection. A client without any connection for a result has left, unless it
//! comes back on another.

use super::service::RestService;
use crate::state::State;
use larchfall_paged_rest::results::ResultId;

/// Maximum number of results that are remembered for one connection. Of further ones the departure of the client is not
/// noticed, and they end when they expire.
const MAX_RESULTS: usize = 32;

/// The results that were posted or asked for on one connection.
#[derive(Default)]
pub(super) struct Readership {
    results: Vec<ResultId>,
}

impl Readership {
    /// Records a result that was opened for a statement of this connection, which the result already counts.
    pub(super) fn add_opened(&mut self, service: &RestService, result: ResultId) {
        self.results.retain(|other| service.pages.is_open(*other));
        if self.results.len() < MAX_RESULTS {
            self.results.push(result);
        }
    }

    /// Records that the client asks for a page of this result.
    pub(super) fn add(&mut self, state: &State, service: &RestService, result: ResultId) {
        if self.results.contains(&result) {
            return;
        }
        if let Some(request) = service.pages.attach_connection(result) {
            state.policy.set_client_present(request, true);
        }
        self.add_opened(service, result);
    }

    /// Records that the client has closed the connection.
    pub(super) fn end(&mut self, state: &State, service: &RestService) {
        for result in self.results.drain(..) {
            if let Some(request) = service.pages.detach_connection(result) {
                state.policy.set_client_present(request, false);
            }
        }
    }
}
