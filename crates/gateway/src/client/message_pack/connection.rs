//! Serves one MessagePack-RPC connection from its registration to its close.

use super::inbox::Inbox;
use super::requests;
use crate::client::CloseReason;
use crate::client::input_clock::InputClock;
use crate::client::linger::linger;
use crate::client::listener::AcceptedConnection;
use crate::client::pacing::Pacer;
use crate::client::readiness::has_client_left;
use crate::client::transfer::transferred_bytes;
use crate::codec::message_pack::MessageError;
use crate::state::State;
use crate::state::client_connections::ClientConnection;
use crate::state::memory::MemoryAccount;
use crate::state::response_writer::ResponseWriter;
use larchfall_policy::time::Timestamp;
use may::io::WaitIo;
use may::net::TcpStream;
use slog::info;
use std::io::Write;
use std::sync::Arc;

/// Number of rounds of reads and writes that a connection makes before its coroutine sleeps and lets others run.
const MAX_ROUNDS_WITHOUT_SLEEP: usize = 8;

/// Serves a connection until it ends, closes the socket and logs the reason.
pub(super) fn serve(state: &Arc<State>, accepted: AcceptedConnection) {
    let account = state.response_memory.account();
    let writer = Arc::new(ResponseWriter::new(accepted.connection.clone(), account));
    let reason = MessageExchange::new(state, &accepted, &writer).run();
    for request in writer.cancel_all() {
        state.policy.record_disconnection(request);
    }
    writer.discard_unsent();
    // A client that sent no complete message has no response outstanding.
    if !reason.is_by_client() && writer.has_sent_message() {
        linger(state, &accepted.stream);
    }
    let from = accepted.from;
    drop(accepted);
    info!(state.log, "client connection ended";
        "from" => from.to_string(), "reason" => reason.code(), "detail" => reason.detail());
}

/// The exchange of messages and responses on one connection.
struct MessageExchange<'a> {
    state: &'a Arc<State>,
    stream: &'a TcpStream,
    connection: &'a Arc<ClientConnection>,
    writer: &'a Arc<ResponseWriter>,
    /// Account for the memory of the connection's input and requests.
    account: Arc<MemoryAccount>,
    inbox: Inbox,
    input_clock: InputClock,
    /// Set when the connection closes before its client does: it violated the protocol, or its place is needed. Further
    /// input is discarded, and outstanding responses are still sent.
    closing: Option<CloseReason>,
    pacer: Pacer,
}

impl<'a> MessageExchange<'a> {
    fn new(
        state: &'a Arc<State>,
        accepted: &'a AcceptedConnection,
        writer: &'a Arc<ResponseWriter>,
    ) -> MessageExchange<'a> {
        let account = state.request_memory.account();
        MessageExchange {
            state,
            stream: &accepted.stream,
            connection: &accepted.connection,
            writer,
            inbox: Inbox::new(&account),
            account,
            input_clock: InputClock::new(accepted.queued_since),
            closing: None,
            pacer: Pacer::new(MAX_ROUNDS_WITHOUT_SLEEP),
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
        let read = if is_backlogged {
            self.input_clock.record_pause(self.state.clock.now());
            0
        } else {
            self.read()?
        };
        let has_input = !is_backlogged && (read > 0 || self.inbox.may_hold_more());
        // Requests of a client that has left are not admitted, however much of its input is unread.
        if (has_input || is_backlogged) && has_client_left(self.stream) {
            return Err(CloseReason::ClientClosed);
        }
        if self.closing.is_some() {
            self.inbox = Inbox::new(&self.account);
        } else if has_input {
            self.closing = self.handle_input().err();
        }
        let now = self.state.clock.now();
        if written + read > 0 || has_input {
            self.connection.update(|activity| activity.record_transfer(now));
            self.pacer.end_round(self.state);
            return Ok(());
        }
        self.pacer.record_wait();
        match self.close_reason(now) {
            Some(CloseReason::Evicted) if self.reject_incomplete() => return Ok(()),
            Some(reason) => return Err(reason),
            None => {}
        }
        self.input_clock.record_wait(now);
        self.stream.wait_io();
        Ok(())
    }

    /// Reads available input, and records the earliest time at which the input may have been sent.
    fn read(&mut self) -> Result<usize, CloseReason> {
        let starts_message = self.inbox.is_empty();
        let read = self.inbox.read(self.stream)?;
        if let Some(sent) = self.input_clock.record_read(self.state, read) {
            self.inbox.record_send_time(sent, starts_message);
        }
        Ok(read)
    }

    /// Handles the complete messages that were read, and records what is left.
    fn handle_input(&mut self) -> Result<(), CloseReason> {
        let handled = requests::handle_messages(self.state, self.writer, &self.account, &mut self.inbox)
            .inspect_err(|reason| self.refuse_malformed(*reason))?;
        let (has_complete, has_incomplete) = (handled > 0, !self.inbox.is_empty());
        let now = self.state.clock.now();
        self.connection.update(|activity| activity.record_messages(has_complete, has_incomplete, now));
        Ok(())
    }

    /// Responds to a request with too many values, whose message id is known before they come.
    fn refuse_malformed(&self, reason: CloseReason) {
        if let CloseReason::MalformedMessage(error @ MessageError::TooManyValues) = reason
            && let Some(message_id) = self.inbox.incomplete_request_id()
        {
            requests::refuse_malformed(self.state, self.writer, message_id, error);
        }
    }

    /// Rejects a request of which only a part was received, because its connection is closed for another client. Returns
    /// false if there is none.
    fn reject_incomplete(&mut self) -> bool {
        let message_id = self.inbox.incomplete_request_id().filter(|_| self.closing.is_none());
        let Some(message_id) = message_id else { return false };
        self.closing = Some(CloseReason::Evicted);
        requests::reject_incomplete(self.state, self.writer, message_id);
        true
    }

    /// Why this gateway closes a connection without input or output, if so. A connection stays open while a response is
    /// outstanding that the client may still read.
    fn close_reason(&self, now: Timestamp) -> Option<CloseReason> {
        let is_busy = self.connection.update(|activity| activity.is_busy());
        if self.writer.has_only_unsent_responses() {
            let idle = self.connection.update(|activity| now.since(activity.last_activity()));
            return (idle >= self.state.settings.unsent_response_timeout)
                .then_some(CloseReason::ResponsesUnread);
        }
        if is_busy {
            return None;
        }
        if self.closing.is_some() {
            return self.closing;
        }
        let end = self.connection.end(now).map(CloseReason::from);
        end.or_else(|| self.state.shutdown.is_complete().then_some(CloseReason::ShuttingDown))
    }
}
