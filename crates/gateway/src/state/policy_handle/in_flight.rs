//! The requests in flight: each has an index while it is, under which the policy knows it.

use may::sync::Blocker;
use slab::Slab;
use std::collections::HashSet;
use std::sync::Arc;
use thiserror::Error;

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// As many requests are in flight as there is memory for.
    #[error("too many requests in flight")]
    TooManyInFlight,
    /// Another request with the same id is in flight. Engines know queries by that id alone: to cancel the second
    /// would cancel the first.
    #[error("a request with this id is in flight")]
    DuplicateId,
}

/// What the coroutine of a request is to do after its client disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectAction {
    /// Cancel the attempts that are in flight.
    CancelAttempts,
    /// Let the attempts that are in flight run to their end.
    LetAttemptsFinish,
}

/// A request in flight.
pub(super) struct InFlightRequest {
    id: u64,
    /// Set once the client has disconnected.
    pub(super) disconnect_action: Option<DisconnectAction>,
    /// The request's coroutine while it waits for a change.
    pub(super) waiting: Option<Arc<Blocker>>,
}

/// All requests in flight, up to a bound.
pub(super) struct InFlightRequests {
    requests: Slab<InFlightRequest>,
    ids: HashSet<u64>,
    max: usize,
}

impl InFlightRequests {
    pub(super) fn new(max: usize) -> InFlightRequests {
        InFlightRequests { requests: Slab::new(), ids: HashSet::new(), max }
    }

    /// Gives a request an index.
    pub(super) fn insert(&mut self, id: u64) -> Result<usize, AdmissionError> {
        if self.requests.len() >= self.max {
            return Err(AdmissionError::TooManyInFlight);
        }
        if !self.ids.insert(id) {
            return Err(AdmissionError::DuplicateId);
        }
        Ok(self.requests.insert(InFlightRequest { id, disconnect_action: None, waiting: None }))
    }

    /// Frees the index of a request that is over.
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
