//! The public type: a request's life, as the caller drives it.
//!
//! The ordinary path: a request goes to the ready engine with most headroom of its class. Limits of running threads, for
//! each engine and class, move each tick by asymmetric AIMD on one congestion signal, and bind only while the engine's
//! last tick found it congested. With no headroom anywhere the request is rejected at once.

mod attempt_end;
mod engines;
mod tick;

use crate::cancellation;
use crate::class_state::ClassTable;
use crate::deadline;
use crate::endpoint_list::EndpointListAge;
use crate::engine_record::EngineRecord;
use crate::engine_selection::EngineSelection;
use crate::event::PolicyEvent;
use crate::health_check::HealthCheckBudget;
use crate::idempotency;
use crate::key_order::KeyOrder;
use crate::load_report::{MeanLoad, TrafficFraction};
use crate::outlier_detection::FailureBaseline;
use crate::request_record::{AttemptInFlight, RequestRecord};
use crate::retry_budget::RetryBudget;
use crate::slow_start::SlowStartAdmission;
use crate::tenant_quota::TenantQuota;
use crate::time::{Duration, Timestamp};
use crate::types::{
    AttemptParameters, Capabilities, DeduplicationScope, Idempotency, PolicyConfig, ProgressUpdate, Request,
    RoutingDecision, SlowStartConfig, Topology,
};
use nanorand::WyRand;
use std::collections::BTreeMap;

pub use crate::concurrency_limit::TICK_INTERVAL;

/// How often a request that waits for its key is looked at; one with an attempt in flight, each tick.
const KEY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Retries of one request at most, whatever the caller allows.
const MAX_RETRIES: usize = 2;

/// All decisions of one gateway.
pub struct Policy {
    topology: Topology,
    capabilities: Capabilities,
    slow_start: SlowStartConfig,
    classes: ClassTable,
    tenants: Vec<TenantQuota>,
    retry_budget: RetryBudget,
    key_order: KeyOrder,
    engines: BTreeMap<usize, EngineRecord>,
    requests: BTreeMap<usize, RequestRecord>,
    /// When this gateway was first told of an engine.
    joined_time: Option<Timestamp>,
    traffic: TrafficFraction,
    mean_reported_load: MeanLoad,
    /// Time taken over work, as answers mostly show it.
    mean_slowdown: MeanLoad,
    health_checks: HealthCheckBudget,
    failure_baseline: FailureBaseline,
    overloaded: bool,
    endpoint_list: EndpointListAge,
    events: Vec<PolicyEvent>,
    random: WyRand,
}

impl Policy {
    /// A policy without engines; the seed decides ties and which engines are checked.
    pub fn new(seed: u64, config: PolicyConfig) -> Policy {
        let mut topology = config.topology;
        topology.gateway_count = topology.gateway_count.max(1);
        let unobserved_lifetime = config.capabilities.unobserved_attempt_lifetime.unwrap_or_default();
        Policy {
            topology,
            classes: ClassTable::new(config.classes),
            tenants: config.tenants.into_iter().map(|tenant| TenantQuota::new(tenant.quota_rate)).collect(),
            retry_budget: RetryBudget::new(config.retry_budget),
            key_order: KeyOrder::new(config.key_cooldown, unobserved_lifetime),
            capabilities: config.capabilities,
            slow_start: config.slow_start,
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            joined_time: None,
            traffic: TrafficFraction::default(),
            mean_reported_load: MeanLoad::default(),
            mean_slowdown: MeanLoad::default(),
            health_checks: HealthCheckBudget::default(),
            failure_baseline: FailureBaseline::default(),
            overloaded: false,
            endpoint_list: EndpointListAge::default(),
            events: Vec::new(),
            random: WyRand::new_seed(seed),
        }
    }

    /// Discovery was heard, with nothing new or all of it: the list of engines holds as of then.
    pub fn confirm_endpoint_list(&mut self, time: Timestamp) {
        self.endpoint_list.confirm(time);
    }

    /// Rule 3: whether the list of engines is recent enough. A list that nobody stands by any more opens no engine.
    pub fn is_endpoint_list_current(&self, now: Timestamp) -> bool {
        self.endpoint_list.is_current(self.capabilities.endpoint_list_lifetime, now)
    }

    /// Admits a request under an index of the caller's.
    pub fn admit(&mut self, now: Timestamp, index: usize, mut request: Request) {
        self.health_checks.record_request();
        let class = request.class;
        self.classes.record_request(class, request.work_hint);
        request.key = request.key.filter(|_| self.classes.settings(class).in_order);
        if let Some(key) = request.key {
            self.key_order.admit(key, index);
        }
        let work = self.classes.work_estimate(class).estimate(request.work_hint);
        let traffic_fraction = self.traffic_fraction();
        let quota = request.tenant.and_then(|tenant| self.tenants.get_mut(tenant));
        let within_quota = quota.is_none_or(|quota| quota.try_acquire(traffic_fraction, now));
        let record =
            RequestRecord { request, admitted_time: now, work, within_quota, ..RequestRecord::default() };
        self.requests.insert(index, record);
    }

