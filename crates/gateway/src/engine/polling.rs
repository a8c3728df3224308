//! Polls an engine for the end of an attempt whose call went out.

use super::attempt::{Attempt, AttemptEnd, Check, POLL_TIMEOUT, RETRY_PAUSE, keep_if_reusable};
use super::cancellation::CANCEL_TIMEOUT;
use super::connection::{CallError, ConnectError, Connection};
use crate::codec::engine_http::{self, Reply};
use crate::state::policy_handle::DisconnectAction;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{LastObservation, Outcome, ProgressUpdate, RoutingDecision};

impl Attempt<'_> {
    /// Polls until the attempt's end is known, beginning with the reply to the call that started it.
    pub(super) fn poll_until_end(
        &self,
        connection: Connection,
        first_reply: Result<Reply, CallError>,
    ) -> AttemptEnd {
        let mut connection = Some(connection);
        let mut reply = first_reply;
        let mut call_time = self.started;
        let mut cut_offs = 0;
        loop {
            match reply {
                Ok(reply) if reply.status == 202 => {
                    connection = self.on_progress(connection, &reply, call_time);
                }
                Ok(reply) if reply.status == 200 && reply.page_count.is_some() => {
                    return self.collect_pages(connection, reply);
                }
                Ok(reply) if reply.status == 500 || reply.is_declined() => {
                    return self.on_failure_reply(connection, &reply, cut_offs);
                }
                // The attempt's own time ran out, not the engine's: the reply that is owed still comes here.
                Err(CallError::TimedOut)
                    if connection.as_ref().is_some_and(Connection::awaits_reply)
                        && self.is_past_deadline() => {}
                // Cut off, or a reply that no engine gives to this call: its end is polled for on another connection.
                Ok(_) | Err(_) => {
                    drop(connection.take());
                    cut_offs += 1;
                    self.on_cut_off(cut_offs);
                }
            }
            match self.check() {
                Check::Continue => {}
                Check::Cancel => return self.cancel(connection, CANCEL_TIMEOUT, Outcome::Cancelled),
                Check::TimedOut => return self.time_out(connection),
            }
            let mut open = match connection.map_or_else(|| self.connect(self.deadline()), Ok) {
                Ok(open) => open,
                // Whoever ran there is gone, and what it ran with it, unless it only takes no more calls.
                Err(ConnectError::Refused) => return self.end(LastObservation::Refused, Outcome::Reset),
                Err(ConnectError::Unreachable) => {
                    connection = None;
                    reply = Err(CallError::TimedOut);
                    continue;
                }
            };
            let poll = engine_http::encode_page_call(self.instance.address, &self.context.id, 0);
            call_time = self.state.clock.now();
            reply = self.call(&mut open, &poll, POLL_TIMEOUT);
            connection = Some(open);
        }
    }

    /// The engine runs the statement, and may have told how far it is.
    fn on_progress(
        &self,
        connection: Option<Connection>,
        reply: &Reply,
        call_time: Timestamp,
    ) -> Option<Connection> {
        self.same_process.set(true);
        if let Some(update) = reply.progress {
            self.state.policy.record_progress(self.request, self.number, update);
        }
        let connection = keep_if_reusable(connection, reply.closes_connection);
        // Guards against an engine that has nothing to tell and does not hold the call back.
        if reply.progress.is_none() && self.state.clock.now().since(call_time) < RETRY_PAUSE {
            self.state.sleep(RETRY_PAUSE);
        }
        connection
    }

    /// The engine says that the statement failed, or that it declined it.
    fn on_failure_reply(&self, connection: Option<Connection>, reply: &Reply, cut_offs: usize) -> AttemptEnd {
        self.put_back(keep_if_reusable(connection, reply.closes_connection));
        let mut end = if reply.is_declined() {
            self.end(LastObservation::Declined, Outcome::Rejected)
        } else if cut_offs == 0 {
            self.end(LastObservation::Ended, Outcome::Errored)
        } else {
            // This is no reply to the starting call itself: whoever replies may not know the statement yet, or not be
            // the process that has it.
            self.end(LastObservation::Unknown, Outcome::Errored)
        };
        end.load_report = reply.load;
        end
    }

    /// The connection was cut. Its first replacement is opened at once, later ones after a pause.
    fn on_cut_off(&self, cut_offs: usize) {
        self.state.policy.record_progress(self.request, self.number, ProgressUpdate::ConnectionLost);
        let pause = RETRY_PAUSE.min(self.deadline().since(self.state.clock.now()));
        if pause > Duration::ZERO && cut_offs > 1 {
            self.state.sleep(pause);
        }
    }

    /// The attempt's time is up.
    fn time_out(&self, connection: Option<Connection>) -> AttemptEnd {
        if self.context.in_order {
            self.cancel_connection.set(connection);
            return AttemptEnd { is_cancel_pending: true, ..AttemptEnd::not_sent(Outcome::TimedOut) };
        }
        // No other request waits for its end, and the answer is due.
        self.cancel_in_background(connection);
        self.end(LastObservation::Silent, Outcome::TimedOut)
    }

    /// What to do between two calls.
    pub(super) fn check(&self) -> Check {
        if self.state.policy.disconnect_action(self.request) == Some(DisconnectAction::CancelAttempts) {
            return Check::Cancel;
        }
        if self.is_past_deadline() {
            return Check::TimedOut;
        }
        match self.state.policy.route(self.request) {
            RoutingDecision::CancelAttempt(number) if number == self.number => Check::Cancel,
            _ => Check::Continue,
        }
    }
}
