//! TCP proxies from each gateway to each engine. Each can forward, delay, stall (accept what arrives and pass nothing on) or
//! cut, and is switched while connections are open.

use crate::sync::lock;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a proxy does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ProxyMode {
    /// Passes everything on at once.
    #[default]
    Forward,
    /// Passes each piece on after this long.
    Delay(Duration),
    /// Passes nothing on; what has arrived is passed on once the mode changes.
    Stall,
    /// Ends open connections, and new ones at once.
    Cut,
}

/// How often a stalled connection looks whether the mode has changed.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for bytes, after which the mode is looked at again.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Where nobody listens a connection is refused at once; one that takes longer is up later, on a busy machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes passed on at a time.
const PIECE_BYTES: usize = 16 << 10;

struct Proxy {
    address: SocketAddr,
    target: SocketAddr,
    mode: Mutex<ProxyMode>,
}

/// The proxies from some gateways to some targets, engines as a rule.
pub struct Proxies {
    /// By gateway and target.
    proxies: Vec<Vec<Arc<Proxy>>>,
    closed: Arc<AtomicBool>,
}

impl Proxies {
    /// A proxy from each gateway to each target, all of which forward.
    pub fn start(gateways: usize, targets: &[SocketAddr]) -> io::Result<Proxies> {
        let closed = Arc::new(AtomicBool::new(false));
        let start_proxy = |target: &SocketAddr| {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let proxy =
                Arc::new(Proxy { address: listener.local_addr()?, target: *target, mode: Mutex::default() });
            let listening = proxy.clone();
            let closed = closed.clone();
            thread::spawn(move || listening.listen(&listener, &closed));
            Ok(proxy)
        };
        let of_gateway = |_| targets.iter().map(start_proxy).collect();
        let proxies = (0..gateways).map(of_gateway).collect::<io::Result<_>>()?;
        Ok(Proxies { proxies, closed })
    }

    /// The address at which that gateway reaches that target.
    pub fn address(&self, gateway: usize, target: usize) -> SocketAddr {
        self.proxies[gateway][target].address
    }

    /// The addresses at which that gateway reaches all targets.
    pub fn addresses(&self, gateway: usize) -> Vec<SocketAddr> {
        self.proxies[gateway].iter().map(|proxy| proxy.address).collect()
    }

    /// Switches the proxies, by gateway and target, for which the predicate holds.
    pub fn set_mode(&self, selected: impl Fn(usize, usize) -> bool, mode: ProxyMode) {
        for (gateway, row) in self.proxies.iter().enumerate() {
            for (target, proxy) in row.iter().enumerate() {
                if selected(gateway, target) {
                    *lock(&proxy.mode) = mode;
                }
            }
        }
    }
}

impl Drop for Proxies {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Relaxed);
        // Each listener waits for one more connection, and then sees that it is closed.
        self.proxies.iter().flatten().for_each(|proxy| drop(TcpStream::connect(proxy.address)));
    }
}

impl Proxy {
    fn listen(self: &Arc<Proxy>, listener: &TcpListener, closed: &Arc<AtomicBool>) {
        for client in listener.incoming().flatten() {
            if closed.load(Ordering::Relaxed) {
                return;
            }
            if *lock(&self.mode) == ProxyMode::Cut {
                continue;
            }
            // Where nobody listens the client's connection ends, as if it had been refused.
            let Ok(target) = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT) else { continue };
            let client = Arc::new(client);
            let target = Arc::new(target);
            self.spawn_forwarder(client.clone(), target.clone(), closed);
            self.spawn_forwarder(target, client, closed);
        }
    }

    fn spawn_forwarder(
        self: &Arc<Proxy>,
        from: Arc<TcpStream>,
        to: Arc<TcpStream>,
        closed: &Arc<AtomicBool>,
    ) {
        let proxy = self.clone();
        let closed = closed.clone();
        thread::spawn(move || proxy.forward(&from, &to, &closed));
    }

    fn forward(&self, mut from: &TcpStream, mut to: &TcpStream, closed: &AtomicBool) {
        let _ = from.set_read_timeout(Some(READ_TIMEOUT));
        let mut buffer = [0; PIECE_BYTES];
        while !closed.load(Ordering::Relaxed) {
            // Read, not held: with many stalled connections the mode could never be changed.
            let mode = *lock(&self.mode);
            match mode {
                ProxyMode::Cut => break,
                ProxyMode::Stall => {
                    thread::sleep(STALL_CHECK_INTERVAL);
                    continue;
                }
                ProxyMode::Forward | ProxyMode::Delay(_) => {}
            }
            let length = match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(length) => length,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
                Err(_) => break,
            };
            let mode = *lock(&self.mode);
            if let ProxyMode::Delay(delay) = mode {
                thread::sleep(delay);
            }
            if to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