    /// What to do with a request now: send it, wait, or end it.
    pub fn route(&mut self, now: Timestamp, request: usize) -> RoutingDecision {
        let Some(record) = self.requests.get(&request).filter(|record| !record.finished) else {
            return RoutingDecision::Wait;
        };
        if !record.in_flight.is_empty() {
            return self.review_attempts(now, request);
        }
        // What cannot be answered in time is better told so at once.
        let class = record.request.class;
        let shortest = Duration::from_secs(record.work.unwrap_or(0.0) / self.classes.threads(class));
        if now + shortest >= self.last_answer_time(record) {
            return self.finish_unanswered(request);
        }
        if record.request.key.is_some_and(|key| !self.key_order.is_next(key, request, now)) {
            return RoutingDecision::Wait;
        }
        if !self.may_attempt(now, request) {
            return self.finish_unanswered(request);
        }
        match self.select_engine(now, request) {
            Some(engine) => self.start_attempt(now, request, engine),
            None => self.finish_unanswered(request),
        }
    }

    /// Whether an attempt that was routed a while ago may begin now: its client still waits, the list of engines holds,
    /// and its idempotency key is still known where it may have run.
    pub fn may_start_attempt(&self, now: Timestamp, request: usize, attempt: u8) -> bool {
        let Some(record) = self.requests.get(&request).filter(|record| !record.finished) else {
            return false;
        };
        let live = |other: &&AttemptInFlight| other.number == attempt && !other.cancelled;
        let Some(attempt) = record.in_flight.iter().find(live) else { return false };
        let Some(engine) = self.engines.get(&attempt.engine) else { return false };
        let idempotency = self.classes.settings(record.request.class).idempotency;
        let step = self.capabilities.clock_resolution;
        self.is_endpoint_list_current(now)
            && idempotency::allows_attempt(idempotency, record.first_run, &engine.entry, now, step)
    }

    /// An engine says something of an attempt in flight.
    pub fn on_progress(&mut self, now: Timestamp, request: usize, attempt: u8, update: ProgressUpdate) {
        let Some(record) = self.requests.get_mut(&request) else { return };
        let data_set = record.request.data_set;
        let Some(attempt) = record.attempt_mut(attempt) else { return };
        if update == ProgressUpdate::ConnectionLost {
            attempt.connection_lost = true;
            return;
        }
        let Some(engine) = self.engines.get_mut(&attempt.engine) else { return };
        attempt.record_progress(update, now);
        engine.heard_time = now;
        if update == ProgressUpdate::WaitsForDataLock {
            let until = now + self.capabilities.progress_interval.unwrap_or_default();
            engine.data_set_locks.record_reported(data_set, until);
        }
    }

    /// When to route this request again, if nothing happens before.
    pub fn next_route_time(&self, now: Timestamp, request: usize) -> Timestamp {
        match self.requests.get(&request) {
            Some(record) if record.in_flight.is_empty() => {
                (now + KEY_CHECK_INTERVAL).min(self.last_answer_time(record))
            }
            Some(_) | None => now + TICK_INTERVAL,
        }
    }

    /// The client is gone, and may be back at once: what is in flight works for nobody. The attempts to cancel.
    pub fn on_client_disconnected(&mut self, request: usize) -> Vec<u8> {
        let record = self.requests.get_mut(&request).filter(|_| self.capabilities.can_cancel);
        let cancelled = record.map(RequestRecord::cancel_attempts).unwrap_or_default();
        self.finish(request);
        cancelled
    }

