//! What was read on a connection and is not handled yet.

use super::connection::if_ready;
use crate::client::CloseReason;
use crate::codec::message_pack::{self, FrameScanner, Message, MessageError};
use larchfall_policy::time::Timestamp;
use may::net::TcpStream;
use std::io::Read;

/// On the stack, so that an idle connection keeps no buffer.
const CHUNK_BYTES: usize = 4 * 1024;
/// Bytes that are read before any are handled. A client that sent much and left is then known to have left first.
const READ_AHEAD_BYTES: usize = 16 * 1024;

#[derive(Default)]
pub(super) struct Inbox {
    bytes: Vec<u8>,
    scanner: FrameScanner,
    /// When the first byte of the next message may have been sent.
    message_sent: Timestamp,
    /// When the bytes that were read last may have been sent.
    last_sent: Timestamp,
    /// Whether more messages may be complete: a limited number of bytes is handled at a time, and then others run.
    may_hold_more: bool,
}

/// A complete message.
pub(super) struct Received<'a> {
    pub(super) message: Message<'a>,
    /// Its bytes.
    pub(super) length: usize,
    /// When its first byte may have been sent: the client's time runs from there.
    pub(super) sent: Timestamp,
}

impl Inbox {
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub(super) fn may_hold_more(&self) -> bool {
        self.may_hold_more
    }

    /// Reads all that came, up to a limit. A client that closed the connection behind it waits for no response to any
    /// of it.
    pub(super) fn read(&mut self, stream: &TcpStream) -> Result<usize, CloseReason> {
        let mut total = 0;
        // An incomplete message may be longer than the limit.
        while total < READ_AHEAD_BYTES && (self.bytes.len() < READ_AHEAD_BYTES || !self.may_hold_more) {
            let mut chunk = [0; CHUNK_BYTES];
            let result = stream.inner().read(&mut chunk);
            if matches!(result, Ok(0)) {
                return Err(CloseReason::ClientClosed);
            }
            let count = if_ready(result)?;
            self.bytes.extend_from_slice(&chunk[..count]);
            total += count;
            if count == 0 {
                break;
            }
        }
        Ok(total)
    }

    /// Notes when the bytes that were just read may have been sent, and whether a message starts with them.
    pub(super) fn note_sent(&mut self, sent: Timestamp, starts_message: bool) {
        self.last_sent = sent;
        if starts_message {
            self.message_sent = sent;
        }
    }

    /// The next complete message behind the bytes that are handled already.
    pub(super) fn next(&mut self, handled: usize) -> Result<Option<Received<'_>>, CloseReason> {
        self.may_hold_more = handled >= CHUNK_BYTES;
        if self.may_hold_more {
            return Ok(None);
        }
        let rest = &self.bytes[handled..];
        let complete = self.scanner.complete_length(rest).map_err(CloseReason::MalformedMessage)?;
        let Some(length) = complete else { return Ok(None) };
        self.scanner = FrameScanner::default();
        let sent = std::mem::replace(&mut self.message_sent, self.last_sent);
        match message_pack::decode(&rest[..length]).map_err(CloseReason::MalformedMessage)? {
            Some(decoded) => Ok(Some(Received { message: decoded.value, length, sent })),
            None => Err(CloseReason::MalformedMessage(MessageError::NotMessagePack)),
        }
    }

    /// Drops the bytes that are handled. Without any left the buffer is freed.
    pub(super) fn drop_handled(&mut self, handled: usize) {
        self.bytes.drain(..handled);
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        }
    }
}
