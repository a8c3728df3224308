//! Turns the rows of one result into pages.

use super::service::RestService;
use crate::request_context::{FinalAnswer, ResultReader};
use crate::state::memory::BudgetExceeded;
use crate::state::{State, lock};
use larchfall_paged_rest::cursor::ResultEnd;
use larchfall_paged_rest::document::{PageContent, QueryError};
use larchfall_paged_rest::results::ResultId;
use larchfall_policy::time::Timestamp;
use std::sync::{Arc, Mutex};

/// Result reader of one request. Holds the most recent rows back until more rows or the end of the result arrive, so
/// that the last page of rows can be marked as the last page.
pub(super) struct PagedResult {
    state: Arc<State>,
    service: Arc<RestService>,
    id: ResultId,
    /// When the request was received; pages report the time elapsed since then.
    received: Timestamp,
    /// Rows that are held back.
    pending_rows: Mutex<Option<Vec<u8>>>,
}

impl PagedResult {
    pub(super) fn new(
        state: &Arc<State>,
        service: &Arc<RestService>,
        id: ResultId,
        received: Timestamp,
    ) -> PagedResult {
        let (state, service) = (state.clone(), service.clone());
        PagedResult { state, service, id, received, pending_rows: Mutex::new(None) }
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

    fn push_rows(&self, rows: Vec<u8>) -> Result<(), BudgetExceeded> {
        if let Some(previous) = lock(&self.pending_rows).replace(rows) {
            self.service.pages.push(self.id, self.page(previous, None), None);
        }
        Ok(())
    }

    fn restart(&self) -> bool {
        *lock(&self.pending_rows) = None;
        self.service.pages.restart(self.id)
    }

    fn finish(&self, answer: FinalAnswer) -> bool {
        let rows = lock(&self.pending_rows).take().unwrap_or_default();
        let (page, end) = match answer {
            FinalAnswer::Returned => (self.page(rows, None), ResultEnd::Returned),
            FinalAnswer::Rejected(retry_after) => {
                let milliseconds = retry_after.map(|retry_after| retry_after.micros() / 1000);
                (self.page(Vec::new(), Some(QueryError::rejected(milliseconds))), ResultEnd::Rejected)
            }
            FinalAnswer::Errored(reason) => {
                (self.page(Vec::new(), Some(QueryError::internal(reason))), ResultEnd::Errored)
            }
        };
        self.service.pages.push(self.id, page, Some(end))
    }
}
