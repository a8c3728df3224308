//! A gateway with a few engines, driven call by call.

use larchfall_policy::policy::Policy;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::*;

/// The engine itself said the end.
pub(crate) const ENDED_BY_ENGINE: AttemptEvidence =
    AttemptEvidence { last: LastObservation::Ended, same_process: true };

pub(crate) const LOOK_UP: usize = 0;
pub(crate) const REPORT: usize = 1;
pub(crate) const LOAD: usize = 2;

pub(crate) fn class(priority_weight: f64, threads: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        priority_weight,
        latency_objective: Duration::from_millis(1000),
        objective_stretch: 2.0,
        idempotency,
        in_order: false,
        threads,
        locks_data_set: false,
        waits_for_data_lock: false,
        zones: None,
        kinds: None,
    }
}

/// What a gateway of these tests is given, unless its test says something else.
pub(crate) fn typical_config() -> PolicyConfig {
    PolicyConfig {
        topology: Topology {
            gateway_count: 1,
            gateway_index: 0,
            zone: 0,
            engine_kinds: vec![EngineKind { cores: 8.0, memory_mb: 16_000.0 }; 2],
        },
        classes: vec![
            class(1.0, 1.0, Idempotency::Idempotent),
            class(12.0, 4.0, Idempotency::Idempotent),
            class(4.0, 2.0, Idempotency::NonIdempotent),
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

pub(crate) trait Start {
    /// A gateway that was told of `engines` warm ones, all ready, in zone 0, of kind 0.
    fn start(self, engines: usize) -> Gateway;
}

impl Start for PolicyConfig {
    fn start(self, engines: usize) -> Gateway {
        let policy = Policy::new(7 + self.topology.gateway_index as u64, self);
        let mut gateway = Gateway { policy, next: 0 };
        for e in 0..engines {
            gateway.policy.update_engine(ms(0), e, engine());
        }
        gateway
    }
}

pub(crate) struct Gateway {
    pub policy: Policy,
    next: usize,
}

pub(crate) fn ms(n: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000) + Duration::from_millis(n)
}

pub(crate) fn engine() -> Engine {
    Engine { zone: 0, kind: 0, cell: 0, state: EngineState::Ready, start_time: None }
}

pub(crate) fn request(class: usize) -> Request {
    Request {
        class,
        tenant: None,
        key: None,
        deadline: ms(20_000),
        work: Some(Duration::from_millis(200)),
        memory_mb: Some(100.0),
        data_set: 0,
    }
}

impl Gateway {
    /// Takes the request and asks once; its index and the answer.
    pub(crate) fn admit(&mut self, time: u64, request: Request) -> (usize, RoutingDecision) {
        let b = self.next;
        self.next += 1;
        self.policy.admit(ms(time), b, request);
        (b, self.policy.route(ms(time), b))
    }

    /// How many of `n` requests of one class, taken at once, are sent.
    pub(crate) fn send_all(&mut self, n: usize, class: usize) -> usize {
        (0..n).filter(|_| sent_to(self.admit(2, request(class)).1).is_some()).count()
    }

    pub(crate) fn end(
        &mut self,
        time: u64,
        b: usize,
        number: u8,
        outcome: Outcome,
        took_ms: u64,
    ) -> AfterAttempt {
        self.finish(time, b, number, outcome, took_ms, LoadReport::default())
    }

    /// The first attempt of a request ends with a load report.
    pub(crate) fn end_with(
        &mut self,
        time: u64,
        b: usize,
        outcome: Outcome,
        took_ms: u64,
        report: LoadReport,
    ) {
        self.finish(time, b, 0, outcome, took_ms, report);
    }

    fn finish(
        &mut self,
        time: u64,
        b: usize,
        number: u8,
        outcome: Outcome,
        took_ms: u64,
        report: LoadReport,
    ) -> AfterAttempt {
        let answer = AttemptResult {
            outcome,
            took: Duration::from_millis(took_ms),
            request_finished: outcome == Outcome::Returned,
            evidence: ENDED_BY_ENGINE,
            work: None,
            report,
        };
        self.policy.on_attempt_finished(ms(time), b, number, &answer)
    }
}

pub(crate) fn sent_to(decision: RoutingDecision) -> Option<usize> {
    match decision {
        RoutingDecision::Send(d) => Some(d.engine),
        _ => None,
    }
}
