//! Serves one connection: reads calls and writes their responses, one call at a time. The coroutine waits for its socket
//! only, also while a call waits for its page, whose arrival wakes it.

use super::calls::{self, CallOrigin, Target};
use super::pages::AwaitedCall;
use super::readership::Readership;
use super::service::RestService;
use super::{responses, statement};
use crate::client::CloseReason;
use crate::client::input_clock::InputClock;
use crate::client::linger::linger;
use crate::client::listener::AcceptedConnection;
use crate::client::pacing::Pacer;
use crate::client::readiness::{has_client_left, has_unread_input};
use crate::client::transfer::transferred_bytes;
use crate::state::State;
use crate::state::budgeted_buffer::BudgetedBuffer;
use crate::state::client_connections::ClientConnection;
use crate::state::memory::{MemoryAccount, Purpose, Reservation};
use crate::state::timers::WakeUp;
use larchfall_paged_rest::call::{self, Call, CallError, Method, Progress, Response};
use larchfall_paged_rest::page_address::PageAddress;
use larchfall_policy::time::{Duration, Timestamp};
use may::io::WaitIo;
use may::net::TcpStream;
use slog::info;
use std::io::{Read, Write};
use std::sync::Arc;

/// Maximum number of bytes per read from the socket.
const CHUNK_BYTES: usize = 4 * 1024;
/// Maximum time for which a call queues for a slot.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(2_000);
/// Number of steps that a connection makes before its coroutine sleeps and lets others run. A call takes about three.
const MAX_STEPS_WITHOUT_SLEEP: usize = 32;

/// Serves a connection until it ends, closes the socket and logs the reason.
pub(super) fn serve(state: &Arc<State>, service: &Arc<RestService>, accepted: &AcceptedConnection) {
    let mut exchange = CallExchange::new(state, service, accepted);
    let reason = exchange.run();
    exchange.end(reason);
    if !reason.is_by_client() && exchange.has_responded {
        linger(state, &accepted.stream);
    }
    info!(state.log, "paged REST connection ended";
        "from" => accepted.from.to_string(), "reason" => reason.code(), "detail" => reason.detail());
}

/// A call that queues for a slot, with its memory.
struct QueuedCall {
    call: Call,
    page: Option<PageAddress>,
    _memory: Reservation,
    /// When the call is rejected, and what wakes the connection then; `None` until the call found no slot.
    deadline: Option<(Timestamp, WakeUp)>,
}

/// The exchange of calls and responses on one connection.
struct CallExchange<'a> {
    state: &'a Arc<State>,
    service: &'a Arc<RestService>,
    stream: &'a TcpStream,
    connection: &'a Arc<ClientConnection>,
    /// Account for the memory of the connection's input and requests.
    account: Arc<MemoryAccount>,
    input: BudgetedBuffer,
    input_clock: InputClock,
    /// Earliest time at which the first byte of the next call may have been sent.
    call_sent: Timestamp,
    /// Earliest time at which the bytes that were read last may have been sent.
    last_sent: Timestamp,
    /// Whether input was read that was not looked at yet.
    has_new_input: bool,
    /// Whether `100 Continue` was sent for the call that is being read.
    sent_continue: bool,
    /// The call that queues for a slot; no other is read meanwhile.
    queued: Option<QueuedCall>,
    /// The call that waits for its page; no other is read meanwhile.
    awaited: Option<AwaitedCall>,
    /// The results that the client reads on this connection.
    readership: Readership,
    /// The part of the response that is not written yet.
    unsent: BudgetedBuffer,
    /// Whether any response was written.
    has_responded: bool,
    /// Why the connection closes once the response is written.
    closes: Option<CloseReason>,
    pacer: Pacer,
}

