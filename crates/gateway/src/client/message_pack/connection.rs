//! Serves one MessagePack-RPC connection from its registration to its close.

use super::inbox::Inbox;
use super::requests;
use crate::client::CloseReason;
use crate::client::linger::linger;
use crate::client::transfer::transferred_bytes;
use crate::state::State;
use crate::state::client_connections::RegisteredConnection;
use crate::state::memory::MemoryAccount;
use crate::state::response_writer::ResponseWriter;
use larchfall_policy::time::{Duration, Timestamp};
use may::io::WaitIo;
use may::net::TcpStream;
use slog::info;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

/// Idle time after which a connection is closed. Clients close theirs after 4 s; a connection that stays open for
/// longer takes the place of another client.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time within which the first message of a connection, and every message that has begun, must be complete. Without
/// this limit, a client that sends nothing or only part of a message would hold a file descriptor.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Number of rounds of reads and writes that a connection makes before its coroutine sleeps and lets others run.
const MAX_ROUNDS_WITHOUT_SLEEP: usize = 8;
/// How long a coroutine sleeps to let others run.
const YIELD_SLEEP: Duration = Duration::from_millis(5);

/// A client connection that is registered and counts as open.
pub struct Connection {
    stream: TcpStream,
    from: SocketAddr,
    id: usize,
    writer: Arc<ResponseWriter>,
    /// Earliest time since which the connection may have waited in the listener's queue.
    queued_since: Timestamp,
}

/// Registers a connection as soon as it is accepted. Its coroutine may start much later; without the registration,
/// connections accepted meanwhile would exceed the number of file descriptors.
pub(super) fn register(
    state: &State,
    stream: TcpStream,
    from: SocketAddr,
    queued_since: Timestamp,
) -> Connection {
    let _ = stream.set_nodelay(true);
    let registered = state.client_connections.register(stream.waker(), state.clock.now());
    let RegisteredConnection { id, writer } = registered;
    Connection { stream, from, id, writer, queued_since }
}

/// Serves a connection until it ends, closes the socket and logs the reason.
pub(super) fn serve(state: &Arc<State>, connection: Connection) {
    let Connection { stream, from, id, writer, queued_since } = connection;
    state.counters.update_gateway(|counters| {
        counters.client_connections += 1;
        counters.max_client_connections = counters.max_client_connections.max(state.client_connections.len());
    });
    let reason = MessageExchange::new(state, &stream, &writer, queued_since).run();
    for request in writer.cancel_all() {
        state.policy.record_disconnection(request);
    }
    writer.discard_unsent();
    // A client that sent no complete message has no response outstanding.
    if !reason.is_by_client() && writer.has_sent_message() {
        linger(state, &stream);
    }
    // The file descriptor is closed before the connection no longer counts as open.
    drop(stream);
    state.client_connections.unregister(id);
    info!(state.log, "client connection ended";
        "from" => from.to_string(), "reason" => reason.code(), "detail" => reason.detail());
}

/// The exchange of messages and responses on one connection.
struct MessageExchange<'a> {
    state: &'a Arc<State>,
    stream: &'a TcpStream,
    writer: &'a Arc<ResponseWriter>,
    /// Account for the memory of the connection's input and requests.
    account: Arc<MemoryAccount>,
    inbox: Inbox,
    /// Earliest time since which the connection may have waited in the listener's queue; `None` after the first read.
    queued_since: Option<Timestamp>,
    /// Set when the client violated the protocol. Further input is discarded, and outstanding responses are still sent.
    protocol_error: Option<CloseReason>,
    /// When the coroutine last began to wait for the socket; input may have arrived at any time since. Initially zero,
    /// because a new connection may have waited in the listener's queue during a whole stall.
    waiting_since: Timestamp,
    /// Rounds since the coroutine last slept or waited.
    rounds: usize,
}

