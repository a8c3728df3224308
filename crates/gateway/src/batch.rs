//! A batch in hand: one coroutine each. It asks the facade where to go, has one dispatch after the other made,
//! and reports each outcome, until the batch is over.

use crate::engines::attempt::{Attempt, not_sent};
use crate::state::State;
use crate::task::{Ended, Final, Task};
use larchfall_policy::interface::{Answer, Next, Outcome, Place};
use larchfall_policy::time::Span;
use slog::warn;
use std::sync::Arc;

/// Answers and lets go of the batch whatever happens to its coroutine.
struct Holder<'a> {
    state: &'a State,
    task: &'a Task,
    b: usize,
}

impl Drop for Holder<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Guards against a batch without an answer, and a key that waits for good for an end nobody sees.
            end(self.state, self.task, Final::Errored("internal error"));
            self.state.facade.lost(self.b);
        }
        self.state.facade.release(self.b);
    }
}

/// Runs a batch to its end, from the first place that was picked for it.
pub fn run(state: &Arc<State>, task: &Task, b: usize, first: Place) {
    let _holder = Holder { state, task, b };
    let mut place = first;
    let mut number = 0;
    loop {
        match place {
            Place::Send(to) => {
                let attempt = Attempt::new(state, task, b, number, to);
                let Ended { outcome, report, mut seen, torn, unsettled } =
                    attempt.as_ref().map_or_else(|| not_sent(Outcome::Moot), Attempt::make);
                let took =
                    attempt.as_ref().map_or(Span::ZERO, |attempt| state.clock.now().since(attempt.sent));
                if let Some(attempt) = attempt.as_ref().filter(|_| unsettled) {
                    // The answer is due, the end of what is out may come later.
                    answer(state, task, state.facade.give_up(b));
                    seen = attempt.settle();
                }
                state.counters.outcome(task.group, outcome);
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
                let told = Answer { outcome, took, over, seen, work: None, report };
                if state.facade.report(b, number, &told) == Next::Over {
                    return;
                }
                number += 1;
            }
            Place::NotYet | Place::CallOff(_) => {
                state.facade.rest(b);
                if state.facade.left(b).is_some() {
                    return;
                }
            }
            Place::PushBack(_) | Place::Error => return answer(state, task, place),
        }
        place = state.facade.pick(b);
    }
}

/// What the module gives up on is answered.
fn answer(state: &State, task: &Task, place: Place) {
    match place {
        Place::PushBack(wait) => end(state, task, Final::PushedBack(wait)),
        Place::Error => end(state, task, Final::Errored("given up")),
        Place::Send(_) | Place::NotYet | Place::CallOff(_) => {}
    }
}

/// The one final answer, counted where somebody still waits for it.
fn end(state: &State, task: &Task, end: Final) {
    if task.reader.end(end) {
        let now = state.clock.now();
        if now > task.limit {
            warn!(state.log, "answered late"; "id" => &task.id, "late_ms" => now.since(task.limit).micros() / 1000,
                "group" => &state.names.groups[task.group], "with" => end.word());
        }
        state.counters.ended(task.group, end);
    }
}
