//! One attempt, from its permit and its one call to an engine to its outcome. How its end is polled for, how it is
//! cancelled and how its result is read stand in modules of their own.

use super::connection::{self, CallError, ConnectError, Connection};
use crate::codec::engine_http::{self, Reply, StatementCall};
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

/// An engine answers a poll after 250 ms at the latest. A connection that takes longer than this hangs, and another is
/// opened: a result that is there waits meanwhile, and its engine looks slow.
pub(super) const POLL_TIMEOUT: Duration = Duration::from_millis(350);
/// The pause between two tries to reach an engine.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Whoever waits until this gateway has read its sockets goes on in the same moment as those who were read.
const INPUT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Connections that one call may be tried on, as long as not a byte of it left.
const MAX_CONNECTIONS_PER_CALL: usize = 2;
/// An attempt that finds all descriptors in use is better told so at once.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(20);

/// What an attempt came to.
pub struct AttemptEnd {
    /// Its outcome.
    pub outcome: Outcome,
    /// The engine's load, where it told.
    pub load_report: LoadReport,
    /// What was last observed of it.
    pub evidence: AttemptEvidence,
    /// Its rows broke off after some were handed to the client: the request can only end in an error.
    pub is_truncated: bool,
    /// Its time ran out and its key waits for its end: `evidence` holds nothing until `Attempt::cancel_timed_out` was called.
    pub is_cancel_pending: bool,
}

impl AttemptEnd {
    /// An attempt of which nothing left.
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

/// What a check between two calls found.
pub(super) enum Check {
    Continue,
    Cancel,
    TimedOut,
}

/// One attempt in flight.
pub struct Attempt<'a> {
    pub(super) state: &'a Arc<State>,
    pub(super) context: &'a RequestContext,
    pub(super) request: usize,
    pub(super) number: u8,
    parameters: AttemptParameters,
    /// The process that it was routed to.
    pub instance: EngineInstance,
    /// When it was routed.
    pub started: Timestamp,
    /// Held from before the first connection is taken until the attempt is over, or handed on with its cancellation.
    pub(super) permit: Cell<Option<ConnectionPermit>>,
    /// The connection on which `cancel_timed_out` tells the engine to stop.
    pub(super) cancel_connection: Cell<Option<Connection>>,
    /// When the engine may last have been polled: the end of the last call.
    pub(super) last_call: Cell<Timestamp>,
    /// Whether the process at the other end of the present connection is known to have this attempt.
    pub(super) same_process: Cell<bool>,
}

