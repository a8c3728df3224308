//! The one timer: the module's tick, whoever waits for a time, and what is looked at each tick. A thread of its own, which
//! waits on no socket: it comes by on time however much there is to run.

use crate::engines::attempt;
use crate::protocols::rest;
use crate::protocols::rpc::{QUIET, WHOLE_WITHIN};
use crate::state::State;
use crate::state::clock::wait;
use crate::state::facade::TICK;
use crate::state::stalls::TIMER_PERIOD;
use larchfall_policy::time::Duration;
use may::os::unix::net::UnixStream;
use may::sync::Blocker;
use slog::{info, warn};
use std::io::{self, ErrorKind, Read};
use std::sync::Arc;

pub fn run(state: &Arc<State>, service: Option<&Arc<rest::RestService>>) {
    let blocker = Blocker::current();
    let mut next_tick = state.clock.now() + TICK;
    loop {
        let next_due = state.alarms.ring(&blocker);
        let now = state.clock.now();
        if state.stalls.beat(now) {
            warn!(state.log, "process stall detected");
        }
        if now >= next_tick {
            tick(state);
            if let Some(service) = service {
                service.pages.expire(now).iter().for_each(|left| rest::give_up(state, left.request));
            }
            // Ticks that a stall left out are not made up for.
            next_tick = (next_tick + TICK).max(now + Duration::from_millis(1));
        }
        let until = next_due.map_or(next_tick, |due| due.min(next_tick)).min(now + TIMER_PERIOD);
        let left = state.clock.left(until);
        if !left.is_zero() {
            let _ = blocker.park(Some(left));
            let lag = state.clock.now().since(until).micros() / 1000;
            state.counters.rest(|c| c.most_lag_ms = c.most_lag_ms.max(lag));
        }
    }
}

/// Two ends on which nothing is ever said: a wait there ends only when the worker looks for events.
pub struct Looks(UnixStream, UnixStream);

impl Looks {
    pub fn open() -> io::Result<Looks> {
        let (waits, silent) = UnixStream::pair()?;
        waits.set_read_timeout(Some(wait(TIMER_PERIOD)))?;
        Ok(Looks(waits, silent))
    }
}

/// Notes for good when the worker looked for events last.
pub fn look_for_events(state: &Arc<State>, looks: Looks) {
    let Looks(mut waits, _silent) = looks;
    // Both ends stay open, so the wait only ever ends by its time.
    while matches!(waits.read(&mut [0]), Err(e) if e.kind() != ErrorKind::NotConnected) {
        state.stalls.looked(state.clock.now());
    }
}

fn tick(state: &Arc<State>) {
    let to_ask = state.facade.tick();
    for e in to_ask.into_iter().filter(|e| state.is_to_ask(*e)) {
        let state = state.clone();
        may::go!(move || attempt::probe(&state, e));
    }
    for event in state.facade.take_events() {
        info!(state.log, "{}", event);
    }
    let now = state.clock.now();
    state.pool.drop_stale(now);
    state.peers.wake_quiet(now - QUIET, now - WHOLE_WITHIN);
}