    /// The final answer of a request at once, whatever is in flight: a rejection where trying again is harmless, else a
    /// failure.
    pub fn finish_unanswered(&mut self, request: usize) -> RoutingDecision {
        let Some(record) = self.requests.get(&request).filter(|record| !record.finished) else {
            return RoutingDecision::Wait;
        };
        let idempotency = self.classes.settings(record.request.class).idempotency;
        // Rule 2: a rejection says that trying again is harmless.
        let never_ran = record.first_run.is_none() && record.in_flight.is_empty();
        let harmless = never_ran
            || matches!(
                idempotency,
                Idempotency::Idempotent
                    | Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, .. }
            );
        self.finish(request);
        if harmless {
            RoutingDecision::Reject(self.capabilities.max_retry_after)
        } else {
            RoutingDecision::Fail
        }
    }

    /// The gateway ends then: what it has is to have its final answer before.
    pub fn set_shutdown_deadline(&mut self, deadline: Timestamp) {
        for record in self.requests.values_mut() {
            record.request.deadline = record.request.deadline.min(deadline);
        }
    }

    /// Events since the last call, for the log.
    pub fn take_events(&mut self) -> Vec<PolicyEvent> {
        std::mem::take(&mut self.events)
    }

    /// This gateway's part of all traffic.
    fn traffic_fraction(&self) -> f64 {
        self.traffic.value(self.topology.gateway_count)
    }

    fn last_answer_time(&self, record: &RequestRecord) -> Timestamp {
        deadline::last_answer_time(record.request.deadline, self.capabilities.clock_resolution)
    }

    /// Whether one more attempt of a request is allowed; the first always is.
    fn may_attempt(&mut self, now: Timestamp, request: usize) -> bool {
        let Some(record) = self.requests.get(&request) else { return false };
        if record.attempts_made == 0 {
            return true;
        }
        let max_attempts = self.capabilities.max_attempts.min(1 + MAX_RETRIES);
        let exhausted = record.may_still_run || record.attempts_made >= max_attempts;
        !self.overloaded && !exhausted && self.retry_budget.allows_retry(now)
    }

    fn select_engine(&mut self, now: Timestamp, request: usize) -> Option<usize> {
        if !self.is_endpoint_list_current(now) {
            return None;
        }
        let record = self.requests.get(&request)?;
        let class_demand = self.classes.class_demand();
        let slow_start = SlowStartAdmission {
            config: &self.slow_start,
            topology: &self.topology,
            class_demand: &class_demand,
            class: record.request.class,
            joined_time: self.joined_time.unwrap_or(now),
            now,
        };
        let selection = EngineSelection {
            record,
            class: self.classes.settings(record.request.class),
            capabilities: &self.capabilities,
            topology: &self.topology,
            slow_start,
            now,
        };
        selection.select(&mut self.engines, &mut self.random)
    }

    fn start_attempt(&mut self, now: Timestamp, request: usize, engine: usize) -> RoutingDecision {
        let Some(record) = self.requests.get_mut(&request) else { return RoutingDecision::Wait };
        let Some(target) = self.engines.get_mut(&engine) else { return RoutingDecision::Wait };
        let class = record.request.class;
        let settings = self.classes.settings(class);
        let data_set = record.request.data_set;
        let number = record.attempts_made as u8;
        if record.attempts_made > 0 {
            self.retry_budget.record_retry(now);
        }
        if let Some(key) = record.request.key {
            self.key_order.on_attempt_started(key, request, number, engine);
        }
        target.outlier_detector.on_attempt_sent(now);
        target.limit.start_attempt(class, settings.threads);
        if self.slow_start.warm_up_factor(target.entry.start_time, now) < 1.0 {
            target.sent_in_slow_start.record(self.classes.work_estimate(class).mean_secs(), now);
        }
        let memory_estimate = record.request.memory_hint_mb.filter(|_| self.capabilities.sets_memory_grant);
        let memory_grant_mb =
            memory_estimate.map(|estimate| self.classes.memory_grant(class).grant_mb(estimate));
        record.in_flight.push(AttemptInFlight {
            number,
            engine,
            sent_time: now,
            heard_time: now,
            memory_grant_mb,
            waited_for_lock: settings.waits_for_data_lock && target.data_set_locks.is_held(data_set, now),
            ..AttemptInFlight::default()
        });
        record.attempts_made += 1;
        record.last_engine = Some(engine);
        target.cached_data_sets.record(data_set);
        if settings.locks_data_set {
            target.data_set_locks.acquire(data_set);
        }
        RoutingDecision::Send(AttemptParameters {
            engine,
            timeout: deadline::attempt_timeout(
                record.request.deadline,
                now,
                self.capabilities.clock_resolution,
            ),
            memory_grant_mb,
            priority: self.classes.wire_priority(class),
        })
    }

    fn review_attempts(&mut self, now: Timestamp, request: usize) -> RoutingDecision {
        let Some(record) = self.requests.get_mut(&request) else { return RoutingDecision::Wait };
        let class = record.request.class;
        let work = self.classes.work_estimate(class);
        let off_estimate_after = work.off_estimate_after(record.work, self.classes.threads(class));
        let settings = self.classes.settings(class);
        cancellation::cancel_one(record, settings, off_estimate_after, &self.capabilities, &self.engines, now)
            .map_or(RoutingDecision::Wait, RoutingDecision::CancelAttempt)
    }

    fn finish(&mut self, request: usize) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.finished = true;
        }
        self.remove_if_over(request);
    }

    /// A request leaves once it has finished and nothing of it is in flight, and its key with it.
    fn remove_if_over(&mut self, request: usize) {
        if !self.requests.get(&request).is_some_and(RequestRecord::is_over) {
            return;
        }
        let key = self.requests.remove(&request).and_then(|record| record.request.key);
        if let Some(key) = key {
            self.key_order.remove(key, request);
        }
    }
}
