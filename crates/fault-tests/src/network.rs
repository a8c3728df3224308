//! A datagram network between gateways, on loopback. Each gateway binds one address and tells others another one, which
//! belongs to the network: a datagram that arrives there is forwarded from the address by which the receiver knows the
//! sender, so that the gateways' checks of source addresses stay on. It may be lost, delayed or duplicated, by link and by
//! seed.

use crate::sync::lock;
use nanorand::{Rng, WyRand};
use std::cmp::Ordering as Compared;
use std::collections::BinaryHeap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What happens to datagrams from one gateway to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// All datagrams are lost.
    pub cut: bool,
    /// Fraction of datagrams that is lost, in 0..=1.
    pub loss: f64,
    /// Fraction of datagrams that arrives twice, in 0..=1.
    pub duplication: f64,
    /// Each datagram takes a random time up to this, so that later ones overtake.
    pub max_delay: Duration,
}

impl Link {
    /// Delivers everything at once.
    pub const HEALTHY: Link = Link { cut: false, loss: 0.0, duplication: 0.0, max_delay: Duration::ZERO };
    /// Delivers nothing.
    pub const CUT: Link = Link { cut: true, ..Link::HEALTHY };
}

/// A datagram on its way.
#[derive(PartialEq, Eq)]
struct Delivery {
    due: Instant,
    /// Random, so that datagrams due at the same time arrive in any order.
    tie_break: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl Ord for Delivery {
    /// Reversed: the heap's greatest is the one that is due first.
    fn cmp(&self, other: &Delivery) -> Compared {
        let key = |delivery: &Delivery| (delivery.due, delivery.tie_break);
        key(other).cmp(&key(self))
    }
}

impl PartialOrd for Delivery {
    fn partial_cmp(&self, other: &Delivery) -> Option<Compared> {
        Some(self.cmp(other))
    }
}

struct Shared {
    /// By gateway: the network's own socket, by which others know it.
    sockets: Vec<UdpSocket>,
    /// By gateway: the address that it binds.
    bind_addresses: Vec<SocketAddr>,
    /// By sender and receiver.
    links: Mutex<Vec<Vec<Link>>>,
    under_way: Mutex<BinaryHeap<Delivery>>,
    queued: Condvar,
    random: Mutex<WyRand>,
    delivered: AtomicU64,
    closed: AtomicBool,
}

/// A network between gateways that are known by their numbers, from 0.
pub struct Network(Arc<Shared>);

/// The system gives no port below 32,768 to a socket that asks for any, be it on all addresses: so one that is meant for a
/// gateway stays free until the gateway binds it, and while it is restarted.
const FIRST_GATEWAY_PORT: u16 = 7001;

/// How often a thread that waits looks whether the network is closed.
const CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A loopback address that no other caller has, in this process or in another that runs now.
pub fn unique_loopback_address() -> Ipv4Addr {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = GIVEN.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 1 + high % 254, low, 1 + (number % 254) as u8)
}

impl Network {
    /// A network between this many gateways, all links healthy.
    pub fn start(gateways: usize, seed: u64) -> io::Result<Network> {
        let sockets: Vec<UdpSocket> =
            (0..gateways).map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))).collect::<io::Result<_>>()?;
        let host = unique_loopback_address();
        let bind_addresses =
            (0..gateways as u16).map(|i| SocketAddr::from((host, FIRST_GATEWAY_PORT + i))).collect();
        let shared = Arc::new(Shared {
            sockets,
            bind_addresses,
            links: Mutex::new(vec![vec![Link::HEALTHY; gateways]; gateways]),
            under_way: Mutex::default(),
            queued: Condvar::new(),
            random: Mutex::new(WyRand::new_seed(seed)),
            delivered: AtomicU64::new(0),
            closed: AtomicBool::new(false),
        });
        for to in 0..gateways {
            shared.sockets[to].set_read_timeout(Some(CLOSED_CHECK_INTERVAL))?;
            let receiver = shared.clone();
            thread::spawn(move || receiver.receive(to));
        }
        let deliverer = shared.clone();
        thread::spawn(move || deliverer.deliver());
        Ok(Network(shared))
    }

    /// The address by which others know this gateway.
    pub fn advertised_address(&self, gateway: usize) -> SocketAddr {
        self.0.sockets[gateway].local_addr().unwrap_or(self.0.bind_addresses[gateway])
    }

    /// The address that this gateway binds.
    pub fn bind_address(&self, gateway: usize) -> SocketAddr {
        self.0.bind_addresses[gateway]
    }

    /// Changes the links from one gateway to another for which the predicate holds.
    pub fn set_links(&self, selected: impl Fn(usize, usize) -> bool, link: Link) {
        for (from, row) in lock(&self.0.links).iter_mut().enumerate() {
            for (to, current) in row.iter_mut().enumerate() {
                if selected(from, to) {
                    *current = link;
                }
            }
        }
    }

    /// Cuts all links between this gateway and the others.
    pub fn isolate(&self, gateway: usize) {
        self.set_links(|from, to| (from == gateway) != (to == gateway), Link::CUT);
    }

    /// Makes all links healthy.
    pub fn heal(&self) {
        self.set_links(|_, _| true, Link::HEALTHY);
    }

    /// Number of datagrams delivered so far.
    pub fn delivered(&self) -> u64 {
        self.0.delivered.load(Ordering::Relaxed)
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        self.0.closed.store(true, Ordering::Relaxed);
        self.0.queued.notify_all();
    }
}

impl Shared {
    /// Queues or drops what arrives at the network's address of one gateway.
    fn receive(&self, to: usize) {
        let mut buffer = [0; 2048];
        while !self.closed.load(Ordering::Relaxed) {
            let Ok((length, source)) = self.sockets[to].recv_from(&mut buffer) else { continue };
            let Some(from) = self.bind_addresses.iter().position(|address| *address == source) else {
                continue;
            };
            let link = lock(&self.links)[from][to];
            let mut random = lock(&self.random);
            if link.cut || random.generate::<f64>() < link.loss {
                continue;
            }
            let copies = 1 + u64::from(random.generate::<f64>() < link.duplication);
            for _ in 0..copies {
                let due = Instant::now() + link.max_delay.mul_f64(random.generate::<f64>());
                let mut under_way = lock(&self.under_way);
                let tie_break = random.generate::<u64>();
                under_way.push(Delivery { due, tie_break, from, to, bytes: buffer[..length].to_vec() });
            }
            self.queued.notify_one();
        }
    }

    fn deliver(&self) {
        while !self.closed.load(Ordering::Relaxed) {
            let mut under_way = lock(&self.under_way);
            let now = Instant::now();
            let wait = under_way.peek().map(|delivery| delivery.due.saturating_duration_since(now));
            match wait {
                Some(Duration::ZERO) => {
                    let Some(delivery) = under_way.pop() else { continue };
                    drop(under_way);
                    // A gateway that does not run receives nothing.
                    let receiver = self.bind_addresses[delivery.to];
                    if self.sockets[delivery.from].send_to(&delivery.bytes, receiver).is_ok() {
                        self.delivered.fetch_add(1, Ordering::Relaxed);
                    }
                }
                wait => {
                    let wait = wait.unwrap_or(CLOSED_CHECK_INTERVAL);
                    let _ = self.queued.wait_timeout(under_way, wait);
                }
            }
        }
    }
}
