//! A net between gateways, on loopback. Each gateway is told to bind one address and to tell others another, which belongs
//! to the net: what comes there is handed on from the address that the receiver knows the sender by, so that the
//! checks of sources stay on, or is lost, delayed, doubled or held back, by link and by seed.

use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The way from one gateway to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Nothing passes.
    pub cut: bool,
    /// Share that is lost, and share that comes twice.
    pub loses: f64,
    pub doubles: f64,
    /// Each takes between none and so long, by chance: later ones overtake.
    pub delays: Duration,
}

pub const SOUND: Link = Link { cut: false, loses: 0.0, doubles: 0.0, delays: Duration::ZERO };

type Due = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

struct Shared {
    /// By gateway: the net's own socket, that others know it by, and where it really listens.
    sockets: Vec<UdpSocket>,
    homes: Vec<SocketAddr>,
    links: Mutex<Vec<Vec<Link>>>,
    due: Mutex<BinaryHeap<Due>>,
    more: Condvar,
    chance: Mutex<WyRand>,
    passed: AtomicU64,
    over: AtomicBool,
}

pub struct Net(Arc<Shared>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The first port of a net's gateways. The system gives none below 32,768 to whoever asks for any, be it on all addresses: one
/// that is left to a gateway stays free until the gateway takes it, and between two processes of it.
const FIRST_PORT: u16 = 7001;

/// An address of loopback that no other net has, in this process or in another that runs now.
fn own_host() -> Ipv4Addr {
    static NETS: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let net = NETS.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 1 + high % 254, low, 1 + (net % 254) as u8)
}

impl Net {
    /// Between so many gateways, all links sound.
    pub fn start(gateways: usize, seed: u64) -> io::Result<Net> {
        let sockets: Vec<UdpSocket> =
            (0..gateways).map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))).collect::<io::Result<_>>()?;
        let host = own_host();
        let homes = (0..gateways as u16).map(|i| SocketAddr::from((host, FIRST_PORT + i))).collect();
        let net = Arc::new(Shared {
            sockets,
            homes,
            links: Mutex::new(vec![vec![SOUND; gateways]; gateways]),
            due: Mutex::default(),
            more: Condvar::new(),
            chance: Mutex::new(WyRand::new_seed(seed)),
            passed: AtomicU64::new(0),
            over: AtomicBool::new(false),
        });
        for to in 0..gateways {
            net.sockets[to].set_read_timeout(Some(Duration::from_millis(200)))?;
            let net = net.clone();
            thread::spawn(move || net.take(to));
        }
        let deliverer = net.clone();
        thread::spawn(move || deliverer.deliver());
        Ok(Net(net))
    }

    /// What others know this gateway by.
    pub fn address(&self, i: usize) -> SocketAddr {
        self.0.sockets[i].local_addr().unwrap_or(self.0.homes[i])
    }

    /// What it is to bind.
    pub fn home(&self, i: usize) -> SocketAddr {
        self.0.homes[i]
    }

    /// Changes the links for which this holds.
    pub fn set(&self, which: impl Fn(usize, usize) -> bool, link: Link) {
        for (from, row) in lock(&self.0.links).iter_mut().enumerate() {
            row.iter_mut().enumerate().filter(|(to, _)| which(from, *to)).for_each(|(_, l)| *l = link);
        }
    }

    pub fn heal(&self) {
        self.set(|_, _| true, SOUND);
    }

    /// Datagrams handed on so far.
    pub fn passed(&self) -> u64 {
        self.0.passed.load(Ordering::Relaxed)
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        self.0.over.store(true, Ordering::Relaxed);
        self.0.more.notify_all();
    }
}

impl Shared {
    /// What comes to the net's address of one gateway.
    fn take(&self, to: usize) {
        let mut bytes = [0; 2048];
        while !self.over.load(Ordering::Relaxed) {
            let Ok((n, from)) = self.sockets[to].recv_from(&mut bytes) else { continue };
            let Some(from) = self.homes.iter().position(|home| *home == from) else { continue };
            let link = lock(&self.links)[from][to];
            let mut chance = lock(&self.chance);
            if link.cut || chance.generate::<f64>() < link.loses {
                continue;
            }
            let times = 1 + u64::from(chance.generate::<f64>() < link.doubles);
            for _ in 0..times {
                let at = Instant::now() + link.delays.mul_f64(chance.generate::<f64>());
                let mut due = lock(&self.due);
                let number = chance.generate::<u64>();
                due.push(Reverse((at, number, from, to, bytes[..n].to_vec())));
            }
            self.more.notify_one();
        }
    }

    fn deliver(&self) {
        while !self.over.load(Ordering::Relaxed) {
            let mut due = lock(&self.due);
            let now = Instant::now();
            let wait = due.peek().map(|Reverse((at, ..))| at.saturating_duration_since(now));
            match wait {
                Some(Duration::ZERO) => {
                    let Some(Reverse((_, _, from, to, bytes))) = due.pop() else { continue };
                    drop(due);
                    // A gateway that is not there takes nothing.
                    if self.sockets[from].send_to(&bytes, self.homes[to]).is_ok() {
                        self.passed.fetch_add(1, Ordering::Relaxed);
                    }
                }
                wait => {
                    let wait = wait.unwrap_or(Duration::from_millis(200));
                    let _ = self.more.wait_timeout(due, wait);
                }
            }
        }
    }
}
