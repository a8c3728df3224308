//! Accepts connections of clients that speak MessagePack-RPC.

use super::connection;
use crate::state::State;
use larchfall_policy::time::{Duration, Timestamp};
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
/// Time after accepting resumes until all connections that waited in the listener's queue have been accepted.
const QUEUE_DRAIN_TIME: Duration = Duration::from_millis(100);

/// A period in which connections waited in the listener's queue because none were accepted.
#[derive(Clone, Copy)]
struct AcceptPause {
    since: Timestamp,
    until: Timestamp,
}

/// Accepts connections while file descriptors are available. The operating system completes connections that wait in
/// the listener's queue, and a request sent on such a connection could be overtaken by later requests with the same
/// ordering key. Therefore idle connections are closed to keep some capacity free.
pub fn accept(state: &Arc<State>, listener: &TcpListener) {
    let max_connections = state.limits.client_connections;
    let spare = max_connections / SPARE_DIVISOR + 1;
    let mut accept_pause: Option<AcceptPause> = None;
    loop {
        let now = state.clock.now();
        if state.client_connections.len() + spare >= max_connections {
            state.client_connections.evict_idle(spare, now - RECENT_ACTIVITY);
        }
        if state.client_connections.len() >= max_connections
            || state.stall_detector.is_event_poll_overdue(now)
        {
            state.sleep(ACCEPT_RETRY_DELAY);
            accept_pause = Some(AcceptPause {
                since: accept_pause.map_or(now, |pause| pause.since),
                until: state.clock.now(),
            });
            continue;
        }
        accept_pause = accept_pause.filter(|pause| now.since(pause.until) < QUEUE_DRAIN_TIME);
        match listener.accept() {
            Ok((stream, from)) => {
                let connection =
                    connection::register(state, stream, from, accept_pause.map(|pause| pause.since));
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
