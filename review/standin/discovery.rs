//! A stand-in for the notice board: one list of engines, sent as the frames of the protocol page. Whoever connects
//! writes the number of its last event and gets all later events, and an empty frame each second.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// An engine in the list. All are up, of the first zone and kind, and started long ago.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub id: u32,
    pub address: SocketAddr,
}

impl Listed {
    pub fn up(id: u32, address: SocketAddr) -> Listed {
        Listed { id, address }
    }
}

/// The running notice board.
pub struct Discovery {
    pub address: SocketAddr,
    known: String,
}

impl Discovery {
    /// Starts with one event, the whole list.
    pub fn start(engines: &[Listed]) -> std::io::Result<Discovery> {
        let instances: Vec<String> = engines
            .iter()
            .map(|Listed { id, address }| {
                format!(
                    r#"{{"instanceId":"s-{id:08x}","hostPort":"{address}","zone":"newport-hall","machineType":"eight-core","cell":0,"lifecycle":"up","weight":1,"startedAtMs":0}}"#
                )
            })
            .collect();
        let known = format!(
            r#"{{"rev":1,"notices":[{{"rev":1,"pool":{{"generation":1,"reset":true,"instances":[{}]}}}}]}}"#,
            instances.join(",")
        );
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let events = Arc::new(Mutex::new(vec![frame(1, 1, engines)]));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = events.clone();
                thread::spawn(move || tell(stream, &shared));
            }
        });
        Ok(Discovery { address, known })
    }

    /// The events up to now in the form of the configuration's `known`.
    pub fn known(&self) -> &str {
        &self.known
    }
}

fn frame(number: u64, kind: u8, engines: &[Listed]) -> Vec<u8> {
    let mut out = Vec::new();
    out.extend((9 + 27 * engines.len() as u32).to_be_bytes());
    out.extend(number.to_be_bytes());
    out.push(kind);
    for engine in engines {
        let ip = match engine.address {
            SocketAddr::V4(address) => *address.ip(),
            SocketAddr::V6(_) => Ipv4Addr::LOCALHOST,
        };
        out.extend(engine.id.to_be_bytes());
        out.extend(ip.octets());
        out.extend(engine.address.port().to_be_bytes());
        // Ready, of the first zone and kind.
        out.extend([0, 0, 0]);
        out.extend(0_u16.to_be_bytes());
        out.extend(1000_u32.to_be_bytes());
        out.extend(0_u64.to_be_bytes());
    }
    out
}

/// Serves one front until its connection ends.
fn tell(mut stream: TcpStream, events: &Mutex<Vec<Vec<u8>>>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut last = [0; 8];
    stream.read_exact(&mut last).ok()?;
    let mut told = u64::from_be_bytes(last) as usize;
    let mut quiet_ms = 0;
    loop {
        let later: Vec<Vec<u8>> = {
            let events = events.lock().unwrap_or_else(PoisonError::into_inner);
            events.iter().skip(told).cloned().collect()
        };
        for event in later {
            told += 1;
            stream.write_all(&event).ok()?;
        }
        if quiet_ms >= 1000 {
            quiet_ms = 0;
            stream.write_all(&frame(told as u64, 0, &[])).ok()?;
        }
        quiet_ms += 20;
        thread::sleep(Duration::from_millis(20));
    }
}
