//! Follows the discovery service: connected for as long as it speaks, connected again when it does not.

use crate::state::State;
use crate::state::clock::timeout;
use crate::wire::discovery::{self, Event, Frame};
use larchfall_policy::time::Duration;
use may::net::TcpStream;
use nanorand::{Rng, WyRand};
use slog::{info, warn};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

/// What the discovery service has to tell counts as told so long after, whether or not it came.
pub const TOLD_WITHIN: Duration = Duration::from_millis(7000);
/// An empty frame comes each second: after this much silence nobody is there.
const SILENCE: Duration = Duration::from_millis(2500);
/// One last look once that is over: for a gateway that stood still it is, and all that was said meanwhile is unread.
const LAST_LOOK: Duration = Duration::from_millis(20);
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
/// Pauses before connecting again, drawn between half and the whole; what is told counts 7 s later.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(1500);

/// Until another configuration names the discovery service: then another follower has this number's place.
pub fn follow(state: &Arc<State>, address: SocketAddrV4, seed: u64, era: u64) {
    let mut chance = WyRand::new_seed(seed);
    let mut pause = FIRST_PAUSE;
    while state.discovery.is_current_client(era) {
        let mut frames = 0;
        let reason = listen(state, address, era, &mut frames);
        info!(state.log, "discovery connection ended"; "reason" => reason, "frames" => frames);
        pause = if frames > 0 { FIRST_PAUSE } else { (pause * 2.0).min(LONGEST_PAUSE) };
        state.sleep(pause * (0.5 + 0.5 * chance.generate::<f64>()));
    }
}

/// Takes in an event, and drops connections to engines that are gone.
pub fn take(state: &State, event: &Event) {
    for engine in state.policy.apply_discovery_event(event) {
        state.engine_connections.close_idle(engine);
    }
    state.counters.update(|counters| counters.discovery_events += 1);
}

/// Listens until the connection ends; the reason.
fn listen(state: &Arc<State>, address: SocketAddrV4, era: u64, frames: &mut u64) -> &'static str {
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::V4(address), timeout(CONNECT_WITHIN)) else {
        return "no-connection";
    };
    let _ = stream.set_read_timeout(Some(timeout(SILENCE)));
    if stream.write_all(&discovery::since(state.policy.discovery_revision())).is_err() {
        return "not-written";
    }
    let (mut input, mut last_look, mut sent) = (Vec::new(), false, state.clock.now());
    loop {
        // What the one before still says once another has its place may bear numbers that this one has yet to tell.
        if !state.discovery.is_current_client(era) {
            return "replaced";
        }
        loop {
            match discovery::decode(&input) {
                Ok(Some((frame, used))) => {
                    *frames += 1;
                    state.discovery.record_heard(state.clock.now());
                    state.policy.confirm_endpoints(sent);
                    if let Frame::News(event) = frame {
                        take(state, &event);
                    }
                    input.drain(..used);
                }
                Ok(None) => break,
                Err(why) => {
                    warn!(state.log, "discovery event rejected"; "reason" => why.to_string());
                    return "malformed";
                }
            }
        }
        let (had, slept_since) = (input.len(), state.clock.now());
        input.resize(had + 4096, 0);
        let got = stream.read(&mut input[had..]);
        // What is read after a stall may be as old as that.
        sent = state.stall_detector.earliest_send_time(slept_since, state.clock.now());
        input.truncate(had + *got.as_ref().unwrap_or(&0));
        match got {
            Ok(0) => return "board-closed",
            Ok(_) if last_look => {
                last_look = false;
                let _ = stream.set_read_timeout(Some(timeout(SILENCE)));
            }
            Ok(_) => {}
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {
                if std::mem::replace(&mut last_look, true) {
                    return "silent";
                }
                let _ = stream.set_read_timeout(Some(timeout(LAST_LOOK)));
            }
            Err(_) => return "board-reset",
        }
    }
}
