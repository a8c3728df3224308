//! Client of the discovery service. Keeps a connection open, applies the watch events received on it, and reconnects
//! when the service is silent or the connection ends.

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

/// Assumed maximum delay from a change of the endpoint list to the arrival of its watch event. A gateway counts as
/// informed of every older change, even if the event has not arrived.
pub const MAX_EVENT_DELAY: Duration = Duration::from_millis(7000);
/// Time without input after which the connection is closed. The service sends at least one heartbeat per second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Timeout of one more read after `SILENCE_TIMEOUT`: after a stall of this gateway, frames may be waiting unread.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// First delay before reconnecting. Each delay is drawn between half of its nominal value and the whole; the nominal
/// value doubles up to `MAX_RECONNECT_DELAY` until a frame is received.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(1500);
const READ_CHUNK_BYTES: usize = 4096;

/// Why a connection to the discovery service ended. `Display` gives the code that the log uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisconnectReason {
    NotConnected,
    NotWritten,
    /// A reload has started another client, for another address.
    Replaced,
    Malformed,
    Closed,
    Reset,
    Silent,
}

impl fmt::Display for DisconnectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DisconnectReason::NotConnected => "no-connection",
            DisconnectReason::NotWritten => "not-written",
            DisconnectReason::Replaced => "replaced",
            DisconnectReason::Malformed => "malformed",
            DisconnectReason::Closed => "closed",
            DisconnectReason::Reset => "reset",
            DisconnectReason::Silent => "silent",
        })
    }
}

/// Starts a client for the service at this address. Replaces the previous client, if any.
pub fn start_client(state: &Arc<State>, address: SocketAddrV4, seed: u64) {
    let client_id = state.discovery.next_client_id();
    let state = state.clone();
    may::go!(move || run(&state, address, seed, client_id));
}

/// Applies a watch event to the endpoint list, and closes idle connections to removed engines.
pub fn apply_event(state: &State, event: &WatchEvent) {
    for engine in state.policy.apply_discovery_event(event) {
        state.engine_connections.close_idle(engine);
    }
    state.counters.update_gateway(|counters| counters.discovery_events += 1);
}

/// Connects again and again until another client replaces this one. `seed` randomizes the reconnect delays.
fn run(state: &State, address: SocketAddrV4, seed: u64, client_id: u64) {
    let mut random = WyRand::new_seed(seed);
    let mut reconnect_delay = MIN_RECONNECT_DELAY;
    while state.discovery.is_current_client(client_id) {
        let mut connection = Connection { state, client_id, frames: 0, input: Vec::new() };
        let reason = connection.run(address);
        info!(state.log, "discovery connection ended"; "reason" => reason.to_string(), "frames" => connection.frames);
        reconnect_delay = if connection.frames > 0 {
            MIN_RECONNECT_DELAY
        } else {
            (reconnect_delay * 2.0).min(MAX_RECONNECT_DELAY)
        };
        state.sleep(reconnect_delay * (0.5 + 0.5 * random.generate::<f64>()));
    }
}

/// One connection to the discovery service.
struct Connection<'a> {
    state: &'a State,
    /// Number of the client that opened the connection; a replaced client stops applying events.
    client_id: u64,
    /// Number of frames received on the connection.
    frames: u64,
    /// Bytes that were received and not yet decoded.
    input: Vec<u8>,
}

impl Connection<'_> {
    /// Connects, sends the watch request, and applies frames until the connection ends.
    fn run(&mut self, address: SocketAddrV4) -> DisconnectReason {
        let address = SocketAddr::V4(address);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, to_std_timeout(CONNECT_TIMEOUT)) else {
            return DisconnectReason::NotConnected;
        };
        let _ = stream.set_read_timeout(Some(to_std_timeout(SILENCE_TIMEOUT)));
        if stream.write_all(&discovery::encode_watch_request(self.state.policy.discovery_revision())).is_err()
        {
            return DisconnectReason::NotWritten;
        }
        let mut is_final_read = false;
        let mut sent = self.state.clock.now();
        loop {
            if let Err(reason) = self.apply_received(sent) {
                return reason;
            }
            let read_started = self.state.clock.now();
            let received = self.receive(&mut stream);
            // Frames that are read after a stall may have been sent when the stall began.
            sent = self.state.stall_detector.earliest_send_time(read_started, self.state.clock.now());
            match received {
                Ok(0) => return DisconnectReason::Closed,
                Ok(_) if is_final_read => {
                    is_final_read = false;
                    let _ = stream.set_read_timeout(Some(to_std_timeout(SILENCE_TIMEOUT)));
                }
                Ok(_) => {}
                Err(ErrorKind::TimedOut | ErrorKind::WouldBlock) if is_final_read => {
                    return DisconnectReason::Silent;
                }
                Err(ErrorKind::TimedOut | ErrorKind::WouldBlock) => {
                    is_final_read = true;
                    let _ = stream.set_read_timeout(Some(to_std_timeout(FINAL_READ_TIMEOUT)));
                }
                Err(_) => return DisconnectReason::Reset,
            }
        }
    }

    /// Appends the bytes of one read to `input`, and returns their number; 0 when the service has closed the
    /// connection.
    fn receive(&mut self, stream: &mut TcpStream) -> Result<usize, ErrorKind> {
        let old_length = self.input.len();
        self.input.resize(old_length + READ_CHUNK_BYTES, 0);
        let received = stream.read(&mut self.input[old_length..]);
        self.input.truncate(old_length + *received.as_ref().unwrap_or(&0));
        received.map_err(|error| error.kind())
    }

    /// Applies all complete frames in `input`, which were sent at `sent` or later.
    fn apply_received(&mut self, sent: Timestamp) -> Result<(), DisconnectReason> {
        let state = self.state;
        // The revisions of a replaced service may be higher than the current revision of its successor.
        if !state.discovery.is_current_client(self.client_id) {
            return Err(DisconnectReason::Replaced);
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
                    return Err(DisconnectReason::Malformed);
                }
            }
        }
    }
}
