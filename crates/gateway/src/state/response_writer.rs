//! Buffer for the responses of one client connection. Only the connection's coroutine writes to the socket; request
//! coroutines add their responses to the buffer and wake the connection's coroutine.

use super::budgeted_buffer::BudgetedBuffer;
use super::lock;
use super::memory::{MemoryAccount, Purpose};
use crate::codec::message_pack::{self, Response};
use larchfall_policy::time::Timestamp;
use may::io::WaitIoWaker;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Maximum number of open requests on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Unsent response bytes of a connection above which the gateway stops reading from the connection. The value is the
/// size of the responses of `MAX_OPEN_REQUESTS` requests.
const MAX_UNSENT_BYTES: usize = 2 << 20;
/// Upper bound of what the encoding adds to the rows of a response.
const RESPONSE_OVERHEAD_BYTES: usize = 16;
/// Upper bound of an encoded response without rows.
const SHORT_RESPONSE_BYTES: usize = 128;

/// Response in place of one whose rows the memory budget does not admit.
const MEMORY_EXCEEDED: Response = Response::Errored("unread answers fill the memory");

/// The open requests and the unsent response bytes of a client connection.
pub struct ResponseWriter {
    connection: Mutex<ConnectionState>,
    waker: WaitIoWaker,
    account: Arc<MemoryAccount>,
}

struct ConnectionState {
    /// Indices of the open requests, by the id of the message that contained the request.
    open_requests: BTreeMap<u32, usize>,
    /// Highest message id received so far.
    last_message_id: u32,
    /// Encoded responses that are not yet written to the socket.
    unsent: BudgetedBuffer,
    /// Time of the last read or write on the socket.
    last_activity: Timestamp,
    /// Time since which the gateway awaits a complete message: either the first message, or the rest of a message of
    /// which a part has arrived.
    awaiting_message_since: Option<Timestamp>,
    /// Whether the client has sent a message with a valid id.
    has_sent_message: bool,
    /// Whether the connection should close to free its file descriptor for another connection.
    should_close: bool,
}

impl ConnectionState {
    fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.unsent.is_empty()
    }
}

/// Result of checking the id of a received message.
#[derive(Debug, PartialEq)]
pub enum MessageIdCheck {
    /// The id is valid, and a request may be opened under it.
    Accepted,
    /// `MAX_OPEN_REQUESTS` requests are open on this connection.
    TooManyOpen,
    /// The id is not greater than the previous id. Ids must ascend, because the client could not match a response to
    /// one of two messages with the same id.
    Reused,
}

/// Sort key by which idle connections are closed when file descriptors are needed: first connections that still await a
/// complete message, then the connections that were inactive longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionOrder {
    has_sent_complete_messages: bool,
    last_activity: Timestamp,
}

impl ResponseWriter {
    /// Creates the buffer of a new connection, whose results and responses are held by `account`.
    pub(super) fn new(waker: WaitIoWaker, account: Arc<MemoryAccount>, now: Timestamp) -> ResponseWriter {
        let connection = ConnectionState {
            open_requests: BTreeMap::new(),
            last_message_id: 0,
            unsent: BudgetedBuffer::new(account.empty_reservation(Purpose::Response)),
            last_activity: now,
            awaiting_message_since: Some(now),
            has_sent_message: false,
            should_close: false,
        };
        ResponseWriter { connection: Mutex::new(connection), waker, account }
    }

    /// Creates a buffer for the rows of a result that a later response will contain.
    pub fn row_buffer(&self) -> BudgetedBuffer {
        BudgetedBuffer::new(self.account.empty_reservation(Purpose::Rows))
    }

    /// Checks and records the id of a received message.
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

    /// Records that the request of message `id` was admitted under the index `request` and awaits a response.
    pub fn open_request(&self, id: u32, request: usize) {
        lock(&self.connection).open_requests.insert(id, request);
    }

    /// Closes the request of message `id`, whose response the client no longer awaits. Returns the index of the
    /// request; `None` if no request is open under `id`.
    pub fn cancel(&self, id: u32) -> Option<usize> {
        lock(&self.connection).open_requests.remove(&id)
    }

    /// Closes all open requests, because the client no longer awaits any response; returns their indices.
    pub fn cancel_all(&self) -> Vec<usize> {
        std::mem::take(&mut lock(&self.connection).open_requests).into_values().collect()
    }

    /// Responds to an open request and closes it. Returns false, without a response, if the request is no longer open.
    pub fn respond(&self, id: u32, response: &Response) -> bool {
        if lock(&self.connection).open_requests.remove(&id).is_none() {
            return false;
        }
        self.send(id, response);
        true
    }

