//! What goes into the decisions and what comes out: plain values, no wire. Engines, request classes,
//! tenants, zones, kinds and requests are small indices that the caller hands out; a request's index may be
//! used again once the request is over and every attempt of it has brought its outcome.

use crate::time::{Duration, Timestamp};

/// What the module is told once, at its start.
#[derive(Clone, Debug, Default)]
pub struct PolicyConfig {
    pub fleet: Fleet,
    pub classes: Vec<RequestClass>,
    pub tenants: Vec<Tenant>,
    pub caps: Caps,
    pub slow_start: SlowStartPolicy,
    /// Rest of a key after an outcome that leaves it open whether its attempt runs.
    pub key_cooldown: Duration,
    pub retry_budget: Option<RetryBudgetRule>,
}

/// Which gateways and machines there are.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub gateways: usize,
    /// This gateway's number among them.
    pub me: usize,
    pub zone: usize,
    pub kinds: Vec<EngineKind>,
}

impl Fleet {
    /// At least one, also for a kind that the settings do not name.
    pub fn cores(&self, engine: &Engine) -> f64 {
        self.kinds.get(engine.kind).map_or(1.0, |k| k.cores.max(1.0))
    }
}

#[derive(Clone, Debug, Default)]
pub struct EngineKind {
    pub cores: f64,
    pub memory_mb: f64,
}

#[derive(Clone, Debug)]
pub struct RequestClass {
    pub priority_weight: f64,
    /// An answer is wanted within `goal`, plus `goal_stretch` times the work over the threads.
    pub latency_objective: Duration,
    pub objective_stretch: f64,
    pub effect: Idempotency,
    pub in_order: bool,
    pub threads: f64,
    /// Holds its data set on its engine while it runs.
    pub locks_data_set: bool,
    /// Stands still while a request that holds its data set runs on the same engine.
    pub waits_for_data_lock: bool,
    /// The only zones and kinds it may be sent to; `None` leaves them open.
    pub zones: Option<Vec<usize>>,
    pub kinds: Option<Vec<usize>>,
}

impl RequestClass {
    /// Its response goal, stretched by the work in seconds: what comes after that is late.
    pub fn objective_for(&self, work: Option<f64>) -> Duration {
        self.latency_objective
            + Duration::from_secs(self.objective_stretch * work.unwrap_or(0.0) / self.threads)
    }

    /// Rule 6.
    pub fn allows_engine(&self, engine: &Engine) -> bool {
        self.zones.as_ref().is_none_or(|z| z.contains(&engine.zone))
            && self.kinds.as_ref().is_none_or(|k| k.contains(&engine.kind))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// A repeat is dropped by the engines of one scope, for a window from the first attempt that may have
    /// run.
    IdempotentWithKey {
        scope: DeduplicationScope,
        window: Duration,
    },
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

impl DeduplicationScope {
    /// Whether the engines that drop a repeat of what ran on one are also those that drop it on the other.
    pub fn holds(self, ran_on: &Engine, to: &Engine) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => ran_on.zone == to.zone,
            DeduplicationScope::Cell => ran_on.cell == to.cell,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second over all gateways that count in full.
    pub quota_rate: f64,
}

/// What the caller may ask of engines and clients.
#[derive(Clone, Debug, Default)]
pub struct Caps {
    pub can_cancel: bool,
    /// What a probe costs, in parts of a request's utility; `None` where an engine may not be asked for its report.
    pub load_probe_cost: Option<f64>,
    /// What a new connection costs, likewise, and how long one is kept that no request uses.
    pub connection_cost: f64,
    pub idle_connection_lifetime: Duration,
    pub max_attempts: usize,
    /// Nothing of a request may run beside a retry of it, and an outcome alone does not say that it ended.
    pub single_attempt: bool,
    /// The longest time to come back that clients heed, where they are told one at all.
    pub max_retry_after: Option<Duration>,
    pub sets_memory_grant: bool,
    /// Short of memory an engine lets all in and slows down, rather than have them wait or spill.
    pub swaps_when_out_of_memory: bool,
    /// Time between notes on a attempt that is out, where there are notes.
    pub progress_interval: Option<Duration>,
    /// Nothing runs on for longer at an engine, in reach or about to go; `None` where outcomes leave nothing running.
    pub unobserved_attempt_lifetime: Option<Duration>,
    /// A list of engines that was last known to hold so long ago may name ones past their grace; `None` where it always holds.
    pub endpoint_list_lifetime: Option<Duration>,
    /// Smallest time between two readings of the clock.
    pub clock_step: Duration,
}

/// A cold engine falls over when sent more than `multiple` times its present capacity for `window`.
#[derive(Clone, Debug, Default)]
pub struct SlowStartPolicy {
    pub multiple: f64,
    pub window: Duration,
    pub initial_capacity_factor: f64,
    pub warm_up_time: Duration,
}

impl SlowStartPolicy {
    /// Share of its capacity that an engine should have: the ramp is not told; straight, over the longest time.
    pub fn warm_up_factor(&self, started: Option<Timestamp>, now: Timestamp) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = now.since(started) / (self.warm_up_time + Duration::from_millis(500));
        if age >= 1.0 {
            1.0
        } else {
            self.initial_capacity_factor + (1.0 - self.initial_capacity_factor) * age
        }
    }
}

/// Retries in any `window`: `free` plus `per_batch` times the requests taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudgetRule {
    pub window: Duration,
    pub free: f64,
    pub per_request: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    pub state: EngineState,
    /// When it last started; `None` is long ago.
    pub started: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: Option<u64>,
    pub deadline: Timestamp,
    /// A rough guess of the work of all its threads, as time on one.
    pub work: Option<Duration>,
    pub memory_mb: Option<f64>,
    pub data_set: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Returned,
    Errored,
    /// Turned away unseen.
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never sent.
    Moot,
}

