//! A stub discovery service. A client connects and sends a revision; the service sends all watch events with a later
//! revision.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Interval of empty watch events to a client that has already received every revision.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// An engine in the endpoint list of the discovery service.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Id of the engine in the endpoint list.
    pub id: u32,
    /// Address on which the engine listens; an IPv6 address is sent as 0.0.0.0.
    pub address: SocketAddr,
    /// Lifecycle state: 0 is ready, 1 is draining, 2 is gone.
    pub state: u8,
    /// Index of the engine's zone in the zones of the gateway settings.
    pub zone: u8,
    /// Index of the engine's machine type in the machine types of the gateway settings.
    pub kind: u8,
}

impl Endpoint {
    /// Returns a ready engine in the first zone, of the first machine type.
    pub fn ready(id: u32, address: SocketAddr) -> Endpoint {
        Endpoint { id, address, state: 0, zone: 0, kind: 0 }
    }

    /// Returns a draining engine in the first zone, of the first machine type.
    pub fn draining(id: u32, address: SocketAddr) -> Endpoint {
        Endpoint { state: 1, ..Endpoint::ready(id, address) }
    }
}

/// Encodes a watch event as a length-prefixed frame. `engines` is the whole endpoint list if `whole` is true, otherwise
/// the changed endpoints.
pub fn frame(revision: u64, whole: bool, engines: &[Endpoint]) -> Vec<u8> {
    let mut out = Vec::new();
    out.extend((9 + 27 * engines.len() as u32).to_be_bytes());
    out.extend(revision.to_be_bytes());
    out.push(if whole { 1 } else { 2 });
    for engine in engines {
        let ip = match engine.address {
            SocketAddr::V4(address) => *address.ip(),
            SocketAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        out.extend(engine.id.to_be_bytes());
        out.extend(ip.octets());
        out.extend(engine.address.port().to_be_bytes());
        out.extend([engine.state, engine.zone, engine.kind]);
        out.extend(0u16.to_be_bytes());
        out.extend(1000u32.to_be_bytes());
        out.extend(0u64.to_be_bytes());
    }
    out
}

/// A running discovery service; its threads run until the process exits.
pub struct Discovery {
    /// Address on which the service listens, with the assigned port if port 0 was requested.
    pub address: SocketAddr,
    events: Arc<EventLog>,
}

#[derive(Clone)]
struct Frame {
    revision: u64,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct EventLog {
    frames: Mutex<Vec<Frame>>,
    frame_added: Condvar,
}

impl Discovery {
    /// Listens on the address `listen`; the service has no watch events yet and sends heartbeats only.
    pub fn start(listen: &str) -> io::Result<Discovery> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let events = Arc::new(EventLog::default());
        let shared = events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || send_events(stream, &shared));
            }
        });
        Ok(Discovery { address, events })
    }

    /// Starts a discovery service that accepts connections, keeps them open and never sends a byte.
    pub fn start_mute(listen: &str) -> io::Result<Discovery> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let events = Arc::new(EventLog::default());
        thread::spawn(move || listener.incoming().flatten().collect::<Vec<TcpStream>>());
        Ok(Discovery { address, events })
    }

    /// Sends `bytes` as the event of `revision`, and replaces an earlier event with the same revision. The bytes
    /// may be a frame or malformed data.
    pub fn say(&self, revision: u64, bytes: Vec<u8>) {
        let mut frames = self.events.frames.lock().unwrap_or_else(PoisonError::into_inner);
        frames.retain(|frame| frame.revision != revision);
        frames.push(Frame { revision, bytes });
        drop(frames);
        self.events.frame_added.notify_all();
    }
}

/// Sends watch events and heartbeats to a client; returns `None` when the connection has closed.
fn send_events(mut stream: TcpStream, events: &EventLog) -> Option<()> {
    let mut client_revision = [0; 8];
    stream.read_exact(&mut client_revision).ok()?;
    let mut last_sent_revision = u64::from_be_bytes(client_revision);
    loop {
        let unsent: Vec<Frame> = {
            let frames = events.frames.lock().unwrap_or_else(PoisonError::into_inner);
            let all_sent =
                |frames: &mut Vec<Frame>| frames.iter().all(|frame| frame.revision <= last_sent_revision);
            let wait_result = events.frame_added.wait_timeout_while(frames, HEARTBEAT, all_sent);
            let (frames, _) = wait_result.unwrap_or_else(PoisonError::into_inner);
            frames.iter().filter(|frame| frame.revision > last_sent_revision).cloned().collect()
        };
        if unsent.is_empty() {
            let heartbeat = [&9u32.to_be_bytes()[..], &last_sent_revision.to_be_bytes(), &[0]].concat();
            stream.write_all(&heartbeat).ok()?;
        }
        for frame in unsent {
            last_sent_revision = last_sent_revision.max(frame.revision);
            stream.write_all(&frame.bytes).ok()?;
        }
    }
}
