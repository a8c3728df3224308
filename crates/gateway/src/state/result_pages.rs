//! Open results of the paged REST protocol, and the connections that wait for their pages. `larchfall_paged_rest` decides
//! which page a call gets and when a result expires; this module wakes the coroutines of the waiting connections.

use super::client_connections::ClientConnection;
use super::lock;
use larchfall_paged_rest::cursor::{Page, PageLookup, ResultEnd, ResultOutcome};
use larchfall_paged_rest::document::PageContent;
use larchfall_paged_rest::page_address::PageAddress;
use larchfall_paged_rest::results::{AbandonedResult, ResultId, ResultLimits, ResultStore};
use larchfall_policy::time::Timestamp;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// All open results of the paged REST protocol.
pub struct ResultPages {
    open: Mutex<OpenResults>,
}

struct OpenResults {
    results: ResultStore<PageContent>,
    /// Connections that wait for a page, by the index of the result.
    waiters: HashMap<usize, Vec<Arc<ClientConnection>>>,
}

impl OpenResults {
    fn add_waiter(&mut self, id: ResultId, connection: &Arc<ClientConnection>) {
        let waiters = self.waiters.entry(id.index).or_default();
        if !waiters.iter().any(|other| Arc::ptr_eq(other, connection)) {
            waiters.push(connection.clone());
        }
    }

    fn remove_waiter(&mut self, id: ResultId, connection: &Arc<ClientConnection>) {
        if let Some(waiters) = self.waiters.get_mut(&id.index) {
            waiters.retain(|other| !Arc::ptr_eq(other, connection));
            if waiters.is_empty() {
                self.waiters.remove(&id.index);
            }
        }
    }
}

/// Outcome of waiting for a page.
#[derive(Debug, PartialEq)]
pub enum AwaitedPage {
    /// The page. The final answer is present when the last page is returned for the first time.
    Page(Page<PageContent>, Option<ResultOutcome>),
    /// The page precedes the page that was requested last and is no longer kept.
    Gone,
    /// The client was never given the address of this page.
    Unknown,
}

impl ResultPages {
    /// Creates a store without open results. `limits` bounds the number and the size of the results.
    pub fn new(limits: ResultLimits) -> ResultPages {
        ResultPages {
            open: Mutex::new(OpenResults { results: ResultStore::new(limits), waiters: HashMap::new() }),
        }
    }

    fn update<R>(&self, update: impl FnOnce(&mut ResultStore<PageContent>) -> R) -> R {
        update(&mut lock(&self.open).results)
    }

    /// Updates a result and wakes all connections that wait for a page of this result.
    fn update_and_wake<R>(&self, id: ResultId, update: impl FnOnce(&mut ResultStore<PageContent>) -> R) -> R {
        let mut open = lock(&self.open);
        let updated = update(&mut open.results);
        let waiters = open.waiters.remove(&id.index).unwrap_or_default();
        drop(open);
        for connection in waiters {
            connection.wake();
        }
        updated
    }

    /// Opens a result; `None` if the maximum number of results is open.
    pub fn open(&self, now: Timestamp) -> Option<ResultId> {
        self.update(|results| results.open(now))
    }

    /// Sets the index of the request that produces this result.
    pub fn set_request(&self, id: ResultId, request: usize) {
        self.update(|results| results.set_request(id, request));
    }

    /// Counts a connection that asks for pages of this result. Returns the result's request if it is in flight.
    pub fn attach_connection(&self, id: ResultId) -> Option<usize> {
        self.update(|results| results.attach_connection(id))
    }

    /// Records that the client has closed one of these connections. Returns the result's request if it is in flight and
    /// no connection is left.
    pub fn detach_connection(&self, id: ResultId) -> Option<usize> {
        self.update(|results| results.detach_connection(id))
    }

    /// Returns whether the result is open.
    pub fn is_open(&self, id: ResultId) -> bool {
        self.update(|results| results.is_open(id))
    }

    /// Returns whether the result has capacity for another page.
    pub fn has_capacity(&self, id: ResultId) -> bool {
        self.update(|results| results.has_capacity(id)).unwrap_or(false)
    }

    /// Adds a page, which is the last page if `end` is given. Returns false if the client no longer awaits the result.
    pub fn push(&self, id: ResultId, content: PageContent, end: Option<ResultEnd>) -> bool {
        let size = content.rows.len();
        self.update_and_wake(id, |results| {
            let is_wanted = results.push(id, content, size, end);
            if end.is_some() {
                results.request_ended(id);
            }
            is_wanted
        })
    }

    /// Discards the rows of a result, which will be added again from the first row. Returns false if the client has
    /// already received rows of the result.
    pub fn restart(&self, id: ResultId) -> bool {
        self.update(|results| results.restart(id))
    }

    /// Returns the page at this address, or `None` if it is not ready; the connection is woken when that may have
    /// changed. If `empty_page` is given, such a page without rows takes the place of one that is not ready.
    pub fn poll_page(
        &self,
        address: PageAddress,
        connection: &Arc<ClientConnection>,
        now: Timestamp,
        empty_page: Option<PageContent>,
    ) -> Option<AwaitedPage> {
        let mut open = lock(&self.open);
        if let Some(empty_page) = empty_page {
            open.results.push_empty_page(address.result, address.token, empty_page);
        }
        let awaited = match open.results.get(address.result, address.token, now) {
            PageLookup::Found { page, outcome } => AwaitedPage::Page(page, outcome),
            PageLookup::Gone => AwaitedPage::Gone,
            PageLookup::Unknown => AwaitedPage::Unknown,
            PageLookup::NotReady => {
                open.add_waiter(address.result, connection);
                return None;
            }
        };
        open.remove_waiter(address.result, connection);
        Some(awaited)
    }

    /// Records that a connection no longer waits for a page of this result.
    pub fn stop_waiting(&self, id: ResultId, connection: &Arc<ClientConnection>) {
        lock(&self.open).remove_waiter(id, connection);
    }

    /// Abandons a result at its client's request.
    pub fn abandon(&self, id: ResultId) -> Option<AbandonedResult> {
        self.update_and_wake(id, |results| results.abandon(id))
    }

    /// Abandons all results whose client did not request a page in time.
    pub fn expire(&self, now: Timestamp) -> Vec<AbandonedResult> {
        let expired = self.update(|results| results.expire(now));
        for result in &expired {
            self.update_and_wake(result.id, |_| ());
        }
        expired
    }

    /// Number of results whose final answer has not been delivered to the client.
    pub fn undelivered(&self) -> usize {
        self.update(|results| results.undelivered_count())
    }
}
