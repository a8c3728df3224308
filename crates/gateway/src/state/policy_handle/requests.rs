//! One request's life: admitted, routed, waiting, attempted, over.

use super::in_flight::{AdmissionError, DisconnectAction};
use super::{Decisions, PolicyHandle};
use crate::state::engine_table::EngineInstance;
use larchfall_policy::types::{AfterAttempt, AttemptResult, ProgressUpdate, Request, RoutingDecision};
use may::sync::Blocker;

impl PolicyHandle {
    /// Admits a request under the id by which engines will know it; returns its index.
    pub fn admit(&self, id: u64, request: Request) -> Result<usize, AdmissionError> {
        let mut decisions = self.lock();
        let index = decisions.in_flight.insert(id)?;
        decisions.arrivals.count(request.class, request.tenant);
        decisions.policy.admit(self.clock.now(), index, request);
        Ok(index)
    }

    /// Where to send a request, or not yet, or never.
    pub fn route(&self, request: usize) -> RoutingDecision {
        self.lock().policy.route(self.clock.now(), request)
    }

    /// The final answer of a request whose time is up, while the end of its attempts is still waited for.
    pub fn finish_unanswered(&self, request: usize) -> RoutingDecision {
        self.lock().policy.finish_unanswered(request)
    }

    /// Blocks until it is time to route a request again, or something happened to it.
    pub fn wait_for_change(&self, request: usize) {
        let blocker = Blocker::current();
        let mut decisions = self.lock();
        let deadline = decisions.policy.next_route_time(self.clock.now(), request);
        let in_flight = decisions.in_flight.get_mut(request);
        let Some(in_flight) = in_flight.filter(|in_flight| in_flight.disconnect_action.is_none()) else {
            return;
        };
        in_flight.waiting = Some(blocker.clone());
        drop(decisions);
        self.timers.park_until(&blocker, deadline);
        if let Some(in_flight) = self.lock().in_flight.get_mut(request) {
            in_flight.waiting = None;
        }
    }

    /// Whether an attempt that was routed to this process may start there now. Where the request was routed recently, an
    /// engine that drains by now may still have it.
    pub fn may_start_attempt(
        &self,
        request: usize,
        number: u8,
        instance: EngineInstance,
        is_recently_routed: bool,
    ) -> bool {
        let decisions = self.lock();
        decisions.engines.accepts(instance, is_recently_routed)
            && decisions.policy.may_start_attempt(self.clock.now(), request, number)
    }

    /// An engine told how far an attempt has come.
    pub fn record_progress(&self, request: usize, number: u8, update: ProgressUpdate) {
        self.lock().policy.on_progress(self.clock.now(), request, number, update);
    }

    /// The outcome of an attempt; returns what to do after it.
    pub fn record_outcome(&self, request: usize, number: u8, result: &AttemptResult) -> AfterAttempt {
        self.lock().policy.on_attempt_finished(self.clock.now(), request, number, result)
    }

    /// The coroutine of a request ended without recording the outcome of its attempt.
    pub fn abandon(&self, request: usize) {
        self.lock().policy.abandon(self.clock.now(), request);
    }

    /// The client of a request disconnected: no answer is owed any more.
    pub fn record_disconnection(&self, request: usize) {
        let mut guard = self.lock();
        let Decisions { policy, in_flight, .. } = &mut *guard;
        let in_flight = in_flight.get_mut(request);
        let Some(in_flight) = in_flight.filter(|in_flight| in_flight.disconnect_action.is_none()) else {
            return;
        };
        let to_cancel = policy.on_client_disconnected(request);
        in_flight.disconnect_action = Some(if to_cancel.is_empty() {
            DisconnectAction::LetAttemptsFinish
        } else {
            DisconnectAction::CancelAttempts
        });
        if let Some(waiting) = in_flight.waiting.take() {
            waiting.unpark();
        }
    }

    /// What to do after the client of a request has disconnected; `None` while it has not.
    pub fn disconnect_action(&self, request: usize) -> Option<DisconnectAction> {
        self.lock().in_flight.get(request)?.disconnect_action
    }

    /// A request is over, with none of its attempts in flight: its index is free.
    pub fn release(&self, request: usize) {
        self.lock().in_flight.remove(request);
    }

    /// How many requests are in flight.
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight.len()
    }
}
