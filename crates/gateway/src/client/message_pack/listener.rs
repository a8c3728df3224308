//! Accepts connections of clients that speak MessagePack-RPC.

use super::connection;
use crate::client::readiness::has_waiting_connection;
use crate::state::State;
use larchfall_policy::accept_queue::AcceptQueue;
use larchfall_policy::time::Duration;
use may::net::TcpListener;
use slog::warn;
use std::sync::Arc;

/// Delay before the next accept while connections can't be accepted, or after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(2);
/// One in this many client connections is kept free by closing idle ones.
const SPARE_DIVISOR: usize = 8;
/// Idle connections with activity within this time are not closed, since their client may be about to send. Clients
/// send as soon as they are connected; with a longer time, hundreds of silent connections would keep active clients
/// waiting in the listener's queue.
const RECENT_ACTIVITY: Duration = Duration::from_millis(50);
/// Number of connections that may wait in a listener's queue: the backlog that `may` sets, and one more.
const MAX_WAITING_CONNECTIONS: usize = 1024 + 1;

/// Accepts connections while file descriptors are available. The operating system completes connections that wait in
/// the listener's queue, and a request sent on such a connection could be overtaken by later requests with the same
/// ordering key. Therefore idle connections are closed to keep some capacity free.
pub fn accept(state: &Arc<State>, listener: &TcpListener) {
    let max_connections = state.limits.client_connections;
    let spare = max_connections / SPARE_DIVISOR + 1;
    let mut queue = AcceptQueue::new(MAX_WAITING_CONNECTIONS, state.clock.now());
    loop {
        let now = state.clock.now();
        if state.client_connections.len() + spare >= max_connections {
            state.client_connections.evict_idle(spare, now - RECENT_ACTIVITY);
        }
        if state.client_connections.len() >= max_connections
            || state.stall_detector.is_event_poll_overdue(now)
        {
            state.sleep(ACCEPT_RETRY_DELAY);
            continue;
        }
        let is_queue_empty = !has_waiting_connection(listener);
        let accepted = listener.accept();
        let accepted_at = state.clock.now();
        if is_queue_empty {
            // The coroutine was blocked until the connection came, unless the process stood still.
            queue.record_empty(state.stall_detector.earliest_send_time(now, accepted_at));
        }
        match accepted {
            Ok((stream, from)) => {
                let queued_since = queue.record_accept(accepted_at);
                let connection = connection::register(state, stream, from, queued_since);
                let state = state.clone();
                may::go!(move || connection::serve(&state, connection));
                may::coroutine::yield_now();
            }
            Err(error) => {
                warn!(state.log, "accept failed"; "error" => error.to_string());
                state.sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
}
