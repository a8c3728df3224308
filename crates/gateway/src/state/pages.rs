//! Open results of the paged protocol, and who waits for a page of them. The bounds are the cursor's; here is who
//! sleeps and who is woken.

use super::alarms::Alarms;
use super::clock::Clock;
use super::lock;
use larchfall_paged_rest::cursor::{FinalAnswer, Page, PageLookup, ResultEnd};
use larchfall_paged_rest::document::PageContent;
use larchfall_paged_rest::page_address::PageAddress;
use larchfall_paged_rest::results::{AbandonedResult, ResultId, ResultLimits, ResultStore};
use larchfall_policy::time::{Duration, Timestamp};
use may::sync::Blocker;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

struct Inner {
    results: ResultStore<PageContent>,
    waiting: HashMap<usize, Vec<Arc<Blocker>>>,
}

pub struct Pages {
    inner: Mutex<Inner>,
}

/// What an ask brought within its time.
#[derive(Debug, PartialEq)]
pub enum Found {
    Page(Page<PageContent>, Option<FinalAnswer>),
    Gone,
    Unknown,
}

impl Pages {
    pub fn new(limits: ResultLimits) -> Pages {
        Pages { inner: Mutex::new(Inner { results: ResultStore::new(limits), waiting: HashMap::new() }) }
    }

    fn change<R>(&self, change: impl FnOnce(&mut ResultStore<PageContent>) -> R) -> R {
        change(&mut lock(&self.inner).results)
    }

    /// Changes one result and wakes whoever waits for a page of it.
    fn wake<R>(&self, name: ResultId, change: impl FnOnce(&mut ResultStore<PageContent>) -> R) -> R {
        let mut inner = lock(&self.inner);
        let result = change(&mut inner.results);
        let waiting = inner.waiting.remove(&name.index).unwrap_or_default();
        drop(inner);
        waiting.iter().for_each(|blocker| blocker.unpark());
        result
    }

    pub fn begin(&self, now: Timestamp) -> Option<ResultId> {
        self.change(|r| r.open(now))
    }

    pub fn is_made_by(&self, name: ResultId, b: usize) {
        self.change(|r| r.set_request(name, b));
    }

    pub fn has_room(&self, name: ResultId) -> bool {
        self.change(|r| r.has_capacity(name)).unwrap_or(false)
    }

    pub fn push(&self, name: ResultId, body: PageContent, end: Option<ResultEnd>) -> bool {
        let size = body.rows.len();
        self.wake(name, |r| {
            let pushed = r.push(name, body, size, end);
            if end.is_some() {
                r.request_ended(name);
            }
            pushed
        })
    }

    pub fn begin_anew(&self, name: ResultId) -> bool {
        self.change(|r| r.restart(name))
    }

    /// The page at this place, waited for as long as `within`; a page without rows after that.
    pub fn ask(
        &self,
        place: PageAddress,
        (clock, alarms): (&Clock, &Alarms),
        within: Duration,
        empty: impl Fn() -> PageContent,
    ) -> Found {
        let until = clock.now() + within;
        loop {
            let blocker = Blocker::current();
            {
                let mut inner = lock(&self.inner);
                let now = clock.now();
                if now >= until {
                    inner.results.push_empty(place.result, place.token, empty());
                }
                match inner.results.get(place.result, place.token, now) {
                    PageLookup::Found { page, final_answer } => return Found::Page(page, final_answer),
                    PageLookup::Gone => return Found::Gone,
                    PageLookup::Unknown => return Found::Unknown,
                    PageLookup::NotReady => {
                        inner.waiting.entry(place.result.index).or_default().push(blocker.clone())
                    }
                }
            }
            alarms.park(&blocker, until);
            let mut inner = lock(&self.inner);
            if let Some(waiting) = inner.waiting.get_mut(&place.result.index) {
                waiting.retain(|other| !Arc::ptr_eq(other, &blocker));
                if waiting.is_empty() {
                    inner.waiting.remove(&place.result.index);
                }
            }
        }
    }

    pub fn leave(&self, name: ResultId) -> Option<AbandonedResult> {
        self.wake(name, |r| r.abandon(name))
    }

    /// Those that nobody asked for in time.
    pub fn expire(&self, now: Timestamp) -> Vec<AbandonedResult> {
        let left = self.change(|r| r.expire(now));
        left.iter().for_each(|l| self.wake(l.id, |_| ()));
        left
    }

    /// Results whose client has not had its final answer.
    pub fn unread(&self) -> usize {
        self.change(|r| r.undelivered())
    }
}
