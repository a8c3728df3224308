//! A toy discovery service: it tells whoever connects all events after the number it was given.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// One engine as the discovery service lists it.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub id: u32,
    pub address: SocketAddr,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
    pub zone: u8,
    pub kind: u8,
}

/// The frame of an event.
pub fn frame(number: u64, whole: bool, engines: &[Listed]) -> Vec<u8> {
    let mut out = Vec::new();
    out.extend((9 + 27 * engines.len() as u32).to_be_bytes());
    out.extend(number.to_be_bytes());
    out.push(if whole { 1 } else { 2 });
    for e in engines {
        let ip = match e.address {
            SocketAddr::V4(a) => *a.ip(),
            SocketAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        out.extend(e.id.to_be_bytes());
        out.extend(ip.octets());
        out.extend(e.address.port().to_be_bytes());
        out.extend([e.state, e.zone, e.kind]);
        out.extend(0u16.to_be_bytes());
        out.extend(1000u32.to_be_bytes());
        out.extend(0u64.to_be_bytes());
    }
    out
}

pub struct Discovery {
    pub address: SocketAddr,
    events: Arc<Events>,
}

#[derive(Default)]
struct Events {
    frames: Mutex<Vec<(u64, Vec<u8>)>>,
    new: Condvar,
}

impl Discovery {
    pub fn start(at: &str) -> io::Result<Discovery> {
        let listener = TcpListener::bind(at)?;
        let address = listener.local_addr()?;
        let events = Arc::new(Events::default());
        let shared = events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || tell(stream, &shared));
            }
        });
        Ok(Discovery { address, events })
    }

    /// A discovery service that takes connections and never says a word.
    pub fn start_mute(at: &str) -> io::Result<Discovery> {
        let listener = TcpListener::bind(at)?;
        let address = listener.local_addr()?;
        let events = Arc::new(Events::default());
        thread::spawn(move || listener.incoming().flatten().collect::<Vec<TcpStream>>());
        Ok(Discovery { address, events })
    }

    /// Bytes under a number, in place of what stood there: a frame, or whatever else a discovery service may say.
    pub fn say(&self, number: u64, bytes: Vec<u8>) {
        let mut frames = self.events.frames.lock().unwrap_or_else(PoisonError::into_inner);
        frames.retain(|(n, _)| *n != number);
        frames.push((number, bytes));
        drop(frames);
        self.events.new.notify_all();
    }
}

fn tell(mut stream: TcpStream, events: &Events) -> Option<()> {
    let mut since = [0; 8];
    stream.read_exact(&mut since).ok()?;
    let mut seen = u64::from_be_bytes(since);
    loop {
        let fresh: Vec<(u64, Vec<u8>)> = {
            let all = events.frames.lock().unwrap_or_else(PoisonError::into_inner);
            let none_new = |all: &mut Vec<(u64, Vec<u8>)>| all.iter().all(|(n, _)| *n <= seen);
            let waited = events.new.wait_timeout_while(all, Duration::from_secs(1), none_new);
            let (all, _) = waited.unwrap_or_else(PoisonError::into_inner);
            all.iter().filter(|(n, _)| *n > seen).cloned().collect()
        };
        if fresh.is_empty() {
            let nothing = [&9u32.to_be_bytes()[..], &seen.to_be_bytes(), &[0]].concat();
            stream.write_all(&nothing).ok()?;
        }
        for (number, bytes) in fresh {
            seen = seen.max(number);
            stream.write_all(&bytes).ok()?;
        }
    }
}
