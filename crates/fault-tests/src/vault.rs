//! Something that holders of duties act on, and that checks tokens: datagrams of the words duty, token and process, each
//! taken or refused by the highest token seen, and all of them kept in a ledger.

use larchfall_leases::fencing::TokenFence;
use std::io;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    pub at: Instant,
    pub duty: String,
    pub token: u64,
    pub process: u32,
    pub taken: bool,
}

pub struct Vault {
    pub port: u16,
    ledger: Arc<Mutex<Vec<Action>>>,
    over: Arc<AtomicBool>,
}

impl Vault {
    pub fn start() -> io::Result<Vault> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(Duration::from_millis(200)))?;
        let port = socket.local_addr()?.port();
        let (ledger, over) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let vault = Vault { port, ledger: ledger.clone(), over: over.clone() };
        thread::spawn(move || {
            let (mut bytes, mut fence) = ([0; 256], TokenFence::default());
            while !over.load(Ordering::Relaxed) {
                let Ok((n, _)) = socket.recv_from(&mut bytes) else { continue };
                let text = String::from_utf8_lossy(&bytes[..n]).into_owned();
                let words: Vec<&str> = text.split_whitespace().collect();
                if let [duty, token, process] = words[..]
                    && let (Ok(token), Ok(process)) = (token.parse(), process.parse())
                {
                    let (duty, at) = (duty.to_owned(), Instant::now());
                    let taken = fence.admits(&duty, token);
                    lock(&ledger).push(Action { at, duty, token, process, taken });
                }
            }
        });
        Ok(vault)
    }

    /// A program for a duty that acts here every so many milliseconds, in the form of the operator's file.
    pub fn command(&self, every: Duration) -> String {
        format!(
            r#"["bash", "-c", "while :; do echo $LARCHFALL_DUTY $LARCHFALL_TOKEN $$ > /dev/udp/127.0.0.1/{}; sleep {}; done"]"#,
            self.port,
            every.as_secs_f64()
        )
    }

    pub fn ledger(&self) -> Vec<Action> {
        lock(&self.ledger).clone()
    }

    /// The newest action on a duty that was taken.
    pub fn last(&self, duty: &str) -> Option<Action> {
        lock(&self.ledger).iter().rev().find(|a| a.taken && a.duty == duty).cloned()
    }

    /// Those that came with a token older than one that was seen.
    pub fn refused(&self) -> Vec<Action> {
        lock(&self.ledger).iter().filter(|a| !a.taken).cloned().collect()
    }

    /// The longest time between two actions on a duty since then.
    pub fn longest_gap(&self, duty: &str, from: Instant) -> Duration {
        let (mut last, mut gap) = (from, Duration::ZERO);
        for action in lock(&self.ledger).iter().filter(|a| a.taken && a.duty == duty && a.at >= from) {
            gap = gap.max(action.at.saturating_duration_since(last));
            last = action.at;
        }
        gap
    }
}

impl Drop for Vault {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
