//! Requests and request classes.

use super::engine::Engine;
use crate::time::{Duration, Timestamp};

/// Settings of one request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Priority of the class relative to the other classes. Classes of larger weight are served first.
    pub priority_weight: f64,
    /// Fixed part of the latency objective. The whole objective adds `objective_stretch` times the work per thread.
    pub latency_objective: Duration,
    /// Factor of the work per thread in the latency objective; see `latency_objective`.
    pub objective_stretch: f64,
    /// Whether requests of the class may be sent more than once.
    pub idempotency: Idempotency,
    /// Whether requests of one ordering key run one after the other, in the order of admission.
    pub in_order: bool,
    /// Number of threads that a request uses at its engine.
    pub threads: f64,
    /// Whether a request locks its data set at its engine while it runs.
    pub locks_data_set: bool,
    /// Whether a request waits while another request locks its data set at the same engine.
    pub waits_for_data_lock: bool,
    /// Zones that requests may be sent to, by index; `None` allows all.
    pub allowed_zones: Option<Vec<usize>>,
    /// Engine kinds that requests may be sent to, by index; `None` allows all.
    pub allowed_kinds: Option<Vec<usize>>,
}

impl RequestClass {
    /// Latency objective of a request with this work, in seconds of one thread. An answer that takes longer is late.
    pub fn latency_objective_for(&self, work: Option<f64>) -> Duration {
        self.latency_objective
            + Duration::from_secs(self.objective_stretch * work.unwrap_or(0.0) / self.threads)
    }

    /// Whether requests of the class may run at an engine of this zone and kind.
    pub fn allows_engine(&self, engine: &Engine) -> bool {
        self.allowed_zones.as_ref().is_none_or(|zones| zones.contains(&engine.zone))
            && self.allowed_kinds.as_ref().is_none_or(|kinds| kinds.contains(&engine.kind))
    }
}

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be sent any number of times.
    Idempotent,
    /// Engines within the scope drop repeats of an idempotency key. The request may be sent again to these engines
    /// until the window ends.
    IdempotentWithKey {
        /// Engines that drop repeats of the key.
        scope: DeduplicationScope,
        /// Time in which repeats are dropped, from the start of the earliest attempt that may have run.
        window: Duration,
    },
    /// The request may be sent again only if no earlier attempt can have run.
    NonIdempotent,
}

/// Engines that drop a repeat of a request that ran on one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// Engines of the same zone.
    Zone,
    /// Engines of the same cell.
    Cell,
}

impl DeduplicationScope {
    /// Whether `engine` drops a repeat of a request that ran on `ran_on`.
    pub fn covers(self, ran_on: &Engine, engine: &Engine) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => ran_on.zone == engine.zone,
            DeduplicationScope::Cell => ran_on.cell == engine.cell,
        }
    }
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Index of the request class.
    pub class: usize,
    /// Index of the tenant; `None` if no quota applies.
    pub tenant: Option<usize>,
    /// Ordering key; used only if the class is `in_order`.
    pub key: Option<u64>,
    /// When the client must have the final answer.
    pub deadline: Timestamp,
    /// Approximate total work of the request, in time of one thread; `None` if unknown.
    pub work_hint: Option<Duration>,
    /// Approximate memory need of the request in MB; `None` if unknown.
    pub memory_hint_mb: Option<f64>,
    /// Data set that the request reads or writes.
    pub data_set: u32,
}
