//! Open results of the paged protocol, and the coroutines that wait for a page of them. Which page is whose, and until
//! when, is decided by `larchfall_paged_rest`; here is who waits and who is woken.

use super::lock;
use super::timers::Timers;
use larchfall_paged_rest::cursor::{Ask, End, Page, Settled};
use larchfall_paged_rest::document::Body;
use larchfall_paged_rest::results::{Caps, Left, Name, Results};
use larchfall_paged_rest::slug::Place;
use larchfall_policy::time::{Duration, Timestamp};
use may::sync::Blocker;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// All open results.
pub struct ResultPages {
    open: Mutex<OpenResults>,
}

struct OpenResults {
    results: Results<Body>,
    /// Who waits for a page, by the number of the result.
    waiting: HashMap<usize, Vec<Arc<Blocker>>>,
}

impl OpenResults {
    fn add_waiter(&mut self, name: Name, blocker: &Arc<Blocker>) {
        self.waiting.entry(name.number).or_default().push(blocker.clone());
    }

    fn remove_waiter(&mut self, name: Name, blocker: &Arc<Blocker>) {
        if let Some(waiting) = self.waiting.get_mut(&name.number) {
            waiting.retain(|other| !Arc::ptr_eq(other, blocker));
            if waiting.is_empty() {
                self.waiting.remove(&name.number);
            }
        }
    }
}

/// What a request for a page brought within its time.
#[derive(Debug, PartialEq)]
pub enum PageLookup {
    /// The page and, the first time that the last page is handed out, the final answer.
    Page(Page<Body>, Option<Settled>),
    /// A page before the one that was asked for last.
    Gone,
    /// A page that was never announced.
    Unknown,
}

impl ResultPages {
    /// No open results, under these bounds.
    pub fn new(caps: Caps) -> ResultPages {
        ResultPages { open: Mutex::new(OpenResults { results: Results::new(caps), waiting: HashMap::new() }) }
    }

    fn update<R>(&self, update: impl FnOnce(&mut Results<Body>) -> R) -> R {
        update(&mut lock(&self.open).results)
    }

    /// Updates a result and wakes whoever waits for a page of it.
    fn update_and_wake<R>(&self, name: Name, update: impl FnOnce(&mut Results<Body>) -> R) -> R {
        let mut open = lock(&self.open);
        let updated = update(&mut open.results);
        let waiting = open.waiting.remove(&name.number).unwrap_or_default();
        drop(open);
        for blocker in waiting {
            blocker.unpark();
        }
        updated
    }

    /// Opens a result; `None` when there are too many.
    pub fn open(&self, now: Timestamp) -> Option<Name> {
        self.update(|results| results.begin(now))
    }

    /// The request that makes this result.
    pub fn set_request(&self, name: Name, request: usize) {
        self.update(|results| results.is_made_by(name, request));
    }

    /// Whether another page may be added now.
    pub fn has_room(&self, name: Name) -> bool {
        self.update(|results| results.has_room(name)).unwrap_or(false)
    }

    /// Adds a page, which is the last one when it has an end; false when nobody waits for this result any more.
    pub fn push(&self, name: Name, body: Body, end: Option<End>) -> bool {
        let size = body.rows.len();
        self.update_and_wake(name, |results| {
            let is_wanted = results.push(name, body, size, end);
            if end.is_some() {
                results.made(name);
            }
            is_wanted
        })
    }

    /// Starts a result over; false when rows of it were handed out already.
    pub fn restart(&self, name: Name) -> bool {
        self.update(|results| results.begin_anew(name))
    }

    /// The page at this place, waited for until `timeout`; after that a page without rows.
    pub fn wait_for_page(
        &self,
        place: Place,
        timers: &Timers,
        timeout: Duration,
        empty_page: impl Fn() -> Body,
    ) -> PageLookup {
        let deadline = timers.clock().now() + timeout;
        loop {
            let blocker = Blocker::current();
            let mut open = lock(&self.open);
            let now = timers.clock().now();
            if now >= deadline {
                open.results.wait_over(place.name, place.token, empty_page());
            }
            match open.results.ask(place.name, place.token, now) {
                Ask::Page(page, settled) => return PageLookup::Page(page, settled),
                Ask::Gone => return PageLookup::Gone,
                Ask::Unknown => return PageLookup::Unknown,
                Ask::Wait => open.add_waiter(place.name, &blocker),
            }
            drop(open);
            timers.park_until(&blocker, deadline);
            lock(&self.open).remove_waiter(place.name, &blocker);
        }
    }

    /// The client abandons a result.
    pub fn abandon(&self, name: Name) -> Option<Left> {
        self.update_and_wake(name, |results| results.leave(name))
    }

    /// Abandons all results of which no page was asked for in time.
    pub fn expire(&self, now: Timestamp) -> Vec<Left> {
        let expired = self.update(|results| results.expire(now));
        for result in &expired {
            self.update_and_wake(result.name, |_| ());
        }
        expired
    }

    /// How many results there are whose client has not had the final answer.
    pub fn unread(&self) -> usize {
        self.update(|results| results.unread())
    }
}
