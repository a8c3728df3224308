//! The responses of one client connection. The connection's own coroutine is the only one that writes to its socket:
//! whoever has a response leaves it here and wakes that coroutine.

use super::lock;
use crate::codec::message_pack::{self, Response};
use larchfall_policy::time::Timestamp;
use may::io::WaitIoWaker;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Requests open on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// As much as the responses of all requests that may be open; a client with more of it unread is read no further.
const MAX_UNREAD_BYTES: usize = 2 << 20;

/// What is open on a connection and what is on its way out.
pub struct ResponseWriter {
    connection: Mutex<ConnectionState>,
    waker: WaitIoWaker,
    unread_by_all: Arc<UnreadBytes>,
}

/// Bytes of responses that no client has read yet, of all connections.
pub(super) struct UnreadBytes {
    bytes: AtomicUsize,
    max: usize,
}

impl UnreadBytes {
    pub(super) fn new(max: usize) -> UnreadBytes {
        UnreadBytes { bytes: AtomicUsize::new(0), max }
    }

    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    fn remove(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    fn is_exceeded(&self) -> bool {
        self.bytes.load(Ordering::Relaxed) > self.max
    }
}

#[derive(Default)]
struct ConnectionState {
    /// Requests by the message that asked for them.
    open_requests: BTreeMap<u32, usize>,
    last_message_id: u32,
    unread: Vec<u8>,
    last_activity: Timestamp,
    /// Since when a complete message is awaited: the first one, or one that has begun.
    awaiting_message_since: Option<Timestamp>,
    has_sent_message: bool,
    /// Its descriptor is needed for another connection.
    should_close: bool,
}

impl ConnectionState {
    fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.unread.is_empty()
    }
}

/// Whether a message's id may be used.
#[derive(Debug, PartialEq)]
pub enum MessageIdCheck {
    /// A request may be opened under it.
    Accepted,
    /// Too many requests are open on this connection.
    TooManyOpen,
    /// The id was used before: a response could not be told from the first one.
    Reused,
}

/// The order in which idle connections are closed when descriptors are needed: first those that never sent a complete
/// message, then those without activity for longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionOrder {
    has_sent_complete_messages: bool,
    last_activity: Timestamp,
}

impl ResponseWriter {
    pub(super) fn new(waker: WaitIoWaker, unread_by_all: Arc<UnreadBytes>, now: Timestamp) -> ResponseWriter {
        let connection = ConnectionState {
            last_activity: now,
            awaiting_message_since: Some(now),
            ..ConnectionState::default()
        };
        ResponseWriter { connection: Mutex::new(connection), waker, unread_by_all }
    }

    /// Records the id of a message that came.
    pub fn register_message_id(&self, id: u32) -> MessageIdCheck {
        let mut connection = lock(&self.connection);
        if id <= connection.last_message_id {
            return MessageIdCheck::Reused;
        }
        connection.last_message_id = id;
        connection.has_sent_message = true;
        if connection.open_requests.len() >= MAX_OPEN_REQUESTS {
            MessageIdCheck::TooManyOpen
        } else {
            MessageIdCheck::Accepted
        }
    }

    /// A message's request was admitted: a response is owed to it.
    pub fn open_request(&self, id: u32, request: usize) {
        lock(&self.connection).open_requests.insert(id, request);
    }

    /// The client no longer waits for this message's response; the request that it had asked for.
    pub fn cancel(&self, id: u32) -> Option<usize> {
        lock(&self.connection).open_requests.remove(&id)
    }

    /// The client no longer waits for any response; the requests that it had asked for.
    pub fn cancel_all(&self) -> Vec<usize> {
        std::mem::take(&mut lock(&self.connection).open_requests).into_values().collect()
    }

    /// Responds to an open request, once; false when nobody waits for it any more.
    pub fn respond(&self, id: u32, response: &Response) -> bool {
        if lock(&self.connection).open_requests.remove(&id).is_none() {
            return false;
        }
        self.send(id, response);
        true
    }

