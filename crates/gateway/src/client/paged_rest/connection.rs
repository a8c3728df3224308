//! Serves one connection: reads calls and writes their responses, one call at a time.

use super::calls;
use super::responses;
use super::service::{OpenConnectionGuard, RestService};
use crate::client::CloseReason;
use crate::client::linger::linger;
use crate::state::State;
use crate::state::budgeted_buffer::BudgetedBuffer;
use crate::state::clock::to_std_timeout;
use crate::state::memory::{BudgetExceeded, MemoryAccount, Purpose};
use larchfall_paged_rest::call::{self, Call, CallError, Method, Progress, Response};
use larchfall_policy::time::{Duration, Timestamp};
use may::net::TcpStream;
use slog::info;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time within which the first call of a connection, and every call that has begun, must be complete.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Idle time after which a connection is closed. Clients pause between pages, but a connection that is idle for longer
/// takes the place of another client.
const IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Timeout for writing a response. A client that has not read the response by then is assumed not to read at all.
const WRITE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Maximum number of bytes per read from the socket.
const CHUNK_BYTES: usize = 4 * 1024;
/// How often an idle connection checks whether the shutdown of this gateway is complete.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a coroutine sleeps to let others run.
const YIELD_SLEEP: Duration = Duration::from_millis(5);

/// Serves a connection until it ends, and logs the reason. `_guard` counts the connection as open until the socket has
/// been closed.
pub(super) fn serve(
    state: &Arc<State>,
    service: &Arc<RestService>,
    stream: TcpStream,
    from: SocketAddr,
    _guard: OpenConnectionGuard,
) {
    let _ = stream.set_nodelay(true);
    let reason = CallExchange::new(state, service, stream).run();
    info!(state.log, "paged REST connection ended";
        "from" => from.to_string(), "reason" => reason.code(), "detail" => reason.detail());
}

/// The exchange of calls and responses on one connection.
struct CallExchange<'a> {
    state: &'a Arc<State>,
    service: &'a Arc<RestService>,
    stream: TcpStream,
    /// Account for the memory of the connection's input and requests.
    account: Arc<MemoryAccount>,
    input: BudgetedBuffer,
    /// When the next call must be complete.
    deadline: Timestamp,
    /// Whether `100 Continue` was sent for the call that is being read.
    sent_continue: bool,
}

