//! One simulated gateway: passes the simulator's events to the policy and the policy's decisions to the reply, and
//! translates request ids, engine addresses and timers between the two.

use crate::engines::EngineTable;
use crate::error::EventError;
use crate::requests::RequestTable;
use crate::wire::event::{EngineLoadReport, FinishedAttempt, ListedEngine, NewRequest, Progress};
use crate::wire::reply::Reply;
use larchfall_policy::policy::{Policy, TICK_INTERVAL};
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{
    AfterAttempt, AttemptEvidence, AttemptParameters, AttemptResult, Engine, EngineState, LastObservation,
    LoadReport, Outcome, RoutingDecision,
};

/// Tag of the timer that fires every [`TICK_INTERVAL`].
const TICK_TIMER_TAG: u64 = 0;
/// Tag of the timer that fires when requests are to be routed again.
const ROUTE_TIMER_TAG: u64 = 1;

pub(crate) struct Gateway {
    /// The number by which the simulator identifies this gateway.
    instance: u32,
    policy: Policy,
    /// The number of request classes in the settings.
    class_count: usize,
    /// The number of tenants in the settings.
    tenant_count: usize,
    /// Whether a returned attempt reports the work that the request needed.
    outcomes_report_work: bool,
    /// The names of the values in a load report, in wire order.
    load_report_fields: Vec<String>,
    requests: RequestTable,
    engines: EngineTable,
    /// When the earliest route timer fires; `None` when no route timer is set.
    route_timer_due: Option<Timestamp>,
}

impl Gateway {
    /// Reads the settings, sets the first tick timer, and subscribes to discovery if the settings ask for it.
    pub(crate) fn start(
        instance: u32,
        seed: u64,
        settings: &[u8],
        now: Timestamp,
        reply: &mut Reply,
    ) -> Result<Gateway, EventError> {
        let settings = larchfall_config::read(settings)?;
        if settings.must_subscribe {
            reply.subscribe_to_discovery(instance);
        }
        let gateway = Gateway {
            instance,
            class_count: settings.policy.classes.len(),
            tenant_count: settings.policy.tenants.len(),
            policy: Policy::new(seed, settings.policy),
            outcomes_report_work: settings.outcomes_report_work,
            load_report_fields: settings.load_report_fields,
            requests: RequestTable::default(),
            engines: EngineTable::default(),
            route_timer_due: None,
        };
        gateway.set_tick_timer(now, reply);
        Ok(gateway)
    }

    fn set_tick_timer(&self, now: Timestamp, reply: &mut Reply) {
        reply.set_timer(self.instance, (now + TICK_INTERVAL).micros(), TICK_TIMER_TAG);
    }

    /// Picks the values that the policy uses out of a load report. A value that the report lacks is `None`.
    fn load_report(&self, values: &[f64]) -> LoadReport {
        let value_of = |name| {
            let mut named_values = self.load_report_fields.iter().zip(values);
            named_values.find(|(field, _)| *field == name).map(|(_, value)| *value)
        };
        LoadReport { in_flight: value_of("concurrent"), busy_fraction: value_of("load_share") }
    }

    /// Adds or updates the listed engines and leaves all others as they are.
    pub(crate) fn update_engines(&mut self, now: Timestamp, listed_engines: &[ListedEngine]) {
        for engine in listed_engines {
            let index = self.engines.upsert(*engine);
            self.policy.update_engine(now, index, engine.engine);
        }
    }

    /// Replaces the endpoint list. Known engines that the new list lacks are reported to the policy as gone.
    pub(crate) fn replace_engines(&mut self, now: Timestamp, listed_engines: &[ListedEngine]) {
        let mut is_listed = vec![false; self.engines.len()];
        for engine in listed_engines {
            let index = self.engines.upsert(*engine);
            is_listed.resize(self.engines.len(), false);
            is_listed[index] = true;
            self.policy.update_engine(now, index, engine.engine);
        }
        for (index, known) in self.engines.iter().enumerate().filter(|(index, _)| !is_listed[*index]) {
            self.policy.update_engine(now, index, Engine { state: EngineState::Gone, ..known.engine });
        }
    }

    /// Admits a new request and routes it. A tenant that the settings lack is treated as no tenant.
    pub(crate) fn admit(
        &mut self,
        now: Timestamp,
        new_request: NewRequest,
        reply: &mut Reply,
    ) -> Result<(), EventError> {
        let NewRequest { id, mut request } = new_request;
        let instance = self.instance;
        if request.class >= self.class_count {
            return Err(EventError::UnknownClass { instance, id, class: request.class });
        }
        request.tenant = request.tenant.filter(|tenant| *tenant < self.tenant_count);
        let index = self.requests.insert(id).ok_or(EventError::DuplicateRequestId { instance, id })?;
        self.policy.admit(now, index, request);
        self.route(now, index, reply);
        Ok(())
    }

