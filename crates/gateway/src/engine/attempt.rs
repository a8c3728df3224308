//! Runs one attempt of a request on an engine: acquires a permit, sends the statement, and reports the outcome. The
//! modules `polling`, `cancellation` and `result_pages` implement polling, cancelling and reading the result.

use super::connection::{self, CallError, ConnectError, Connection};
use crate::codec::engine_http::{self, Reply, StartCall, StatementCall};
use crate::request_context::RequestContext;
use crate::state::State;
use crate::state::connection_permits::PermitWait;
use crate::state::connection_pool::ConnectionPermit;
use crate::state::engine_table::EngineInstance;
use larchfall_policy::attempt_ledger::proves_end;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{AttemptEvidence, AttemptParameters, LastObservation, LoadReport, Outcome};
use slog::info;
use std::cell::Cell;
use std::sync::Arc;

/// Timeout of one poll. Engines hold a poll for at most 250 ms, so a connection without a reply after this timeout is
/// treated as hung and replaced. A longer timeout would delay results that are ready and make their engine look slow.
pub(super) const POLL_TIMEOUT: Duration = Duration::from_millis(350);
/// Delay between two tries to reach an engine.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often an attempt that waits for this gateway to read its sockets checks whether that has happened; short, so
/// that the attempt continues at the same time as the requests that were read.
const INPUT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of connections on which the starting call is tried. Another connection is used only while no byte of
/// the call has been sent.
const MAX_CONNECTIONS_PER_CALL: usize = 2;
/// Maximum wait for a connection permit. When all file descriptors are in use, the attempt should fail without delay.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(20);

/// Outcome of an attempt, with the evidence of whether its statement may still run.
pub struct AttemptEnd {
    /// The outcome that is recorded for the attempt.
    pub outcome: Outcome,
    /// The engine's load; its fields are `None` where the engine reported nothing.
    pub load_report: LoadReport,
    /// The last observation of the attempt's statement on the engine.
    pub evidence: AttemptEvidence,
    /// Whether the result ended early after some of its rows were passed to the client. The request can then only end
    /// in an error.
    pub is_truncated: bool,
    /// Whether the attempt timed out and its ordering key stays blocked until the statement has ended. `evidence` is
    /// not valid until `Attempt::cancel_timed_out` has returned.
    pub is_cancel_pending: bool,
}

impl AttemptEnd {
    /// The end of an attempt that sent no byte to the engine.
    pub fn not_sent(outcome: Outcome) -> AttemptEnd {
        let evidence = AttemptEvidence { last: LastObservation::NotSent, same_process: true };
        AttemptEnd::new(outcome, evidence)
    }

    fn new(outcome: Outcome, evidence: AttemptEvidence) -> AttemptEnd {
        AttemptEnd {
            outcome,
            load_report: LoadReport::default(),
            evidence,
            is_truncated: false,
            is_cancel_pending: false,
        }
    }
}

/// Whether an attempt continues, as checked between two calls to the engine.
pub(super) enum AttemptCheck {
    Continue,
    Cancel,
    TimedOut,
}

/// An attempt in flight.
pub struct Attempt<'a> {
    pub(super) state: &'a Arc<State>,
    pub(super) context: &'a RequestContext,
    pub(super) request_index: usize,
    pub(super) attempt_number: u8,
    parameters: AttemptParameters,
    /// The engine process to which the policy routed the attempt.
    pub instance: EngineInstance,
    /// When the attempt was routed.
    pub started: Timestamp,
    /// Permit to hold one connection. Acquired before the first connection is opened, and held until the attempt has
    /// ended or a background cancellation has taken over the permit.
    pub(super) permit: Cell<Option<ConnectionPermit>>,
    /// The connection on which `cancel_timed_out` sends the cancellation.
    pub(super) cancel_connection: Cell<Option<Connection>>,
    /// When the last call to the engine ended. The engine may have received a poll until then.
    pub(super) last_call_end: Cell<Timestamp>,
    /// Whether the engine process at the other end of the current connection is known to have received this attempt.
    pub(super) same_process: Cell<bool>,
}

