//! All open results, with limits on their number and on the memory they use together. Once the buffered rows of all
//! results reach the memory limit, each result may buffer only one page at a time. Every result thus makes progress,
//! however much the other results buffer.

use crate::cursor::{PageLookup, ResultCursor, ResultEnd, ResultOutcome, ResultWindow};
use larchfall_policy::time::Timestamp;
use slab::Slab;
use std::collections::{BTreeSet, VecDeque};
use std::fmt;

/// Limits of all results together, and of each result.
#[derive(Clone, Copy, Debug)]
pub struct ResultLimits {
    /// Maximum number of open results.
    pub max_results: usize,
    /// Maximum number of open results whose request is in flight. Each may occupy a connection to an engine until the
    /// client has read the result.
    pub max_in_flight: usize,
    /// Size of the buffered rows of all results, in bytes, from which each result may buffer only one page.
    pub max_bytes: usize,
    /// Limits of each result.
    pub window: ResultWindow,
}

/// Identifies a result. An index is reused for later results; the generation tells apart the results with the same
/// index. The addresses of a result's pages contain both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResultId {
    /// Slot of the result in the store.
    pub index: usize,
    /// Sequence number of the result since the gateway started, from 1.
    pub generation: u64,
}

/// The form used in page addresses and documents: `generation_index`.
impl fmt::Display for ResultId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}_{}", self.generation, self.index)
    }
}

#[derive(Debug)]
struct OpenResult<T> {
    generation: u64,
    cursor: ResultCursor<T>,
    expires_at: Timestamp,
    /// Index of the request that produces the result. `None` if not set yet, or if the request has ended.
    request: Option<usize>,
    in_flight: bool,
    /// Number of open connections on which the client posted the statement or asked for pages.
    connections: usize,
}

/// A result that the client cancelled, or that expired before the client had fetched the last page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonedResult {
    /// The abandoned result, which is no longer open.
    pub id: ResultId,
    /// Index of the request that produces the result, if that request is still in flight. The request can be cancelled.
    pub request: Option<usize>,
}

/// All open results.
#[derive(Debug)]
pub struct ResultStore<T> {
    limits: ResultLimits,
    open: Slab<OpenResult<T>>,
    /// Expiry time and index of each open result.
    expiries: BTreeSet<(Timestamp, usize)>,
    buffered_bytes: usize,
    in_flight: usize,
    /// Results whose last page was delivered, the oldest first. They are kept only for clients that repeat a call after
    /// a dropped connection, and are removed if a new result needs their place.
    delivered: VecDeque<ResultId>,
    last_generation: u64,
}

impl<T: Clone> ResultStore<T> {
    /// Makes a store without results.
    pub fn new(limits: ResultLimits) -> ResultStore<T> {
        ResultStore {
            limits,
            open: Slab::new(),
            expiries: BTreeSet::new(),
            buffered_bytes: 0,
            in_flight: 0,
            delivered: VecDeque::new(),
            last_generation: 0,
        }
    }

    /// Number of open results, including delivered results that are still kept.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no result is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Number of open results whose last page has not been delivered.
    pub fn undelivered_count(&self) -> usize {
        self.open.iter().filter(|(_, open)| open.cursor.outcome().is_none()).count()
    }

    /// Size of the buffered rows of all results, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Opens a result for the connection on which its statement was posted. If the store is full, removes the oldest results whose last page was delivered. Returns `None`
    /// if there is no such result, or if as many results are in flight as the limits allow.
    pub fn open(&mut self, now: Timestamp) -> Option<ResultId> {
        if self.in_flight >= self.limits.max_in_flight {
            return None;
        }
        while self.open.len() >= self.limits.max_results {
            let oldest = self.delivered.pop_front()?;
            if self.is_open(oldest) {
                self.remove(oldest.index);
            }
        }
        self.last_generation += 1;
        self.in_flight += 1;
        let generation = self.last_generation;
        let cursor = ResultCursor::new(self.limits.window, now);
        let expires_at = cursor.expires_at();
        let open =
            OpenResult { generation, cursor, expires_at, request: None, in_flight: true, connections: 1 };
        let index = self.open.insert(open);
        self.expiries.insert((expires_at, index));
        Some(ResultId { index, generation })
    }

    fn get_mut(&mut self, id: ResultId) -> Option<&mut OpenResult<T>> {
        self.open.get_mut(id.index).filter(|open| open.generation == id.generation)
    }

    /// Updates a result's cursor, and keeps the total size and the expiry order consistent with the cursor. Returns
    /// `None` if the result is not open.
    fn update<R>(&mut self, id: ResultId, update: impl FnOnce(&mut ResultCursor<T>) -> R) -> Option<R> {
        let open = self.get_mut(id)?;
        let bytes_before = open.cursor.buffered_bytes();
        let expiry_before = open.expires_at;
        let returned = update(&mut open.cursor);
        open.expires_at = open.cursor.expires_at();
        let bytes_after = open.cursor.buffered_bytes();
        let expiry_after = open.expires_at;
        self.buffered_bytes = self.buffered_bytes + bytes_after - bytes_before;
        if expiry_after != expiry_before {
            self.expiries.remove(&(expiry_before, id.index));
            self.expiries.insert((expiry_after, id.index));
        }
        Some(returned)
    }

