//! One connection from its registration to its end.

use super::inbox::Inbox;
use super::requests;
use crate::client::CloseReason;
use crate::state::State;
use crate::state::client_connections::RegisteredConnection;
use crate::state::response_writer::ResponseWriter;
use larchfall_policy::time::{Duration, Timestamp};
use may::io::WaitIo;
use may::net::TcpStream;
use slog::info;
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;

/// Clients close connections that were idle for 4 s; one that stays open for longer keeps others out.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// A message that has begun, or the first one of a connection, is complete by then. A client that connects and sends
/// nothing, or stops half way, would hold a descriptor.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Reads or writes without a pause; after them others run.
const MAX_TURNS: usize = 8;
const PAUSE: Duration = Duration::from_millis(5);
/// Input is discarded for so long on a connection that this gateway closes. With unread bytes the close would be a
/// reset, and the reset would drop responses that are still on their way.
const LINGER: Duration = Duration::from_millis(50);

/// A connection that is counted among this gateway's.
pub struct Connection {
    stream: TcpStream,
    from: SocketAddr,
    id: usize,
    writer: Arc<ResponseWriter>,
    /// Since when it may have waited in the listener's queue, where it may have.
    queued_since: Option<Timestamp>,
}

/// Counts a connection as soon as it is accepted. Its coroutine may first run much later, and connections accepted
/// meanwhile would use descriptors that are not there.
pub(super) fn register(
    state: &State,
    stream: TcpStream,
    from: SocketAddr,
    queued_since: Option<Timestamp>,
) -> Connection {
    let _ = stream.set_nodelay(true);
    let registered = state.client_connections.register(stream.waker(), state.clock.now());
    let RegisteredConnection { id, writer } = registered;
    Connection { stream, from, id, writer, queued_since }
}

/// Serves one connection to its end.
pub(super) fn serve(state: &Arc<State>, connection: Connection) {
    let Connection { stream, from, id, writer, queued_since } = connection;
    state.counters.update_gateway(|counters| {
        counters.client_connections += 1;
        counters.max_client_connections = counters.max_client_connections.max(state.client_connections.len());
    });
    let reason = Conversation::new(state, &stream, &writer, queued_since).run();
    for request in writer.cancel_all() {
        state.policy.record_disconnection(request);
    }
    // A client that sent no message waits for no response.
    if !reason.is_by_client() && writer.has_sent_message() {
        linger(state, &stream);
    }
    // The descriptor is free before another connection may take its place.
    drop(stream);
    state.client_connections.unregister(id);
    info!(state.log, "client connection ended";
        "from" => from.to_string(), "reason" => reason.code(), "detail" => reason.detail());
}

/// Tells the client that nothing more comes, and discards input until the client closes its end too.
fn linger(state: &State, stream: &TcpStream) {
    let until = state.clock.now() + LINGER;
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    while Inbox::default().read(stream).is_ok() && state.clock.now() < until {
        state.sleep(PAUSE);
    }
}

/// The messages and responses of one connection.
struct Conversation<'a> {
    state: &'a Arc<State>,
    stream: &'a TcpStream,
    writer: &'a Arc<ResponseWriter>,
    inbox: Inbox,
    queued_since: Option<Timestamp>,
    /// A client that broke the protocol is read no further, and still gets the responses that it is owed.
    protocol_error: Option<CloseReason>,
    /// When the coroutine last began to wait: input may have come at any time since. At first it is the distant past,
    /// since a new connection may have waited in the listener's queue for as long as a stall lasted.
    waited_since: Timestamp,
    /// Turns without a pause.
    turns: usize,
}

impl<'a> Conversation<'a> {
    fn new(
        state: &'a Arc<State>,
        stream: &'a TcpStream,
        writer: &'a Arc<ResponseWriter>,
        queued_since: Option<Timestamp>,
    ) -> Conversation<'a> {
        Conversation {
            state,
            stream,
            writer,
            inbox: Inbox::default(),
            queued_since,
            protocol_error: None,
            waited_since: Timestamp::default(),
            turns: 0,
        }
    }

    fn run(mut self) -> CloseReason {
        loop {
            if let Err(reason) = self.turn() {
                return reason;
            }
        }
    }

    /// Writes and reads what the socket is ready for, and waits for the socket where that was nothing.
    fn turn(&mut self) -> Result<(), CloseReason> {
        let written = self.writer.write(|bytes| if_ready(self.stream.inner().write(bytes)))?;
        let is_backlogged = self.writer.is_backlogged();
        let read = if is_backlogged { 0 } else { self.read()? };
        let has_input = !is_backlogged && (read > 0 || self.inbox.may_hold_more());
        if self.protocol_error.is_some() {
            self.inbox = Inbox::default();
        } else if has_input {
            self.protocol_error = requests::handle_messages(self.state, self.writer, &mut self.inbox).err();
        }
        let now = self.state.clock.now();
        if written + read > 0 || has_input {
            self.writer.record_activity(now);
            self.let_others_run();
            return Ok(());
        }
        self.turns = 0;
        if let Some(reason) = self.close_reason(now) {
            return Err(reason);
        }
        self.waited_since = now;
        self.stream.wait_io();
        Ok(())
    }

    fn read(&mut self) -> Result<usize, CloseReason> {
        let starts_message = self.inbox.is_empty();
        let read = self.inbox.read(self.stream)?;
        if read > 0 {
            let sent =
                self.state.stall_detector.earliest_send_time(self.waited_since, self.state.clock.now());
            let sent = self.queued_since.take().map_or(sent, |queued| queued.min(sent));
            self.inbox.note_sent(sent, starts_message);
        }
        Ok(read)
    }

    fn let_others_run(&mut self) {
        self.turns += 1;
        if self.turns < MAX_TURNS {
            // Others may have become ready while this one was served.
            may::coroutine::yield_now();
        }
        // While any coroutine is ready the worker does not poll for events: connections that always have something to
        // send would keep all others waiting.
        while self.turns >= MAX_TURNS
            || self.state.stall_detector.is_event_poll_overdue(self.state.clock.now())
        {
            self.turns = 0;
            self.state.sleep(PAUSE);
        }
    }

    /// Why this gateway closes a connection on which nothing happens, if it does: never while it owes a response there
    /// that the client may still read.
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

/// How many bytes were read or written; none when the socket is not ready.
pub(super) fn if_ready(result: io::Result<usize>) -> Result<usize, CloseReason> {
    match result {
        Ok(count) => Ok(count),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(0),
        Err(_) => Err(CloseReason::ClientReset),
    }
}
