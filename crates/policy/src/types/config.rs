//! What the decisions are told once, at their start.

use super::engine::Engine;
use super::request::RequestClass;
use crate::time::{Duration, Timestamp};

/// Added to the warm-up time: its end is known no more exactly than that.
const WARM_UP_MARGIN: Duration = Duration::from_millis(500);

/// Everything that is fixed for the life of a policy.
#[derive(Clone, Debug, Default)]
pub struct PolicyConfig {
    /// Gateways and machines.
    pub topology: Topology,
    /// Request classes by index.
    pub classes: Vec<RequestClass>,
    /// Tenants by index.
    pub tenants: Vec<Tenant>,
    /// What may be asked of engines and clients.
    pub capabilities: Capabilities,
    /// How much an engine bears after its start.
    pub slow_start: SlowStartConfig,
    /// How long a key rests after an outcome that leaves open whether its attempt runs.
    pub key_cooldown: Duration,
    /// Bound on retries; none where they are unbounded.
    pub retry_budget: Option<RetryBudgetConfig>,
}

/// Which gateways and machines there are.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// How many gateways share the engines.
    pub gateway_count: usize,
    /// This gateway's number among them, from zero.
    pub gateway_index: usize,
    /// Zone of this gateway.
    pub zone: usize,
    /// Kinds of engines by index.
    pub engine_kinds: Vec<EngineKind>,
}

impl Topology {
    /// Cores of an engine: at least one, also for a kind that the settings do not name.
    pub fn cores(&self, engine: &Engine) -> f64 {
        self.engine_kinds.get(engine.kind).map_or(1.0, |kind| kind.cores.max(1.0))
    }
}

/// The size of a kind of engine.
#[derive(Clone, Debug, Default)]
pub struct EngineKind {
    /// Cores.
    pub cores: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// A tenant whose requests are counted.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second over all gateways that count in full; zero is no bound.
    pub quota_rate: f64,
}

/// What the caller may ask of engines and clients.
#[derive(Clone, Debug, Default)]
pub struct Capabilities {
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// What a health check costs, in parts of a request's priority weight; `None` where engines may not be asked.
    pub health_check_cost: Option<f64>,
    /// What a new connection costs, likewise.
    pub connection_cost: f64,
    /// How long a connection is kept that no request uses.
    pub idle_connection_lifetime: Duration,
    /// Attempts of one request at most.
    pub max_attempts: usize,
    /// Nothing of a request may run beside a retry of it, and an outcome alone does not say that it ended.
    pub single_attempt: bool,
    /// The longest retry-after time that clients heed, where they are told one at all.
    pub max_retry_after: Option<Duration>,
    /// Whether attempts carry a memory grant.
    pub sets_memory_grant: bool,
    /// Short of memory an engine lets all in and slows down, rather than have them wait or spill.
    pub swaps_when_out_of_memory: bool,
    /// Time between progress updates on an attempt in flight, where there are any.
    pub progress_interval: Option<Duration>,
    /// Nothing runs on for longer at an engine, in reach or draining; `None` where outcomes leave nothing running.
    pub unobserved_attempt_lifetime: Option<Duration>,
    /// A list of engines that was confirmed so long ago may name ones past their grace; `None` where it always holds.
    pub endpoint_list_lifetime: Option<Duration>,
    /// Smallest time between two readings of the clock.
    pub clock_resolution: Duration,
}

/// An engine in slow start falls over when sent more than `overload_multiple` times its present capacity for `window`.
#[derive(Clone, Debug, Default)]
pub struct SlowStartConfig {
    /// Times its present capacity.
    pub overload_multiple: f64,
    /// How long that may last.
    pub window: Duration,
    /// Fraction of its full capacity that an engine has at its start, in 0..=1.
    pub initial_warm_up_factor: f64,
    /// Longest time until it has all of it.
    pub warm_up_time: Duration,
}

impl SlowStartConfig {
    /// Fraction of its capacity that an engine should have: nobody tells the ramp, so it is straight over the longest time.
    pub fn warm_up_factor(&self, started: Option<Timestamp>, now: Timestamp) -> f64 {
        let Some(started) = started else { return 1.0 };
        let progress = now.since(started) / (self.warm_up_time + WARM_UP_MARGIN);
        if progress >= 1.0 {
            return 1.0;
        }
        self.initial_warm_up_factor + (1.0 - self.initial_warm_up_factor) * progress
    }
}

/// Retries in any `window`: `free_retries` plus `retries_per_request` times the requests admitted.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudgetConfig {
    /// Length of the window.
    pub window: Duration,
    /// Retries without any request.
    pub free_retries: f64,
    /// Retries for each request.
    pub retries_per_request: f64,
}
