//! [`Policy`]: the routing decisions of one gateway, from the admission of a request to its final answer.
//!
//! A request is sent to the ready engine with the most headroom for its class. Each engine has a limit of running
//! threads for each class. Every tick adjusts the limits by asymmetric AIMD on one congestion signal, and they bind
//! only while the engine's last tick found it congested. When no engine has headroom, the request is rejected at once.

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

/// Time between two routings of a request that waits for its ordering key. A request with an attempt in flight is
/// routed every [`TICK_INTERVAL`].
const KEY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum retries of one request, even where `Capabilities::max_attempts` allows more.
const MAX_RETRIES: usize = 2;

/// The routing policy of one gateway: its engines, the requests in flight and what has been learned from their
/// results.
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
    /// When the endpoint list first named an engine to this gateway.
    joined_time: Option<Timestamp>,
    traffic: TrafficFraction,
    mean_reported_load: MeanLoad,
    /// Running mean over answers of the slowdown: the thread time taken, divided by the work that the answer reports.
    mean_slowdown: MeanLoad,
    health_checks: HealthCheckBudget,
    failure_baseline: FailureBaseline,
    overloaded: bool,
    endpoint_list: EndpointListAge,
    events: Vec<PolicyEvent>,
    random: WyRand,
}

impl Policy {
    /// Creates a policy without engines. The seed determines how ties between engines are broken and which engines are
    /// health-checked.
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

    /// Records that discovery confirmed the endpoint list at `time`, either unchanged or after all its changes were
    /// applied.
    pub fn confirm_endpoint_list(&mut self, time: Timestamp) {
        self.endpoint_list.confirm(time);
    }

    /// Whether discovery confirmed the endpoint list recently enough. While it is not current, no attempt is sent,
    /// since the list may name engines that are draining or gone.
    pub fn is_endpoint_list_current(&self, now: Timestamp) -> bool {
        self.endpoint_list.is_current(self.capabilities.endpoint_list_lifetime, now)
    }

    /// Admits a request under an index that the caller assigns. The index must not belong to another request that is
    /// unfinished or has an attempt in flight.
    pub fn admit(&mut self, now: Timestamp, index: usize, mut request: Request) {
        self.health_checks.record_request();
        let class = request.class;
        self.classes.record_request(class, request.work_hint);
        request.key = request.key.filter(|_| self.classes.settings(class).in_order);
        if let Some(key) = request.key {
            self.key_order.admit(key, index);
        }
        let work_estimate = self.classes.work_estimate(class).estimate(request.work_hint);
        let traffic_fraction = self.traffic_fraction();
        let quota = request.tenant.and_then(|tenant| self.tenants.get_mut(tenant));
        let within_quota = quota.is_none_or(|quota| quota.try_acquire(traffic_fraction, now));
        let record = RequestRecord {
            request,
            admitted_time: now,
            work_estimate,
            within_quota,
            ..RequestRecord::default()
        };
        self.requests.insert(index, record);
    }

    /// Decides whether to send a request now, let it wait, cancel one of its attempts or end it.
    pub fn route(&mut self, now: Timestamp, request: usize) -> RoutingDecision {
        let Some(record) = self.requests.get(&request).filter(|record| !record.finished) else {
            return RoutingDecision::Wait;
        };
        if !record.in_flight.is_empty() {
            return self.cancel_or_wait(now, request);
        }
        // A request without enough time left for its estimated work is ended at once instead of at its deadline.
        let class = record.request.class;
        let shortest_duration =
            Duration::from_secs(record.work_estimate.unwrap_or(0.0) / self.classes.threads(class));
        if now + shortest_duration >= self.latest_answer_time(record) {
            return self.finish_unanswered(request);
        }
        if record.request.key.is_some_and(|key| !self.key_order.is_next(key, request, now)) {
            return RoutingDecision::Wait;
        }
        // Its turn has come, and those behind it must not wait until the client comes back.
        if record.has_client_left(now) || !self.is_attempt_allowed(now, request) {
            return self.finish_unanswered(request);
        }
        match self.select_engine(now, request) {
            Some(engine) => self.start_attempt(now, request, engine),
            None => self.finish_unanswered(request),
        }
    }

    /// Whether an attempt that was routed earlier may start now: the request has no final answer, its client has not left,
    /// the attempt is not cancelled, the endpoint list is current, and a repeat of an earlier attempt is still safe at this engine.
    pub fn may_start_attempt(&self, now: Timestamp, request: usize, attempt: u8) -> bool {
        let is_wanted = |record: &&RequestRecord| !record.finished && !record.has_client_left(now);
        let Some(record) = self.requests.get(&request).filter(is_wanted) else { return false };
        let is_active = |other: &&AttemptInFlight| other.number == attempt && !other.cancelled;
        let Some(attempt) = record.in_flight.iter().find(is_active) else { return false };
        let Some(engine) = self.engines.get(&attempt.engine) else { return false };
        let idempotency = self.classes.settings(record.request.class).idempotency;
        let clock_resolution = self.capabilities.clock_resolution;
        let first_possible_run = record.first_possible_run;
        self.is_endpoint_list_current(now)
            && idempotency::allows_attempt(
                idempotency,
                first_possible_run,
                &engine.entry,
                now,
                clock_resolution,
            )
    }

