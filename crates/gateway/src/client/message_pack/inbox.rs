//! Input buffer of a connection: bytes that were read and not yet handled. A request that the memory budget does not
//! admit is discarded as it arrives; only its message id is kept for the response.

use crate::client::CloseReason;
use crate::client::transfer::transferred_bytes;
use crate::codec::message_pack::{self, FrameScanner, Message, MessageError};
use crate::state::budgeted_buffer::BudgetedBuffer;
use crate::state::memory::{MemoryAccount, Purpose};
use larchfall_policy::time::Timestamp;
use may::net::TcpStream;
use std::io::Read;
use std::sync::Arc;

/// Size of one read, and the number of bytes handled before other coroutines run. The read buffer is on the stack, so
/// an idle connection keeps no buffer.
const CHUNK_BYTES: usize = 4 * 1024;
/// Number of bytes that are read before any are handled. If a client sends several messages and disconnects, the
/// disconnection is then seen before its requests are admitted.
const READ_AHEAD_BYTES: usize = 16 * 1024;

/// Input buffer with the position of the scan for the next message.
pub(super) struct Inbox {
    bytes: BudgetedBuffer,
    scanner: FrameScanner,
    /// Earliest time at which the first byte of the next message may have been sent.
    message_send_time: Timestamp,
    /// Earliest time at which the bytes that were read last may have been sent.
    last_send_time: Timestamp,
    /// Whether more complete messages may be buffered: only `CHUNK_BYTES` are handled before other coroutines run.
    may_hold_more: bool,
    /// The message that is being received and discarded, because the memory budget does not admit it.
    refused: Option<RefusedMessage>,
}

/// A message of which the memory budget did not admit the beginning.
#[derive(Clone, Copy)]
struct RefusedMessage {
    /// Id of the message; `None` if the message is no request.
    message_id: Option<u32>,
    /// Whether the message still awaits its response.
    awaits_response: bool,
}

/// A request that was received completely and not kept, because the memory budget did not admit it. It has its response.
pub(super) struct OverMemoryBudget;

/// A complete message that was received.
pub(super) struct ReceivedMessage<'a> {
    pub(super) message: Result<Message<'a>, OverMemoryBudget>,
    /// Length of the message in bytes.
    pub(super) length: usize,
    /// Earliest time at which the first byte may have been sent. The request's timeout starts then.
    pub(super) sent: Timestamp,
}

impl Inbox {
    /// Creates an empty buffer whose memory `account` holds.
    pub(super) fn new(account: &Arc<MemoryAccount>) -> Inbox {
        Inbox {
            bytes: BudgetedBuffer::new(account.empty_reservation(Purpose::ClientInput)),
            scanner: FrameScanner::default(),
            message_send_time: Timestamp::default(),
            last_send_time: Timestamp::default(),
            may_hold_more: false,
            refused: None,
        }
    }

    /// Whether no input is buffered and no message has begun.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.refused.is_none()
    }

    /// Returns the message id of a request that was refused and awaits its response, once for each request.
    pub(super) fn take_refused(&mut self) -> Option<u32> {
        let refused = self.refused.as_mut().filter(|refused| refused.awaits_response)?;
        refused.awaits_response = false;
        refused.message_id
    }

    /// Message id of the request of which a part was received and that has no response; `None` if there is none, or its id
    /// is not known yet.
    pub(super) fn incomplete_request_id(&self) -> Option<u32> {
        match self.refused {
            Some(RefusedMessage { message_id, awaits_response }) => message_id.filter(|_| awaits_response),
            None => message_pack::request_message_id(&self.bytes),
        }
    }

    pub(super) fn may_hold_more(&self) -> bool {
        self.may_hold_more
    }

    /// Reads available input, up to a limit. Returns `ClientClosed` if the client has closed the connection after this
    /// input: the client then waits for no response.
    pub(super) fn read(&mut self, stream: &TcpStream) -> Result<usize, CloseReason> {
        let mut total = 0;
        // Reads beyond the limit while no complete message may be buffered: a message may be longer than the limit.
        while total < READ_AHEAD_BYTES && (self.bytes.len() < READ_AHEAD_BYTES || !self.may_hold_more) {
            let room = self.bytes.next_read_bytes(CHUNK_BYTES);
            if room == 0 {
                let is_scanned = total == 0 && !self.may_hold_more;
                if !is_scanned {
                    break;
                }
                self.refuse_message();
                continue;
            }
            let mut chunk = [0; CHUNK_BYTES];
            let result = stream.inner().read(&mut chunk[..room]);
            if matches!(result, Ok(0)) {
                return Err(CloseReason::ClientClosed);
            }
            let count = transferred_bytes(result)?;
            self.bytes.append_with(|bytes| bytes.extend_from_slice(&chunk[..count]));
            total += count;
            if count == 0 {
                break;
            }
        }
        Ok(total)
    }

    /// Begins to discard the message of which all buffered bytes are a part.
    fn refuse_message(&mut self) {
        let message_id = message_pack::request_message_id(&self.bytes);
        self.refused = Some(RefusedMessage { message_id, awaits_response: message_id.is_some() });
        self.discard_scanned();
    }

    fn discard_scanned(&mut self) {
        let discarded = self.scanner.discard(&self.bytes);
        self.bytes.remove_front(discarded);
    }

    /// Records the earliest time at which the bytes just read may have been sent, and whether a message starts with
    /// them.
    pub(super) fn record_send_time(&mut self, sent: Timestamp, starts_message: bool) {
        self.last_send_time = sent;
        if starts_message {
            self.message_send_time = sent;
        }
    }

    /// Decodes the next complete message after the first `handled` bytes; `None` if there is none or enough bytes were
    /// handled for now.
    pub(super) fn next(&mut self, handled: usize) -> Result<Option<ReceivedMessage<'_>>, CloseReason> {
        self.may_hold_more = handled >= CHUNK_BYTES;
        if self.may_hold_more {
            return Ok(None);
        }
        let complete = self.scanner.complete_length(&self.bytes[handled..]);
        let Some(length) = complete.map_err(CloseReason::MalformedMessage)? else {
            if self.refused.is_some() {
                self.discard_scanned();
            }
            return Ok(None);
        };
        self.scanner = FrameScanner::default();
        let sent = std::mem::replace(&mut self.message_send_time, self.last_send_time);
        let message = match self.refused.take() {
            None => Ok(decode_complete(&self.bytes[handled..handled + length])?),
            // No response is due, so that closing the connection is the only way to tell the client.
            Some(RefusedMessage { message_id: None, .. }) => {
                return Err(CloseReason::OverMemoryBudget);
            }
            Some(RefusedMessage { message_id: Some(_), .. }) => Err(OverMemoryBudget),
        };
        Ok(Some(ReceivedMessage { message, length, sent }))
    }

    /// Records that more complete messages may be buffered although `next` was not called until it returned `None`.
    pub(super) fn pause(&mut self) {
        self.may_hold_more = true;
    }

    /// Removes the first `handled` bytes. Frees the buffer when it is empty.
    pub(super) fn remove_handled(&mut self, handled: usize) {
        self.bytes.remove_front(handled);
    }
}

fn decode_complete(bytes: &[u8]) -> Result<Message<'_>, CloseReason> {
    match message_pack::decode(bytes).map_err(CloseReason::MalformedMessage)? {
        Some(decoded) => Ok(decoded.value),
        None => Err(CloseReason::MalformedMessage(MessageError::NotMessagePack)),
    }
}
