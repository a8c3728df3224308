//! Takes in the rows of one result and turns them into pages.

use super::service::RestService;
use crate::request_context::{FinalAnswer, ResultReader};
use crate::state::{State, lock};
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

impl ResultReader for PagedResult {
    fn has_capacity(&self) -> bool {
        self.service.pages.has_capacity(self.id)
    }

    fn push_rows(&self, rows: Vec<u8>) {
        if let Some(before) = lock(&self.pending).replace(rows) {
            self.service.pages.push(self.id, self.page(before, None), None);
        }
    }

    fn restart(&self) -> bool {
        *lock(&self.pending) = None;
        self.service.pages.restart(self.id)
    }

    fn finish(&self, answer: FinalAnswer) -> bool {
        let rows = lock(&self.pending).take().unwrap_or_default();
        let (page, end) = match answer {
            FinalAnswer::Returned => (self.page(rows, None), ResultEnd::Returned),
            FinalAnswer::Rejected(retry_after) => {
                let milliseconds = retry_after.map(|retry_after| retry_after.micros() / 1000);
                (self.page(Vec::new(), Some(QueryError::rejected(milliseconds))), ResultEnd::Rejected)
            }
            FinalAnswer::Errored(why) => {
                (self.page(Vec::new(), Some(QueryError::internal(why))), ResultEnd::Errored)
            }
        };
        self.service.pages.push(self.id, page, Some(end))
    }
}