/// What was last seen of a attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LastObservation {
    /// No byte of it left.
    NotSent,
    /// It was turned away unseen.
    Declined,
    /// It was said to be over.
    Ended,
    /// It was told to stop, and that was taken in.
    Stopped,
    /// Who answered knows no such request.
    Unknown,
    /// Nobody listens at its engine's address.
    Refused,
    /// Nobody could be asked or told.
    Silent,
    /// Whoever looked after it is gone.
    Lost,
}

/// By this alone it is judged what of a attempt may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptEvidence {
    pub last: LastObservation,
    /// Said by the very process that has the request: on the connection of the call itself, or on one on which it
    /// had spoken of the request as its own.
    pub same_process: bool,
}

#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    pub took: Duration,
    /// Set once the request is over, by this outcome or before it.
    pub over: bool,
    pub seen: AttemptEvidence,
    /// The work that the request needed, where answers tell.
    pub work: Option<Duration>,
    pub report: LoadReport,
}

impl AttemptResult {
    /// One that tells nothing but how the attempt ended, and ends its request.
    pub fn bare(outcome: Outcome, seen: AttemptEvidence) -> AttemptResult {
        AttemptResult {
            outcome,
            took: Duration::ZERO,
            over: true,
            seen,
            work: None,
            report: LoadReport::default(),
        }
    }
}

/// An engine's load as it says itself, late and noisy: how many requests it holds, how busy its cores are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub in_hand: Option<f64>,
    pub busy: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressUpdate {
    /// Share done, rough.
    Done(f64),
    SpillsMb(f64),
    WaitsForMemory,
    WaitsForHolder,
    /// From the caller itself: the connection was cut or hung, and what it would have brought came later.
    CutOff,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoutingDecision {
    Send(AttemptParameters),
    /// Nothing to do now: ask again after `wait`.
    Wait,
    /// Final: trying again is harmless, best after the time given.
    Reject(Option<Duration>),
    /// Final: nothing is promised about what it did.
    Fail,
    /// Quit waiting for the attempt of this number.
    CancelAttempt(u8),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptParameters {
    pub engine: usize,
    pub time_out: Duration,
    /// Memory to grant in MB; `None` leaves it to the engine.
    pub memory_mb: Option<f64>,
    pub priority: u8,
}

/// What to do after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAttempt {
    /// The request is over.
    Finished,
    /// Something is still open: ask where the request goes.
    RouteAgain,
}
