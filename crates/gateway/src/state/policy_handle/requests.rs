//! The policy calls that concern a single request: admission, routing, attempts, disconnection and release.

use super::in_flight::DisconnectAction;
use super::{PolicyHandle, PolicyState};
use crate::state::engine_table::EngineInstance;
use larchfall_policy::request_ids::{IdentityError, RequestIdentity};
use larchfall_policy::types::{AfterAttempt, AttemptResult, ProgressUpdate, Request, RoutingDecision};
use may::sync::Blocker;

impl PolicyHandle {
    /// Admits a request and returns its index. None of its identities may belong to another request that is in flight or
    /// may have had its effect. `has_effect` tells whether running the request a second time could repeat an effect.
    pub fn admit(
        &self,
        identities: Vec<RequestIdentity>,
        has_effect: bool,
        request: Request,
    ) -> Result<usize, IdentityError> {
        let mut state = self.lock();
        let now = self.clock.now();
        let index = state.in_flight.insert(now, identities, has_effect)?;
        state.arrivals.count(request.class, request.tenant);
        state.policy.admit(now, index, request);
        Ok(index)
    }

    /// Returns the policy's routing decision for a request: send it to an engine, wait, or end the request.
    pub fn route(&self, request: usize) -> RoutingDecision {
        self.lock().policy.route(self.clock.now(), request)
    }

    /// Returns the decision that ends a request whose deadline has passed. Attempts of the request may still be in
    /// flight; their outcomes are recorded later.
    pub fn finish_unanswered(&self, request: usize) -> RoutingDecision {
        self.lock().policy.finish_unanswered(request)
    }

    /// Blocks until the policy has to be asked again for a routing decision, or until the client disconnects. Returns
    /// at once if the client has already disconnected.
    pub fn wait_for_change(&self, request: usize) {
        let blocker = Blocker::current();
        let mut state = self.lock();
        let deadline = state.policy.next_route_time(self.clock.now(), request);
        let in_flight = state.in_flight.get_mut(request);
        let Some(in_flight) = in_flight.filter(|in_flight| in_flight.disconnect_action.is_none()) else {
            return;
        };
        in_flight.waiter = Some(blocker.clone());
        drop(state);
        self.timers.park_until(&blocker, deadline);
        if let Some(in_flight) = self.lock().in_flight.get_mut(request) {
            in_flight.waiter = None;
        }
    }

    /// Returns whether an attempt that was routed to this engine process may start there now. An engine that began to
    /// drain after the routing decision still accepts the attempt if `is_recently_routed` is true.
    pub fn may_start_attempt(
        &self,
        request: usize,
        attempt: u8,
        instance: EngineInstance,
        is_recently_routed: bool,
    ) -> bool {
        let state = self.lock();
        state.engines.accepts_attempt(instance, is_recently_routed)
            && state.policy.may_start_attempt(self.clock.now(), request, attempt)
    }

    /// Passes a progress update of an attempt to the policy.
    pub fn record_progress(&self, request: usize, attempt: u8, update: ProgressUpdate) {
        self.lock().policy.on_progress(self.clock.now(), request, attempt, update);
    }

    /// Records the outcome of an attempt; returns whether the request continues.
    pub fn record_outcome(&self, request: usize, attempt: u8, result: &AttemptResult) -> AfterAttempt {
        let mut state = self.lock();
        if !result.never_ran() {
            state.in_flight.record_possible_run(request);
        }
        state.policy.on_attempt_finished(self.clock.now(), request, attempt, result)
    }

    /// Records that the coroutine of a request ended without recording the outcome of its attempt.
    pub fn abandon(&self, request: usize) {
        let mut state = self.lock();
        state.in_flight.record_possible_run(request);
        state.policy.abandon(self.clock.now(), request);
    }

    /// Records that the client of a request has disconnected, so that no answer is due any more, and wakes the
    /// request's coroutine. Only the first call for a request has an effect.
    pub fn record_disconnection(&self, request: usize) {
        let mut guard = self.lock();
        let PolicyState { policy, in_flight, .. } = &mut *guard;
        let in_flight = in_flight.get_mut(request);
        let Some(in_flight) = in_flight.filter(|in_flight| in_flight.disconnect_action.is_none()) else {
            return;
        };
        let attempts_to_cancel = policy.on_client_disconnected(request);
        in_flight.disconnect_action = Some(if attempts_to_cancel.is_empty() {
            DisconnectAction::LetAttemptsFinish
        } else {
            DisconnectAction::CancelAttempts
        });
        if let Some(waiter) = in_flight.waiter.take() {
            waiter.unpark();
        }
    }

    /// Records whether the client of a request has a connection open, and may come back if not.
    pub fn set_client_present(&self, request: usize, is_present: bool) {
        self.lock().policy.set_client_present(self.clock.now(), request, is_present);
    }

    /// Returns how to proceed with a request whose client has disconnected; `None` while the client is connected.
    pub fn disconnect_action(&self, request: usize) -> Option<DisconnectAction> {
        self.lock().in_flight.get(request)?.disconnect_action
    }

    /// Removes a finished request. None of its attempts may be in flight, because its index can be reused.
    pub fn release(&self, request: usize) {
        self.lock().in_flight.remove(self.clock.now(), request);
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight.len()
    }
}
