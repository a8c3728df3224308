//! Accepts connections of clients that speak MessagePack-RPC.

use super::connection;
use crate::state::State;
use larchfall_policy::time::{Duration, Timestamp};
use may::net::TcpListener;
use slog::warn;
use std::sync::Arc;

const PAUSE: Duration = Duration::from_millis(2);
/// One in so many places for clients is kept free.
const SPARE: usize = 8;
/// A connection that is newer than this may be about to speak. Clients write as soon as they are connected: with
/// more, hundreds that say nothing keep those that would speak waiting in the queue.
const FRESH: Duration = Duration::from_millis(50);
/// What waited in the listener's queue while nothing was accepted is out of it by so long after.
const QUEUE_EMPTIES: Duration = Duration::from_millis(100);

/// A time in which connections were left waiting in the listener's queue.
#[derive(Clone, Copy)]
struct Held {
    since: Timestamp,
    until: Timestamp,
}

/// Accepts connections while there are descriptors for them. The system completes a connection that waits in the
/// listener's queue all the same, and a request in it would be overtaken by later ones of its key: so the last places
/// are kept free by closing connections that nobody uses.
pub fn accept(state: &Arc<State>, listener: &TcpListener) {
    let max_clients = state.limits.client_connections;
    let spare = max_clients / SPARE + 1;
    let mut held: Option<Held> = None;
    loop {
        let now = state.clock.now();
        if state.client_connections.len() + spare >= max_clients {
            state.client_connections.evict_idle(spare, now - FRESH);
        }
        if state.client_connections.len() >= max_clients || state.stall_detector.is_event_poll_overdue(now) {
            state.sleep(PAUSE);
            held = Some(Held { since: held.map_or(now, |held| held.since), until: state.clock.now() });
            continue;
        }
        held = held.filter(|held| now.since(held.until) < QUEUE_EMPTIES);
        match listener.accept() {
            Ok((stream, from)) => {
                let connection = connection::register(state, stream, from, held.map(|held| held.since));
                let state = state.clone();
                may::go!(move || connection::serve(&state, connection));
                may::coroutine::yield_now();
            }
            Err(error) => {
                warn!(state.log, "accept failed"; "error" => error.to_string());
                state.sleep(PAUSE);
            }
        }
    }
}
