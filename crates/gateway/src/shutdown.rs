//! Graceful shutdown. After SIGTERM the gateway keeps serving for as long as clients may still connect, answers all
//! admitted requests, and exits before the platform can send SIGKILL.

use crate::client::paged_rest::RestService;
use crate::cluster::Cluster;
use crate::signals::SignalStream;
use crate::state::State;
use larchfall_policy::time::{Duration, Timestamp};
use slog::info;
use std::sync::Arc;

/// Time after SIGTERM until which the gateway waits for further requests. Clients open new connections for up to 0.4 s
/// after SIGTERM, and send requests on open connections for 0.2 s more.
const CLIENT_ARRIVAL_WINDOW: Duration = Duration::from_millis(800);
/// Upper bound of the longest request deadline that counts towards the time of SIGKILL. SIGKILL comes no sooner after
/// SIGTERM than the sum of the longest request deadline, up to this bound, and `KILL_DELAY`.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3000);
/// Minimum time between the longest request deadline and SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time before SIGKILL that remains for answering requests that reach the shutdown deadline unanswered.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(400);
/// Time for open connections to write their last log line.
const LAST_LOG_TIME: Duration = Duration::from_millis(200);
/// Interval between two checks of whether all requests are answered or all connections are closed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for SIGTERM and then shuts the gateway down; returns when the process can exit.
pub fn wait_and_shut_down(
    state: &Arc<State>,
    mut terminate: SignalStream,
    service: Option<&Arc<RestService>>,
    cluster: Option<&Cluster>,
) {
    terminate.wait();
    let requested_at = state.clock.now();
    if let Some(cluster) = cluster {
        cluster.leave(state);
    }
    let deadline = shutdown_deadline(state, requested_at);
    state.begin_shutdown(deadline);
    info!(state.log, "shutdown requested"; "in_flight" => state.policy.in_flight(), "clients" => state.client_connections.len());
    let kill_time = deadline + FINAL_ANSWER_TIME;
    wait_until_all_answered(state, service, requested_at, kill_time);
    info!(state.log, "shutdown complete"; "in_flight" => state.policy.in_flight(), "clients" => state.client_connections.len());
    close_connections(state, kill_time);
}

/// Returns the time by which the policy ends all requests, early enough to send their answers before SIGKILL.
fn shutdown_deadline(state: &State, requested_at: Timestamp) -> Timestamp {
    let longest_deadline = state.settings.longest_deadline().min(MAX_COUNTED_DEADLINE);
    requested_at + (longest_deadline + KILL_DELAY).saturating_sub(FINAL_ANSWER_TIME)
}

fn wait_until_all_answered(
    state: &State,
    service: Option<&Arc<RestService>>,
    requested_at: Timestamp,
    kill_time: Timestamp,
) {
    loop {
        state.sleep(POLL_INTERVAL);
        let now = state.clock.now();
        // Clients can read the remaining pages of their results until `kill_time`.
        let results_are_delivered = service.is_none_or(|service| service.pages.undelivered() == 0);
        // After a stall the sockets may not have been polled since SIGTERM, so requests may still be unread.
        let sockets_are_polled = state.stall_detector.has_polled_since(requested_at + CLIENT_ARRIVAL_WINDOW);
        if (!has_pending_answers(state) && results_are_delivered && sockets_are_polled) || now >= kill_time {
            return;
        }
    }
}

/// Closes all open connections and gives each time to write its last log line.
fn close_connections(state: &State, kill_time: Timestamp) {
    state.shutdown.mark_complete();
    state.client_connections.wake_all();
    let log_deadline = state.clock.now() + LAST_LOG_TIME;
    // A request that was read after the last check was admitted, and must be answered like all others.
    let must_wait = |now| {
        (has_pending_answers(state) && now < kill_time)
            || (!state.client_connections.is_empty() && now < log_deadline)
    };
    while must_wait(state.clock.now()) {
        state.sleep(POLL_INTERVAL);
    }
}

/// Returns whether requests are in flight or responses are not yet sent.
fn has_pending_answers(state: &State) -> bool {
    state.policy.in_flight() > 0 || !state.client_connections.all_idle()
}
