//! Accepts connections of paged REST clients, up to the service's connection limit.

use super::connection;
use super::service::RestService;
use crate::state::State;
use larchfall_policy::time::Duration;
use may::net::TcpListener;
use slog::warn;
use std::sync::Arc;

/// Delay before the next accept while connections can't be accepted, or after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Accepts connections until the process ends, and serves each in a coroutine of its own.
pub fn accept(state: &Arc<State>, listener: &TcpListener, service: &Arc<RestService>) {
    loop {
        if service.is_full() || state.stall_detector.is_event_poll_overdue(state.clock.now()) {
            state.sleep(ACCEPT_RETRY_DELAY);
            continue;
        }
        match listener.accept() {
            Ok((stream, from)) => {
                let guard = service.register_connection();
                let (state, service) = (state.clone(), service.clone());
                may::go!(move || connection::serve(&state, &service, stream, from, guard));
                may::coroutine::yield_now();
            }
            Err(e) => {
                warn!(state.log, "accept failed"; "error" => e.to_string());
                state.sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
}
