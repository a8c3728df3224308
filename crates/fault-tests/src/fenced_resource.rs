//! A resource that lease holders act on and that checks fencing tokens: each datagram names a lease, a token and a process,
//! is accepted or rejected by the highest token seen, and is kept in an audit log.

use crate::sync::lock;
use larchfall_leases::fencing::TokenFence;
use std::io;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One action of a lease holder's program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// When it arrived.
    pub at: Instant,
    /// The name of the lease.
    pub lease: String,
    /// The fencing token that came with it.
    pub token: u64,
    /// The process id of the program.
    pub process: u32,
    /// Whether no newer token had been seen.
    pub accepted: bool,
}

/// The resource; it listens until it is dropped.
pub struct FencedResource {
    port: u16,
    audit_log: Arc<Mutex<Vec<Action>>>,
    closed: Arc<AtomicBool>,
}

impl FencedResource {
    /// Listens at a free port.
    pub fn start() -> io::Result<FencedResource> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(Duration::from_millis(200)))?;
        let resource = FencedResource {
            port: socket.local_addr()?.port(),
            audit_log: Arc::default(),
            closed: Arc::default(),
        };
        let audit_log = resource.audit_log.clone();
        let closed = resource.closed.clone();
        thread::spawn(move || receive(&socket, &audit_log, &closed));
        Ok(resource)
    }

    /// A program for a lease that acts here at this interval, in the form of the operator's file.
    pub fn command(&self, interval: Duration) -> String {
        format!(
            r#"["bash", "-c", "while :; do echo $LARCHFALL_DUTY $LARCHFALL_TOKEN $$ > /dev/udp/127.0.0.1/{}; sleep {}; done"]"#,
            self.port,
            interval.as_secs_f64()
        )
    }

    /// All actions so far, in order of arrival.
    pub fn audit_log(&self) -> Vec<Action> {
        lock(&self.audit_log).clone()
    }

    /// The newest accepted action under a lease.
    pub fn last_accepted(&self, lease: &str) -> Option<Action> {
        let accepted = |action: &&Action| action.accepted && action.lease == lease;
        lock(&self.audit_log).iter().rev().find(accepted).cloned()
    }

    /// Actions that came with a token older than one that was seen.
    pub fn rejected(&self) -> Vec<Action> {
        lock(&self.audit_log).iter().filter(|action| !action.accepted).cloned().collect()
    }

    /// The longest time between two accepted actions under a lease since then.
    pub fn longest_gap(&self, lease: &str, since: Instant) -> Duration {
        let mut last = since;
        let mut longest = Duration::ZERO;
        let accepted = |action: &&Action| action.accepted && action.lease == lease && action.at >= since;
        for action in lock(&self.audit_log).iter().filter(accepted) {
            longest = longest.max(action.at.saturating_duration_since(last));
            last = action.at;
        }
        longest
    }
}

impl Drop for FencedResource {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

fn receive(socket: &UdpSocket, audit_log: &Mutex<Vec<Action>>, closed: &AtomicBool) {
    let mut buffer = [0; 256];
    let mut fence = TokenFence::default();
    while !closed.load(Ordering::Relaxed) {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else { continue };
        let text = String::from_utf8_lossy(&buffer[..length]);
        let words: Vec<&str> = text.split_whitespace().collect();
        if let [lease, token, process] = words[..]
            && let (Ok(token), Ok(process)) = (token.parse(), process.parse())
        {
            let at = Instant::now();
            let accepted = fence.admits(lease, token);
            lock(audit_log).push(Action { at, lease: lease.to_owned(), token, process, accepted });
        }
    }
}