impl<'a> CallExchange<'a> {
    fn new(
        state: &'a Arc<State>,
        service: &'a Arc<RestService>,
        accepted: &'a AcceptedConnection,
    ) -> CallExchange<'a> {
        let account = state.request_memory.account();
        CallExchange {
            state,
            service,
            stream: &accepted.stream,
            connection: &accepted.connection,
            input: BudgetedBuffer::new(account.empty_reservation(Purpose::ClientInput)),
            account,
            input_clock: InputClock::new(accepted.queued_since),
            call_sent: accepted.queued_since,
            last_sent: accepted.queued_since,
            has_new_input: false,
            sent_continue: false,
            queued: None,
            awaited: None,
            readership: Readership::default(),
            unsent: BudgetedBuffer::new(state.response_memory.account().empty_reservation(Purpose::Response)),
            has_responded: false,
            closes: None,
            pacer: Pacer::new(MAX_STEPS_WITHOUT_SLEEP),
        }
    }

    /// Runs until the connection ends.
    fn run(&mut self) -> CloseReason {
        loop {
            if let Err(reason) = self.run_round() {
                return reason;
            }
        }
    }

    /// Does what can be done without waiting. If that was nothing, closes the connection where due, or waits for the
    /// socket.
    fn run_round(&mut self) -> Result<(), CloseReason> {
        let has_progressed = self.make_progress()?;
        let is_busy = self.awaited.is_some() || !self.unsent.is_empty();
        self.connection.update(|activity| activity.set_busy(is_busy));
        if has_progressed {
            self.pacer.end_round(self.state);
            return Ok(());
        }
        let now = self.state.clock.now();
        match self.close_reason(now) {
            Some(reason) if self.queued.is_some() => {
                self.closes = Some(reason);
                self.reject_queued();
                return Ok(());
            }
            Some(CloseReason::Evicted) if !self.input.is_empty() => {
                let response = responses::over_limits(self.state);
                self.respond_and_close(&response, CloseReason::Evicted);
                return Ok(());
            }
            Some(reason) => return Err(reason),
            None => {}
        }
        self.pacer.record_wait();
        self.input_clock.record_wait(now);
        self.stream.wait_io();
        Ok(())
    }

    /// Takes the next step of the exchange. Returns false if it has to wait for the client or for a page.
    fn make_progress(&mut self) -> Result<bool, CloseReason> {
        if !self.unsent.is_empty() {
            self.pause_reading();
            return self.write();
        }
        let is_waiting = self.queued.is_some() || self.awaited.is_some();
        if is_waiting && has_client_left(self.stream) {
            return Err(CloseReason::ClientClosed);
        }
        if let Some(reason) = self.closes.filter(|_| !is_waiting) {
            return Err(reason);
        }
        if let Some(queued) = self.queued.take() {
            self.pause_reading();
            return Ok(self.start_queued(queued));
        }
        if let Some(awaited) = &self.awaited {
            let (response, method) = (awaited.poll(self.state, self.service), awaited.method());
            self.pause_reading();
            return Ok(response.map(|response| self.respond(&response, method)).is_some());
        }
        if self.has_new_input {
            self.has_new_input = false;
            return self.process_input();
        }
        self.read()
    }

    fn pause_reading(&mut self) {
        let now = self.state.clock.now();
        self.input_clock.record_pause(now);
    }

    /// Handles the next call if it is complete.
    fn process_input(&mut self) -> Result<bool, CloseReason> {
        let decoded = call::decode(&self.input, self.service.settings().max_statement_bytes);
        let is_complete = matches!(decoded, Ok(Progress::Complete { .. }));
        // Calls of a client that has left are not handled, however much of its input is unread.
        if is_complete && has_client_left(self.stream) {
            return Err(CloseReason::ClientClosed);
        }
        match decoded {
            Ok(Progress::Complete { call, length }) => {
                self.input.remove_front(length);
                self.has_new_input = !self.input.is_empty();
                self.handle(call, length);
            }
            Ok(Progress::ExpectsContinue) if !self.sent_continue => {
                self.sent_continue = true;
                self.unsent.append_with(|unsent| unsent.extend_from_slice(call::CONTINUE_RESPONSE));
            }
            Ok(Progress::Incomplete | Progress::ExpectsContinue) => {}
            Err(error) => self.reject_malformed(error),
        }
        let (has_rest, now) = (!self.input.is_empty(), self.state.clock.now());
        self.connection.update(|activity| activity.record_messages(is_complete, has_rest, now));
        Ok(true)
    }

    /// Handles a call of `length` bytes: responds to it, begins to wait for its page, or queues for a slot.
    fn handle(&mut self, call: Call, length: usize) {
        self.sent_continue = false;
        if call.closes_connection {
            self.closes = Some(CloseReason::CloseRequested);
        } else if self.state.shutdown.is_complete() {
            self.closes = Some(CloseReason::ShuttingDown);
        }
        let page = match calls::dispatch(self.state, self.service, &call) {
            Target::Immediate(response) => return self.respond(&response, call.method),
            Target::Page(page) => Some(page),
            Target::Statement => None,
        };
        let Ok(memory) = self.account.reserve(Purpose::ClientInput, length) else {
            let response = responses::over_limits(self.state);
            return self.respond(&response, call.method);
        };
        self.start_queued(QueuedCall { call, page, _memory: memory, deadline: None });
    }

    /// Starts a call if there is a slot for it. Returns false if it still queues.
    fn start_queued(&mut self, mut queued: QueuedCall) -> bool {
        let Some(slot) = self.service.acquire_call_slot(self.connection) else {
            let now = self.state.clock.now();
            let (deadline, _) = queued.deadline.get_or_insert_with(|| {
                let deadline = now + MAX_QUEUE_TIME;
                (deadline, self.state.timers.wake_at(deadline, self.connection))
            });
            let is_overdue = now >= *deadline;
            self.queued = Some(queued);
            return is_overdue && self.reject_queued();
        };
        let origin =
            CallOrigin { connection: self.connection, account: &self.account, sent: self.call_sent, slot };
        let QueuedCall { call, page, .. } = queued;
        let started = match page {
            Some(page) => {
                self.readership.add(self.state, self.service, page.result);
                Ok(AwaitedCall::for_page(self.state, self.service, origin, &call, page))
            }
            None => statement::submit(self.state, self.service, origin, &call)
                .inspect(|awaited| self.readership.add_opened(self.service, awaited.result())),
        };
        match started {
            Ok(awaited) => self.awaited = Some(awaited),
            Err(response) => self.respond(&response, call.method),
        }
        true
    }

    /// Rejects the call that queues for a slot. Returns false if there is none.
    fn reject_queued(&mut self) -> bool {
        let Some(queued) = self.queued.take() else { return false };
        self.service.leave_call_queue(self.connection);
        let response = responses::over_limits(self.state);
        self.respond(&response, queued.call.method);
        true
    }

    /// Queues the response to the call with this method.
    fn respond(&mut self, response: &Response, method: Method) {
        // Input that comes from now on is an answer to this response, and has not waited for it.
        if !has_unread_input(self.stream) {
            self.input_clock.record_all_read();
        }
        self.awaited = None;
        self.call_sent = self.last_sent;
        self.has_responded = true;
        let bytes = response.encode(self.closes.is_some(), method);
        self.unsent.append_with(|unsent| unsent.extend_from_slice(&bytes));
    }

    /// Queues the last response of the connection.
    fn respond_and_close(&mut self, response: &Response, reason: CloseReason) {
        self.closes = Some(reason);
        self.respond(response, Method::Other);
    }

    /// Responds to malformed input with an error.
    fn reject_malformed(&mut self, error: CallError) {
        let response = responses::invalid_call(error.status(), &error.to_string());
        self.respond_and_close(&response, CloseReason::MalformedCall(error));
    }

    /// Reads more input. Rejects the call if the memory budget does not admit it; the rest of the call is not read.
    fn read(&mut self) -> Result<bool, CloseReason> {
        let starts_call = self.input.is_empty();
        let room = self.input.next_read_bytes(CHUNK_BYTES);
        if room == 0 {
            let response = responses::over_limits(self.state);
            self.respond_and_close(&response, CloseReason::OverMemoryBudget);
            return Ok(true);
        }
        let mut chunk = [0; CHUNK_BYTES];
        let mut socket = self.stream.inner();
        let result = socket.read(&mut chunk[..room]);
        if matches!(result, Ok(0)) {
            return Err(CloseReason::ClientClosed);
        }
        let count = transferred_bytes(result)?;
        let Some(sent) = self.input_clock.record_read(self.state, count) else { return Ok(false) };
        self.input.append_with(|input| input.extend_from_slice(&chunk[..count]));
        self.has_new_input = true;
        self.last_sent = sent;
        if starts_call {
            self.call_sent = sent;
        }
        self.record_transfer();
        Ok(true)
    }

    /// Writes as much of the response as the socket takes.
    fn write(&mut self) -> Result<bool, CloseReason> {
        let mut socket = self.stream.inner();
        let written = transferred_bytes(socket.write(&self.unsent))?;
        self.unsent.remove_front(written);
        if written > 0 {
            self.record_transfer();
        }
        Ok(written > 0)
    }

    fn record_transfer(&self) {
        let now = self.state.clock.now();
        self.connection.update(|activity| activity.record_transfer(now));
    }

    /// Why this gateway closes a connection without input or output, if so.
    fn close_reason(&mut self, now: Timestamp) -> Option<CloseReason> {
        if !self.unsent.is_empty() {
            let idle = self.connection.update(|activity| now.since(activity.last_activity()));
            return (idle >= self.state.settings.unsent_response_timeout)
                .then_some(CloseReason::ResponsesUnread);
        }
        if self.awaited.is_some() {
            return None;
        }
        let end = self.connection.end(now).map(CloseReason::from);
        end.or_else(|| self.state.shutdown.is_complete().then_some(CloseReason::ShuttingDown))
    }

    /// Ends the wait of a call whose connection has ended, and the reading of results if the client has left.
    fn end(&mut self, reason: CloseReason) {
        if self.queued.take().is_some() {
            self.service.leave_call_queue(self.connection);
        }
        if let Some(awaited) = self.awaited.take() {
            awaited.stop_waiting(self.state, self.service, reason.is_departure());
        }
        if reason.is_departure() {
            self.readership.end(self.state, self.service);
        }
    }
}