    /// Records a progress update on an attempt in flight. Updates on unknown requests and attempts are ignored.
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

    /// When to route a request again if none of its attempts ends before.
    pub fn next_route_time(&self, now: Timestamp, request: usize) -> Timestamp {
        match self.requests.get(&request) {
            Some(record) if record.in_flight.is_empty() => {
                (now + KEY_CHECK_INTERVAL).min(self.latest_answer_time(record))
            }
            Some(_) | None => now + TICK_INTERVAL,
        }
    }

    /// Records whether the client of a request has any connection open on which it sent the request or asked for its
    /// result. A client without one may come back; no attempt begins for it meanwhile.
    pub fn set_client_present(&mut self, now: Timestamp, request: usize, is_present: bool) {
        if let Some(record) = self.requests.get_mut(&request) {
            let absent_since = record.client_absent_since.unwrap_or(now);
            record.client_absent_since = (!is_present).then_some(absent_since);
        }
    }

    /// Finishes a request whose client disconnected, and returns the numbers of its attempts that the caller must
    /// cancel: none where attempts cannot be cancelled. The client may reconnect and send the request again at once.
    pub fn on_client_disconnected(&mut self, request: usize) -> Vec<u8> {
        let record = self.requests.get_mut(&request).filter(|_| self.capabilities.can_cancel);
        let cancelled = record.map(RequestRecord::cancel_attempts).unwrap_or_default();
        self.finish(request);
        cancelled
    }

    /// Finishes a request without a result, also while attempts are in flight. Returns a rejection where the client
    /// may safely send the request again, otherwise a failure.
    pub fn finish_unanswered(&mut self, request: usize) -> RoutingDecision {
        let Some(record) = self.requests.get(&request).filter(|record| !record.finished) else {
            return RoutingDecision::Wait;
        };
        let idempotency = self.classes.settings(record.request.class).idempotency;
        // A rejection tells the client that sending the request again cannot have its effect twice.
        let never_ran = record.first_possible_run.is_none() && record.in_flight.is_empty();
        let safe_to_repeat = never_ran
            || matches!(
                idempotency,
                Idempotency::Idempotent
                    | Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, .. }
            );
        self.finish(request);
        if safe_to_repeat {
            RoutingDecision::Reject(self.capabilities.max_retry_after)
        } else {
            RoutingDecision::Fail
        }
    }

    /// Limits the deadline of every request to `deadline`, when the gateway shuts down, so that each request has its
    /// final answer before.
    pub fn set_shutdown_deadline(&mut self, deadline: Timestamp) {
        for record in self.requests.values_mut() {
            record.request.deadline = record.request.deadline.min(deadline);
        }
    }

    /// Takes the events since the last call, oldest first, for the log.
    pub fn take_events(&mut self) -> Vec<PolicyEvent> {
        std::mem::take(&mut self.events)
    }

    /// Estimated fraction of all traffic that this gateway handles, in 0..=1.
    fn traffic_fraction(&self) -> f64 {
        self.traffic.value(self.topology.gateway_count)
    }

    fn latest_answer_time(&self, record: &RequestRecord) -> Timestamp {
        deadline::latest_answer_time(record.request.deadline, self.capabilities.clock_resolution)
    }

    /// Whether a request may have another attempt. The first attempt is always allowed.
    fn is_attempt_allowed(&mut self, now: Timestamp, request: usize) -> bool {
        let Some(record) = self.requests.get(&request) else { return false };
        if record.attempts_made == 0 {
            return true;
        }
        let max_attempts = self.capabilities.max_attempts.min(1 + MAX_RETRIES);
        let exhausted = record.has_unproven_end || record.attempts_made >= max_attempts;
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

    fn cancel_or_wait(&mut self, now: Timestamp, request: usize) -> RoutingDecision {
        let Some(record) = self.requests.get_mut(&request) else { return RoutingDecision::Wait };
        let class = record.request.class;
        let work = self.classes.work_estimate(class);
        let off_estimate_after = work.off_estimate_after(record.work_estimate, self.classes.threads(class));
        let settings = self.classes.settings(class);
        cancellation::cancel_one_attempt(
            record,
            settings,
            off_estimate_after,
            &self.capabilities,
            &self.engines,
            now,
        )
        .map_or(RoutingDecision::Wait, RoutingDecision::CancelAttempt)
    }

    fn finish(&mut self, request: usize) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.finished = true;
        }
        self.remove_if_complete(request);
    }

    /// Removes a request that has its final answer and no attempt in flight, also from the queue of its ordering key.
    fn remove_if_complete(&mut self, request: usize) {
        if !self.requests.get(&request).is_some_and(RequestRecord::is_complete) {
            return;
        }
        let key = self.requests.remove(&request).and_then(|record| record.request.key);
        if let Some(key) = key {
            self.key_order.remove_request(key, request);
        }
    }
}