impl<'a> CallExchange<'a> {
    fn new(state: &'a Arc<State>, service: &'a Arc<RestService>, stream: TcpStream) -> CallExchange<'a> {
        let deadline = state.clock.now() + CALL_TIMEOUT;
        let account = state.request_memory.account();
        CallExchange {
            state,
            service,
            stream,
            input: BudgetedBuffer::new(account.empty_reservation(Purpose::ClientInput)),
            account,
            deadline,
            sent_continue: false,
        }
    }

    /// Runs until the connection ends, and closes the socket.
    fn run(mut self) -> CloseReason {
        loop {
            if let Err(reason) = self.process_input() {
                return reason;
            }
        }
    }

    /// Responds to the next call if it is complete, or reads more input.
    fn process_input(&mut self) -> Result<(), CloseReason> {
        match call::decode(&self.input, self.service.settings().max_statement_bytes) {
            Ok(Progress::Complete { call, length }) => {
                self.input.remove_front(length);
                self.respond(&call)
            }
            Ok(Progress::ExpectsContinue) if !self.sent_continue => {
                self.sent_continue = true;
                self.write(call::CONTINUE_RESPONSE)?;
                self.read()
            }
            Ok(Progress::Incomplete | Progress::ExpectsContinue) => self.read(),
            Err(error) => Err(self.reject_malformed(error)),
        }
    }

    /// Handles a call, writes its response, and starts the timeout of the next call.
    fn respond(&mut self, call: &Call) -> Result<(), CloseReason> {
        let closes = call.closes_connection || self.state.shutdown.is_complete();
        let response = match self.account.reserve(Purpose::ClientInput, call.body.len()) {
            Ok(_held_while_handled) => calls::handle(self.state, self.service, &self.account, call),
            Err(BudgetExceeded) => self.over_memory_budget(),
        };
        self.write(&response.encode(closes, call.method))?;
        if closes {
            return Err(if call.closes_connection {
                CloseReason::CloseRequested
            } else {
                CloseReason::ShuttingDown
            });
        }
        self.yield_to_others();
        self.sent_continue = false;
        let timeout = if self.input.is_empty() { IDLE_TIMEOUT } else { CALL_TIMEOUT };
        self.deadline = self.state.clock.now() + timeout;
        Ok(())
    }

    /// Responds to malformed input with an error. The connection is closed afterwards.
    fn reject_malformed(&mut self, error: CallError) -> CloseReason {
        let response = responses::invalid_call(error.status(), &error.to_string());
        self.write_last(&response);
        CloseReason::MalformedCall(error)
    }

    /// Writes the last response of a connection on which more input may arrive.
    fn write_last(&mut self, response: &Response) {
        if self.write(&response.encode(true, Method::Other)).is_ok() {
            linger(self.state, &self.stream);
        }
    }

    /// Counts a call that the memory budget does not admit, and returns its response.
    fn over_memory_budget(&self) -> Response {
        self.state.counters.update_gateway(|counters| counters.over_limits += 1);
        responses::rejected(self.state.settings.max_retry_after)
    }

    /// Rejects a call of which only a part was received. The connection is closed afterwards, since the rest of the call
    /// is not read.
    fn reject_incomplete(&mut self) -> CloseReason {
        let response = self.over_memory_budget();
        self.write_last(&response);
        CloseReason::OverMemoryBudget
    }

    /// Reads more input. Waits for at most `SHUTDOWN_CHECK_INTERVAL`.
    fn read(&mut self) -> Result<(), CloseReason> {
        if self.state.shutdown.is_complete() {
            return Err(CloseReason::ShuttingDown);
        }
        let remaining = self.state.clock.remaining(self.deadline);
        if remaining.is_zero() {
            let idle = self.input.is_empty();
            return Err(if idle { CloseReason::Idle } else { CloseReason::IncompleteMessage });
        }
        let _ = self.stream.set_read_timeout(Some(remaining.min(to_std_timeout(SHUTDOWN_CHECK_INTERVAL))));
        let starts_call = self.input.is_empty();
        let room = self.input.next_read_bytes(CHUNK_BYTES);
        if room == 0 {
            return Err(self.reject_incomplete());
        }
        let mut chunk = [0; CHUNK_BYTES];
        match self.stream.read(&mut chunk[..room]) {
            Ok(0) => return Err(CloseReason::ClientClosed),
            Ok(count) => {
                self.yield_to_others();
                self.input.append_with(|input| input.extend_from_slice(&chunk[..count]));
                if starts_call {
                    self.deadline = self.state.clock.now() + CALL_TIMEOUT;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {}
            Err(_) => return Err(CloseReason::ClientReset),
        }
        Ok(())
    }

    /// Writes a complete response. A timeout counts as a client that doesn't read.
    fn write(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        let _ = self.stream.set_write_timeout(Some(to_std_timeout(WRITE_TIMEOUT)));
        self.stream.write_all(bytes).map_err(|e| match e.kind() {
            ErrorKind::TimedOut | ErrorKind::WouldBlock => CloseReason::ResponsesUnread,
            _ => CloseReason::ClientReset,
        })
    }

    /// Sleeps while the sockets were not polled for too long. The worker doesn't poll them while any coroutine is ready
    /// to run, so a client that never pauses would starve all others.
    fn yield_to_others(&self) {
        while self.state.stall_detector.is_event_poll_overdue(self.state.clock.now()) {
            self.state.sleep(YIELD_SLEEP);
        }
    }
}