    /// Responds to a message that opened no request.
    pub fn send(&self, id: u32, response: &Response) {
        let mut connection = lock(&self.connection);
        let before = connection.unread.len();
        // A client that does not read must not fill the memory of all.
        let is_full = self.unread_by_all.is_exceeded();
        let response = if is_full { &Response::Errored("unread answers fill the memory") } else { response };
        message_pack::encode(&mut connection.unread, id, response);
        self.unread_by_all.add(connection.unread.len() - before);
        drop(connection);
        self.waker.wakeup();
    }

    /// Hands unread bytes to a function that writes them and returns how many it took.
    pub fn write<E>(&self, mut write: impl FnMut(&[u8]) -> Result<usize, E>) -> Result<usize, E> {
        let mut connection = lock(&self.connection);
        if connection.unread.is_empty() {
            return Ok(0);
        }
        let written = write(&connection.unread)?;
        connection.unread.drain(..written);
        if connection.unread.is_empty() {
            // Frees the buffer.
            connection.unread = Vec::new();
        }
        self.unread_by_all.remove(written);
        Ok(written)
    }

    /// Whether nothing is open and nothing is on its way out.
    pub fn is_idle(&self) -> bool {
        lock(&self.connection).is_idle()
    }

    /// Whether the connection's descriptor is needed and nobody is owed a response on it.
    pub fn should_close(&self) -> bool {
        let mut connection = lock(&self.connection);
        connection.should_close &= connection.is_idle();
        connection.should_close
    }

    /// Bytes were read: whether there was a complete message among them, and whether an incomplete one is left.
    pub fn record_read(&self, any_complete: bool, has_incomplete: bool, now: Timestamp) {
        let mut connection = lock(&self.connection);
        let since = connection.awaiting_message_since.filter(|_| !any_complete).unwrap_or(now);
        connection.awaiting_message_since = (has_incomplete || !any_complete).then_some(since);
    }

    /// Whether the client has sent any message.
    pub fn has_sent_message(&self) -> bool {
        lock(&self.connection).has_sent_message
    }

    /// Since when a complete message is awaited, where one is.
    pub fn awaiting_message_since(&self) -> Option<Timestamp> {
        lock(&self.connection).awaiting_message_since
    }

    /// Whether all requests have their response, and some of that is not yet read.
    pub fn has_only_unsent_responses(&self) -> bool {
        let connection = lock(&self.connection);
        connection.open_requests.is_empty() && !connection.unread.is_empty()
    }

    /// Whether so much is unread that the client is read no further.
    pub fn is_backlogged(&self) -> bool {
        lock(&self.connection).unread.len() > MAX_UNREAD_BYTES
    }

    /// Bytes were read or written.
    pub fn record_activity(&self, now: Timestamp) {
        lock(&self.connection).last_activity = now;
    }

    /// When bytes were last read or written.
    pub fn last_activity(&self) -> Timestamp {
        lock(&self.connection).last_activity
    }

    /// Wakes the connection's coroutine.
    pub fn wake(&self) {
        self.waker.wakeup();
    }

    /// Whether there was no activity after `inactive_since`, or a message is awaited since before `awaiting_since`.
    pub(super) fn is_overdue(&self, inactive_since: Timestamp, awaiting_since: Timestamp) -> bool {
        let connection = lock(&self.connection);
        connection.last_activity <= inactive_since
            || connection.awaiting_message_since.is_some_and(|since| since <= awaiting_since)
    }

    /// When this connection's turn is to be closed for its descriptor; `None` while a response is owed on it or there
    /// was activity since `recent`.
    pub(super) fn eviction_order(&self, recent: Timestamp) -> Option<EvictionOrder> {
        let connection = lock(&self.connection);
        let is_evictable = connection.is_idle() && connection.last_activity < recent;
        is_evictable.then_some(EvictionOrder {
            has_sent_complete_messages: connection.awaiting_message_since.is_none(),
            last_activity: connection.last_activity,
        })
    }

    /// Asks the connection's coroutine to close it, unless something comes before.
    pub(super) fn request_close(&self) {
        lock(&self.connection).should_close = true;
        self.wake();
    }
}

impl Drop for ResponseWriter {
    fn drop(&mut self) {
        self.unread_by_all.remove(lock(&self.connection).unread.len());
    }
}