    /// Sends a response to a message, whether or not the message opened a request.
    pub fn send(&self, id: u32, response: &Response) {
        let mut connection = lock(&self.connection);
        let unsent = &mut connection.unsent;
        // Clients that do not read their responses must not exhaust the gateway's memory. A short error replaces a
        // response whose rows the memory budget does not admit.
        let is_admitted = match response {
            Response::Returned(rows) => unsent.try_reserve(rows.len() + RESPONSE_OVERHEAD_BYTES).is_ok(),
            _ => false,
        };
        if is_admitted {
            unsent.append_with(|out| message_pack::encode(out, id, response));
        } else {
            let is_replaced = matches!(response, Response::Returned(_));
            let response = if is_replaced { &MEMORY_EXCEEDED } else { response };
            if unsent.try_reserve(SHORT_RESPONSE_BYTES).is_err() {
                unsent.reserve(SHORT_RESPONSE_BYTES);
            }
            unsent.append_with(|out| message_pack::encode(out, id, response));
        }
        drop(connection);
        self.waker.wakeup();
    }

    /// Passes the unsent bytes to `write`, which returns the number of bytes that it has written, and removes the
    /// written bytes from the buffer. Returns 0 without a call if there are no unsent bytes.
    pub fn write<E>(&self, mut write: impl FnMut(&[u8]) -> Result<usize, E>) -> Result<usize, E> {
        let mut connection = lock(&self.connection);
        if connection.unsent.is_empty() {
            return Ok(0);
        }
        let written = write(&connection.unsent)?;
        connection.unsent.remove_front(written);
        Ok(written)
    }

    /// Discards all unsent responses of a connection that has ended. Requests that are still in flight may keep this
    /// writer for some time.
    pub fn discard_unsent(&self) {
        lock(&self.connection).unsent.clear();
    }

    /// Returns whether the connection has neither open requests nor unsent bytes.
    pub fn is_idle(&self) -> bool {
        lock(&self.connection).is_idle()
    }

    /// Returns whether the connection was asked to close and has been idle since. A connection that is no longer idle
    /// withdraws the request to close.
    pub fn should_close(&self) -> bool {
        let mut connection = lock(&self.connection);
        connection.should_close &= connection.is_idle();
        connection.should_close
    }

    /// Records that bytes were read from the socket. `has_complete` tells whether they completed any message, and
    /// `has_incomplete` whether they ended with a part of a message.
    pub fn record_read(&self, has_complete: bool, has_incomplete: bool, now: Timestamp) {
        let mut connection = lock(&self.connection);
        let since = connection.awaiting_message_since.filter(|_| !has_complete).unwrap_or(now);
        connection.awaiting_message_since = (has_incomplete || !has_complete).then_some(since);
    }

    /// Returns whether the client has sent any message with a valid id.
    pub fn has_sent_message(&self) -> bool {
        lock(&self.connection).has_sent_message
    }

    /// Returns the time since which the gateway awaits a complete message; `None` if no message is awaited.
    pub fn awaiting_message_since(&self) -> Option<Timestamp> {
        lock(&self.connection).awaiting_message_since
    }

    /// Returns whether all requests have their response, and some response bytes are still unsent.
    pub fn has_only_unsent_responses(&self) -> bool {
        let connection = lock(&self.connection);
        connection.open_requests.is_empty() && !connection.unsent.is_empty()
    }

    /// Returns whether so many bytes are unsent that the gateway stops reading from the connection: more than a bound, or
    /// as many as the memory budget admits.
    pub fn is_backlogged(&self) -> bool {
        let unsent = &lock(&self.connection).unsent;
        unsent.len() > MAX_UNSENT_BYTES || !(unsent.is_empty() || unsent.admits(SHORT_RESPONSE_BYTES))
    }

    /// Records that bytes were read from or written to the socket.
    pub fn record_activity(&self, now: Timestamp) {
        lock(&self.connection).last_activity = now;
    }

    /// Returns the time of the last read or write on the socket.
    pub fn last_activity(&self) -> Timestamp {
        lock(&self.connection).last_activity
    }

    /// Wakes the connection's coroutine.
    pub fn wake(&self) {
        self.waker.wakeup();
    }

    /// Returns whether there was no read or write after `inactive_since`, or a complete message has been awaited since
    /// `awaiting_since` or earlier.
    pub(super) fn is_overdue(&self, inactive_since: Timestamp, awaiting_since: Timestamp) -> bool {
        let connection = lock(&self.connection);
        connection.last_activity <= inactive_since
            || connection.awaiting_message_since.is_some_and(|since| since <= awaiting_since)
    }

    /// Returns the sort key for closing this connection to free its descriptor; `None` if the connection is not idle,
    /// or was active at or after `active_since`.
    pub(super) fn eviction_order(&self, active_since: Timestamp) -> Option<EvictionOrder> {
        let connection = lock(&self.connection);
        let is_evictable = connection.is_idle() && connection.last_activity < active_since;
        is_evictable.then_some(EvictionOrder {
            has_sent_complete_messages: connection.awaiting_message_since.is_none(),
            last_activity: connection.last_activity,
        })
    }

    /// Asks the connection's coroutine to close the connection, unless a request arrives first.
    pub(super) fn request_close(&self) {
        lock(&self.connection).should_close = true;
        self.wake();
    }
}
