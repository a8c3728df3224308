//! One gateway of the simulated fleet: its decisions, and what the simulator's ids and timers are to them.

use crate::engines::EngineTable;
use crate::error::EventError;
use crate::requests::RequestTable;
use crate::wire::event::{EngineLoad, FinishedAttempt, ListedEngine, NewRequest, Progress};
use crate::wire::reply::Reply;
use larchfall_policy::policy::{Policy, TICK_INTERVAL};
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{
    AfterAttempt, AttemptEvidence, AttemptParameters, AttemptResult, Engine, EngineState, LastObservation,
    LoadReport, Outcome, RoutingDecision,
};

/// Tags of the two timers.
const TICK_TAG: u64 = 0;
const CHECK_TAG: u64 = 1;

pub(crate) struct Gateway {
    instance: u32,
    policy: Policy,
    classes: usize,
    tenants: usize,
    outcomes_report_work: bool,
    /// Names of the values in a load report.
    load_fields: Vec<String>,
    requests: RequestTable,
    engines: EngineTable,
    /// When the timer for the next check fires, if one is set.
    check_timer: Option<Timestamp>,
}

impl Gateway {
    pub(crate) fn start(
        instance: u32,
        seed: u64,
        settings: &[u8],
        now: Timestamp,
        reply: &mut Reply,
    ) -> Result<Gateway, EventError> {
        let settings = larchfall_config::read(settings)?;
        if settings.must_subscribe {
            reply.watch(instance);
        }
        let gateway = Gateway {
            instance,
            classes: settings.policy.classes.len(),
            tenants: settings.policy.tenants.len(),
            policy: Policy::new(seed, settings.policy),
            outcomes_report_work: settings.outcomes_report_work,
            load_fields: settings.load_report_fields,
            requests: RequestTable::default(),
            engines: EngineTable::default(),
            check_timer: None,
        };
        gateway.set_tick_timer(now, reply);
        Ok(gateway)
    }

    fn set_tick_timer(&self, now: Timestamp, reply: &mut Reply) {
        reply.set_timer(self.instance, (now + TICK_INTERVAL).micros(), TICK_TAG);
    }

    fn load_report(&self, values: &[f64]) -> LoadReport {
        let value = |name| {
            let mut named = self.load_fields.iter().zip(values);
            named.find(|(field, _)| *field == name).map(|(_, value)| *value)
        };
        LoadReport { in_flight: value("concurrent"), busy_fraction: value("load_share") }
    }

    /// Entries of the endpoint list have changed.
    pub(crate) fn update_engines(&mut self, now: Timestamp, listed: &[ListedEngine]) {
        for engine in listed {
            let index = self.engines.update(*engine);
            self.policy.update_engine(now, index, engine.engine);
        }
    }

    /// The endpoint list is this, and engines that it does not name are gone.
    pub(crate) fn replace_engines(&mut self, now: Timestamp, listed: &[ListedEngine]) {
        let mut is_listed = vec![false; self.engines.len()];
        for engine in listed {
            let index = self.engines.update(*engine);
            is_listed.resize(self.engines.len(), false);
            is_listed[index] = true;
            self.policy.update_engine(now, index, engine.engine);
        }
        for (index, known) in self.engines.iter().enumerate().filter(|(index, _)| !is_listed[*index]) {
            self.policy.update_engine(now, index, Engine { state: EngineState::Gone, ..known.engine });
        }
    }

    pub(crate) fn admit(
        &mut self,
        now: Timestamp,
        new: NewRequest,
        reply: &mut Reply,
    ) -> Result<(), EventError> {
        let NewRequest { id, mut request } = new;
        let instance = self.instance;
        if request.class >= self.classes {
            return Err(EventError::UnknownClass { instance, id, class: request.class });
        }
        request.tenant = request.tenant.filter(|tenant| *tenant < self.tenants);
        let index = self.requests.insert(id).ok_or(EventError::DuplicateId { instance, id })?;
        self.policy.admit(now, index, request);
        self.route(now, index, reply);
        Ok(())
    }

