//! The state that this gateway keeps for one engine: the engine's entry of the endpoint list, its concurrency
//! limits, and the data that other decisions need.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::data_sets::{CachedDataSets, DataSetLocks};
use crate::load_report::RelativeLoad;
use crate::outlier_detection::OutlierDetector;
use crate::slow_start::SentWorkWindow;
use crate::time::{Duration, Timestamp};
use crate::types::{Engine, EngineState, Outcome};

/// How long the state of an engine is kept after the endpoint list no longer names it. An engine that returns
/// earlier keeps its state, so that the work sent to it in slow start still counts.
const REMOVAL_DELAY: Duration = Duration::from_millis(10_000);

/// The state of one engine, from the point of view of this gateway.
#[derive(Default)]
pub(crate) struct EngineRecord {
    /// The engine's newest entry of the endpoint list.
    pub entry: Engine,
    /// Time at which `entry` was last updated.
    entry_time: Timestamp,
    pub limit: ConcurrencyLimit,
    pub sent_in_slow_start: SentWorkWindow,
    pub outlier_detector: OutlierDetector,
    /// Time of the engine's last answer, progress update or connection error.
    pub heard_time: Timestamp,
    /// Number of attempts in flight whose progress updates are overdue in this tick.
    pub overdue_updates: usize,
    pub relative_load: RelativeLoad,
    pub data_set_locks: DataSetLocks,
    pub cached_data_sets: CachedDataSets,
    /// Time at which an attempt last ended with an answer of the engine, after which the connection was idle.
    connection_idle_since: Option<Timestamp>,
    /// This gateway's fraction of the engine's slow-start budget. `None` if no quota allocator assigns
    /// fractions.
    pub slow_start_fraction: Option<f64>,
    /// Whether the engine is outside of the subset that this gateway uses.
    pub outside_subset: bool,
    /// Whether another gateway holds the probe slot of the engine, so that this gateway may not probe it
    /// while it is ejected.
    pub awaits_probe_slot: bool,
}

impl EngineRecord {
    pub(crate) fn new(entry: Engine, limit: ConcurrencyLimit, now: Timestamp) -> EngineRecord {
        EngineRecord { entry, entry_time: now, limit, heard_time: now, ..EngineRecord::default() }
    }

    /// Replaces the engine's entry of the endpoint list. A different start time means a new process, and the
    /// observations of the previous process are dropped.
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

    /// Whether the engine is ready and within the subset that this gateway uses.
    pub(crate) fn is_used(&self) -> bool {
        self.is_ready() && !self.outside_subset
    }

    /// Whether the engine has been absent from the endpoint list for [`REMOVAL_DELAY`] and has no attempts in
    /// flight.
    pub(crate) fn is_removable(&self, now: Timestamp) -> bool {
        self.entry.state == EngineState::Gone
            && now.since(self.entry_time) >= REMOVAL_DELAY
            && self.limit.attempts_in_flight() == 0
    }

    /// Estimated number of threads that other gateways use at this engine beyond the mean of all engines. The
    /// estimate is negative for an engine with less load than the mean, and fades with the age of the last
    /// load report.
    pub(crate) fn peer_excess_threads(&self, now: Timestamp) -> f64 {
        let weight = self.relative_load.freshness(now) * self.limit.peer_load_fraction();
        self.relative_load.excess() * self.limit.capacity() * weight
    }

    /// Whether an open, idle connection to the engine is likely to exist. `lifetime` is the time after which
    /// the connection pool closes an idle connection.
    pub(crate) fn has_idle_connection(&self, lifetime: Duration, now: Timestamp) -> bool {
        let no_attempts = self.limit.attempts_in_flight() == 0;
        no_attempts && self.connection_idle_since.is_some_and(|idle_since| now.since(idle_since) < lifetime)
    }

    /// Classifies an outcome for outlier detection: `Some(true)` is a failure of the engine, `Some(false)` a
    /// success, and `None` says nothing about the engine's health. A timeout at an engine that answered other
    /// attempts in the meantime is a sign of load, which the concurrency limits handle.
    pub(crate) fn classify_outcome(&self, outcome: Outcome, sent_time: Timestamp) -> Option<bool> {
        match outcome {
            Outcome::Returned => Some(false),
            Outcome::ConnectFailed | Outcome::Reset | Outcome::Errored => Some(true),
            Outcome::TimedOut if self.heard_time <= sent_time => Some(true),
            Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => None,
        }
    }

    /// Updates the time of the last contact with the engine and the state of the connection to it after an
    /// attempt has ended.
    pub(crate) fn record_contact(&mut self, outcome: Outcome, now: Timestamp) {
        if matches!(outcome, Outcome::Returned | Outcome::ConnectFailed | Outcome::Reset | Outcome::Errored) {
            self.heard_time = now;
        }
        if matches!(outcome, Outcome::Returned | Outcome::Errored | Outcome::Rejected) {
            self.connection_idle_since = Some(now);
        }
    }
}
