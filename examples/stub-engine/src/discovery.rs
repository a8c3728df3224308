//! A discovery service: it sends whoever connects all watch events after the revision that the client names.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// A client that has everything gets an empty event this often.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// One engine as the discovery service lists it.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Its id in the list.
    pub id: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
    /// Its zone, by its place among the settings' zones.
    pub zone: u8,
    /// Its machine type, by its place among the settings' types.
    pub kind: u8,
}

impl Endpoint {
    /// One that is ready, in the first zone and of the first machine type.
    pub fn ready(id: u32, address: SocketAddr) -> Endpoint {
        Endpoint { id, address, state: 0, zone: 0, kind: 0 }
    }

    /// One that is draining, in the first zone and of the first machine type.
    pub fn draining(id: u32, address: SocketAddr) -> Endpoint {
        Endpoint { state: 1, ..Endpoint::ready(id, address) }
    }
}

/// The frame of a watch event: the whole list of endpoints, or changes to it.
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

/// A running discovery service; it serves until the process ends.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    events: Arc<Events>,
}

#[derive(Clone)]
struct Frame {
    revision: u64,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct Events {
    frames: Mutex<Vec<Frame>>,
    new: Condvar,
}

impl Discovery {
    /// Listens at an address, with nothing to send yet.
    pub fn start(listen: &str) -> io::Result<Discovery> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let events = Arc::new(Events::default());
        let shared = events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || send_events(stream, &shared));
            }
        });
        Ok(Discovery { address, events })
    }

    /// A discovery service that accepts connections and never sends anything.
    pub fn start_mute(listen: &str) -> io::Result<Discovery> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let events = Arc::new(Events::default());
        thread::spawn(move || listener.incoming().flatten().collect::<Vec<TcpStream>>());
        Ok(Discovery { address, events })
    }

    /// Sends bytes under a revision, in place of what it had there: a frame, or whatever else a service may send.
    pub fn say(&self, revision: u64, bytes: Vec<u8>) {
        let mut frames = self.events.frames.lock().unwrap_or_else(PoisonError::into_inner);
        frames.retain(|frame| frame.revision != revision);
        frames.push(Frame { revision, bytes });
        drop(frames);
        self.events.new.notify_all();
    }
}

/// `None` once the connection has ended.
fn send_events(mut stream: TcpStream, events: &Events) -> Option<()> {
    let mut since = [0; 8];
    stream.read_exact(&mut since).ok()?;
    let mut sent_until = u64::from_be_bytes(since);
    loop {
        let unsent: Vec<Frame> = {
            let frames = events.frames.lock().unwrap_or_else(PoisonError::into_inner);
            let all_sent = |frames: &mut Vec<Frame>| frames.iter().all(|frame| frame.revision <= sent_until);
            let waited = events.new.wait_timeout_while(frames, HEARTBEAT, all_sent);
            let (frames, _) = waited.unwrap_or_else(PoisonError::into_inner);
            frames.iter().filter(|frame| frame.revision > sent_until).cloned().collect()
        };
        if unsent.is_empty() {
            let heartbeat = [&9u32.to_be_bytes()[..], &sent_until.to_be_bytes(), &[0]].concat();
            stream.write_all(&heartbeat).ok()?;
        }
        for frame in unsent {
            sent_until = sent_until.max(frame.revision);
            stream.write_all(&frame.bytes).ok()?;
        }
    }
}
