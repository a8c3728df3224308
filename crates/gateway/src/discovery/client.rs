//! Client of the discovery service: connected for as long as the service speaks, connected again when it does not.

use crate::codec::Decoded;
use crate::codec::discovery::{self, Frame, WatchEvent};
use crate::state::State;
use crate::state::clock::to_std_timeout;
use larchfall_policy::time::{Duration, Timestamp};
use may::net::TcpStream;
use nanorand::{Rng, WyRand};
use slog::{info, warn};
use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

/// A change of the list counts as known so long after it happened, whether or not its event has come.
pub const MAX_EVENT_DELAY: Duration = Duration::from_millis(7000);
/// An empty frame comes each second: after this much silence the service is taken for gone.
const SILENCE: Duration = Duration::from_millis(2500);
/// One last read after that much silence: to a gateway that was stalled all that was sent meanwhile is still unread.
const LAST_READ: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pauses before connecting again are drawn between half of this and the whole; they double up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(1500);
const READ_BYTES: usize = 4096;

/// Why a connection to the discovery service ended, in the words of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disconnect {
    NotConnected,
    NotWritten,
    /// Another client has taken over, with another address.
    Replaced,
    Malformed,
    Closed,
    Reset,
    Silent,
}

impl fmt::Display for Disconnect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Disconnect::NotConnected => "no-connection",
            Disconnect::NotWritten => "not-written",
            Disconnect::Replaced => "replaced",
            Disconnect::Malformed => "malformed",
            Disconnect::Closed => "closed",
            Disconnect::Reset => "reset",
            Disconnect::Silent => "silent",
        })
    }
}

/// Follows the service at this address from now on, in place of the one that was followed before.
pub fn start_client(state: &Arc<State>, address: SocketAddrV4, seed: u64) {
    let client = state.discovery.next_client_id();
    let state = state.clone();
    may::go!(move || follow(&state, address, seed, client));
}

/// Applies a watch event, and drops connections to engines that are gone.
pub fn apply_event(state: &State, event: &WatchEvent) {
    for engine in state.policy.apply_discovery_event(event) {
        state.engine_connections.close_idle(engine);
    }
    state.counters.update_gateway(|counters| counters.discovery_events += 1);
}

fn follow(state: &State, address: SocketAddrV4, seed: u64, client: u64) {
    let mut random = WyRand::new_seed(seed);
    let mut pause = FIRST_PAUSE;
    while state.discovery.is_current_client(client) {
        let mut connection = Connection { state, client, frames: 0, input: Vec::new() };
        let reason = connection.run(address);
        info!(state.log, "discovery connection ended"; "reason" => reason.to_string(), "frames" => connection.frames);
        pause = if connection.frames > 0 { FIRST_PAUSE } else { (pause * 2.0).min(LONGEST_PAUSE) };
        state.sleep(pause * (0.5 + 0.5 * random.generate::<f64>()));
    }
}

/// One connection to the service.
struct Connection<'a> {
    state: &'a State,
    client: u64,
    /// Frames received on it.
    frames: u64,
    /// What was received and not yet decoded.
    input: Vec<u8>,
}

impl Connection<'_> {
    /// Receives until the connection ends.
    fn run(&mut self, address: SocketAddrV4) -> Disconnect {
        let address = SocketAddr::V4(address);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, to_std_timeout(CONNECT_TIMEOUT)) else {
            return Disconnect::NotConnected;
        };
        let _ = stream.set_read_timeout(Some(to_std_timeout(SILENCE)));
        if stream.write_all(&discovery::encode_watch_request(self.state.policy.discovery_revision())).is_err()
        {
            return Disconnect::NotWritten;
        }
        let mut is_last_read = false;
        let mut sent = self.state.clock.now();
        loop {
            if let Err(reason) = self.apply_received(sent) {
                return reason;
            }
            let read_from = self.state.clock.now();
            let received = self.receive(&mut stream);
            // What is read after a stall may be as old as that.
            sent = self.state.stall_detector.earliest_send_time(read_from, self.state.clock.now());
            match received {
                Ok(0) => return Disconnect::Closed,
                Ok(_) if is_last_read => {
                    is_last_read = false;
                    let _ = stream.set_read_timeout(Some(to_std_timeout(SILENCE)));
                }
                Ok(_) => {}
                Err(ErrorKind::TimedOut | ErrorKind::WouldBlock) if is_last_read => {
                    return Disconnect::Silent;
                }
                Err(ErrorKind::TimedOut | ErrorKind::WouldBlock) => {
                    is_last_read = true;
                    let _ = stream.set_read_timeout(Some(to_std_timeout(LAST_READ)));
                }
                Err(_) => return Disconnect::Reset,
            }
        }
    }

    fn receive(&mut self, stream: &mut TcpStream) -> Result<usize, ErrorKind> {
        let before = self.input.len();
        self.input.resize(before + READ_BYTES, 0);
        let received = stream.read(&mut self.input[before..]);
        self.input.truncate(before + *received.as_ref().unwrap_or(&0));
        received.map_err(|error| error.kind())
    }

    /// Applies all whole frames received, which were sent at this time or later.
    fn apply_received(&mut self, sent: Timestamp) -> Result<(), Disconnect> {
        let state = self.state;
        // A service that was replaced may use revisions that the new one has yet to reach.
        if !state.discovery.is_current_client(self.client) {
            return Err(Disconnect::Replaced);
        }
        loop {
            match discovery::decode(&self.input) {
                Ok(Some(Decoded { value: frame, length })) => {
                    self.frames += 1;
                    state.discovery.record_contact(state.clock.now());
                    state.policy.confirm_endpoint_list(sent);
                    if let Frame::Event(event) = frame {
                        apply_event(state, &event);
                    }
                    self.input.drain(..length);
                }
                Ok(None) => return Ok(()),
                Err(error) => {
                    warn!(state.log, "discovery event rejected"; "reason" => error.to_string());
                    return Err(Disconnect::Malformed);
                }
            }
        }
    }
}
