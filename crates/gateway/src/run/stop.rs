//! Signals, and the end: a gateway that was told to stop goes on serving for as long as clients may still come,
//! answers what it holds, and ends before it can be killed.

use crate::cluster::Gateways;
use crate::protocols::rest::RestService;
use crate::state::State;
use larchfall_policy::time::Duration;
use may::io::CoIo;
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::low_level::pipe;
use slog::info;
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;

/// New connections come for 0.4 s after SIGTERM, requests on open ones for 0.2 s more.
const CLIENTS_COME: Duration = Duration::from_millis(800);
/// SIGKILL comes no sooner than the longest time limit, or this, and `KILL_AFTER` more.
const LONGEST_WAIT: Duration = Duration::from_millis(3000);
const KILL_AFTER: Duration = Duration::from_millis(700);
/// What is left then has this long to get its answer.
const LAST_ANSWERS: Duration = Duration::from_millis(400);
const LAST_LINES: Duration = Duration::from_millis(200);
const LOOK: Duration = Duration::from_millis(20);

/// Signals that are caught from the program's first moment on, as bytes that wait to be read: one that comes before this
/// gateway is ready must not end it by the system's default.
pub struct Caught {
    term: UnixStream,
    ask: UnixStream,
    reload: UnixStream,
}

impl Caught {
    pub fn register() -> io::Result<Caught> {
        Ok(Caught { term: stream(SIGTERM)?, ask: stream(SIGUSR1)?, reload: stream(SIGHUP)? })
    }
}

/// The same as streams on which a coroutine can wait.
pub struct Signals {
    term: CoIo<UnixStream>,
    ask: CoIo<UnixStream>,
    pub reload: Option<CoIo<UnixStream>>,
}

impl Signals {
    pub fn listen(caught: Caught) -> io::Result<Signals> {
        let Caught { term, ask, reload } = caught;
        Ok(Signals { term: CoIo::new(term)?, ask: CoIo::new(ask)?, reload: Some(CoIo::new(reload)?) })
    }
}

/// Only the reading end will be known to the coroutine crate, and no descriptor of it is ever doubled: a double
/// keeps what was closed registered for events, which then reach memory that is free already.
fn stream(signal: i32) -> io::Result<UnixStream> {
    let (write, read) = UnixStream::pair()?;
    pipe::register(signal, write)?;
    Ok(read)
}

/// Blocks until this gateway has ended.
pub fn until_ended(
    state: &Arc<State>,
    signals: Signals,
    service: Option<&Arc<RestService>>,
    gateways: Option<Arc<Gateways>>,
) {
    let Signals { mut term, mut ask, .. } = signals;
    let (asked, told_of) = (state.clone(), gateways.clone());
    may::go!(move || {
        let mut byte = [0];
        while matches!(ask.read(&mut byte), Ok(1)) {
            asked.log_counters();
            if let Some(gateways) = &told_of {
                gateways.log(&asked);
            }
        }
    });
    let _ = term.read(&mut [0]);
    let told = state.clock.now();
    if let Some(gateways) = &gateways {
        gateways.leave(state);
    }
    let longest = state.settings.longest_deadline().min(LONGEST_WAIT);
    let ends = told + (longest + KILL_AFTER).saturating_sub(LAST_ANSWERS);
    state.begin_shutdown(ends);
    info!(state.log, "shutdown requested"; "in_flight" => state.policy.in_flight(), "clients" => state.client_connections.len());
    let killed = ends + LAST_ANSWERS;
    loop {
        state.sleep(LOOK);
        let now = state.clock.now();
        // Half-read results go on until then.
        let read = service.is_none_or(|service| service.pages.unread() == 0);
        // A gateway that stood still has come here before it heard its sockets: what clients wrote meanwhile is unread.
        let heard = state.stall_detector.has_polled_since(told + CLIENTS_COME);
        if (!is_owed(state) && read && heard) || now >= killed {
            break;
        }
    }
    info!(state.log, "shutdown complete"; "in_flight" => state.policy.in_flight(), "clients" => state.client_connections.len());
    // Each connection that is still open leaves its own line.
    state.shutdown.complete();
    state.client_connections.wake_overdue(state.clock.now(), state.clock.now());
    let until = state.clock.now() + LAST_LINES;
    let open = || state.client_connections.len() + service.map_or(0, |service| service.clients());
    // What was read between the last look and here was taken, and gets its answer as all else did.
    let goes_on = |now| (is_owed(state) && now < killed) || (open() > 0 && now < until);
    while goes_on(state.clock.now()) {
        state.sleep(LOOK);
    }
}

fn is_owed(state: &State) -> bool {
    state.policy.in_flight() > 0 || !state.client_connections.are_idle()
}
