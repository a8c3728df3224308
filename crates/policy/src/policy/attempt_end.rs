//! The end of an attempt: updates the request, the engine and the estimates of the request class by its result.

use super::Policy;
use crate::attempt_ledger::proves_end;
use crate::class_state::ClassTable;
use crate::engine_record::EngineRecord;
use crate::event::HealthEvidence;
use crate::load_report::MeanLoad;
use crate::request_record::{AttemptInFlight, RequestRecord};
use crate::time::{Duration, Timestamp};
use crate::types::{AfterAttempt, AttemptEvidence, AttemptResult, LastObservation, Outcome};
use crate::work_estimate::ObservedWork;

/// Bounds of the slowdown of one answer: its thread time divided by the work that it reports. The slowdown shows how
/// loaded the engine is.
const MIN_SLOWDOWN: f64 = 0.8;
const MAX_SLOWDOWN: f64 = 4.0;

impl Policy {
    /// Records the result of an attempt and tells what to do with its request. An unknown attempt changes nothing and
    /// counts as [`AfterAttempt::Finished`].
    pub fn on_attempt_finished(
        &mut self,
        now: Timestamp,
        request: usize,
        number: u8,
        result: &AttemptResult,
    ) -> AfterAttempt {
        let Some(record) = self.requests.get_mut(&request) else { return AfterAttempt::Finished };
        let Some(attempt) = record.remove_attempt(number) else { return AfterAttempt::Finished };
        if result.outcome == Outcome::Returned && !record.finished {
            self.retry_budget.record_returned(record.admitted_time, now);
        }
        record.finished |= result.request_finished;
        record.has_unproven_end |= self.capabilities.forbids_hedging && !proves_end(result.evidence);
        if let Some(key) = record.request.key {
            let uncertain = matches!(result.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
            self.key_order.on_attempt_finished(key, request, number, result.evidence, uncertain, now);
        }
        let Some(engine) = self.engines.get_mut(&attempt.engine) else { return AfterAttempt::Finished };
        if !result.never_ran() {
            record.record_possible_run(engine.entry, attempt.sent_time);
        }
        release_resources(engine, record, &self.classes, now);
        let failed = engine.classify_outcome(result.outcome, attempt.sent_time);
        record_result(engine, record, &attempt, result, &mut self.classes, &mut self.mean_slowdown, now);
        engine.record_contact(result.outcome, now);
        let finished = record.finished;
        if let Some(failed) = failed {
            self.record_engine_outcome(now, attempt.engine, failed, HealthEvidence::Outcomes);
        }
        self.on_load_report(now, attempt.engine, result.load_report);
        self.remove_if_complete(request);
        if finished { AfterAttempt::Finished } else { AfterAttempt::RouteAgain }
    }

    /// Finishes a request whose task ended unexpectedly, as in a panic. Its attempts in flight count as cancelled,
    /// with no proof that they ended.
    pub fn abandon(&mut self, now: Timestamp, request: usize) {
        self.finish(request);
        let evidence = AttemptEvidence { last: LastObservation::Lost, same_process: false };
        let lost = AttemptResult::from_outcome(Outcome::Cancelled, evidence);
        while let Some(number) = self.first_in_flight(request) {
            self.on_attempt_finished(now, request, number, &lost);
        }
    }

    fn first_in_flight(&self, request: usize) -> Option<u8> {
        let record = self.requests.get(&request)?;
        Some(record.in_flight.first()?.number)
    }
}

/// Releases the threads and the data lock that the attempt held at its engine.
fn release_resources(
    engine: &mut EngineRecord,
    record: &RequestRecord,
    classes: &ClassTable,
    now: Timestamp,
) {
    let class = record.request.class;
    engine.limit.finish_attempt(class, classes.threads(class));
    if classes.settings(class).locks_data_set {
        engine.data_set_locks.release(record.request.data_set);
    }
    engine.data_set_locks.remove_expired(now);
}

/// Updates the engine's congestion signal and the estimates of the request class by the result.
fn record_result(
    engine: &mut EngineRecord,
    record: &RequestRecord,
    attempt: &AttemptInFlight,
    result: &AttemptResult,
    classes: &mut ClassTable,
    mean_slowdown: &mut MeanLoad,
    now: Timestamp,
) {
    let class = record.request.class;
    let returned = result.outcome == Outcome::Returned;
    if attempt.memory_grant_mb.is_some() && (attempt.spilled || returned) {
        classes.memory_grant_mut(class).record(attempt.spilled);
    }
    match result.outcome {
        Outcome::Returned => {
            let work = result.reported_work.map(Duration::secs).or(record.work_estimate);
            let late = result.duration > classes.settings(class).latency_objective_for(work);
            let delayed_by_other_cause = attempt.waited_for_lock || attempt.connection_lost;
            engine.limit.signal.record_answer(late && !delayed_by_other_cause);
            let observed = ObservedWork {
                hint: record.request.work_hint,
                estimate: record.work_estimate,
                reported: result.reported_work,
                thread_seconds: result.duration.secs() * classes.threads(class),
            };
            record_slowdown(engine, attempt, result, &observed, mean_slowdown, now);
            classes.work_estimate_mut(class).record_answer(&observed);
        }
        Outcome::Rejected => engine.limit.signal.record_rejection(),
        Outcome::TimedOut if !attempt.waited_for_lock => engine.limit.signal.record_rejection(),
        Outcome::TimedOut
        | Outcome::Errored
        | Outcome::ConnectFailed
        | Outcome::Reset
        | Outcome::Cancelled
        | Outcome::NotSent => {}
    }
}

/// Records how much longer an answer took than its work. Engines whose cores are all busy report the same load, so
/// that only the slowdown shows which of them is more loaded. An engine that reports its attempts in flight needs no
/// slowdown.
fn record_slowdown(
    engine: &mut EngineRecord,
    attempt: &AttemptInFlight,
    result: &AttemptResult,
    observed: &ObservedWork,
    mean_slowdown: &mut MeanLoad,
    now: Timestamp,
) {
    let Some(work) = observed.reported else { return };
    if attempt.waited_for_lock || result.load_report.in_flight.is_some() {
        return;
    }
    let slowdown = observed.thread_seconds / work.secs().max(0.001);
    engine.relative_load.record(slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN), mean_slowdown, now);
}
