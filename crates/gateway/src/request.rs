//! A request in flight. Its coroutine asks the policy where to go, makes one attempt after the other and records each
//! outcome, until the request is over.

use crate::engine::attempt::{Attempt, AttemptEnd};
use crate::request_context::{FinalAnswer, RequestContext};
use crate::state::State;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{AfterAttempt, AttemptParameters, AttemptResult, Outcome, RoutingDecision};
use slog::warn;
use std::sync::Arc;

/// Answers and releases a request however its coroutine ends.
struct ReleaseOnDrop<'a> {
    state: &'a State,
    context: &'a RequestContext,
    request: usize,
}

impl Drop for ReleaseOnDrop<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Else the request would have no answer, and its key would wait for good for an end that nobody sees.
            answer(self.state, self.context, FinalAnswer::Errored("internal error"));
            self.state.policy.abandon(self.request);
        }
        self.state.policy.release(self.request);
    }
}

/// Runs a request to its end, beginning with the first routing decision.
pub fn run(state: &Arc<State>, context: &RequestContext, request: usize, first_decision: RoutingDecision) {
    let _release = ReleaseOnDrop { state, context, request };
    let mut decision = first_decision;
    let mut number = 0;
    loop {
        match decision {
            RoutingDecision::Send(parameters) => {
                let next = run_attempt(state, context, request, number, parameters);
                if next == AfterAttempt::Finished {
                    return;
                }
                number += 1;
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

/// Makes one attempt and records its outcome; returns what the policy has next for the request.
fn run_attempt(
    state: &Arc<State>,
    context: &RequestContext,
    request: usize,
    number: u8,
    parameters: AttemptParameters,
) -> AfterAttempt {
    let attempt = Attempt::new(state, context, request, number, parameters);
    let mut end = attempt.as_ref().map_or_else(|| AttemptEnd::not_sent(Outcome::NotSent), Attempt::run);
    let took = attempt.as_ref().map_or(Duration::ZERO, |attempt| state.clock.now().since(attempt.started));
    if let Some(attempt) = attempt.as_ref().filter(|_| end.is_cancel_pending) {
        // The answer is due now; the end of what is in flight may come later.
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
    let is_over = is_returned || end.is_truncated || state.policy.disconnect_action(request).is_some();
    let result = AttemptResult {
        outcome: end.outcome,
        duration: took,
        request_finished: is_over,
        evidence: end.evidence,
        reported_work: None,
        load_report: end.load_report,
    };
    state.policy.record_outcome(request, number, &result)
}

/// Answers a request that the policy rejects or gives up on.
fn answer_decision(state: &State, context: &RequestContext, decision: RoutingDecision) {
    match decision {
        RoutingDecision::Reject(retry_after) => answer(state, context, FinalAnswer::Rejected(retry_after)),
        RoutingDecision::Fail => answer(state, context, FinalAnswer::Errored("given up")),
        RoutingDecision::Send(_) | RoutingDecision::Wait | RoutingDecision::CancelAttempt(_) => {}
    }
}

/// Gives the one final answer, and counts it where somebody still waits for it.
fn answer(state: &State, context: &RequestContext, final_answer: FinalAnswer) {
    if !context.reader.finish(final_answer) {
        return;
    }
    let now = state.clock.now();
    if now > context.deadline {
        let late = now.since(context.deadline);
        warn!(state.log, "answered late"; "id" => &context.id, "late_ms" => late.micros() / 1000,
            "class" => &state.settings.names.classes[context.class], "answer" => final_answer.label());
    }
    state.counters.record_answer(context.class, final_answer);
}
