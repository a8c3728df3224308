//! What is known of one engine: its entry of the endpoint list, and the state of each decision about it.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::data_sets::{CachedDataSets, DataSetLocks};
use crate::load_report::RelativeLoad;
use crate::outlier_detection::OutlierDetector;
use crate::slow_start::SentWorkWindow;
use crate::time::{Duration, Timestamp};
use crate::types::{Engine, EngineState, Outcome};

/// An engine that comes back sooner is the same one: what was sent to it in slow start still counts.
const FORGET_AFTER: Duration = Duration::from_millis(10_000);

/// State of one engine, as this gateway sees it.
#[derive(Default)]
pub(crate) struct EngineRecord {
    pub entry: Engine,
    entry_time: Timestamp,
    pub limit: ConcurrencyLimit,
    pub sent_in_slow_start: SentWorkWindow,
    pub outlier_detector: OutlierDetector,
    /// When it last answered or sent a progress update.
    pub heard_time: Timestamp,
    /// Attempts in flight whose progress updates are overdue this tick.
    pub overdue_updates: usize,
    pub relative_load: RelativeLoad,
    pub data_set_locks: DataSetLocks,
    pub cached_data_sets: CachedDataSets,
    /// When an attempt last ended there with an answer of the engine's, which leaves its connection idle.
    connection_idle_since: Option<Timestamp>,
    /// This gateway's part of what it bears in slow start, where an allocator hands parts out.
    pub slow_start_fraction: Option<f64>,
    /// Ready, but outside the subset that this gateway uses.
    pub outside_subset: bool,
    /// Ejected, and another gateway's turn to probe it.
    pub awaits_probe_slot: bool,
}

impl EngineRecord {
    pub(crate) fn new(entry: Engine, limit: ConcurrencyLimit, now: Timestamp) -> EngineRecord {
        EngineRecord { entry, entry_time: now, limit, heard_time: now, ..EngineRecord::default() }
    }

    /// Takes over a newer entry of the list. Whatever was held against the process that ran there before says nothing of a
    /// new one.
    pub(crate) fn update_entry(&mut self, entry: Engine, now: Timestamp) {
        if self.entry.start_time != entry.start_time {
            self.outlier_detector = OutlierDetector::default();
            self.connection_idle_since = None;
            self.heard_time = now;
            self.cached_data_sets.clear();
            self.limit.signal.clear();
        }
        self.entry = entry;
        self.entry_time = now;
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == EngineState::Ready
    }

    pub(crate) fn is_used(&self) -> bool {
        self.is_ready() && !self.outside_subset
    }

    /// Gone, not soon back, and with nothing in flight.
    pub(crate) fn is_removable(&self, now: Timestamp) -> bool {
        self.entry.state == EngineState::Gone
            && now.since(self.entry_time) >= FORGET_AFTER
            && self.limit.attempts_in_flight() == 0
    }

    /// Threads that other gateways use there beyond what engines mostly have, while that is fresh.
    pub(crate) fn peer_excess_threads(&self, now: Timestamp) -> f64 {
        let weight = self.relative_load.freshness(now) * self.limit.peer_load_fraction();
        self.relative_load.excess() * self.limit.capacity() * weight
    }

    /// Whether a connection is likely to be idle there, and open.
    pub(crate) fn has_idle_connection(&self, lifetime: Duration, now: Timestamp) -> bool {
        let unused = self.limit.attempts_in_flight() == 0;
        unused && self.connection_idle_since.is_some_and(|idle_since| now.since(idle_since) < lifetime)
    }

    /// Whether an outcome counts for or against the engine. A time-out at an engine that answered others meanwhile is
    /// load, which the limits answer.
    pub(crate) fn classify_outcome(&self, outcome: Outcome, sent_time: Timestamp) -> Option<bool> {
        match outcome {
            Outcome::Returned => Some(false),
            Outcome::ConnectFailed | Outcome::Reset | Outcome::Errored => Some(true),
            Outcome::TimedOut if self.heard_time <= sent_time => Some(true),
            Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => None,
        }
    }

    /// Notes when the engine was heard and whether a connection to it is idle.
    pub(crate) fn record_contact(&mut self, outcome: Outcome, now: Timestamp) {
        if matches!(outcome, Outcome::Returned | Outcome::ConnectFailed | Outcome::Reset | Outcome::Errored) {
            self.heard_time = now;
        }
        if matches!(outcome, Outcome::Returned | Outcome::Errored | Outcome::Rejected) {
            self.connection_idle_since = Some(now);
        }
    }
}
