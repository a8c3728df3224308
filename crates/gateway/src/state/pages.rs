//! Open results of the paged protocol, and who waits for a page of them. The bounds are the cursor's; here is who
//! sleeps and who is woken.

use super::alarms::Alarms;
use super::clock::Clock;
use super::lock;
use larchfall_paged_rest::cursor::{Ask, End, Page, Settled};
use larchfall_paged_rest::document::Body;
use larchfall_paged_rest::results::{Caps, Left, Name, Results};
use larchfall_paged_rest::slug::Place;
use larchfall_policy::time::{Duration, Timestamp};
use may::sync::Blocker;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

struct Inner {
    results: Results<Body>,
    waiting: HashMap<usize, Vec<Arc<Blocker>>>,
}

pub struct Pages {
    inner: Mutex<Inner>,
}

/// What an ask brought within its time.
#[derive(Debug, PartialEq)]
pub enum Found {
    Page(Page<Body>, Option<Settled>),
    Gone,
    Unknown,
}

impl Pages {
    pub fn new(caps: Caps) -> Pages {
        Pages { inner: Mutex::new(Inner { results: Results::new(caps), waiting: HashMap::new() }) }
    }

    fn change<R>(&self, change: impl FnOnce(&mut Results<Body>) -> R) -> R {
        change(&mut lock(&self.inner).results)
    }

    /// Changes one result and wakes whoever waits for a page of it.
    fn wake<R>(&self, name: Name, change: impl FnOnce(&mut Results<Body>) -> R) -> R {
        let mut inner = lock(&self.inner);
        let result = change(&mut inner.results);
        let waiting = inner.waiting.remove(&name.number).unwrap_or_default();
        drop(inner);
        waiting.iter().for_each(|blocker| blocker.unpark());
        result
    }

    pub fn begin(&self, now: Timestamp) -> Option<Name> {
        self.change(|r| r.begin(now))
    }

    pub fn is_made_by(&self, name: Name, b: usize) {
        self.change(|r| r.is_made_by(name, b));
    }

    pub fn has_room(&self, name: Name) -> bool {
        self.change(|r| r.has_room(name)).unwrap_or(false)
    }

    pub fn push(&self, name: Name, body: Body, end: Option<End>) -> bool {
        let size = body.rows.len();
        self.wake(name, |r| {
            let pushed = r.push(name, body, size, end);
            if end.is_some() {
                r.made(name);
            }
            pushed
        })
    }

    pub fn begin_anew(&self, name: Name) -> bool {
        self.change(|r| r.begin_anew(name))
    }

    /// The page at this place, waited for as long as `within`; a page without rows after that.
    pub fn ask(
        &self,
        place: Place,
        (clock, alarms): (&Clock, &Alarms),
        within: Duration,
        empty: impl Fn() -> Body,
    ) -> Found {
        let until = clock.now() + within;
        loop {
            let blocker = Blocker::current();
            {
                let mut inner = lock(&self.inner);
                let now = clock.now();
                if now >= until {
                    inner.results.wait_over(place.name, place.token, empty());
                }
                match inner.results.ask(place.name, place.token, now) {
                    Ask::Page(page, settled) => return Found::Page(page, settled),
                    Ask::Gone => return Found::Gone,
                    Ask::Unknown => return Found::Unknown,
                    Ask::Wait => inner.waiting.entry(place.name.number).or_default().push(blocker.clone()),
                }
            }
            alarms.park(&blocker, until);
            let mut inner = lock(&self.inner);
            if let Some(waiting) = inner.waiting.get_mut(&place.name.number) {
                waiting.retain(|other| !Arc::ptr_eq(other, &blocker));
                if waiting.is_empty() {
                    inner.waiting.remove(&place.name.number);
                }
            }
        }
    }

    pub fn leave(&self, name: Name) -> Option<Left> {
        self.wake(name, |r| r.leave(name))
    }

    /// Those that nobody asked for in time.
    pub fn expire(&self, now: Timestamp) -> Vec<Left> {
        let left = self.change(|r| r.expire(now));
        left.iter().for_each(|l| self.wake(l.name, |_| ()));
        left
    }

    /// Results whose client has not had its final answer.
    pub fn unread(&self) -> usize {
        self.change(|r| r.unread())
    }
}
