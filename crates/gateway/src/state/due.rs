//! Due times in order, one for each request that waits.

use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeSet;

#[derive(Default)]
pub struct Due {
    order: BTreeSet<(Timestamp, usize)>,
}

impl Due {
    /// True when this is now the first of all.
    pub fn insert(&mut self, at: Timestamp, b: usize) -> bool {
        self.order.insert((at, b));
        self.order.first() == Some(&(at, b))
    }

    pub fn remove(&mut self, at: Timestamp, b: usize) {
        self.order.remove(&(at, b));
    }

    pub fn first(&self) -> Option<Timestamp> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Those that have come due, in order.
    pub fn take(&mut self, now: Timestamp) -> Vec<usize> {
        let later = self.order.split_off(&(now + Duration::from_micros(1), 0));
        std::mem::replace(&mut self.order, later).into_iter().map(|(_, b)| b).collect()
    }
}
