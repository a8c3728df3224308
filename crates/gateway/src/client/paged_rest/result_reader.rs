//! Takes in the rows of one result and turns them into pages.

use super::service::RestService;
use crate::state::{State, lock};
use crate::task::{Final, Reader};
use larchfall_paged_rest::cursor::ResultEnd;
use larchfall_paged_rest::document::{PageContent, QueryError};
use larchfall_paged_rest::results::ResultId;
use larchfall_policy::time::Timestamp;
use std::sync::{Arc, Mutex};

/// The reader of one result. The last rows are held back until it is known whether they are the last.
pub(super) struct PagedResult {
    state: Arc<State>,
    service: Arc<RestService>,
    id: ResultId,
    received: Timestamp,
    pending: Mutex<Option<Vec<u8>>>,
}

impl PagedResult {
    pub(super) fn new(
        state: &Arc<State>,
        service: &Arc<RestService>,
        id: ResultId,
        received: Timestamp,
    ) -> PagedResult {
        let (state, service) = (state.clone(), service.clone());
        PagedResult { state, service, id, received, pending: Mutex::new(None) }
    }

    fn page(&self, rows: Vec<u8>, error: Option<QueryError>) -> PageContent {
        let elapsed_ms = self.state.clock.now().since(self.received).micros() / 1000;
        PageContent { rows, error, elapsed_ms }
    }
}

impl Reader for PagedResult {
    fn has_room(&self) -> bool {
        self.service.pages.has_room(self.id)
    }

    fn rows(&self, rows: Vec<u8>) {
        if let Some(before) = lock(&self.pending).replace(rows) {
            self.service.pages.push(self.id, self.page(before, None), None);
        }
    }

    fn begin_anew(&self) -> bool {
        *lock(&self.pending) = None;
        self.service.pages.begin_anew(self.id)
    }

    fn end(&self, end: Final) -> bool {
        let rows = lock(&self.pending).take().unwrap_or_default();
        let (page, end) = match end {
            Final::Returned => (self.page(rows, None), ResultEnd::Returned),
            Final::PushedBack(retry_after) => {
                let milliseconds = retry_after.map(|retry_after| retry_after.micros() / 1000);
                (self.page(Vec::new(), Some(QueryError::rejected(milliseconds))), ResultEnd::Rejected)
            }
            Final::Errored(why) => {
                (self.page(Vec::new(), Some(QueryError::internal(why))), ResultEnd::Errored)
            }
        };
        self.service.pages.push(self.id, page, Some(end))
    }
}
