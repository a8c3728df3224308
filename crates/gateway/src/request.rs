//! A request in hand: one coroutine each. It asks the facade where to go, has one attempt after the other made,
//! and reports each outcome, until the request is over.

use crate::engines::attempt::{Attempt, not_sent};
use crate::state::State;
use crate::task::{Ended, Final, Task};
use larchfall_policy::interface::{AfterAttempt, AttemptResult, Outcome, RoutingDecision};
use larchfall_policy::time::Duration;
use slog::warn;
use std::sync::Arc;

/// Answers and lets go of the request whatever happens to its coroutine.
struct Holder<'a> {
    state: &'a State,
    task: &'a Task,
    b: usize,
}

impl Drop for Holder<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Guards against a request without an answer, and a key that waits for good for an end nobody sees.
            end(self.state, self.task, Final::Errored("internal error"));
            self.state.facade.lost(self.b);
        }
        self.state.facade.release(self.b);
    }
}

/// Runs a request to its end, from the first place that was picked for it.
pub fn run(state: &Arc<State>, task: &Task, b: usize, first: RoutingDecision) {
    let _holder = Holder { state, task, b };
    let mut place = first;
    let mut number = 0;
    loop {
        match place {
            RoutingDecision::Send(to) => {
                let attempt = Attempt::new(state, task, b, number, to);
                let Ended { outcome, report, mut seen, torn, unsettled } =
                    attempt.as_ref().map_or_else(|| not_sent(Outcome::Moot), Attempt::make);
                let took =
                    attempt.as_ref().map_or(Duration::ZERO, |attempt| state.clock.now().since(attempt.sent));
                if let Some(attempt) = attempt.as_ref().filter(|_| unsettled) {
                    // The answer is due, the end of what is out may come later.
                    answer(state, task, state.facade.give_up(b));
                    seen = attempt.settle();
                }
                state.counters.outcome(task.class, outcome);
                if let Some(attempt) = &attempt {
                    state.facade.saw(to.engine, attempt.home, outcome);
                }
                let returned = outcome == Outcome::Returned;
                if returned {
                    end(state, task, Final::Returned);
                } else if torn {
                    end(state, task, Final::Errored("the result broke off"));
                }
                let over = returned || torn || state.facade.left(b).is_some();
                let told = AttemptResult { outcome, took, over, seen, work: None, report };
                if state.facade.report(b, number, &told) == AfterAttempt::Finished {
                    return;
                }
                number += 1;
            }
            RoutingDecision::Wait | RoutingDecision::CancelAttempt(_) => {
                state.facade.rest(b);
                if state.facade.left(b).is_some() {
                    return;
                }
            }
            RoutingDecision::Reject(_) | RoutingDecision::Fail => return answer(state, task, place),
        }
        place = state.facade.pick(b);
    }
}

/// What the module gives up on is answered.
fn answer(state: &State, task: &Task, place: RoutingDecision) {
    match place {
        RoutingDecision::Reject(wait) => end(state, task, Final::PushedBack(wait)),
        RoutingDecision::Fail => end(state, task, Final::Errored("given up")),
        RoutingDecision::Send(_) | RoutingDecision::Wait | RoutingDecision::CancelAttempt(_) => {}
    }
}

/// The one final answer, counted where somebody still waits for it.
fn end(state: &State, task: &Task, end: Final) {
    if task.reader.end(end) {
        let now = state.clock.now();
        if now > task.limit {
            warn!(state.log, "answered late"; "id" => &task.id, "late_ms" => now.since(task.limit).micros() / 1000,
                "class" => &state.names.classes[task.class], "answer" => end.word());
        }
        state.counters.ended(task.class, end);
    }
}
