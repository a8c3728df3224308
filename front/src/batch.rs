//! A batch in hand: one coroutine each. It asks the facade where to go, has one dispatch after the other made,
//! and reports each outcome, until the batch is over.

use crate::dispatch::{self, Ended, Trip};
use crate::state::State;
use crate::state::peer::Peer;
use crate::wire::rpc;
use larchfall::interface::{Answer, Next, Outcome, Place};
use larchfall::time::{At, Span};
use slog::warn;
use std::sync::Arc;

/// What a batch needs to be sent.
pub struct Task {
    pub message: u32,
    pub id: String,
    pub group: usize,
    pub in_order: bool,
    /// When its client gives up.
    pub limit: At,
    pub reference: Option<String>,
    pub statement: Vec<u8>,
}

/// Answers and lets go of the batch whatever happens to its coroutine.
struct Holder<'a> {
    state: &'a State,
    peer: &'a Peer,
    task: &'a Task,
    b: usize,
}

impl Drop for Holder<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Guards against a batch without an answer, and a key that waits for good for an end nobody sees.
            answer(self.state, self.peer, self.task, &rpc::Answer::Errored("internal error"));
            self.state.facade.lost(self.b);
        }
        self.state.facade.release(self.b);
    }
}

/// Runs a batch to its end, from the first place that was picked for it.
pub fn run(state: &Arc<State>, peer: &Arc<Peer>, task: &Task, b: usize, first: Place) {
    let _holder = Holder { state, peer, task, b };
    let mut place = first;
    let mut number = 0;
    loop {
        match place {
            Place::Send(to) => {
                let trip = Trip::new(state, task, b, number, to);
                let Ended { outcome, rows, report, seen } =
                    trip.as_ref().map_or_else(|| dispatch::not_sent(Outcome::Moot), Trip::make);
                state.counters.outcome(task.group, outcome);
                let returned = outcome == Outcome::Returned;
                if returned {
                    answer(state, peer, task, &rpc::Answer::Returned(&rows));
                }
                let over = returned || state.facade.left(b).is_some();
                let took = trip.map_or(Span::ZERO, |trip| state.clock.now().since(trip.sent));
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
            Place::PushBack(wait) => return answer(state, peer, task, &rpc::Answer::PushedBack(wait)),
            Place::Error => return answer(state, peer, task, &rpc::Answer::Errored("given up")),
        }
        place = state.facade.pick(b);
    }
}

/// The one final answer, counted where somebody still waits for it.
pub fn answer(state: &State, peer: &Peer, task: &Task, answer: &rpc::Answer) {
    if peer.answer(task.message, answer) {
        let now = state.clock.now();
        if now > task.limit {
            warn!(state.log, "answered late"; "id" => &task.id, "late_ms" => now.since(task.limit).micros() / 1000,
                "group" => &state.names.groups[task.group], "with" => answer.word());
        }
        state.counters.group(task.group, |c| match answer {
            rpc::Answer::Returned(_) => c.returned += 1,
            rpc::Answer::PushedBack(_) => c.pushed_back += 1,
            _ => c.errored += 1,
        });
    }
}
