//! One connection: reads calls and writes their responses, one after the other.

use super::calls;
use super::responses;
use super::service::{CountedConnection, RestService};
use crate::client::CloseReason;
use crate::state::State;
use crate::state::clock::to_std_timeout;
use larchfall_paged_rest::call::{self, Call, CallError, Method, Progress};
use larchfall_policy::time::{Duration, Timestamp};
use may::net::TcpStream;
use slog::info;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;

/// A call that has begun, or the first one of a connection, is complete by then.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Clients pause between pages; a connection that is idle for longer keeps others out.
const IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// A client that has not read a response by then reads none.
const WRITE_TIMEOUT: Duration = Duration::from_millis(10_000);
const CHUNK_BYTES: usize = 4 * 1024;
/// An idle connection checks this often whether this gateway has ended.
const SHUTDOWN_POLL: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_millis(5);

/// Serves one connection to its end. It counts as open until its socket is closed.
pub(super) fn serve(
    state: &Arc<State>,
    service: &Arc<RestService>,
    stream: TcpStream,
    from: SocketAddr,
    _counted: CountedConnection,
) {
    let _ = stream.set_nodelay(true);
    let reason = Conversation::new(state, service, stream).run();
    info!(state.log, "paged REST connection ended";
        "from" => from.to_string(), "reason" => reason.code(), "detail" => reason.detail());
}

/// The calls and responses of one connection.
struct Conversation<'a> {
    state: &'a Arc<State>,
    service: &'a Arc<RestService>,
    stream: TcpStream,
    input: Vec<u8>,
    /// When the call that is awaited must be complete.
    deadline: Timestamp,
    /// Whether its client was told to go on with the body.
    continued: bool,
}

impl<'a> Conversation<'a> {
    fn new(state: &'a Arc<State>, service: &'a Arc<RestService>, stream: TcpStream) -> Conversation<'a> {
        let deadline = state.clock.now() + CALL_TIMEOUT;
        Conversation { state, service, stream, input: Vec::new(), deadline, continued: false }
    }

    /// Runs to the end of the connection. The socket is closed when this returns.
    fn run(mut self) -> CloseReason {
        loop {
            if let Err(reason) = self.turn() {
                return reason;
            }
        }
    }

    /// Answers the next call, or reads more of it.
    fn turn(&mut self) -> Result<(), CloseReason> {
        match call::decode(&self.input, self.service.settings().max_statement_bytes) {
            Ok(Progress::Complete { call, length }) => {
                self.input.drain(..length);
                self.respond(&call)
            }
            Ok(Progress::ExpectsContinue) if !self.continued => {
                self.continued = true;
                self.write(call::CONTINUE_RESPONSE)?;
                self.read()
            }
            Ok(Progress::Incomplete | Progress::ExpectsContinue) => self.read(),
            Err(error) => Err(self.refuse(error)),
        }
    }

    fn respond(&mut self, call: &Call) -> Result<(), CloseReason> {
        let closes = call.closes || self.state.shutdown.is_complete();
        let response = calls::handle(self.state, self.service, call);
        self.write(&response.encode(closes, call.method))?;
        if closes {
            return Err(if call.closes { CloseReason::CloseRequested } else { CloseReason::ShuttingDown });
        }
        self.let_others_run();
        self.continued = false;
        let timeout = if self.input.is_empty() { IDLE_TIMEOUT } else { CALL_TIMEOUT };
        self.deadline = self.state.clock.now() + timeout;
        Ok(())
    }

    /// Answers what is no call; the connection ends with it.
    fn refuse(&mut self, error: CallError) -> CloseReason {
        let response = responses::unusable(error.status(), &error.to_string());
        let _ = self.write(&response.encode(true, Method::Other));
        CloseReason::MalformedCall(error)
    }

    /// Waits for more input, at most for a moment.
    fn read(&mut self) -> Result<(), CloseReason> {
        if self.state.shutdown.is_complete() {
            return Err(CloseReason::ShuttingDown);
        }
        let remaining = self.state.clock.remaining(self.deadline);
        if remaining.is_zero() {
            let idle = self.input.is_empty();
            return Err(if idle { CloseReason::Idle } else { CloseReason::IncompleteMessage });
        }
        let _ = self.stream.set_read_timeout(Some(remaining.min(to_std_timeout(SHUTDOWN_POLL))));
        let starts_call = self.input.is_empty();
        let mut chunk = [0; CHUNK_BYTES];
        match self.stream.read(&mut chunk) {
            Ok(0) => return Err(CloseReason::ClientClosed),
            Ok(count) => {
                self.let_others_run();
                self.input.extend_from_slice(&chunk[..count]);
                if starts_call {
                    self.deadline = self.state.clock.now() + CALL_TIMEOUT;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {}
            Err(_) => return Err(CloseReason::ClientReset),
        }
        Ok(())
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        let _ = self.stream.set_write_timeout(Some(to_std_timeout(WRITE_TIMEOUT)));
        self.stream.write_all(bytes).map_err(|e| match e.kind() {
            ErrorKind::TimedOut | ErrorKind::WouldBlock => CloseReason::ResponsesUnread,
            _ => CloseReason::ClientReset,
        })
    }

    /// While any coroutine is ready the worker does not poll for events: a client that never pauses would keep all
    /// others waiting.
    fn let_others_run(&self) {
        while self.state.stall_detector.is_event_poll_overdue(self.state.clock.now()) {
            self.state.sleep(PAUSE);
        }
    }
}
