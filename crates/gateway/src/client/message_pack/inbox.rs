//! Input buffer of a connection: bytes that were read and not yet handled.

use super::connection::transferred_bytes;
use crate::client::CloseReason;
use crate::codec::message_pack::{self, FrameScanner, Message, MessageError};
use larchfall_policy::time::Timestamp;
use may::net::TcpStream;
use std::io::Read;

/// Size of one read, and the number of bytes handled before other coroutines run. The read buffer is on the stack, so
/// an idle connection keeps no buffer.
const CHUNK_BYTES: usize = 4 * 1024;
/// Number of bytes that are read before any are handled. If a client sends several messages and disconnects, the
/// disconnection is then seen before its requests are admitted.
const READ_AHEAD_BYTES: usize = 16 * 1024;

/// Input buffer with the position of the scan for the next message.
#[derive(Default)]
pub(super) struct Inbox {
    bytes: Vec<u8>,
    scanner: FrameScanner,
    /// Earliest time at which the first byte of the next message may have been sent.
    message_send_time: Timestamp,
    /// Earliest time at which the bytes that were read last may have been sent.
    last_send_time: Timestamp,
    /// Whether more complete messages may be buffered: only `CHUNK_BYTES` are handled before other coroutines run.
    may_hold_more: bool,
}

/// A complete message that was received.
pub(super) struct ReceivedMessage<'a> {
    pub(super) message: Message<'a>,
    /// Length of the message in bytes.
    pub(super) length: usize,
    /// Earliest time at which the first byte may have been sent. The request's timeout starts then.
    pub(super) sent: Timestamp,
}

impl Inbox {
    /// Whether no input is buffered, not even part of a message.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
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
            let mut chunk = [0; CHUNK_BYTES];
            let result = stream.inner().read(&mut chunk);
            if matches!(result, Ok(0)) {
                return Err(CloseReason::ClientClosed);
            }
            let count = transferred_bytes(result)?;
            self.bytes.extend_from_slice(&chunk[..count]);
            total += count;
            if count == 0 {
                break;
            }
        }
        Ok(total)
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
        let rest = &self.bytes[handled..];
        let complete = self.scanner.complete_length(rest).map_err(CloseReason::MalformedMessage)?;
        let Some(length) = complete else { return Ok(None) };
        self.scanner = FrameScanner::default();
        let sent = std::mem::replace(&mut self.message_send_time, self.last_send_time);
        match message_pack::decode(&rest[..length]).map_err(CloseReason::MalformedMessage)? {
            Some(decoded) => Ok(Some(ReceivedMessage { message: decoded.value, length, sent })),
            None => Err(CloseReason::MalformedMessage(MessageError::NotMessagePack)),
        }
    }

    /// Removes the first `handled` bytes. Frees the buffer when it is empty.
    pub(super) fn remove_handled(&mut self, handled: usize) {
        self.bytes.drain(..handled);
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        }
    }
}
