//! Open results of the paged protocol, and the coroutines that wait for a page of them. Which page is whose, and until
//! when, is decided by `larchfall_paged_rest`; here is who waits and who is woken.

use super::lock;
use super::timers::Timers;
use larchfall_paged_rest::cursor::{FinalAnswer, Page, PageLookup, ResultEnd};
use larchfall_paged_rest::document::PageContent;
use larchfall_paged_rest::page_address::PageAddress;
use larchfall_paged_rest::results::{AbandonedResult, ResultId, ResultLimits, ResultStore};
use larchfall_policy::time::{Duration, Timestamp};
use may::sync::Blocker;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// All open results.
pub struct ResultPages {
    open: Mutex<OpenResults>,
}

struct OpenResults {
    results: ResultStore<PageContent>,
    /// Who waits for a page, by the index of the result.
    waiting: HashMap<usize, Vec<Arc<Blocker>>>,
}

impl OpenResults {
    fn add_waiter(&mut self, id: ResultId, blocker: &Arc<Blocker>) {
        self.waiting.entry(id.index).or_default().push(blocker.clone());
    }

    fn remove_waiter(&mut self, id: ResultId, blocker: &Arc<Blocker>) {
        if let Some(waiting) = self.waiting.get_mut(&id.index) {
            waiting.retain(|other| !Arc::ptr_eq(other, blocker));
            if waiting.is_empty() {
                self.waiting.remove(&id.index);
            }
        }
    }
}

/// What a request for a page brought within its time.
#[derive(Debug, PartialEq)]
pub enum AwaitedPage {
    /// The page and, the first time that the last page is handed out, the final answer.
    Page(Page<PageContent>, Option<FinalAnswer>),
    /// A page before the one that was asked for last.
    Gone,
    /// A page that was never announced.
    Unknown,
}

impl ResultPages {
    /// No open results, under these bounds.
    pub fn new(limits: ResultLimits) -> ResultPages {
        ResultPages {
            open: Mutex::new(OpenResults { results: ResultStore::new(limits), waiting: HashMap::new() }),
        }
    }

    fn update<R>(&self, update: impl FnOnce(&mut ResultStore<PageContent>) -> R) -> R {
        update(&mut lock(&self.open).results)
    }

    /// Updates a result and wakes whoever waits for a page of it.
    fn update_and_wake<R>(&self, id: ResultId, update: impl FnOnce(&mut ResultStore<PageContent>) -> R) -> R {
        let mut open = lock(&self.open);
        let updated = update(&mut open.results);
        let waiting = open.waiting.remove(&id.index).unwrap_or_default();
        drop(open);
        for blocker in waiting {
            blocker.unpark();
        }
        updated
    }

    /// Opens a result; `None` when there are too many.
    pub fn open(&self, now: Timestamp) -> Option<ResultId> {
        self.update(|results| results.open(now))
    }

    /// The request that makes this result.
    pub fn set_request(&self, id: ResultId, request: usize) {
        self.update(|results| results.set_request(id, request));
    }

    /// Whether another page may be added now.
    pub fn has_capacity(&self, id: ResultId) -> bool {
        self.update(|results| results.has_capacity(id)).unwrap_or(false)
    }

    /// Adds a page, which is the last one when it has an end; false when nobody waits for this result any more.
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

    /// Starts a result over; false when rows of it were handed out already.
    pub fn restart(&self, id: ResultId) -> bool {
        self.update(|results| results.restart(id))
    }

    /// The page at this address, waited for until `timeout`; after that a page without rows.
    pub fn wait_for_page(
        &self,
        address: PageAddress,
        timers: &Timers,
        timeout: Duration,
        empty_page: impl Fn() -> PageContent,
    ) -> AwaitedPage {
        let deadline = timers.clock().now() + timeout;
        loop {
            let blocker = Blocker::current();
            let mut open = lock(&self.open);
            let now = timers.clock().now();
            if now >= deadline {
                open.results.push_empty(address.result, address.token, empty_page());
            }
            match open.results.get(address.result, address.token, now) {
                PageLookup::Found { page, final_answer } => {
                    return AwaitedPage::Page(page, final_answer);
                }
                PageLookup::Gone => return AwaitedPage::Gone,
                PageLookup::Unknown => return AwaitedPage::Unknown,
                PageLookup::NotReady => open.add_waiter(address.result, &blocker),
            }
            drop(open);
            timers.park_until(&blocker, deadline);
            lock(&self.open).remove_waiter(address.result, &blocker);
        }
    }

    /// The client abandons a result.
    pub fn abandon(&self, id: ResultId) -> Option<AbandonedResult> {
        self.update_and_wake(id, |results| results.abandon(id))
    }

    /// Abandons all results of which no page was asked for in time.
    pub fn expire(&self, now: Timestamp) -> Vec<AbandonedResult> {
        let expired = self.update(|results| results.expire(now));
        for result in &expired {
            self.update_and_wake(result.id, |_| ());
        }
        expired
    }

    /// How many results there are whose client has not had the final answer.
    pub fn undelivered(&self) -> usize {
        self.update(|results| results.undelivered())
    }
}
