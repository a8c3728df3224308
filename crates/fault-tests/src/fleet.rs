//! A fleet in one process: members, a net between them that loses, delays and cuts, and one queue of what happens when.

use larchfall_membership::datagram::Datagram;
use larchfall_membership::member_update::{MemberInfo, MemberState};
use larchfall_membership::membership::{
    ChangeReason, Member, MemberChange, Membership, MembershipSettings, Network, OutgoingDatagram,
};
use larchfall_policy::time::{Duration, Timestamp};
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddrV4};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn address(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (i >> 8) as u8, i as u8), 7400)
}

pub fn name(i: usize) -> String {
    format!("n{i:04}")
}

pub fn settings() -> MembershipSettings {
    MembershipSettings {
        cluster: "toy".into(),
        probe_interval: ms(500),
        probe_timeout: ms(150),
        helpers: 3,
        remember_ended: ms(60_000),
        table_interval: ms(3_000),
        max_members: 4096,
        networks: vec![Network { address: Ipv4Addr::new(10, 0, 0, 0), prefix_len: 8 }],
        seeds: vec![address(0), address(1)],
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize, u64),
    Letter(usize, usize, Vec<u8>),
}

pub struct Node {
    pub members: Membership,
    pub up: bool,
    /// Awake again then, if it stands still.
    pub stopped: Option<Timestamp>,
    /// Which start of a process this is; wakes of an earlier one are passed over.
    life: u64,
    woken_for: Timestamp,
}

/// A change that a gateway saw.
pub struct Sight {
    pub at: Timestamp,
    pub by: usize,
    pub change: MemberChange,
}

pub struct Fleet {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    /// Of gateways that are down, and deaths: under loss all are suspected and refute it all the time.
    pub sights: Vec<Sight>,
    pub loss: f64,
    /// Whether letters from the one reach the other.
    pub link: Box<dyn Fn(usize, usize) -> bool>,
    pub letters: u64,
    pub bytes: u64,
    pub longest: usize,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    events: u64,
    chance: WyRand,
}

impl Fleet {
    pub fn start(n: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Timestamp::from_micros(1_000_000),
            nodes: Vec::new(),
            sights: Vec::new(),
            loss: 0.0,
            link: Box::new(|_, _| true),
            letters: 0,
            bytes: 0,
            longest: 0,
            queue: BinaryHeap::new(),
            events: 0,
            chance: WyRand::new_seed(seed),
        };
        for i in 0..n {
            let node = fleet.node(i, 1);
            fleet.nodes.push(node);
            fleet.wake_at(i, fleet.now);
        }
        fleet
    }

    fn node(&mut self, i: usize, generation: u64) -> Node {
        let about = MemberInfo { address: address(i), zone: "east".into(), requests_per_second: 20 };
        let members =
            Membership::new(&name(i), generation, about, settings(), self.chance.generate::<u64>(), self.now);
        Node { members, up: true, stopped: None, life: generation, woken_for: Timestamp::default() }
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].up = false;
    }

    /// Stands still for so long: what comes waits in its socket.
    pub fn stop(&mut self, i: usize, duration: Duration) {
        self.nodes[i].stopped = Some(self.now + duration);
    }

    pub fn restart(&mut self, i: usize) {
        let life = self.nodes[i].life + 1;
        self.nodes[i] = self.node(i, life);
        self.wake_at(i, self.now);
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    fn wake_at(&mut self, i: usize, at: Timestamp) {
        self.nodes[i].woken_for = at;
        let life = self.nodes[i].life;
        self.push(at, Event::Wake(i, life));
    }

    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            let (Event::Wake(i, _) | Event::Letter(i, ..)) = &event;
            let i = *i;
            if let Some(awake) = self.nodes[i].stopped {
                if awake > at {
                    self.push(awake, event);
                    continue;
                }
                self.nodes[i].stopped = None;
            }
            if !self.nodes[i].up {
                continue;
            }
            let out = match event {
                Event::Wake(_, life) if life != self.nodes[i].life || at < self.nodes[i].woken_for => {
                    continue;
                }
                Event::Wake(..) => self.nodes[i].members.on_timer(at),
                Event::Letter(_, from, bytes) => {
                    let datagram = Datagram::decode(&bytes, "toy").expect("what members write can be read");
                    self.nodes[i].members.on_datagram(address(from), &datagram, at).unwrap_or_default()
                }
            };
            for change in out.changes {
                let of = change.name[1..].parse::<usize>().ok().and_then(|of| self.nodes.get(of));
                if change.to == MemberState::Dead || of.is_some_and(|node| !node.up) {
                    self.sights.push(Sight { at, by: i, change });
                }
            }
            for OutgoingDatagram { to, datagram } in out.datagrams {
                let bytes = datagram.encode();
                self.letters += 1;
                self.bytes += bytes.len() as u64;
                self.longest = self.longest.max(bytes.len());
                let [_, _, high, low] = to.ip().octets();
                let to = usize::from(high) << 8 | usize::from(low);
                if to < self.nodes.len() && (self.link)(i, to) && self.chance.generate::<f64>() >= self.loss {
                    let delay = Duration::from_micros(self.chance.generate_range(100..5_000));
                    self.push(at + delay, Event::Letter(to, i, bytes));
                }
            }
            let due = self.nodes[i].members.next_timer().max(at + Duration::from_millis(1));
            if due != self.nodes[i].woken_for {
                self.wake_at(i, due);
            }
        }
        self.now = until;
    }

    /// Runs in steps until this holds; the time that took, or none within so long.
    pub fn until(&mut self, within: Duration, holds: impl Fn(&Fleet) -> bool) -> Option<Duration> {
        let from = self.now;
        while !holds(self) {
            if self.now.since(from) >= within {
                return None;
            }
            self.run(ms(20));
        }
        Some(self.now.since(from))
    }

    /// What this gateway holds of that one.
    pub fn held(&self, by: usize, of: usize) -> Option<MemberState> {
        self.nodes[by].members.members().get(&name(of)).map(|m| m.status.state)
    }

    /// All that are up hold exactly those for alive.
    pub fn agrees(&self) -> bool {
        let names: Vec<(String, bool)> = (0..self.nodes.len()).map(|i| (name(i), self.nodes[i].up)).collect();
        let alive = |m: &Member| m.status.state == MemberState::Alive;
        self.nodes.iter().filter(|by| by.up).all(|by| {
            let table = by.members.members();
            names.iter().all(|(name, up)| table.get(name).is_some_and(alive) == *up)
        })
    }

    /// How often a gateway that was up was held for dead.
    pub fn buried_alive(&self, from: Timestamp) -> usize {
        let unrefuted = |s: &&Sight| s.at >= from && s.change.reason == ChangeReason::SuspicionTimeout;
        self.sights
            .iter()
            .filter(unrefuted)
            .filter(|s| s.change.name[1..].parse::<usize>().is_ok_and(|i| self.nodes[i].up))
            .count()
    }
}
