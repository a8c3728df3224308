//! Buffer for the responses of one client connection. Only the connection's coroutine writes to the socket; request
//! coroutines add their responses to the buffer and wake the connection's coroutine.

use super::budgeted_buffer::BudgetedBuffer;
use super::client_connections::ClientConnection;
use super::lock;
use super::memory::{MemoryAccount, Purpose};
use crate::codec::message_pack::{self, Response};
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
    responses: Mutex<Responses>,
    connection: Arc<ClientConnection>,
    account: Arc<MemoryAccount>,
}

struct Responses {
    /// Indices of the open requests, by the id of the message that contained the request.
    open_requests: BTreeMap<u32, usize>,
    /// Highest message id received so far.
    last_message_id: u32,
    /// Encoded responses that are not yet written to the socket.
    unsent: BudgetedBuffer,
    /// Whether the client has sent a message with a valid id.
    has_sent_message: bool,
}

impl Responses {
    fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.unsent.is_empty()
    }

    /// Adds a response to the unsent bytes. Clients that do not read their responses must not exhaust the gateway's
    /// memory: a short error replaces a response whose rows the memory budget does not admit.
    fn encode(&mut self, id: u32, response: &Response) {
        let unsent = &mut self.unsent;
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

impl ResponseWriter {
    /// Creates the buffer of a new connection, whose results and responses are held by `account`.
    pub fn new(connection: Arc<ClientConnection>, account: Arc<MemoryAccount>) -> ResponseWriter {
        let responses = Responses {
            open_requests: BTreeMap::new(),
            last_message_id: 0,
            unsent: BudgetedBuffer::new(account.empty_reservation(Purpose::Response)),
            has_sent_message: false,
        };
        ResponseWriter { responses: Mutex::new(responses), connection, account }
    }

    /// Changes the requests or responses, and records whether any are outstanding.
    fn update<R>(&self, update: impl FnOnce(&mut Responses) -> R) -> R {
        let mut responses = lock(&self.responses);
        let updated = update(&mut responses);
        let is_busy = !responses.is_idle();
        self.connection.update(|activity| activity.set_busy(is_busy));
        updated
    }

    /// Creates a buffer for the rows of a result that a later response will contain.
    pub fn row_buffer(&self) -> BudgetedBuffer {
        BudgetedBuffer::new(self.account.empty_reservation(Purpose::Rows))
    }

    /// Checks and records the id of a received message.
    pub fn register_message_id(&self, id: u32) -> MessageIdCheck {
        let mut responses = lock(&self.responses);
        if id <= responses.last_message_id {
            return MessageIdCheck::Reused;
        }
        responses.last_message_id = id;
        responses.has_sent_message = true;
        if responses.open_requests.len() >= MAX_OPEN_REQUESTS {
            MessageIdCheck::TooManyOpen
        } else {
            MessageIdCheck::Accepted
        }
    }

    /// Records that the request of message `id` was admitted under the index `request` and awaits a response.
    pub fn open_request(&self, id: u32, request: usize) {
        self.update(|responses| responses.open_requests.insert(id, request));
    }

    /// Closes the request of message `id`, whose response the client no longer awaits. Returns the index of the
    /// request; `None` if no request is open under `id`.
    pub fn cancel(&self, id: u32) -> Option<usize> {
        self.update(|responses| responses.open_requests.remove(&id))
    }

    /// Closes all open requests, because the client no longer awaits any response; returns their indices.
    pub fn cancel_all(&self) -> Vec<usize> {
        self.update(|responses| std::mem::take(&mut responses.open_requests)).into_values().collect()
    }

    /// Responds to an open request and closes it. Returns false, without a response, if the request is no longer open.
    pub fn respond(&self, id: u32, response: &Response) -> bool {
        let is_open = self.update(|responses| {
            let is_open = responses.open_requests.remove(&id).is_some();
            if is_open {
                responses.encode(id, response);
            }
            is_open
        });
        if is_open {
            self.connection.wake();
        }
        is_open
    }

    /// Sends a response to a message, whether or not the message opened a request.
    pub fn send(&self, id: u32, response: &Response) {
        self.update(|responses| responses.encode(id, response));
        self.connection.wake();
    }

    /// Passes the unsent bytes to `write`, which returns the number of bytes that it has written, and removes the
    /// written bytes from the buffer. Returns 0 without a call if there are no unsent bytes.
    pub fn write<E>(&self, write: impl FnOnce(&[u8]) -> Result<usize, E>) -> Result<usize, E> {
        self.update(|responses| {
            if responses.unsent.is_empty() {
                return Ok(0);
            }
            let written = write(&responses.unsent)?;
            responses.unsent.remove_front(written);
            Ok(written)
        })
    }

    /// Discards all unsent responses of a connection that has ended. Requests that are still in flight may keep this
    /// writer for some time.
    pub fn discard_unsent(&self) {
        self.update(|responses| responses.unsent.clear());
    }

    /// Returns whether the connection has neither open requests nor unsent bytes.
    pub fn is_idle(&self) -> bool {
        lock(&self.responses).is_idle()
    }

    /// Returns whether the client has sent any message with a valid id.
    pub fn has_sent_message(&self) -> bool {
        lock(&self.responses).has_sent_message
    }

    /// Returns whether all requests have their response, and some response bytes are still unsent.
    pub fn has_only_unsent_responses(&self) -> bool {
        let responses = lock(&self.responses);
        responses.open_requests.is_empty() && !responses.unsent.is_empty()
    }

    /// Returns whether so many bytes are unsent that the gateway stops reading from the connection: more than a bound, or
    /// as many as the memory budget admits.
    pub fn is_backlogged(&self) -> bool {
        let unsent = &lock(&self.responses).unsent;
        unsent.len() > MAX_UNSENT_BYTES || !(unsent.is_empty() || unsent.admits(SHORT_RESPONSE_BYTES))
    }
}