    /// Passes the result of an attempt to the policy and, when the policy asks for it, routes the request again. The
    /// result is ignored when the request is no longer known.
    pub(crate) fn on_attempt_finished(
        &mut self,
        now: Timestamp,
        finished: &FinishedAttempt,
        reply: &mut Reply,
    ) {
        let Some(index) = self.requests.index_of(finished.id) else { return };
        self.requests.count_attempt_finished(index);
        if finished.request_finished {
            self.requests.mark_finished(index);
        }
        let reports_work = self.outcomes_report_work && finished.outcome == Outcome::Returned;
        let result = AttemptResult {
            outcome: finished.outcome,
            duration: finished.duration,
            request_finished: finished.request_finished,
            // The simulator sends an outcome once the attempt no longer runs on the engine, except where the key
            // cooldown covers the time for which the attempt may still run.
            evidence: AttemptEvidence { last: LastObservation::Ended, same_process: true },
            reported_work: finished.reported_work.filter(|_| reports_work),
            load_report: self.load_report(&finished.load_values),
        };
        match self.policy.on_attempt_finished(now, index, finished.attempt, &result) {
            AfterAttempt::RouteAgain => self.route(now, index, reply),
            AfterAttempt::Finished => self.requests.release(index),
        }
    }

    /// Cancels the attempts of a request whose client has disconnected.
    pub(crate) fn on_client_disconnected(&mut self, id: u32, reply: &mut Reply) {
        let Some(index) = self.requests.index_of(id) else { return };
        if !self.requests.is_finished(index) {
            for attempt in self.policy.on_client_disconnected(index) {
                reply.cancel_attempt(self.instance, id, attempt);
            }
            self.requests.mark_finished(index);
        }
        self.requests.release(index);
    }

    pub(crate) fn on_progress(&mut self, now: Timestamp, progress: &Progress) {
        if let Some(index) = self.requests.index_of(progress.id) {
            self.policy.on_progress(now, index, progress.attempt, progress.update);
        }
    }

    pub(crate) fn on_load_report(&mut self, now: Timestamp, received: &EngineLoadReport) {
        let report = self.load_report(&received.load_values);
        if let Some(index) = self.engines.index_of(received.address) {
            self.policy.on_load_report(now, index, report);
        }
    }

    /// Runs the policy's tick, or routes the requests that are due.
    pub(crate) fn on_timer(&mut self, now: Timestamp, tag: u64, reply: &mut Reply) {
        if tag == TICK_TIMER_TAG {
            self.tick(now, reply);
            return;
        }
        if self.route_timer_due.is_some_and(|timer_due| timer_due <= now) {
            self.route_timer_due = None;
        }
        // Each request is routed only once here: a request that is due again at the same simulated time is routed when
        // the next timer fires.
        for index in self.requests.take_due(now) {
            self.route(now, index, reply);
        }
    }

    /// Advances the policy's periodic work, requests the health checks that are due, and sets the next tick timer.
    fn tick(&mut self, now: Timestamp, reply: &mut Reply) {
        self.policy.tick(now);
        for index in self.policy.draw_health_checks() {
            reply.check_health(self.instance, self.engines.address(index));
        }
        self.set_tick_timer(now, reply);
    }

    /// Carries out the policy's decisions on a request until the request is finished or has to wait, and schedules
    /// when it is routed again.
    fn route(&mut self, now: Timestamp, index: usize, reply: &mut Reply) {
        let instance = self.instance;
        let id = self.requests.id(index);
        loop {
            if self.requests.is_finished(index) {
                self.requests.release(index);
                return;
            }
            match self.policy.route(now, index) {
                RoutingDecision::Send(parameters) => self.start_attempt(index, &parameters, reply),
                RoutingDecision::Wait => break,
                RoutingDecision::Reject(retry_after) => {
                    let retry_after_micros = retry_after.unwrap_or(Duration::ZERO).micros();
                    reply.reject(instance, id, retry_after_micros.min(u64::from(u32::MAX)) as u32);
                    self.requests.mark_finished(index);
                }
                RoutingDecision::Fail => {
                    reply.fail(instance, id);
                    self.requests.mark_finished(index);
                }
                RoutingDecision::CancelAttempt(attempt) => reply.cancel_attempt(instance, id, attempt),
            }
        }
        self.requests.schedule_route(index, self.policy.next_route_time(now, index));
    }

    /// Sets the resources of the request's next attempt, and starts the attempt.
    fn start_attempt(&mut self, index: usize, parameters: &AttemptParameters, reply: &mut Reply) {
        let id = self.requests.id(index);
        self.requests.count_attempt_started(index);
        let memory_mb = parameters.memory_grant_mb.unwrap_or(0.0) as f32;
        reply.set_resources(self.instance, id, memory_mb, parameters.priority);
        // The simulator reads the timeout as a signed 32-bit number, and 0 as no timeout.
        let timeout_micros = parameters.timeout.micros().clamp(1, u64::from(i32::MAX as u32)) as u32;
        reply.start_attempt(self.instance, id, self.engines.address(parameters.engine), timeout_micros);
    }

    /// Ends a batch: sets a route timer if a request is due before the timer that is already set, and adds the
    /// policy's log events to the simulator's trace.
    pub(crate) fn end_batch(&mut self, reply: &mut Reply) {
        if let Some(due) = self.requests.earliest_route_time()
            && self.route_timer_due.is_none_or(|timer_due| due < timer_due)
        {
            reply.set_timer(self.instance, due.micros(), ROUTE_TIMER_TAG);
            self.route_timer_due = Some(due);
        }
        for event in self.policy.take_events() {
            reply.trace(self.instance, &event.to_string());
        }
    }
}
