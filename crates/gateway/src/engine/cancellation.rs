//! Cancels the statement of an attempt on its engine.

use super::attempt::{Attempt, AttemptEnd, POLL_TIMEOUT, RETRY_DELAY, keep_if_reusable};
use super::connection::{ConnectError, Connection, connect};
use crate::codec::engine_http;
use crate::state::State;
use crate::state::engine_table::EngineInstance;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{AttemptEvidence, LastObservation, Outcome};

/// Timeout of a cancellation; short, because the answer to the client may wait for the cancellation.
pub(super) const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which an engine has cancelled a statement that is no longer polled. Engines cancel 2 s after the last
/// poll. A poll whose connection was lost may be held by the engine for another 250 ms and counts as a poll until
/// then; the remaining 150 ms allow for the engine's clock and network delay.
const ENGINE_POLL_EXPIRY: Duration = Duration::from_millis(2400);
/// Time after which an attempt whose end was not observed is assumed to have ended. A draining engine accepts no calls;
/// one ran its statements for 4.4 s after the last call, until its process ended. The drain time is not documented:
/// endpoint lists showed engines draining for 5.9 to 7.4 s, and an unobserved attempt may run on any of them
/// (docs/incidents/mass-order.md).
pub const UNOBSERVED_ATTEMPT_LIFETIME: Duration = Duration::from_millis(8000);

impl Attempt<'_> {
    /// Cancels an attempt that timed out, after the client was answered and while the ordering key is still blocked.
    /// Uses the attempt's existing connection, if any, once the poll held there has returned, because a draining engine
    /// accepts no new connection.
    pub fn cancel_timed_out(&self) -> AttemptEvidence {
        let connection = self.cancel_connection.take();
        self.cancel(connection, POLL_TIMEOUT + CANCEL_TIMEOUT, Outcome::TimedOut).evidence
    }

    /// Cancels the statement on the engine. A request in key order stays in flight until the engine has confirmed the
    /// cancellation or must have expired the statement, because the next request of its key may not run concurrently.
    pub(super) fn cancel(
        &self,
        mut connection: Option<Connection>,
        timeout: Duration,
        outcome: Outcome,
    ) -> AttemptEnd {
        let cancel_call = engine_http::encode_cancel_call(self.instance.address, &self.context.id);
        let cancel_started = self.state.clock.now();
        let blocks_key = outcome == Outcome::Cancelled && self.context.in_order;
        let mut deadline = cancel_started + if blocks_key { ENGINE_POLL_EXPIRY } else { timeout };
        // A connected client is answered in time even if the ordering key has to stay blocked for longer.
        if self.state.policy.disconnect_action(self.request_index).is_none() {
            deadline = deadline.min(self.deadline().max(cancel_started + timeout));
        }
        loop {
            if connection.is_none() {
                connection = match self.connect(deadline) {
                    Ok(opened) => Some(opened),
                    Err(ConnectError::Refused) => return self.finish(LastObservation::Refused, outcome),
                    Err(ConnectError::Unreachable) => None,
                };
            }
            if let Some(mut open) = connection.take() {
                let call_deadline = deadline.min(self.state.clock.now() + POLL_TIMEOUT);
                // Any other status doesn't confirm the cancellation, and may be the reply to an earlier call.
                if let Ok(reply) = open.call(&cancel_call, &self.state.clock, call_deadline)
                    && reply.status == 204
                {
                    self.return_connection(keep_if_reusable(Some(open), reply.closes_connection));
                    return self.finish(LastObservation::Stopped, outcome);
                }
            }
            if self.state.clock.now() >= deadline {
                return self.finish(LastObservation::Silent, outcome);
            }
            self.state.sleep(RETRY_DELAY);
        }
    }

    /// Cancels the statement in a separate coroutine, which takes over this attempt's connection permit.
    pub(super) fn cancel_in_background(&self, connection: Option<Connection>) {
        let cancel_call = engine_http::encode_cancel_call(self.instance.address, &self.context.id);
        let state = self.state.clone();
        let instance = self.instance;
        let permit = self.permit.take();
        may::go!(move || {
            send_cancel(&state, instance, connection, &cancel_call);
            drop(permit);
        });
    }
}

/// Sends a cancellation once, and returns the connection to the pool unless the engine closes the connection.
fn send_cancel(state: &State, instance: EngineInstance, connection: Option<Connection>, cancel_call: &[u8]) {
    let awaits_reply = connection.as_ref().is_some_and(Connection::awaits_reply);
    let timeout = if awaits_reply { POLL_TIMEOUT } else { CANCEL_TIMEOUT };
    let deadline = state.clock.now() + timeout;
    let Some(mut connection) = connection.or_else(|| connect(state, instance, deadline).ok()) else { return };
    if let Ok(reply) = connection.call(cancel_call, &state.clock, deadline)
        && !reply.closes_connection
    {
        state.engine_connections.put_back(connection, state.clock.now());
    }
}
