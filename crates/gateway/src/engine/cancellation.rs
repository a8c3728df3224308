//! Tells an engine to stop an attempt.

use super::attempt::{Attempt, AttemptEnd, POLL_TIMEOUT, RETRY_PAUSE, keep_if_reusable};
use super::connection::{ConnectError, Connection, connect};
use crate::codec::engine_http;
use crate::state::State;
use crate::state::engine_table::EngineInstance;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{AttemptEvidence, LastObservation, Outcome};

/// Cancelling must not hold up an answer.
pub(super) const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);
/// An engine cancels a statement that was not polled for in 2 s. A call that was cut off may be held back there for
/// 250 ms, and counts as a poll all that time; the rest is for the engine's own clock and the way there.
const ENGINE_FORGETS_AFTER: Duration = Duration::from_millis(2400);
/// An engine that drains takes no call. One was seen to run what it had for 4.4 s after the last call, until it ended.
/// How long that takes is said nowhere: endpoint lists had engines drain for 5.9 to 7.4 s, and an attempt whose end was
/// not observed may be on any of them (docs/incidents/mass-order.md).
pub const UNOBSERVED_ATTEMPT_LIFETIME: Duration = Duration::from_millis(8000);

impl Attempt<'_> {
    /// After an unsettled end, when the client has its answer but the key still waits: tells the engine to stop, on the
    /// connection that there is, once the call held there comes back (an engine that drains takes no new one).
    pub fn cancel_timed_out(&self) -> AttemptEvidence {
        let connection = self.cancel_connection.take();
        self.cancel(connection, POLL_TIMEOUT + CANCEL_TIMEOUT, Outcome::TimedOut).evidence
    }

    /// Tells the engine to stop. A request in key order stays in flight until the engine has confirmed that, or must have
    /// forgotten the attempt: the next request of its key may not start beside it.
    pub(super) fn cancel(
        &self,
        mut connection: Option<Connection>,
        timeout: Duration,
        outcome: Outcome,
    ) -> AttemptEnd {
        let cancel = engine_http::encode_cancel_call(self.instance.address, &self.context.id);
        let began = self.state.clock.now();
        let waits_for_key = outcome == Outcome::Cancelled && self.context.in_order;
        let mut deadline = began + if waits_for_key { ENGINE_FORGETS_AFTER } else { timeout };
        // A client that still waits is due its answer, whatever its key waits for.
        if self.state.policy.disconnect_action(self.request).is_none() {
            deadline = deadline.min(self.deadline().max(began + timeout));
        }
        loop {
            if connection.is_none() {
                connection = match self.connect(deadline) {
                    Ok(opened) => Some(opened),
                    Err(ConnectError::Refused) => return self.end(LastObservation::Refused, outcome),
                    Err(ConnectError::Unreachable) => None,
                };
            }
            if let Some(mut open) = connection.take() {
                let call_deadline = deadline.min(self.state.clock.now() + POLL_TIMEOUT);
                // Any other status does not say that it stops, and may be the reply to another call.
                if let Ok(reply) = open.call(&cancel, &self.state.clock, call_deadline)
                    && reply.status == 204
                {
                    self.put_back(keep_if_reusable(Some(open), reply.closes_connection));
                    return self.end(LastObservation::Stopped, outcome);
                }
            }
            if self.state.clock.now() >= deadline {
                return self.end(LastObservation::Silent, outcome);
            }
            self.state.sleep(RETRY_PAUSE);
        }
    }

    /// Tells the engine to stop on a coroutine of its own, which has the permit of this attempt from now on.
    pub(super) fn cancel_in_background(&self, connection: Option<Connection>) {
        let cancel = engine_http::encode_cancel_call(self.instance.address, &self.context.id);
        let state = self.state.clone();
        let instance = self.instance;
        let permit = self.permit.take();
        may::go!(move || {
            send_cancel(&state, instance, connection, &cancel);
            drop(permit);
        });
    }
}

/// Sends a cancellation once, and keeps the connection if the engine does.
fn send_cancel(state: &State, instance: EngineInstance, connection: Option<Connection>, cancel: &[u8]) {
    let awaits_reply = connection.as_ref().is_some_and(Connection::awaits_reply);
    let timeout = if awaits_reply { POLL_TIMEOUT } else { CANCEL_TIMEOUT };
    let deadline = state.clock.now() + timeout;
    let Some(mut connection) = connection.or_else(|| connect(state, instance, deadline).ok()) else { return };
    if let Ok(reply) = connection.call(cancel, &state.clock, deadline)
        && !reply.closes_connection
    {
        state.engine_connections.put_back(connection, state.clock.now());
    }
}
