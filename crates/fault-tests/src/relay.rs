//! Ways from each gateway to each engine, over TCP: sound, slow, standing still (what comes is taken and nothing is said), or
//! cut, each for itself and changed while connections are open.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Way {
    #[default]
    Sound,
    /// Each piece takes so long.
    Slow(Duration),
    Stalls,
    /// Open connections end, new ones end at once.
    Cut,
}

const LOOK: Duration = Duration::from_millis(5);
/// A wait on a socket, after which the way is looked at again.
const WAIT: Duration = Duration::from_millis(50);

struct Relay {
    at: SocketAddr,
    to: SocketAddr,
    way: Mutex<Way>,
}

/// All ways of a fleet.
pub struct Relays {
    /// By gateway and engine.
    relays: Vec<Vec<Arc<Relay>>>,
    over: Arc<AtomicBool>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relays {
    pub fn start(gateways: usize, engines: &[SocketAddr]) -> io::Result<Relays> {
        let over = Arc::new(AtomicBool::new(false));
        let relay = |to: &SocketAddr| {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let relay = Arc::new(Relay { at: listener.local_addr()?, to: *to, way: Mutex::default() });
            let (shared, over) = (relay.clone(), over.clone());
            thread::spawn(move || shared.listen(&listener, &over));
            Ok(relay)
        };
        let relays = (0..gateways).map(|_| engines.iter().map(relay).collect()).collect::<io::Result<_>>()?;
        Ok(Relays { relays, over })
    }

    /// Where that gateway finds that engine.
    pub fn address(&self, gateway: usize, engine: usize) -> SocketAddr {
        self.relays[gateway][engine].at
    }

    /// Changes the ways for which this holds.
    pub fn set(&self, which: impl Fn(usize, usize) -> bool, way: Way) {
        for (gateway, row) in self.relays.iter().enumerate() {
            row.iter().enumerate().filter(|(engine, _)| which(gateway, *engine)).for_each(|(_, relay)| {
                *lock(&relay.way) = way;
            });
        }
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        // The listeners wait for one more, and see that it is over.
        self.relays.iter().flatten().for_each(|relay| drop(TcpStream::connect(relay.at)));
    }
}

impl Relay {
    fn listen(self: &Arc<Relay>, listener: &TcpListener, over: &Arc<AtomicBool>) {
        for near in listener.incoming().flatten() {
            if over.load(Ordering::Relaxed) {
                return;
            }
            if *lock(&self.way) == Way::Cut {
                continue;
            }
            // An engine that is not there ends it, as it would have refused it.
            let Ok(far) = TcpStream::connect_timeout(&self.to, WAIT) else { continue };
            let ways = [(near.try_clone(), far.try_clone()), (far.try_clone(), near.try_clone())];
            for (from, to) in ways {
                let (Ok(from), Ok(to)) = (from, to) else { continue };
                let (relay, over) = (self.clone(), over.clone());
                thread::spawn(move || relay.carry(from, to, &over));
            }
        }
    }

    fn carry(&self, mut from: TcpStream, mut to: TcpStream, over: &AtomicBool) {
        let _ = from.set_read_timeout(Some(WAIT));
        let mut bytes = [0; 16 << 10];
        while !over.load(Ordering::Relaxed) {
            // Looked at, not held: many that stand still would keep the way from ever being changed.
            let way = *lock(&self.way);
            match way {
                Way::Cut => break,
                Way::Stalls => {
                    thread::sleep(LOOK);
                    continue;
                }
                Way::Sound | Way::Slow(_) => {}
            }
            let n = match from.read(&mut bytes) {
                Ok(0) => break,
                Ok(n) => n,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
                Err(_) => break,
            };
            let way = *lock(&self.way);
            if let Way::Slow(by) = way {
                thread::sleep(by);
            }
            if to.write_all(&bytes[..n]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }
}
