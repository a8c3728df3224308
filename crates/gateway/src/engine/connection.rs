//! HTTP/1.1 connection to an engine, which carries one call at a time.

use crate::codec::Decoded;
use crate::codec::engine_http::{self, Reply};
use crate::state::State;
use crate::state::budgeted_buffer::BudgetedBuffer;
use crate::state::clock::Clock;
use crate::state::engine_table::EngineInstance;
use crate::state::memory::{Purpose, Reservation};
use larchfall_policy::time::{Duration, Timestamp};
use may::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration as StdDuration;
use thiserror::Error;

/// Timeout for the remainder of a reply after its first bytes. Engines write a reply of a few kilobytes at once, so an
/// incomplete reply that is interrupted for this long will not be completed.
const REPLY_REMAINDER_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of bytes per read from the socket.
const READ_CHUNK_BYTES: usize = 4096;
/// Maximum number of bytes of a body that are copied behind the head to be sent in one write.
const MAX_JOINED_BODY_BYTES: usize = 4096;

/// A connection to one engine process.
pub struct Connection {
    stream: TcpStream,
    instance: EngineInstance,
    input: BudgetedBuffer,
    /// Whether a call was sent completely and its reply is outstanding. The next reply read belongs to that call.
    awaits_reply: bool,
}

/// Why a call returned no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// No byte of the call was sent.
    #[error("no byte of the call was sent")]
    NotSent,
    /// The connection was closed, its input was not a usable reply, or the memory budget did not admit the reply; the
    /// engine may have received the complete call.
    #[error("connection closed or reply unusable")]
    Broken,
    /// The deadline passed; the engine may have received the complete call.
    #[error("no complete reply before the deadline")]
    TimedOut,
}

/// Why no connection was established.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConnectError {
    /// No process listens at the address.
    #[error("connection refused")]
    Refused,
    /// The connection timed out, or there is no route to the address.
    #[error("connection timed out or address unreachable")]
    Unreachable,
}