impl<'a> Attempt<'a> {
    /// `None` where the engine is no longer known.
    pub fn new(
        state: &'a Arc<State>,
        context: &'a RequestContext,
        request: usize,
        number: u8,
        parameters: AttemptParameters,
    ) -> Option<Attempt<'a>> {
        let instance = state.policy.engine_instance(parameters.engine)?;
        let started = state.clock.now();
        Some(Attempt {
            state,
            context,
            request,
            number,
            parameters,
            instance,
            started,
            permit: Cell::new(None),
            cancel_connection: Cell::new(None),
            last_call: Cell::new(started),
            same_process: Cell::new(true),
        })
    }

    /// The attempt's timeout, or the end of this gateway when that comes first.
    pub(super) fn deadline(&self) -> Timestamp {
        let deadline = self.started + self.parameters.timeout;
        self.state.shutdown.deadline().map_or(deadline, |shutdown| deadline.min(shutdown))
    }

    pub(super) fn is_past_deadline(&self) -> bool {
        self.state.clock.now() >= self.deadline()
    }

    /// Makes the attempt. Without a permit nothing is sent, and that says nothing of the engine.
    pub fn run(&self) -> AttemptEnd {
        let wait = PermitWait { timers: &self.state.timers, deadline: self.started + PERMIT_TIMEOUT };
        let permit = self.state.engine_connections.acquire(self.parameters.priority, Some(wait));
        if permit.is_none() {
            return AttemptEnd::not_sent(Outcome::NotSent);
        }
        self.permit.set(permit);
        self.start()
    }

    /// Sends the call that starts the statement, and follows it to its end.
    fn start(&self) -> AttemptEnd {
        for _ in 0..MAX_CONNECTIONS_PER_CALL {
            let mut connection = match self.connect(self.deadline()) {
                Ok(connection) => connection,
                Err(error) => return self.not_connected(error),
            };
            if !self.may_start() {
                self.put_back(Some(connection));
                return AttemptEnd::not_sent(Outcome::NotSent);
            }
            // A call of which nothing left is no attempt: a new connection may carry it.
            match self.call(&mut connection, &self.start_call(), POLL_TIMEOUT) {
                Err(CallError::NotSent) => {}
                reply => {
                    // What comes on the call's own connection is said by the process that has it, or declined it.
                    self.same_process.set(true);
                    return self.poll_until_end(connection, reply);
                }
            }
        }
        self.not_connected(ConnectError::Unreachable)
    }

    /// No byte left. An attempt that ran out of time before says nothing of the engine.
    fn not_connected(&self, error: ConnectError) -> AttemptEnd {
        let is_out_of_time = error == ConnectError::Unreachable && self.is_past_deadline();
        AttemptEnd::not_sent(if is_out_of_time { Outcome::NotSent } else { Outcome::ConnectFailed })
    }

    /// Whether the call may go out now, asked right before each write of it. While it waited for its connection its
    /// client may have disconnected, its engine may have been replaced (another process may have the address, of another
    /// kind, in slow start, or unrelated), or the deduplication window of a retry may have ended. A gateway that stalled,
    /// or has not polled its sockets lately, first reads what came meanwhile.
    fn may_start(&self) -> bool {
        let was_behind_discovery = self.state.is_behind_discovery();
        while self.state.may_have_unread_input() && !self.is_past_deadline() {
            self.state.sleep(INPUT_CHECK_INTERVAL);
        }
        // What the discovery service sent during a stall may be past its grace period.
        let since_routed = self.state.clock.now().since(self.started);
        let is_recently_routed =
            !was_behind_discovery && since_routed < self.state.settings.drain_send_window;
        !self.is_past_deadline()
            && self.state.policy.may_start_attempt(
                self.request,
                self.number,
                self.instance,
                is_recently_routed,
            )
    }

    /// The call that starts the statement, with the time that its client has left now.
    fn start_call(&self) -> Vec<u8> {
        let call = StatementCall {
            id: &self.context.id,
            class: &self.state.settings.names.classes[self.context.class],
            remaining: self.deadline().since(self.state.clock.now()),
            idempotency_key: self.context.idempotency_key.as_deref(),
            memory_mb: self.parameters.memory_grant_mb,
            priority: self.parameters.priority,
            statement: &self.context.statement,
        };
        engine_http::encode_start_call(self.instance.address, &call)
    }

    /// An end with what was last observed of the attempt. What does not prove that nothing runs is logged.
    pub(super) fn end(&self, last: LastObservation, outcome: Outcome) -> AttemptEnd {
        let evidence = AttemptEvidence { last, same_process: self.same_process.get() };
        if self.context.in_order && !proves_end(evidence) {
            info!(self.state.log, "end of attempt not observed"; "last" => format!("{last:?}"),
                "id" => &self.context.id, "attempt" => self.number, "engine" => self.instance.engine,
                "address" => self.instance.address.to_string());
        }
        AttemptEnd::new(outcome, evidence)
    }

    /// Makes a call, within the attempt's own time.
    pub(super) fn call(
        &self,
        connection: &mut Connection,
        call: &[u8],
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let deadline = self.deadline().min(self.state.clock.now() + timeout);
        let reply = connection.call(call, &self.state.clock, deadline);
        self.last_call.set(self.state.clock.now());
        reply
    }

    /// An idle connection, or a new one: which process is at its other end is not known yet.
    pub(super) fn connect(&self, deadline: Timestamp) -> Result<Connection, ConnectError> {
        self.same_process.set(false);
        connection::connect(self.state, self.instance, deadline)
    }

    /// Gives a connection back to the pool, if there is one left.
    pub(super) fn put_back(&self, connection: Option<Connection>) {
        if let Some(connection) = connection {
            self.state.engine_connections.put_back(connection, self.state.clock.now());
        }
    }
}

/// Keeps a connection after a reply, unless the engine closes it or more came on it than was asked for: the next reply
/// read from it would be another call's.
pub(super) fn keep_if_reusable(
    connection: Option<Connection>,
    closes_connection: bool,
) -> Option<Connection> {
    connection.filter(|connection| !closes_connection && connection.is_reusable())
}