    pub(crate) fn attempt_finished(&mut self, now: Timestamp, finished: &FinishedAttempt, reply: &mut Reply) {
        let Some(index) = self.requests.index_of(finished.id) else { return };
        self.requests.attempt_finished(index);
        if finished.request_finished {
            self.requests.finish(index);
        }
        let reports_work = self.outcomes_report_work && finished.outcome == Outcome::Returned;
        let result = AttemptResult {
            outcome: finished.outcome,
            duration: finished.took,
            request_finished: finished.request_finished,
            // The simulator sends an outcome once nothing runs on, except where the key cooldown covers it.
            evidence: AttemptEvidence { last: LastObservation::Ended, same_process: true },
            reported_work: finished.work.filter(|_| reports_work),
            load_report: self.load_report(&finished.load),
        };
        match self.policy.on_attempt_finished(now, index, finished.attempt, &result) {
            AfterAttempt::RouteAgain => self.route(now, index, reply),
            AfterAttempt::Finished => self.requests.release(index),
        }
    }

    pub(crate) fn client_disconnected(&mut self, id: u32, reply: &mut Reply) {
        let Some(index) = self.requests.index_of(id) else { return };
        if !self.requests.is_finished(index) {
            for attempt in self.policy.on_client_disconnected(index) {
                reply.cancel_attempt(self.instance, id, attempt);
            }
            self.requests.finish(index);
        }
        self.requests.release(index);
    }

    pub(crate) fn progress(&mut self, now: Timestamp, progress: &Progress) {
        if let Some(index) = self.requests.index_of(progress.id) {
            self.policy.on_progress(now, index, progress.attempt, progress.update);
        }
    }

    pub(crate) fn engine_load(&mut self, now: Timestamp, load: &EngineLoad) {
        let report = self.load_report(&load.load);
        if let Some(index) = self.engines.index_of(load.address) {
            self.policy.on_load_report(now, index, report);
        }
    }

    pub(crate) fn timer_fired(&mut self, now: Timestamp, tag: u64, reply: &mut Reply) {
        if tag == TICK_TAG {
            self.tick(now, reply);
            return;
        }
        if self.check_timer.is_some_and(|at| at <= now) {
            self.check_timer = None;
        }
        // Each is routed once: one whose next check is due at this time of the clock again waits for the next timer.
        for index in self.requests.take_due(now) {
            self.route(now, index, reply);
        }
    }

    fn tick(&mut self, now: Timestamp, reply: &mut Reply) {
        self.policy.tick(now);
        for index in self.policy.draw_health_checks() {
            reply.check_health(self.instance, self.engines.address(index));
        }
        self.set_tick_timer(now, reply);
    }

    /// Carries decisions out until there is nothing more to do for a request now, and sets its next check.
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
                    let retry_after = retry_after.unwrap_or(Duration::ZERO).micros();
                    reply.reject(instance, id, retry_after.min(u64::from(u32::MAX)) as u32);
                    self.requests.finish(index);
                }
                RoutingDecision::Fail => {
                    reply.fail(instance, id);
                    self.requests.finish(index);
                }
                RoutingDecision::CancelAttempt(attempt) => reply.cancel_attempt(instance, id, attempt),
            }
        }
        self.requests.set_check(index, self.policy.next_route_time(now, index));
    }

    fn start_attempt(&mut self, index: usize, parameters: &AttemptParameters, reply: &mut Reply) {
        let id = self.requests.id(index);
        self.requests.attempt_started(index);
        let memory_mb = parameters.memory_grant_mb.unwrap_or(0.0) as f32;
        reply.set_resources(self.instance, id, memory_mb, parameters.priority);
        // The wire's time-out is signed, and none at all where it is zero.
        let timeout = parameters.timeout.micros().clamp(1, u64::from(i32::MAX as u32)) as u32;
        reply.start_attempt(self.instance, id, self.engines.address(parameters.engine), timeout);
    }

    /// Ends a batch: sets the timer for the next check, and writes what the policy has to log.
    pub(crate) fn end_batch(&mut self, reply: &mut Reply) {
        if let Some(next) = self.requests.first_check()
            && self.check_timer.is_none_or(|set| next < set)
        {
            reply.set_timer(self.instance, next.micros(), CHECK_TAG);
            self.check_timer = Some(next);
        }
        for event in self.policy.take_events() {
            reply.trace(self.instance, &event.to_string());
        }
    }
}