impl Connection {
    /// Connects to an engine process. A zero timeout fails with `Unreachable`. The replies are held by `reply_memory`.
    pub fn open(
        instance: EngineInstance,
        timeout: StdDuration,
        reply_memory: Reservation,
    ) -> Result<Connection, ConnectError> {
        if timeout.is_zero() {
            return Err(ConnectError::Unreachable);
        }
        match TcpStream::connect_timeout(&SocketAddr::V4(instance.address), timeout) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                let input = BudgetedBuffer::new(reply_memory);
                Ok(Connection { stream, instance, input, awaits_reply: false })
            }
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => Err(ConnectError::Refused),
            Err(_) => Err(ConnectError::Unreachable),
        }
    }

    /// The engine process to which the connection was opened.
    pub fn instance(&self) -> EngineInstance {
        self.instance
    }

    /// Whether the connection can carry another call: no reply is outstanding, no unexpected bytes have arrived, and
    /// the engine hasn't closed the connection.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        self.input.is_empty()
            && !self.awaits_reply
            && matches!(self.stream.inner().peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the reply to a call that timed out may still arrive on this connection.
    pub fn awaits_reply(&self) -> bool {
        self.awaits_reply
    }

    /// Sends a call and waits for its reply. First reads and discards the outstanding reply to the previous call, if
    /// any.
    pub fn call(&mut self, call: &[u8], clock: &Clock, deadline: Timestamp) -> Result<Reply, CallError> {
        self.call_with_body(call, &[], clock, deadline)
    }

    /// Like `call`, for a call with a body.
    pub fn call_with_body(
        &mut self,
        head: &[u8],
        body: &[u8],
        clock: &Clock,
        deadline: Timestamp,
    ) -> Result<Reply, CallError> {
        if self.awaits_reply {
            self.read_reply(clock, deadline)?;
        }
        self.send(head, body, clock, deadline)?;
        self.awaits_reply = true;
        self.read_reply(clock, deadline)
    }

    /// Sends a complete call. Returns `NotSent` only if no byte of the call was sent. The head and the beginning of the
    /// body are joined, so that a short call is one write; the rest of the body is not copied.
    fn send(
        &mut self,
        head: &[u8],
        body: &[u8],
        clock: &Clock,
        deadline: Timestamp,
    ) -> Result<(), CallError> {
        let (joined_body, rest) = body.split_at(body.len().min(MAX_JOINED_BODY_BYTES));
        if joined_body.is_empty() {
            return self.write_all(head, false, clock, deadline);
        }
        self.write_all(&[head, joined_body].concat(), false, clock, deadline)?;
        self.write_all(rest, true, clock, deadline)
    }

    /// Writes a part of a call; `has_begun` tells whether an earlier part was written. Returns `NotSent` only if no byte
    /// of the call was sent.
    fn write_all(
        &mut self,
        bytes: &[u8],
        has_begun: bool,
        clock: &Clock,
        deadline: Timestamp,
    ) -> Result<(), CallError> {
        let mut written = 0;
        while written < bytes.len() {
            let is_unsent = written == 0 && !has_begun;
            let on_timeout = if is_unsent { CallError::NotSent } else { CallError::TimedOut };
            let remaining = remaining_until(clock, deadline).ok_or(on_timeout)?;
            let _ = self.stream.set_write_timeout(Some(remaining));
            match self.stream.write(&bytes[written..]) {
                Ok(0) => return Err(CallError::Broken),
                Ok(count) => written += count,
                Err(e) if is_unsent && !is_timeout(&e) => return Err(CallError::NotSent),
                Err(e) => return Err(call_error(&e)),
            }
        }
        Ok(())
    }

    /// Waits for the reply to the call that was sent last.
    fn read_reply(&mut self, clock: &Clock, deadline: Timestamp) -> Result<Reply, CallError> {
        let mut deadline = deadline;
        loop {
            if let Some(Decoded { value: reply, length }) =
                engine_http::decode(&self.input).map_err(|_| CallError::Broken)?
            {
                self.input.remove_front(length);
                // An informational response (1xx) precedes the final reply.
                if reply.status / 100 == 1 {
                    continue;
                }
                self.awaits_reply = false;
                // Bytes after the rows: a Content-Length that is too small can't be told from stray bytes. The page is
                // fetched again on another connection.
                if reply.status == 200 && !self.input.is_empty() {
                    return Err(CallError::Broken);
                }
                return Ok(reply);
            }
            let remaining = remaining_until(clock, deadline).ok_or(CallError::TimedOut)?;
            let _ = self.stream.set_read_timeout(Some(remaining));
            let is_first_read = self.input.is_empty();
            let max_bytes = self.input.next_read_bytes(READ_CHUNK_BYTES);
            if max_bytes == 0 {
                return Err(CallError::Broken);
            }
            match self.input.read_with(max_bytes, |buffer| self.stream.read(buffer)) {
                Ok(0) => return Err(CallError::Broken),
                Ok(_) if is_first_read => deadline = deadline.min(clock.now() + REPLY_REMAINDER_TIMEOUT),
                Ok(_) => {}
                Err(e) => return Err(call_error(&e)),
            }
        }
    }
}

/// Time left until `deadline`; `None` once the deadline has passed.
fn remaining_until(clock: &Clock, deadline: Timestamp) -> Option<StdDuration> {
    Some(clock.remaining(deadline)).filter(|remaining| !remaining.is_zero())
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
}

fn call_error(error: &io::Error) -> CallError {
    if is_timeout(error) { CallError::TimedOut } else { CallError::Broken }
}

/// Takes an idle connection to an engine process or opens a new one. The caller must hold a connection permit.
pub(super) fn connect(
    state: &State,
    instance: EngineInstance,
    deadline: Timestamp,
) -> Result<Connection, ConnectError> {
    while let Some(reused) = state.engine_connections.take_idle(instance, state.clock.now()) {
        // Waiting is cheaper than a new connection: the wait is shorter than most replies, while a new connection costs
        // the engine work and may fail.
        state.sleep(reused.usable_from.since(state.clock.now()));
        if reused.connection.is_reusable() {
            return Ok(reused.connection);
        }
    }
    let usage = state.engine_connections.usage();
    let open = usage.permits_held + usage.idle;
    state.counters.update_gateway(|counters| {
        counters.max_engine_connections = counters.max_engine_connections.max(open);
    });
    let connect_deadline = deadline.min(state.clock.now() + state.settings.connect_timeout);
    let reply_memory = state.response_memory.account().empty_reservation(Purpose::EngineReply);
    Connection::open(instance, state.clock.remaining(connect_deadline), reply_memory)
}
