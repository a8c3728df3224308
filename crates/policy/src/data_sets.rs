//! Data sets at one engine: which are locked by an attempt, and which were read there lately.

use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};

/// Data sets that an engine is expected to have in its caches.
const CACHED_DATA_SETS: usize = 4;

#[derive(Default)]
struct Lock {
    /// Attempts of this gateway that hold it.
    own_attempts: usize,
    /// Until when another gateway's attempt holds it, by a progress update that said so.
    reported_until: Timestamp,
}

impl Lock {
    fn is_held(&self, now: Timestamp) -> bool {
        self.own_attempts > 0 || self.reported_until > now
    }
}

/// Data sets locked at one engine.
#[derive(Default)]
pub(crate) struct DataSetLocks {
    locks: BTreeMap<u32, Lock>,
}

impl DataSetLocks {
    pub(crate) fn is_held(&self, data_set: u32, now: Timestamp) -> bool {
        self.locks.get(&data_set).is_some_and(|lock| lock.is_held(now))
    }

    pub(crate) fn acquire(&mut self, data_set: u32) {
        self.locks.entry(data_set).or_default().own_attempts += 1;
    }

    pub(crate) fn release(&mut self, data_set: u32) {
        let lock = self.locks.entry(data_set).or_default();
        lock.own_attempts = lock.own_attempts.saturating_sub(1);
    }

    pub(crate) fn record_reported(&mut self, data_set: u32, until: Timestamp) {
        self.locks.entry(data_set).or_default().reported_until = until;
    }

    pub(crate) fn remove_expired(&mut self, now: Timestamp) {
        self.locks.retain(|_, lock| lock.is_held(now));
    }
}

/// Data sets last read at one engine, the latest first.
#[derive(Default)]
pub(crate) struct CachedDataSets {
    latest: VecDeque<u32>,
}

impl CachedDataSets {
    pub(crate) fn contains(&self, data_set: u32) -> bool {
        self.latest.contains(&data_set)
    }

    pub(crate) fn record(&mut self, data_set: u32) {
        self.latest.retain(|cached| *cached != data_set);
        self.latest.push_front(data_set);
        self.latest.truncate(CACHED_DATA_SETS);
    }

    pub(crate) fn clear(&mut self) {
        self.latest.clear();
    }
}
