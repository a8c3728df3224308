//! Accepts connections while the service's share of them lasts.

use super::connection;
use super::service::RestService;
use crate::state::State;
use larchfall_policy::time::Duration;
use may::net::TcpListener;
use slog::warn;
use std::sync::Arc;

const PAUSE: Duration = Duration::from_millis(5);

/// Accepts connections for good, each with a coroutine of its own.
pub fn accept(state: &Arc<State>, listener: &TcpListener, service: &Arc<RestService>) {
    loop {
        if service.is_full() || state.stall_detector.is_event_poll_overdue(state.clock.now()) {
            state.sleep(PAUSE);
            continue;
        }
        match listener.accept() {
            Ok((stream, from)) => {
                let counted = service.count_connection();
                let (state, service) = (state.clone(), service.clone());
                may::go!(move || connection::serve(&state, &service, stream, from, counted));
                may::coroutine::yield_now();
            }
            Err(e) => {
                warn!(state.log, "accept failed"; "error" => e.to_string());
                state.sleep(PAUSE);
            }
        }
    }
}
