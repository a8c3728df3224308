//! The timer thread: the policy's periodic work, waits that are due, and what is checked at each tick. It is a thread
//! of its own and waits on no socket, so it comes by on time however much there is to run.

use crate::client::message_pack::{IDLE_TIMEOUT, MESSAGE_TIMEOUT};
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

/// Runs until the process ends.
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
            // Ticks that fell into a stall are not made up for.
            next_tick = (next_tick + TICK_INTERVAL).max(now + Duration::from_millis(1));
        }
        let until =
            next_deadline.map_or(next_tick, |deadline| deadline.min(next_tick)).min(now + TIMER_PERIOD);
        let remaining = state.clock.remaining(until);
        if !remaining.is_zero() {
            let _ = blocker.park(Some(remaining));
            let lag_ms = state.clock.now().since(until).micros() / 1000;
            state
                .counters
                .update_gateway(|counters| counters.max_timer_lag_ms = counters.max_timer_lag_ms.max(lag_ms));
        }
    }
}

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
    close_unused(state);
    if let Some(service) = service {
        for abandoned in service.pages.expire(now) {
            paged_rest::abandon_request(state, abandoned.request);
        }
    }
}

/// Closes idle connections to engines, and has client connections end on which nothing came for too long.
fn close_unused(state: &State) {
    let now = state.clock.now();
    state.engine_connections.close_expired(now);
    state.client_connections.wake_overdue(now - IDLE_TIMEOUT, now - MESSAGE_TIMEOUT);
}

/// A pair of sockets on which nothing is ever sent: a wait there ends only when the worker polls for events.
pub struct EventPollProbe {
    waiting_end: UnixStream,
    /// Stays open, so that a wait on the other end only ever ends by its timeout.
    _silent_end: UnixStream,
}

impl EventPollProbe {
    /// Opens the pair.
    pub fn open() -> io::Result<EventPollProbe> {
        let (waiting_end, silent_end) = UnixStream::pair()?;
        waiting_end.set_read_timeout(Some(to_std_timeout(TIMER_PERIOD)))?;
        Ok(EventPollProbe { waiting_end, _silent_end: silent_end })
    }
}

/// Records for good when the worker last polled for events.
pub fn record_event_polls(state: &Arc<State>, mut probe: EventPollProbe) {
    while matches!(probe.waiting_end.read(&mut [0]), Err(e) if e.kind() != ErrorKind::NotConnected) {
        state.stall_detector.record_event_poll(state.clock.now());
    }
}
