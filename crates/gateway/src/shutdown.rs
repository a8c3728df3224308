//! The end of a gateway: after SIGTERM it goes on serving for as long as clients may still come, answers the requests
//! that it has admitted, and ends before it can be killed.

use crate::client::paged_rest::RestService;
use crate::cluster::Cluster;
use crate::signals::SignalStream;
use crate::state::State;
use larchfall_policy::time::{Duration, Timestamp};
use slog::info;
use std::sync::Arc;

/// New connections come for 0.4 s after SIGTERM, requests on open ones for 0.2 s more.
const CLIENTS_COME: Duration = Duration::from_millis(800);
/// SIGKILL comes no sooner than the longest deadline of a request, or this, and `KILL_AFTER` more.
const LONGEST_DEADLINE: Duration = Duration::from_millis(3000);
const KILL_AFTER: Duration = Duration::from_millis(700);
/// How long what is unanswered at the end has to get its answer.
const LAST_ANSWERS: Duration = Duration::from_millis(400);
/// How long open connections have to log their own last line.
const LAST_LOG_LINES: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for SIGTERM, then for the gateway to end.
pub fn wait_and_shut_down(
    state: &Arc<State>,
    mut terminate: SignalStream,
    service: Option<&Arc<RestService>>,
    cluster: Option<&Cluster>,
) {
    terminate.wait();
    let requested = state.clock.now();
    if let Some(cluster) = cluster {
        cluster.leave(state);
    }
    let ends = end_of_service(state, requested);
    state.begin_shutdown(ends);
    info!(state.log, "shutdown requested"; "in_flight" => state.policy.in_flight(), "clients" => state.client_connections.len());
    let killed = ends + LAST_ANSWERS;
    wait_until_all_answered(state, service, requested, killed);
    info!(state.log, "shutdown complete"; "in_flight" => state.policy.in_flight(), "clients" => state.client_connections.len());
    close_connections(state, service, killed);
}

/// When what is still unanswered has to be answered, before SIGKILL.
fn end_of_service(state: &State, requested: Timestamp) -> Timestamp {
    let longest = state.settings.longest_deadline().min(LONGEST_DEADLINE);
    requested + (longest + KILL_AFTER).saturating_sub(LAST_ANSWERS)
}

fn wait_until_all_answered(
    state: &State,
    service: Option<&Arc<RestService>>,
    requested: Timestamp,
    killed: Timestamp,
) {
    loop {
        state.sleep(POLL_INTERVAL);
        let now = state.clock.now();
        // Half-read results go on until then.
        let results_are_read = service.is_none_or(|service| service.pages.undelivered() == 0);
        // After a stall the sockets may not have been read since SIGTERM: what clients wrote meanwhile is unread.
        let sockets_are_read = state.stall_detector.has_polled_since(requested + CLIENTS_COME);
        if (!owes_answers(state) && results_are_read && sockets_are_read) || now >= killed {
            return;
        }
    }
}

/// Lets each connection that is still open log its own last line.
fn close_connections(state: &State, service: Option<&Arc<RestService>>, killed: Timestamp) {
    state.shutdown.complete();
    state.client_connections.wake_overdue(state.clock.now(), state.clock.now());
    let until = state.clock.now() + LAST_LOG_LINES;
    let open_connections =
        || state.client_connections.len() + service.map_or(0, |service| service.open_connections());
    // A request that was read between the last poll and here was admitted, and gets its answer as all others did.
    let goes_on = |now| (owes_answers(state) && now < killed) || (open_connections() > 0 && now < until);
    while goes_on(state.clock.now()) {
        state.sleep(POLL_INTERVAL);
    }
}

fn owes_answers(state: &State) -> bool {
    state.policy.in_flight() > 0 || !state.client_connections.all_idle()
}