    /// Sets the request that produces the result.
    pub fn set_request(&mut self, id: ResultId, request: usize) {
        if let Some(open) = self.get_mut(id) {
            open.request = Some(request);
        }
    }

    /// Counts a connection on which the client asks for pages of the result. Returns the request that produces the result,
    /// if it is in flight.
    pub fn attach_connection(&mut self, id: ResultId) -> Option<usize> {
        let open = self.get_mut(id)?;
        open.connections += 1;
        open.request
    }

    /// Records that the client has closed one of these connections. If it was the last one, returns the request that
    /// produces the result, if it is in flight.
    pub fn detach_connection(&mut self, id: ResultId) -> Option<usize> {
        let open = self.get_mut(id)?;
        open.connections = open.connections.saturating_sub(1);
        open.request.filter(|_| open.connections == 0)
    }

    /// Whether another page may be fetched for the result. `None` if the result is not open or has an outcome.
    pub fn has_capacity(&mut self, id: ResultId) -> Option<bool> {
        let within_limit = self.buffered_bytes < self.limits.max_bytes;
        let cursor = &self.get_mut(id)?.cursor;
        let has_reader = cursor.outcome().is_none();
        has_reader.then(|| cursor.has_capacity() && (within_limit || cursor.buffered_bytes() == 0))
    }

    /// Whether the result is open. A result with a delivered last page stays open for repeated calls until removed.
    pub fn is_open(&self, id: ResultId) -> bool {
        self.open.get(id.index).is_some_and(|open| open.generation == id.generation)
    }

    /// Adds a page; see [`ResultCursor::push`]. Returns false if the result is not open.
    pub fn push(&mut self, id: ResultId, content: T, size: usize, end: Option<ResultEnd>) -> bool {
        self.update(id, |cursor| cursor.push(content, size, end)).unwrap_or(false)
    }

    /// Prepares the result for another attempt; see [`ResultCursor::restart`]. Returns false if the result is not open.
    pub fn restart(&mut self, id: ResultId) -> bool {
        self.update(id, ResultCursor::restart).unwrap_or(false)
    }

    /// Returns the page for a token; see [`ResultCursor::get`]. Every token of a result that is not open is unknown.
    pub fn get(&mut self, id: ResultId, token: u64, now: Timestamp) -> PageLookup<T> {
        let lookup = self.update(id, |cursor| cursor.get(token, now)).unwrap_or(PageLookup::Unknown);
        if matches!(lookup, PageLookup::Found { outcome: Some(_), .. }) {
            self.delivered.push_back(id);
        }
        lookup
    }

    /// Adds a page without rows for a call that has waited long enough; see [`ResultCursor::push_empty_page`].
    pub fn push_empty_page(&mut self, id: ResultId, token: u64, empty: T) {
        self.update(id, |cursor| cursor.push_empty_page(token, empty));
    }

    /// Abandons and removes a result. Returns `None` if the result is not open or its last page was already delivered.
    pub fn abandon(&mut self, id: ResultId) -> Option<AbandonedResult> {
        let abandoned = self.update(id, ResultCursor::abandon)?;
        let request = self.get_mut(id).and_then(|open| open.request.take());
        self.remove(id.index);
        abandoned.then_some(AbandonedResult { id, request })
    }

    /// Records that the request of a result has ended, and no longer counts the result as in flight. The result stays
    /// open for its client. Further calls have no effect.
    pub fn request_ended(&mut self, id: ResultId) {
        if let Some(open) = self.get_mut(id) {
            open.request = None;
            let was_in_flight = std::mem::take(&mut open.in_flight);
            self.in_flight -= usize::from(was_in_flight);
        }
    }

    /// Removes the expired results, and returns those of them whose last page was not delivered.
    pub fn expire(&mut self, now: Timestamp) -> Vec<AbandonedResult> {
        let mut abandoned = Vec::new();
        while let Some((_, index)) = self.expiries.first().copied().filter(|(at, _)| *at <= now) {
            let Some(open) = self.open.get_mut(index) else { break };
            let id = ResultId { index, generation: open.generation };
            let request = open.request.take();
            if open.cursor.outcome().is_none() {
                abandoned.push(AbandonedResult { id, request });
            }
            self.remove(index);
        }
        abandoned
    }

    fn remove(&mut self, index: usize) {
        if let Some(open) = self.open.try_remove(index) {
            self.buffered_bytes -= open.cursor.buffered_bytes();
            self.in_flight -= usize::from(open.in_flight);
            self.expiries.remove(&(open.expires_at, index));
            // Removes closed results from the front of the queue, to bound its length.
            while self.delivered.front().is_some_and(|id| !self.is_open(*id)) {
                self.delivered.pop_front();
            }
        }
    }
}

impl AbandonedResult {
    /// Always [`ResultOutcome::Abandoned`].
    pub fn outcome(&self) -> ResultOutcome {
        ResultOutcome::Abandoned
    }
}
