//! Permits: how many attempts may be out at a time. Whoever waits for one is let in by the priority that the
//! module gave, then in turn: while permits are short, they are where requests meet first, and a plain queue would
//! let the many short ones keep the few of a higher rank out.

use super::alarms::Alarms;
use super::lock;
use larchfall_policy::time::Timestamp;
use may::sync::Blocker;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

pub struct Permits {
    inner: Mutex<Inner>,
}

struct Inner {
    free: usize,
    /// By priority, the highest first, then by when they came.
    waiting: BTreeMap<(Reverse<u8>, u64), Arc<Blocker>>,
    came: u64,
}

impl Permits {
    pub fn new(free: usize) -> Permits {
        Permits { inner: Mutex::new(Inner { free, waiting: BTreeMap::new(), came: 0 }) }
    }

    /// Takes a permit, or waits for one until then; false when none came free in time.
    pub fn take(&self, priority: u8, wait: Option<(&Alarms, Timestamp)>) -> bool {
        let blocker = Blocker::current();
        let place = {
            let mut inner = lock(&self.inner);
            if inner.free > 0 {
                inner.free -= 1;
                return true;
            }
            if wait.is_none() {
                return false;
            }
            inner.came += 1;
            let place = (Reverse(priority), inner.came);
            inner.waiting.insert(place, blocker.clone());
            place
        };
        wait.into_iter().for_each(|(alarms, until)| alarms.park(&blocker, until));
        // Who is no longer waiting was given a permit, be it at the last moment.
        lock(&self.inner).waiting.remove(&place).is_none()
    }

    pub fn waiting(&self) -> usize {
        lock(&self.inner).waiting.len()
    }

    /// Leaves a permit to the first of those who wait.
    pub fn leave(&self) {
        let mut inner = lock(&self.inner);
        match inner.waiting.pop_first() {
            Some((_, first)) => first.unpark(),
            None => inner.free += 1,
        }
    }
}
