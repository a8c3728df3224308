//! All open results, with limits over all of them: a result has its window while the sum allows, and one page at a time
//! beyond, so that none is held up by what others keep.

use crate::cursor::{PageLookup, ResultCursor, ResultEnd, ResultOutcome, ResultWindow};
use larchfall_policy::time::Timestamp;
use slab::Slab;
use std::collections::{BTreeSet, VecDeque};
use std::fmt;

/// Limits over all results, and of each.
#[derive(Clone, Copy, Debug)]
pub struct ResultLimits {
    /// Results open at a time.
    pub max_results: usize,
    /// Of them, those whose request is in flight: each may hold a connection to an engine for as long as it is read.
    pub max_in_flight: usize,
    /// Bytes that wait in all of them.
    pub max_bytes: usize,
    /// Limits of each.
    pub window: ResultWindow,
}

/// A result's index and its generation. An index is used again only under another generation, which is part of a
/// result's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResultId {
    /// Its place in memory.
    pub index: usize,
    /// Counts the results that were ever open.
    pub generation: u64,
}

/// The id as addresses and documents write it.
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
    /// The request that makes it, until that is over.
    request: Option<usize>,
    in_flight: bool,
}

/// A result that its client abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonedResult {
    /// Which one.
    pub id: ResultId,
    /// The request that makes it, if that is still in flight: nobody waits for it any more.
    pub request: Option<usize>,
}

/// All open results.
#[derive(Debug)]
pub struct ResultStore<T> {
    limits: ResultLimits,
    open: Slab<OpenResult<T>>,
    /// Time of expiry and index of each.
    expiries: BTreeSet<(Timestamp, usize)>,
    buffered_bytes: usize,
    in_flight: usize,
    /// Those whose last page was handed out, the oldest first: kept only for a connection that dropped.
    delivered: VecDeque<ResultId>,
    generations: u64,
}

impl<T: Clone> ResultStore<T> {
    /// A store without any result.
    pub fn new(limits: ResultLimits) -> ResultStore<T> {
        ResultStore {
            limits,
            open: Slab::new(),
            expiries: BTreeSet::new(),
            buffered_bytes: 0,
            in_flight: 0,
            delivered: VecDeque::new(),
            generations: 0,
        }
    }

    /// How many results are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no result is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// How many results have a client that has not had its final answer.
    pub fn undelivered_count(&self) -> usize {
        self.open.iter().filter(|(_, open)| open.cursor.outcome().is_none()).count()
    }

    /// Bytes that wait for clients.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Opens a result; `None` where as many are open as may be. One that was delivered to its end makes room.
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
        self.generations += 1;
        self.in_flight += 1;
        let generation = self.generations;
        let cursor = ResultCursor::new(self.limits.window, now);
        let expires_at = cursor.expires_at();
        let open = OpenResult { generation, cursor, expires_at, request: None, in_flight: true };
        let index = self.open.insert(open);
        self.expiries.insert((expires_at, index));
        Some(ResultId { index, generation })
    }

    fn get_mut(&mut self, id: ResultId) -> Option<&mut OpenResult<T>> {
        self.open.get_mut(id.index).filter(|open| open.generation == id.generation)
    }

    /// Changes one result, and keeps the sums over all.
    fn change<R>(&mut self, id: ResultId, change: impl FnOnce(&mut ResultCursor<T>) -> R) -> Option<R> {
        let open = self.get_mut(id)?;
        let bytes_before = open.cursor.buffered_bytes();
        let expiry_before = open.expires_at;
        let result = change(&mut open.cursor);
        open.expires_at = open.cursor.expires_at();
        let bytes_after = open.cursor.buffered_bytes();
        let expiry_after = open.expires_at;
        self.buffered_bytes = self.buffered_bytes + bytes_after - bytes_before;
        if expiry_after != expiry_before {
            self.expiries.remove(&(expiry_before, id.index));
            self.expiries.insert((expiry_after, id.index));
        }
        Some(result)
    }

    /// Notes which request makes this result.
    pub fn set_request(&mut self, id: ResultId, request: usize) {
        if let Some(open) = self.get_mut(id) {
            open.request = Some(request);
        }
    }

    /// Whether another page may be fetched for it; `None` when nobody reads it any more.
    pub fn has_capacity(&mut self, id: ResultId) -> Option<bool> {
        let within_limit = self.buffered_bytes < self.limits.max_bytes;
        let cursor = &self.get_mut(id)?.cursor;
        let is_read = cursor.outcome().is_none();
        is_read.then(|| cursor.has_capacity() && (within_limit || cursor.buffered_bytes() == 0))
    }

    /// Whether it is still open, be it only for its last page again.
    pub fn is_open(&self, id: ResultId) -> bool {
        self.open.get(id.index).is_some_and(|open| open.generation == id.generation)
    }

    /// Adds a page, see [`ResultCursor::push`].
    pub fn push(&mut self, id: ResultId, content: T, size: usize, end: Option<ResultEnd>) -> bool {
        self.change(id, |cursor| cursor.push(content, size, end)).unwrap_or(false)
    }

    /// Whether it may start again, see [`ResultCursor::restart`].
    pub fn restart(&mut self, id: ResultId) -> bool {
        self.change(id, ResultCursor::restart).unwrap_or(false)
    }

    /// A client asks for a token. Of a result that is not open every page is unknown.
    pub fn get(&mut self, id: ResultId, token: u64, now: Timestamp) -> PageLookup<T> {
        let lookup = self.change(id, |cursor| cursor.get(token, now)).unwrap_or(PageLookup::Unknown);
        if matches!(lookup, PageLookup::Found { outcome: Some(_), .. }) {
            self.delivered.push_back(id);
        }
        lookup
    }

    /// A call for a token has waited long enough, see [`ResultCursor::push_empty_page`].
    pub fn push_empty_page(&mut self, id: ResultId, token: u64, empty: T) {
        self.change(id, |cursor| cursor.push_empty_page(token, empty));
    }

    /// The client cancels it. `None` where it had its final answer before.
    pub fn abandon(&mut self, id: ResultId) -> Option<AbandonedResult> {
        let abandoned = self.change(id, ResultCursor::abandon)?;
        let request = self.get_mut(id).and_then(|open| open.request.take());
        self.remove(id.index);
        abandoned.then_some(AbandonedResult { id, request })
    }

    /// Its request is over: nothing is to be cancelled for it any more.
    pub fn request_ended(&mut self, id: ResultId) {
        if let Some(open) = self.get_mut(id) {
            open.request = None;
            let was_in_flight = std::mem::take(&mut open.in_flight);
            self.in_flight -= usize::from(was_in_flight);
        }
    }

    /// Ends the results that nobody asked for in time, and drops those whose last page was delivered that long ago.
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
            // What is no longer open leaves this queue as well.
            while self.delivered.front().is_some_and(|id| !self.is_open(*id)) {
                self.delivered.pop_front();
            }
        }
    }
}

impl AbandonedResult {
    /// Its final answer.
    pub fn outcome(&self) -> ResultOutcome {
        ResultOutcome::Abandoned
    }
}
