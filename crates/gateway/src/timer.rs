//! The timer thread. It wakes coroutines whose deadline has passed and does the gateway's periodic work. As a separate
//! thread that never waits on a socket, it runs on time even while the worker is busy.

use crate::client::paged_rest::{self, RestService};
use crate::engine::load_report;
use crate::state::State;
use crate::state::clock::to_std_timeout;
use crate::state::policy_handle::TICK_INTERVAL;
use crate::state::stall_detector::TIMER_PERIOD;
use larchfall_policy::time::{Duration, Timestamp};
use may::os::unix::net::UnixStream;
use may::sync::Blocker;
use slog::{info, warn};
use std::io::{self, ErrorKind, Read};
use std::sync::Arc;

/// Runs the timer loop until the process exits.
pub fn run(state: &Arc<State>, service: Option<&Arc<RestService>>) {
    let blocker = Blocker::current();
    let mut next_tick = state.clock.now() + TICK_INTERVAL;
    loop {
        let next_deadline = state.timers.wake_due(&blocker);
        let now = state.clock.now();
        if state.stall_detector.record_timer_run(now) {
            warn!(state.log, "process stall detected");
        }
        if now >= next_tick {
            tick(state, service, now);
            // Ticks that were missed during a stall are skipped.
            next_tick = (next_tick + TICK_INTERVAL).max(now + Duration::from_millis(1));
        }
        let wake_time =
            next_deadline.map_or(next_tick, |deadline| deadline.min(next_tick)).min(now + TIMER_PERIOD);
        let remaining = state.clock.remaining(wake_time);
        if !remaining.is_zero() {
            let _ = blocker.park(Some(remaining));
            let lag_ms = state.clock.now().since(wake_time).micros() / 1000;
            state
                .counters
                .update_gateway(|counters| counters.max_timer_lag_ms = counters.max_timer_lag_ms.max(lag_ms));
        }
    }
}

/// Runs the policy's tick, starts due health checks, logs policy events, and closes expired connections and results.
fn tick(state: &Arc<State>, service: Option<&Arc<RestService>>, now: Timestamp) {
    for engine in state.policy.tick() {
        if state.needs_load_report(engine) {
            let state = state.clone();
            may::go!(move || load_report::fetch(&state, engine));
        }
    }
    for event in state.policy.take_events() {
        info!(state.log, "{}", event);
    }
    close_expired_connections(state);
    if let Some(service) = service {
        for abandoned in service.pages.expire(now) {
            paged_rest::abandon_request(state, abandoned.request);
        }
    }
}

/// Closes engine connections that were idle for too long, and wakes client connections whose timeout has passed, so
/// that they close.
fn close_expired_connections(state: &State) {
    let now = state.clock.now();
    state.engine_connections.close_expired(now);
    state.client_connections.wake_overdue(now);
}

/// A socket pair without traffic that detects when the worker polls the sockets for events. A read on the pair can only
/// time out, and the worker handles socket timeouts only when it polls.
pub struct EventPollProbe {
    read_end: UnixStream,
    /// Kept open and unused, so that reads on the other end only ever end by their timeout.
    _idle_end: UnixStream,
}

impl EventPollProbe {
    /// Opens the socket pair and sets the read timeout.
    pub fn open() -> io::Result<EventPollProbe> {
        let (read_end, idle_end) = UnixStream::pair()?;
        read_end.set_read_timeout(Some(to_std_timeout(TIMER_PERIOD)))?;
        Ok(EventPollProbe { read_end, _idle_end: idle_end })
    }
}

/// Records each event poll of the worker in the stall detector. Returns only if the socket pair fails.
pub fn record_event_polls(state: &Arc<State>, mut probe: EventPollProbe) {
    while matches!(probe.read_end.read(&mut [0]), Err(e) if e.kind() != ErrorKind::NotConnected) {
        state.stall_detector.record_event_poll(state.clock.now());
    }
}