impl<'a> MessageExchange<'a> {
    fn new(
        state: &'a Arc<State>,
        stream: &'a TcpStream,
        writer: &'a Arc<ResponseWriter>,
        queued_since: Timestamp,
    ) -> MessageExchange<'a> {
        let account = state.request_memory.account();
        MessageExchange {
            state,
            stream,
            writer,
            inbox: Inbox::new(&account),
            account,
            queued_since: Some(queued_since),
            protocol_error: None,
            waiting_since: Timestamp::default(),
            rounds: 0,
        }
    }

    fn run(mut self) -> CloseReason {
        loop {
            if let Err(reason) = self.run_round() {
                return reason;
            }
        }
    }

    /// Writes and reads as much as the socket allows. If that was nothing, closes the connection where due, or waits
    /// for the socket.
    fn run_round(&mut self) -> Result<(), CloseReason> {
        let written = self.writer.write(|bytes| transferred_bytes(self.stream.inner().write(bytes)))?;
        let is_backlogged = self.writer.is_backlogged();
        let read = if is_backlogged { 0 } else { self.read()? };
        let has_input = !is_backlogged && (read > 0 || self.inbox.may_hold_more());
        if self.protocol_error.is_some() {
            self.inbox = Inbox::new(&self.account);
        } else if has_input {
            self.protocol_error =
                requests::handle_messages(self.state, self.writer, &self.account, &mut self.inbox).err();
        }
        let now = self.state.clock.now();
        if written + read > 0 || has_input {
            self.writer.record_activity(now);
            self.yield_to_others();
            return Ok(());
        }
        self.rounds = 0;
        if let Some(reason) = self.close_reason(now) {
            return Err(reason);
        }
        self.waiting_since = now;
        self.stream.wait_io();
        Ok(())
    }

    /// Reads available input, and records the earliest time at which the input may have been sent.
    fn read(&mut self) -> Result<usize, CloseReason> {
        let starts_message = self.inbox.is_empty();
        let read = self.inbox.read(self.stream)?;
        // Input that came while the connection waited in the listener's queue is there at the first read.
        let queued_since = self.queued_since.take();
        if read > 0 {
            let sent =
                self.state.stall_detector.earliest_send_time(self.waiting_since, self.state.clock.now());
            let sent = queued_since.map_or(sent, |queued| queued.min(sent));
            self.inbox.record_send_time(sent, starts_message);
        }
        Ok(read)
    }

    /// Yields to other coroutines. Sleeps after `MAX_ROUNDS_WITHOUT_SLEEP` rounds, or when the sockets were not
    /// polled for too long.
    fn yield_to_others(&mut self) {
        self.rounds += 1;
        if self.rounds < MAX_ROUNDS_WITHOUT_SLEEP {
            // Other coroutines may have become ready during this round.
            may::coroutine::yield_now();
        }
        // The worker doesn't poll the sockets while any coroutine is ready to run: connections that always have data to
        // transfer would starve all others.
        while self.rounds >= MAX_ROUNDS_WITHOUT_SLEEP
            || self.state.stall_detector.is_event_poll_overdue(self.state.clock.now())
        {
            self.rounds = 0;
            self.state.sleep(YIELD_SLEEP);
        }
    }

    /// Why this gateway closes a connection without input or output, if so. A connection stays open while a response is
    /// outstanding that the client may still read.
    fn close_reason(&self, now: Timestamp) -> Option<CloseReason> {
        let idle = now.since(self.writer.last_activity());
        if self.writer.has_only_unsent_responses() && idle >= self.state.settings.unsent_response_timeout {
            return Some(CloseReason::ResponsesUnread);
        }
        if !self.writer.is_idle() {
            return None;
        }
        if self.protocol_error.is_some() {
            return self.protocol_error;
        }
        if self.writer.awaiting_message_since().is_some_and(|since| now.since(since) >= MESSAGE_TIMEOUT) {
            return Some(CloseReason::IncompleteMessage);
        }
        if self.writer.should_close() {
            return Some(CloseReason::Evicted);
        }
        if idle >= IDLE_TIMEOUT {
            return Some(CloseReason::Idle);
        }
        self.state.shutdown.is_complete().then_some(CloseReason::ShuttingDown)
    }
}
