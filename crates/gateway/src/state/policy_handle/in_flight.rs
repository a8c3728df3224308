//! The table of requests in flight. The policy identifies each request by its index in this table.

use larchfall_policy::request_ids::{
    HeldIdentities, IdentityError, IdentityLimits, RequestIdentity, RequestIds,
};
use larchfall_policy::time::Timestamp;
use may::sync::Blocker;
use slab::Slab;
use std::sync::Arc;

/// How the coroutine of a request proceeds after the request's client has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectAction {
    /// Cancel the attempts in flight.
    CancelAttempts,
    /// Let the attempts in flight finish.
    LetAttemptsFinish,
}

/// State of a request in flight that the policy does not hold.
pub(super) struct InFlightRequest {
    identities: HeldIdentities,
    /// Whether an engine may have run an attempt of the request.
    may_have_run: bool,
    /// How to proceed after the client has disconnected; `None` while the client is connected.
    pub(super) disconnect_action: Option<DisconnectAction>,
    /// Wakes the request's coroutine while the coroutine waits for a new routing decision.
    pub(super) waiter: Option<Arc<Blocker>>,
}

/// All requests in flight. Their number is bounded by the memory that each request reserves before it is admitted.
pub(super) struct InFlightRequests {
    requests: Slab<InFlightRequest>,
    ids: RequestIds,
}

impl InFlightRequests {
    pub(super) fn new(limits: IdentityLimits) -> InFlightRequests {
        InFlightRequests { requests: Slab::new(), ids: RequestIds::new(limits) }
    }

    /// Adds a request and returns its index. Engines identify queries by their id alone, so that cancelling a second
    /// request with the same id would cancel the first.
    pub(super) fn insert(
        &mut self,
        now: Timestamp,
        identities: Vec<RequestIdentity>,
        has_effect: bool,
    ) -> Result<usize, IdentityError> {
        let identities = self.ids.begin(now, identities, has_effect)?;
        Ok(self.requests.insert(InFlightRequest {
            identities,
            may_have_run: false,
            disconnect_action: None,
            waiter: None,
        }))
    }

    /// Removes a finished request; its index can be reused.
    pub(super) fn remove(&mut self, now: Timestamp, request: usize) {
        if let Some(removed) = self.requests.try_remove(request) {
            self.ids.end(now, removed.identities, removed.may_have_run);
        }
    }

    /// Records that an engine may have run an attempt of the request.
    pub(super) fn record_possible_run(&mut self, request: usize) {
        if let Some(in_flight) = self.requests.get_mut(request) {
            in_flight.may_have_run = true;
        }
    }

    pub(super) fn get(&self, request: usize) -> Option<&InFlightRequest> {
        self.requests.get(request)
    }

    pub(super) fn get_mut(&mut self, request: usize) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(request)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}
