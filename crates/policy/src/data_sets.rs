//! Data sets at one engine: data sets that an attempt has locked, and data sets that the engine is expected
//! to have cached.

use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};

/// Number of most recently read data sets that an engine is expected to have in its caches.
const MAX_CACHED_DATA_SETS: usize = 4;

#[derive(Default)]
struct DataSetLock {
    /// Number of this gateway's attempts in flight that hold the lock.
    own_attempts: usize,
    /// Time until which an attempt of another gateway is assumed to hold the lock, according to the last
    /// progress update that reported a wait for the lock.
    reported_until: Timestamp,
}

impl DataSetLock {
    fn is_held(&self, now: Timestamp) -> bool {
        self.own_attempts > 0 || self.reported_until > now
    }
}

/// Data locks at one engine, by data set.
#[derive(Default)]
pub(crate) struct DataSetLocks {
    locks: BTreeMap<u32, DataSetLock>,
}

impl DataSetLocks {
    pub(crate) fn is_held(&self, data_set: u32, now: Timestamp) -> bool {
        self.locks.get(&data_set).is_some_and(|lock| lock.is_held(now))
    }

    /// Records the start of one of this gateway's attempts that lock the data set.
    pub(crate) fn acquire(&mut self, data_set: u32) {
        self.locks.entry(data_set).or_default().own_attempts += 1;
    }

    /// Records the end of one of this gateway's attempts that lock the data set.
    pub(crate) fn release(&mut self, data_set: u32) {
        let lock = self.locks.entry(data_set).or_default();
        lock.own_attempts = lock.own_attempts.saturating_sub(1);
    }

    /// Records a progress update that reported a wait for the lock. The lock is assumed to be held until
    /// `until`.
    pub(crate) fn record_reported(&mut self, data_set: u32, until: Timestamp) {
        self.locks.entry(data_set).or_default().reported_until = until;
    }

    pub(crate) fn remove_expired(&mut self, now: Timestamp) {
        self.locks.retain(|_, lock| lock.is_held(now));
    }
}

/// Data sets that were recently read at one engine.
#[derive(Default)]
pub(crate) struct CachedDataSets {
    /// Distinct data sets, the most recently read first.
    recent: VecDeque<u32>,
}

impl CachedDataSets {
    pub(crate) fn contains(&self, data_set: u32) -> bool {
        self.recent.contains(&data_set)
    }

    pub(crate) fn record(&mut self, data_set: u32) {
        self.recent.retain(|cached| *cached != data_set);
        self.recent.push_front(data_set);
        self.recent.truncate(MAX_CACHED_DATA_SETS);
    }

    pub(crate) fn clear(&mut self) {
        self.recent.clear();
    }
}
