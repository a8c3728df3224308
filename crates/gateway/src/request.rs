//! The life of a request in flight. The request's coroutine asks the policy for routing decisions, runs one attempt
//! after another and records their outcomes until the request is finished.

use crate::engine::attempt::{Attempt, AttemptEnd};
use crate::request_context::{FinalAnswer, RequestContext};
use crate::state::State;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{AfterAttempt, AttemptParameters, AttemptResult, Outcome, RoutingDecision};
use slog::warn;
use std::sync::Arc;

/// Releases a request when its coroutine ends. If the coroutine panics, the request is also answered with an error.
struct ReleaseOnDrop<'a> {
    state: &'a State,
    context: &'a RequestContext,
    request: usize,
}

impl Drop for ReleaseOnDrop<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Without this, the client would get no answer, and later requests with the same ordering key would wait
            // forever for the end of the attempt.
            answer(self.state, self.context, FinalAnswer::Errored("internal error"));
            self.state.policy.abandon(self.request);
        }
        self.state.policy.release(self.request);
    }
}

/// Runs a request until it is finished, starting with `first_decision`.
pub fn run(state: &Arc<State>, context: &RequestContext, request: usize, first_decision: RoutingDecision) {
    let _release = ReleaseOnDrop { state, context, request };
    let mut decision = first_decision;
    let mut attempt_number = 0;
    loop {
        match decision {
            RoutingDecision::Send(parameters) => {
                let next = run_attempt(state, context, request, attempt_number, parameters);
                if next == AfterAttempt::Finished {
                    return;
                }
                attempt_number += 1;
            }
            RoutingDecision::Wait | RoutingDecision::CancelAttempt(_) => {
                state.policy.wait_for_change(request);
                if state.policy.disconnect_action(request).is_some() {
                    return;
                }
            }
            RoutingDecision::Reject(_) | RoutingDecision::Fail => {
                return answer_decision(state, context, decision);
            }
        }
        decision = state.policy.route(request);
    }
}

/// Runs one attempt and records its outcome; returns whether the request continues.
fn run_attempt(
    state: &Arc<State>,
    context: &RequestContext,
    request: usize,
    attempt_number: u8,
    parameters: AttemptParameters,
) -> AfterAttempt {
    let attempt = Attempt::new(state, context, request, attempt_number, parameters);
    let mut end = attempt.as_ref().map_or_else(|| AttemptEnd::not_sent(Outcome::NotSent), Attempt::run);
    let duration =
        attempt.as_ref().map_or(Duration::ZERO, |attempt| state.clock.now().since(attempt.started));
    if let Some(attempt) = attempt.as_ref().filter(|_| end.is_cancel_pending) {
        // The request's deadline has passed, so the client is answered before the end of the attempt is known.
        answer_decision(state, context, state.policy.finish_unanswered(request));
        end.evidence = attempt.cancel_timed_out();
    }
    state.counters.record_outcome(context.class, end.outcome);
    if let Some(attempt) = &attempt {
        state.policy.record_observation(attempt.instance, end.outcome);
    }
    let is_returned = end.outcome == Outcome::Returned;
    if is_returned {
        answer(state, context, FinalAnswer::Returned);
    } else if end.is_truncated {
        answer(state, context, FinalAnswer::Errored("the result broke off"));
    }
    let is_finished = is_returned || end.is_truncated || state.policy.disconnect_action(request).is_some();
    let result = AttemptResult {
        outcome: end.outcome,
        duration,
        request_finished: is_finished,
        evidence: end.evidence,
        reported_work: None,
        load_report: end.load_report,
    };
    state.policy.record_outcome(request, attempt_number, &result)
}

/// Answers a request if the decision ends the request; does nothing for other decisions.
fn answer_decision(state: &State, context: &RequestContext, decision: RoutingDecision) {
    match decision {
        RoutingDecision::Reject(retry_after) => answer(state, context, FinalAnswer::Rejected(retry_after)),
        RoutingDecision::Fail => answer(state, context, FinalAnswer::Errored("given up")),
        RoutingDecision::Send(_) | RoutingDecision::Wait | RoutingDecision::CancelAttempt(_) => {}
    }
}

/// Delivers the final answer of a request. Answers that no client awaits any more are neither counted nor logged.
fn answer(state: &State, context: &RequestContext, final_answer: FinalAnswer) {
    if !context.reader.finish(final_answer) {
        return;
    }
    let now = state.clock.now();
    if now > context.deadline {
        let delay = now.since(context.deadline);
        warn!(state.log, "answered late"; "id" => &context.id, "late_ms" => delay.micros() / 1000,
            "class" => &state.settings.names.classes[context.class], "answer" => final_answer.label());
    }
    state.counters.record_answer(context.class, final_answer);
}
