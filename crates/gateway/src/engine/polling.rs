//! Polls an engine for the end of a statement after the starting call was sent.

use super::attempt::{Attempt, AttemptCheck, AttemptEnd, POLL_TIMEOUT, RETRY_DELAY, keep_if_reusable};
use super::cancellation::CANCEL_TIMEOUT;
use super::connection::{CallError, ConnectError, Connection};
use crate::codec::engine_http::{self, Reply};
use crate::state::policy_handle::DisconnectAction;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{LastObservation, Outcome, ProgressUpdate, RoutingDecision};

impl Attempt<'_> {
    /// Polls until the end of the attempt is known. Starts with the reply to the call that started the statement.
    pub(super) fn poll_until_end(
        &self,
        connection: Connection,
        first_reply: Result<Reply, CallError>,
    ) -> AttemptEnd {
        let mut connection = Some(connection);
        let mut reply = first_reply;
        let mut call_started = self.started;
        let mut lost_connections = 0;
        loop {
            match reply {
                Ok(reply) if reply.status == 202 => {
                    connection = self.on_progress(connection, &reply, call_started);
                }
                Ok(reply) if reply.status == 200 && reply.page_count.is_some() => {
                    return self.collect_pages(connection, reply);
                }
                Ok(reply) if reply.status == 500 || reply.is_declined() => {
                    return self.on_failure_reply(connection, &reply, lost_connections);
                }
                // The attempt's deadline passed before the poll's timeout: the connection is kept for the outstanding
                // reply.
                Err(CallError::TimedOut)
                    if connection.as_ref().is_some_and(Connection::awaits_reply)
                        && self.is_past_deadline() => {}
                // The connection was lost or timed out, or no engine sends such a reply to this call: polling continues
                // over another connection.
                Ok(_) | Err(_) => {
                    drop(connection.take());
                    lost_connections += 1;
                    self.on_connection_lost(lost_connections);
                }
            }
            match self.check() {
                AttemptCheck::Continue => {}
                AttemptCheck::Cancel => return self.cancel(connection, CANCEL_TIMEOUT, Outcome::Cancelled),
                AttemptCheck::TimedOut => return self.time_out(connection),
            }
            let mut open = match connection.map_or_else(|| self.connect(self.deadline()), Ok) {
                Ok(open) => open,
                // The engine process has ended, and the statement with it, unless the process only refuses new
                // connections.
                Err(ConnectError::Refused) => return self.finish(LastObservation::Refused, Outcome::Reset),
                Err(ConnectError::Unreachable) => {
                    connection = None;
                    reply = Err(CallError::TimedOut);
                    continue;
                }
            };
            let poll = engine_http::encode_page_call(self.instance.address, &self.context.id, 0);
            call_started = self.state.clock.now();
            reply = self.call(&mut open, &poll, POLL_TIMEOUT);
            connection = Some(open);
        }
    }

    /// Handles a 202 reply: the statement is running, and the reply may carry a progress update.
    fn on_progress(
        &self,
        connection: Option<Connection>,
        reply: &Reply,
        call_started: Timestamp,
    ) -> Option<Connection> {
        self.same_process.set(true);
        if let Some(update) = reply.progress {
            self.state.policy.record_progress(self.request_index, self.attempt_number, update);
        }
        let connection = keep_if_reusable(connection, reply.closes_connection);
        // Prevents a busy loop with an engine that replies at once without a progress update.
        if reply.progress.is_none() && self.state.clock.now().since(call_started) < RETRY_DELAY {
            self.state.sleep(RETRY_DELAY);
        }
        connection
    }

    /// Ends the attempt after a reply that reports a failed or declined statement.
    fn on_failure_reply(
        &self,
        connection: Option<Connection>,
        reply: &Reply,
        lost_connections: usize,
    ) -> AttemptEnd {
        self.return_connection(keep_if_reusable(connection, reply.closes_connection));
        let mut end = if reply.is_declined() {
            self.finish(LastObservation::Declined, Outcome::Rejected)
        } else if lost_connections == 0 {
            self.finish(LastObservation::Ended, Outcome::Errored)
        } else {
            // The connection was lost since the starting call: the replying process may not have received the statement
            // yet, or may not be the process that received the starting call.
            self.finish(LastObservation::Unknown, Outcome::Errored)
        };
        end.load_report = reply.load_report;
        end
    }

    /// Records a lost connection. The first replacement is opened at once, later ones after a delay.
    fn on_connection_lost(&self, lost_connections: usize) {
        self.state.policy.record_progress(
            self.request_index,
            self.attempt_number,
            ProgressUpdate::ConnectionLost,
        );
        let delay = RETRY_DELAY.min(self.deadline().since(self.state.clock.now()));
        if delay > Duration::ZERO && lost_connections > 1 {
            self.state.sleep(delay);
        }
    }

    /// Ends the attempt at its deadline. In key order, the cancellation is left to `cancel_timed_out`.
    fn time_out(&self, connection: Option<Connection>) -> AttemptEnd {
        if self.context.in_order {
            self.cancel_connection.set(connection);
            return AttemptEnd { is_cancel_pending: true, ..AttemptEnd::not_sent(Outcome::TimedOut) };
        }
        // No other request waits for the end of the statement, and the client is due its answer.
        self.cancel_in_background(connection);
        self.finish(LastObservation::Silent, Outcome::TimedOut)
    }

    /// Checks, between two calls, whether the attempt is to be cancelled or has passed its deadline.
    pub(super) fn check(&self) -> AttemptCheck {
        if self.state.policy.disconnect_action(self.request_index) == Some(DisconnectAction::CancelAttempts) {
            return AttemptCheck::Cancel;
        }
        if self.is_past_deadline() {
            return AttemptCheck::TimedOut;
        }
        match self.state.policy.route(self.request_index) {
            RoutingDecision::CancelAttempt(number) if number == self.attempt_number => AttemptCheck::Cancel,
            _ => AttemptCheck::Continue,
        }
    }
}
