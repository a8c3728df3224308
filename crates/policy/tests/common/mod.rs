//! A policy with a few engines, driven call by call.

use larchfall_policy::policy::Policy;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::*;

/// Evidence of an attempt whose engine replied that it is over.
pub(crate) const ENDED_BY_ENGINE: AttemptEvidence =
    AttemptEvidence { last: LastObservation::Ended, same_process: true };

/// Indices of the request classes in `typical_config`.
pub(crate) const LOOKUP: usize = 0;
pub(crate) const REPORT: usize = 1;
pub(crate) const DATA_LOAD: usize = 2;

pub(crate) fn request_class(priority_weight: f64, threads: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        priority_weight,
        latency_objective: Duration::from_millis(1000),
        objective_stretch: 2.0,
        idempotency,
        in_order: false,
        threads,
        locks_data_set: false,
        waits_for_data_lock: false,
        allowed_zones: None,
        allowed_kinds: None,
    }
}

/// The policy settings that tests start from: one gateway, three request classes, engines of 8 cores.
pub(crate) fn typical_config() -> PolicyConfig {
    PolicyConfig {
        topology: Topology {
            gateway_count: 1,
            gateway_index: 0,
            zone: 0,
            engine_kinds: vec![EngineKind { cores: 8.0, memory_mb: 16_000.0 }; 2],
        },
        classes: vec![
            request_class(1.0, 1.0, Idempotency::Idempotent),
            request_class(12.0, 4.0, Idempotency::Idempotent),
            request_class(4.0, 2.0, Idempotency::NonIdempotent),
        ],
        tenants: Vec::new(),
        capabilities: Capabilities {
            can_cancel: true,
            max_attempts: 5,
            max_retry_after: Some(Duration::from_millis(500)),
            sets_memory_grant: true,
            progress_interval: Some(Duration::from_millis(1000)),
            clock_resolution: Duration::from_millis(5),
            ..Capabilities::default()
        },
        slow_start: SlowStartConfig {
            overload_multiple: 2.0,
            window: Duration::from_millis(2000),
            initial_warm_up_factor: 0.32,
            warm_up_time: Duration::from_millis(15_000),
        },
        retry_budget: None,
        key_cooldown: Duration::ZERO,
    }
}

pub(crate) trait StartGateway {
    /// Creates a gateway whose endpoint list has `engines` warm engines, all ready, in zone 0 and of kind 0.
    fn start(self, engines: usize) -> TestGateway;
}

impl StartGateway for PolicyConfig {
    fn start(self, engines: usize) -> TestGateway {
        let policy = Policy::new(7 + self.topology.gateway_index as u64, self);
        let mut gateway = TestGateway { policy, next_request: 0 };
        for engine in 0..engines {
            gateway.policy.update_engine(at_ms(0), engine, ready_engine());
        }
        gateway
    }
}

pub(crate) struct TestGateway {
    pub policy: Policy,
    next_request: usize,
}

/// The time `ms` milliseconds after the start of the test.
pub(crate) fn at_ms(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000) + Duration::from_millis(ms)
}

pub(crate) fn ready_engine() -> Engine {
    Engine { zone: 0, kind: 0, cell: 0, state: EngineState::Ready, start_time: None }
}

pub(crate) fn request(class: usize) -> Request {
    Request {
        class,
        tenant: None,
        key: None,
        deadline: at_ms(20_000),
        work_hint: Some(Duration::from_millis(200)),
        memory_hint_mb: Some(100.0),
        data_set: 0,
    }
}

impl TestGateway {
    /// Admits a request and routes it once. Returns the index of the request and the decision.
    pub(crate) fn admit(&mut self, time_ms: u64, request: Request) -> (usize, RoutingDecision) {
        let index = self.next_request;
        self.next_request += 1;
        self.policy.admit(at_ms(time_ms), index, request);
        (index, self.policy.route(at_ms(time_ms), index))
    }

    /// Admits `n` requests of one class at once, and returns how many of them are sent.
    pub(crate) fn count_sent(&mut self, n: usize, class: usize) -> usize {
        (0..n).filter(|_| sent_to(self.admit(2, request(class)).1).is_some()).count()
    }

    pub(crate) fn finish_attempt(
        &mut self,
        time_ms: u64,
        request: usize,
        number: u8,
        outcome: Outcome,
        duration_ms: u64,
    ) -> AfterAttempt {
        self.finish_with(time_ms, request, number, outcome, duration_ms, LoadReport::default())
    }

    /// Finishes the first attempt of a request, with a load report.
    pub(crate) fn finish_with_load_report(
        &mut self,
        time_ms: u64,
        request: usize,
        outcome: Outcome,
        duration_ms: u64,
        load_report: LoadReport,
    ) {
        self.finish_with(time_ms, request, 0, outcome, duration_ms, load_report);
    }

    fn finish_with(
        &mut self,
        time_ms: u64,
        request: usize,
        number: u8,
        outcome: Outcome,
        duration_ms: u64,
        load_report: LoadReport,
    ) -> AfterAttempt {
        let result = AttemptResult {
            outcome,
            duration: Duration::from_millis(duration_ms),
            request_finished: outcome == Outcome::Returned,
            evidence: ENDED_BY_ENGINE,
            reported_work: None,
            load_report,
        };
        self.policy.on_attempt_finished(at_ms(time_ms), request, number, &result)
    }
}

/// The engine that the decision sends an attempt to; `None` for other decisions.
pub(crate) fn sent_to(decision: RoutingDecision) -> Option<usize> {
    match decision {
        RoutingDecision::Send(parameters) => Some(parameters.engine),
        _ => None,
    }
}
