//! Requests and their classes.

use super::engine::Engine;
use crate::time::{Duration, Timestamp};

/// How requests of one kind are treated.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Weight of the class against the others: the larger one is served first.
    pub priority_weight: f64,
    /// An answer is wanted within this, plus `objective_stretch` times the work over the threads.
    pub latency_objective: Duration,
    /// See `latency_objective`.
    pub objective_stretch: f64,
    /// Whether requests of the class may be sent twice.
    pub idempotency: Idempotency,
    /// Whether requests of one key run one after the other.
    pub in_order: bool,
    /// Threads that a request uses at its engine.
    pub threads: f64,
    /// Locks its data set at its engine while it runs.
    pub locks_data_set: bool,
    /// Waits while a request that locks its data set runs at the same engine.
    pub waits_for_data_lock: bool,
    /// The only zones it may be sent to; `None` leaves them open.
    pub allowed_zones: Option<Vec<usize>>,
    /// The only kinds of engines it may be sent to; `None` leaves them open.
    pub allowed_kinds: Option<Vec<usize>>,
}

impl RequestClass {
    /// The latency objective of a request with so much work in seconds: what answers after that is late.
    pub fn latency_objective_for(&self, work: Option<f64>) -> Duration {
        self.latency_objective
            + Duration::from_secs(self.objective_stretch * work.unwrap_or(0.0) / self.threads)
    }

    /// Rule 6: whether requests of the class may run at an engine.
    pub fn allows_engine(&self, engine: &Engine) -> bool {
        self.allowed_zones.as_ref().is_none_or(|zones| zones.contains(&engine.zone))
            && self.allowed_kinds.as_ref().is_none_or(|kinds| kinds.contains(&engine.kind))
    }
}

/// Whether a request may be sent a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Engines of one scope drop a repeat, for a window from the first attempt that may have run.
    IdempotentWithKey {
        /// Which engines know the key.
        scope: DeduplicationScope,
        /// For how long.
        window: Duration,
    },
    /// Only while nothing of it may have run.
    NonIdempotent,
}

/// Which engines drop a repeat of what ran on one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// Those of the same zone.
    Zone,
    /// Those of the same cell.
    Cell,
}

impl DeduplicationScope {
    /// Whether `engine` drops a repeat of what ran on `ran_on`.
    pub fn covers(self, ran_on: &Engine, engine: &Engine) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => ran_on.zone == engine.zone,
            DeduplicationScope::Cell => ran_on.cell == engine.cell,
        }
    }
}

/// One request of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant, where tenants are counted.
    pub tenant: Option<usize>,
    /// Key by which requests are ordered, where the class is in order.
    pub key: Option<u64>,
    /// When its client needs the answer.
    pub deadline: Timestamp,
    /// A rough hint of the work of all its threads, as time on one.
    pub work_hint: Option<Duration>,
    /// A rough hint of the memory it needs, in MB.
    pub memory_hint_mb: Option<f64>,
    /// The data set that it reads or writes.
    pub data_set: u32,
}
