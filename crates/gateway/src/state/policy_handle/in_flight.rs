//! The table of requests in flight. The policy identifies each request by its index in this table.

use may::sync::Blocker;
use slab::Slab;
use std::collections::HashSet;
use std::sync::Arc;
use thiserror::Error;

/// Another request with the same id is in flight. Engines identify queries by this id alone, so that cancelling the
/// second request would cancel the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a request with this id is already in flight")]
pub struct DuplicateId;

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
    /// Id under which engines know the request's query.
    id: u64,
    /// How to proceed after the client has disconnected; `None` while the client is connected.
    pub(super) disconnect_action: Option<DisconnectAction>,
    /// Wakes the request's coroutine while the coroutine waits for a new routing decision.
    pub(super) waiter: Option<Arc<Blocker>>,
}

/// All requests in flight. Their number is bounded by the memory that each request reserves before it is admitted.
#[derive(Default)]
pub(super) struct InFlightRequests {
    requests: Slab<InFlightRequest>,
    ids: HashSet<u64>,
}

impl InFlightRequests {
    /// Adds a request and returns its index.
    pub(super) fn insert(&mut self, id: u64) -> Result<usize, DuplicateId> {
        if !self.ids.insert(id) {
            return Err(DuplicateId);
        }
        Ok(self.requests.insert(InFlightRequest { id, disconnect_action: None, waiter: None }))
    }

    /// Removes a finished request; its index can be reused.
    pub(super) fn remove(&mut self, request: usize) {
        if let Some(removed) = self.requests.try_remove(request) {
            self.ids.remove(&removed.id);
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
