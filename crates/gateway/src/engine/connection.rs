//! One connection to an engine, which carries one call at a time.

use crate::codec::Decoded;
use crate::codec::engine_http::{self, Reply};
use crate::state::State;
use crate::state::clock::Clock;
use crate::state::engine_table::EngineInstance;
use larchfall_policy::time::{Duration, Timestamp};
use may::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration as StdDuration;
use thiserror::Error;

/// A reply is a few kilobytes that are written at once: one that pauses for this long does not go on.
const REPLY_PAUSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Bytes read at a time.
const READ_SIZE: usize = 4096;

/// A connection to one process of an engine.
pub struct Connection {
    stream: TcpStream,
    instance: EngineInstance,
    input: Vec<u8>,
    /// A call went out whole and its reply has not come: the next one read is that.
    awaits_reply: bool,
}

/// Why a call brought no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// Not one byte of the call left.
    #[error("nothing was sent")]
    NotSent,
    /// The connection ended or carried no HTTP; the call may have come whole.
    #[error("the connection broke")]
    Broken,
    /// No reply came in time.
    #[error("no reply in time")]
    TimedOut,
}

/// Why a connection did not come up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConnectError {
    /// Nobody listens there.
    #[error("connection refused")]
    Refused,
    /// Nobody answered in time, or there is no way there.
    #[error("no connection in time")]
    Unreachable,
}

impl Connection {
    /// Connects to a process.
    pub fn open(instance: EngineInstance, timeout: StdDuration) -> Result<Connection, ConnectError> {
        if timeout.is_zero() {
            return Err(ConnectError::Unreachable);
        }
        match TcpStream::connect_timeout(&SocketAddr::V4(instance.address), timeout) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                Ok(Connection { stream, instance, input: Vec::new(), awaits_reply: false })
            }
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => Err(ConnectError::Refused),
            Err(_) => Err(ConnectError::Unreachable),
        }
    }

    /// The process at the other end.
    pub fn instance(&self) -> EngineInstance {
        self.instance
    }

    /// Whether nothing is owed and nothing came that was not asked for: an end or stray bytes make a connection useless.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        self.input.is_empty()
            && !self.awaits_reply
            && matches!(self.stream.inner().peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the reply to a call that ran out of time may still come here.
    pub fn awaits_reply(&self) -> bool {
        self.awaits_reply
    }

    /// Sends a call and waits for its reply. A reply that is owed to the call before comes first, and is ignored.
    pub fn call(&mut self, call: &[u8], clock: &Clock, deadline: Timestamp) -> Result<Reply, CallError> {
        if self.awaits_reply {
            self.read_reply(clock, deadline)?;
        }
        self.send(call, clock, deadline)?;
        self.awaits_reply = true;
        self.read_reply(clock, deadline)
    }

    fn send(&mut self, call: &[u8], clock: &Clock, deadline: Timestamp) -> Result<(), CallError> {
        let mut sent = 0;
        while sent < call.len() {
            let on_timeout = if sent == 0 { CallError::NotSent } else { CallError::TimedOut };
            let remaining = time_left(clock, deadline).ok_or(on_timeout)?;
            let _ = self.stream.set_write_timeout(Some(remaining));
            match self.stream.write(&call[sent..]) {
                Ok(0) => return Err(CallError::Broken),
                Ok(written) => sent += written,
                Err(e) if sent == 0 && !is_timeout(&e) => return Err(CallError::NotSent),
                Err(e) => return Err(failure(&e)),
            }
        }
        Ok(())
    }

    /// Waits for the reply to the call that went out last.
    fn read_reply(&mut self, clock: &Clock, deadline: Timestamp) -> Result<Reply, CallError> {
        let mut deadline = deadline;
        loop {
            if let Some(Decoded { value: reply, length }) =
                engine_http::decode(&self.input).map_err(|_| CallError::Broken)?
            {
                self.input.drain(..length);
                // 100 and its like only announce a reply.
                if reply.status / 100 == 1 {
                    continue;
                }
                self.awaits_reply = false;
                // Rows with something behind them: a length that is too short looks the same as noise that does not
                // belong to them. Asked for again on another connection, they come whole.
                if reply.status == 200 && !self.input.is_empty() {
                    return Err(CallError::Broken);
                }
                return Ok(reply);
            }
            let remaining = time_left(clock, deadline).ok_or(CallError::TimedOut)?;
            let _ = self.stream.set_read_timeout(Some(remaining));
            let before = self.input.len();
            self.input.resize(before + READ_SIZE, 0);
            let read = self.stream.read(&mut self.input[before..]);
            self.input.truncate(before + *read.as_ref().unwrap_or(&0));
            match read {
                Ok(0) => return Err(CallError::Broken),
                Ok(_) if before == 0 => deadline = deadline.min(clock.now() + REPLY_PAUSE_TIMEOUT),
                Ok(_) => {}
                Err(e) => return Err(failure(&e)),
            }
        }
    }
}

fn time_left(clock: &Clock, deadline: Timestamp) -> Option<StdDuration> {
    Some(clock.remaining(deadline)).filter(|remaining| !remaining.is_zero())
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
}

fn failure(error: &io::Error) -> CallError {
    if is_timeout(error) { CallError::TimedOut } else { CallError::Broken }
}

/// An idle connection to a process, or a new one. Only for a holder of a permit.
pub(super) fn connect(
    state: &State,
    instance: EngineInstance,
    deadline: Timestamp,
) -> Result<Connection, ConnectError> {
    while let Some(reused) = state.engine_connections.take_idle(instance, state.clock.now()) {
        // A wait that is shorter than most answers; a new connection costs its engine work, and may not come up.
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
    Connection::open(instance, state.clock.remaining(connect_deadline))
}
