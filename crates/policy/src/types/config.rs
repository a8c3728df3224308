//! Configuration of a policy.

use super::engine::Engine;
use super::request::RequestClass;
use crate::time::{Duration, Timestamp};

/// Added to the warm-up time, because the end of the warm-up is known only to this precision.
const WARM_UP_MARGIN: Duration = Duration::from_millis(500);

/// The configuration of a policy. It does not change after the policy was created, except for the number of
/// gateways.
#[derive(Clone, Debug, Default)]
pub struct PolicyConfig {
    /// The gateways and the engine kinds.
    pub topology: Topology,
    /// Request classes by index.
    pub classes: Vec<RequestClass>,
    /// Tenants by index.
    pub tenants: Vec<Tenant>,
    /// What engines, clients and the caller support.
    pub capabilities: Capabilities,
    /// Limits on the work that is sent to an engine after its start.
    pub slow_start: SlowStartConfig,
    /// Key cooldown: how long the next request of an ordering key waits after an outcome that does not show
    /// whether the attempt still runs.
    pub key_cooldown: Duration,
    /// Limit on retries. `None` means no limit.
    pub retry_budget: Option<RetryBudgetConfig>,
}

/// The gateways that share the engines, this gateway's place among them, and the engine kinds.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// Number of gateways that share the engines.
    pub gateway_count: usize,
    /// Index of this gateway, in `0..gateway_count`.
    pub gateway_index: usize,
    /// Index of the zone of this gateway.
    pub zone: usize,
    /// Engine kinds by index.
    pub engine_kinds: Vec<EngineKind>,
}

impl Topology {
    /// Number of cores of an engine, at least one. An engine of a kind that is not in `engine_kinds` counts
    /// as one core.
    pub fn cores(&self, engine: &Engine) -> f64 {
        self.engine_kinds.get(engine.kind).map_or(1.0, |kind| kind.cores.max(1.0))
    }
}

/// The size of the engines of one kind.
#[derive(Clone, Debug, Default)]
pub struct EngineKind {
    /// Number of cores.
    pub cores: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// A tenant with a quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Quota of the tenant in requests per second over all gateways. Zero means no quota.
    pub quota_rate: f64,
}

/// Features and limits of engines, clients and the caller.
#[derive(Clone, Debug, Default)]
pub struct Capabilities {
    /// Whether attempts in flight can be cancelled.
    pub can_cancel: bool,
    /// Cost of a health check as a fraction of a request's priority weight. `None` if engines may not be
    /// asked for load reports.
    pub health_check_cost: Option<f64>,
    /// Cost of a new connection as a fraction of a request's priority weight.
    pub connection_cost: f64,
    /// Time after which an unused connection is closed.
    pub idle_connection_lifetime: Duration,
    /// Largest number of attempts per request.
    pub max_attempts: usize,
    /// Whether hedging is forbidden: a request is retried only if the earlier attempts are proven to have
    /// ended. An outcome alone is no proof.
    pub forbids_hedging: bool,
    /// Longest retry-after time that clients respect. `None` if clients are not sent a retry-after time.
    pub max_retry_after: Option<Duration>,
    /// Whether attempts carry a memory grant.
    pub sets_memory_grant: bool,
    /// Whether an engine that is short of memory starts all attempts and swaps, instead of letting attempts
    /// wait or spill.
    pub swaps_when_out_of_memory: bool,
    /// Time between two progress updates of an attempt in flight. `None` if engines send no progress updates.
    pub progress_interval: Option<Duration>,
    /// Longest time for which an attempt may still run after its end was not observed, at a reachable or a
    /// draining engine. `None` if no outcome leaves an attempt running.
    pub unobserved_attempt_lifetime: Option<Duration>,
    /// Time since the last confirmation of the endpoint list after which engines on the list may be past
    /// their grace period, so that the list is no longer used. `None` if the list never expires.
    pub endpoint_list_lifetime: Option<Duration>,
    /// Smallest time between two different readings of the caller's clock.
    pub clock_resolution: Duration,
}

/// Limits on the work sent to an engine in slow start. An engine that is sent more than `overload_multiple`
/// times its current capacity for the length of `window` fails.
#[derive(Clone, Debug, Default)]
pub struct SlowStartConfig {
    /// Work that an engine tolerates within one window, as a multiple of its current capacity.
    pub overload_multiple: f64,
    /// Length of the window in which the work is summed.
    pub window: Duration,
    /// Warm-up factor at the start of an engine, in 0..=1.
    pub initial_warm_up_factor: f64,
    /// Longest time until an engine has its full capacity.
    pub warm_up_time: Duration,
}

impl SlowStartConfig {
    /// The warm-up factor: the fraction of its full capacity that an engine has at `now`. Engines do not
    /// report the course of their warm-up, so the factor rises linearly over the longest warm-up time.
    pub fn warm_up_factor(&self, start_time: Option<Timestamp>, now: Timestamp) -> f64 {
        let Some(start_time) = start_time else { return 1.0 };
        let progress = now.since(start_time) / (self.warm_up_time + WARM_UP_MARGIN);
        if progress >= 1.0 {
            return 1.0;
        }
        self.initial_warm_up_factor + (1.0 - self.initial_warm_up_factor) * progress
    }
}

/// The retry budget. Within any `window`, at most `free_retries` plus `retries_per_request` times the number
/// of admitted requests may be retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudgetConfig {
    /// Length of the window.
    pub window: Duration,
    /// Number of retries that are allowed without any request.
    pub free_retries: f64,
    /// Number of further retries that are allowed for each request.
    pub retries_per_request: f64,
}