impl<'a> Attempt<'a> {
    /// Starts an attempt; `None` when the engine is no longer in the endpoint list.
    pub fn new(
        state: &'a Arc<State>,
        context: &'a RequestContext,
        request_index: usize,
        attempt_number: u8,
        parameters: AttemptParameters,
    ) -> Option<Attempt<'a>> {
        let instance = state.policy.engine_instance(parameters.engine)?;
        let started = state.clock.now();
        Some(Attempt {
            state,
            context,
            request_index,
            attempt_number,
            parameters,
            instance,
            started,
            permit: Cell::new(None),
            cancel_connection: Cell::new(None),
            last_call_end: Cell::new(started),
            same_process: Cell::new(true),
        })
    }

    /// The attempt's deadline: its timeout or the shutdown deadline of this gateway, whichever comes first.
    pub(super) fn deadline(&self) -> Timestamp {
        let deadline = self.started + self.parameters.timeout;
        self.state.shutdown.deadline().map_or(deadline, |shutdown| deadline.min(shutdown))
    }

    /// Whether the attempt's deadline has passed.
    pub(super) fn is_past_deadline(&self) -> bool {
        self.state.clock.now() >= self.deadline()
    }

    /// Runs the attempt to its end. Without a permit nothing is sent, and the outcome doesn't count against the engine.
    pub fn run(&self) -> AttemptEnd {
        let wait = PermitWait { timers: &self.state.timers, deadline: self.started + PERMIT_TIMEOUT };
        let permit = self.state.engine_connections.acquire(self.parameters.priority, Some(wait));
        if permit.is_none() {
            return AttemptEnd::not_sent(Outcome::NotSent);
        }
        self.permit.set(permit);
        self.start()
    }

    /// Sends the call that starts the statement, and polls the engine until the statement has ended.
    fn start(&self) -> AttemptEnd {
        for _ in 0..MAX_CONNECTIONS_PER_CALL {
            let mut connection = match self.connect(self.deadline()) {
                Ok(connection) => connection,
                Err(error) => return self.connect_failed(error),
            };
            if !self.may_start() {
                self.return_connection(Some(connection));
                return AttemptEnd::not_sent(Outcome::NotSent);
            }
            // If no byte of the call was sent, the loop repeats the call on a new connection.
            let StartCall { head, body } = self.start_call();
            match self.call_with_body(&mut connection, &head, body, POLL_TIMEOUT) {
                Err(CallError::NotSent) => {}
                reply => {
                    // Every reply on this connection comes from the process that received or declined the call.
                    self.same_process.set(true);
                    return self.poll_until_end(connection, reply);
                }
            }
        }
        self.connect_failed(ConnectError::Unreachable)
    }

    /// The end of an attempt that got no connection and sent no byte. If the attempt's own deadline has passed, the
    /// failure doesn't count against the engine.
    fn connect_failed(&self, error: ConnectError) -> AttemptEnd {
        let is_out_of_time = error == ConnectError::Unreachable && self.is_past_deadline();
        AttemptEnd::not_sent(if is_out_of_time { Outcome::NotSent } else { Outcome::ConnectFailed })
    }

    /// Whether the starting call may be sent now; checked right before each write. While the attempt waited for a
    /// connection, the client may have disconnected, the engine may have been replaced (the address may belong to a
    /// process of another kind, to one in slow start, or to an unrelated one), or the deduplication window of a retry
    /// may have ended. After a stall, or when the sockets were not polled recently, waits until pending input was read.
    fn may_start(&self) -> bool {
        let was_behind_discovery = self.state.is_behind_discovery();
        while self.state.may_have_unread_input() && !self.is_past_deadline() {
            self.state.sleep(INPUT_CHECK_INTERVAL);
        }
        // A discovery event that arrived during a stall may be read only after the event's grace period has ended.
        let since_routed = self.state.clock.now().since(self.started);
        let is_recently_routed =
            !was_behind_discovery && since_routed < self.state.settings.drain_send_window;
        !self.is_past_deadline()
            && self.state.policy.may_start_attempt(
                self.request_index,
                self.attempt_number,
                self.instance,
                is_recently_routed,
            )
    }

    /// Encodes the call that starts the statement, with the time that remains now until the deadline.
    fn start_call(&self) -> StartCall<'_> {
        let call = StatementCall {
            id: &self.context.id,
            class: &self.state.settings.names.classes[self.context.class],
            remaining: self.deadline().since(self.state.clock.now()),
            idempotency_key: self.context.idempotency_key.as_deref(),
            memory_grant_mb: self.parameters.memory_grant_mb,
            priority: self.parameters.priority,
            statement: &self.context.statement,
        };
        engine_http::encode_start_call(self.instance.address, &call)
    }

    /// Ends the attempt with its last observation. Logs an attempt in key order that may still be running.
    pub(super) fn finish(&self, last: LastObservation, outcome: Outcome) -> AttemptEnd {
        let evidence = AttemptEvidence { last, same_process: self.same_process.get() };
        if self.context.in_order && !proves_end(evidence) {
            info!(self.state.log, "end of attempt not observed"; "last" => format!("{last:?}"),
                "id" => &self.context.id, "attempt" => self.attempt_number, "engine" => self.instance.engine,
                "address" => self.instance.address.to_string());
        }
        AttemptEnd::new(outcome, evidence)
    }

    /// Makes a call to the engine that ends at `timeout` or at the attempt's deadline, whichever comes first.
    pub(super) fn call(
        &self,
        connection: &mut Connection,
        call: &[u8],
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.call_with_body(connection, call, &[], timeout)
    }

    /// Like `call`, for a call with a body.
    fn call_with_body(
        &self,
        connection: &mut Connection,
        head: &[u8],
        body: &[u8],
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let deadline = self.deadline().min(self.state.clock.now() + timeout);
        let reply = connection.call_with_body(head, body, &self.state.clock, deadline);
        self.last_call_end.set(self.state.clock.now());
        reply
    }

    /// Takes an idle connection from the pool or opens a new one. Which process is at its other end is not yet known.
    pub(super) fn connect(&self, deadline: Timestamp) -> Result<Connection, ConnectError> {
        self.same_process.set(false);
        connection::connect(self.state, self.instance, deadline)
    }

    /// Returns the connection, if any, to the pool.
    pub(super) fn return_connection(&self, connection: Option<Connection>) {
        if let Some(connection) = connection {
            self.state.engine_connections.put_back(connection, self.state.clock.now());
        }
    }
}

/// Keeps a connection after a reply, unless the engine closes the connection or unexpected bytes have arrived: those
/// bytes would be read as the reply to the next call.
pub(super) fn keep_if_reusable(
    connection: Option<Connection>,
    closes_connection: bool,
) -> Option<Connection> {
    connection.filter(|connection| !closes_connection && connection.is_reusable())
}
