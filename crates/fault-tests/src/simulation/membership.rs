//! Memberships of a whole cluster in one process, with a network between them that loses, delays and cuts.

use super::event_queue::EventQueue;
use super::{Simulation, ms};
use larchfall_membership::datagram::Datagram;
use larchfall_membership::member_update::{MemberInfo, MemberState};
use larchfall_membership::membership::{
    ChangeReason, Member, MemberChange, Membership, MembershipSettings, Network, OutgoingDatagram, Output,
};
use larchfall_policy::time::{Duration, Timestamp};
use nanorand::{Rng, WyRand};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;

/// Not zero, which stands for never.
const START: Timestamp = Timestamp::from_micros(1_000_000);
const DELAY_MICROS: Range<u64> = 100..5_000;
const MIN_TIMER_WAIT: Duration = Duration::from_millis(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CLUSTER: &str = "toy";
const PORT: u16 = 7400;

/// The address of the gateway with this number.
pub fn address(gateway: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (gateway >> 8) as u8, gateway as u8), PORT)
}

/// The number of the gateway with this address.
fn number_at(address: SocketAddrV4) -> usize {
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// The name of the gateway with this number.
pub fn name(gateway: usize) -> String {
    format!("n{gateway:04}")
}

/// The number of the gateway with this name.
fn number_of(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// The settings of all gateways, of which the first two are seeds.
pub fn settings() -> MembershipSettings {
    MembershipSettings {
        cluster: CLUSTER.into(),
        probe_interval: ms(500),
        probe_timeout: ms(150),
        helper_count: 3,
        ended_retention: ms(60_000),
        table_exchange_interval: ms(3_000),
        max_members: 4096,
        allowed_networks: vec![Network { address: Ipv4Addr::new(10, 0, 0, 0), prefix_len: 8 }],
        seeds: vec![address(0), address(1)],
    }
}

enum Event {
    Timer { gateway: usize, generation: u64 },
    Datagram { to: usize, from: usize, bytes: Vec<u8> },
}

impl Event {
    /// The gateway that it happens at.
    fn gateway(&self) -> usize {
        match self {
            Event::Timer { gateway, .. } => *gateway,
            Event::Datagram { to, .. } => *to,
        }
    }
}

/// A gateway.
pub struct SimulatedGateway {
    /// What it knows of the others.
    pub membership: Membership,
    /// Whether it runs.
    pub up: bool,
    suspended_until: Option<Timestamp>,
    /// Counts its processes; timers of an earlier one are passed over.
    generation: u64,
    timer_set_for: Timestamp,
}

/// A change that a gateway noticed: a death, or one of a gateway that does not run. Under loss all are suspected and refute it
/// all the time, so that other changes are not kept.
pub struct NoticedChange {
    /// When it was noticed.
    pub at: Timestamp,
    /// The gateway that noticed it.
    pub by: usize,
    /// What it noticed.
    pub change: MemberChange,
}

/// What was sent so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Bytes of all of them.
    pub bytes: u64,
    /// Bytes of the longest.
    pub longest_datagram: usize,
}

/// The cluster.
pub struct MembershipSimulation {
    /// The gateways, by number.
    pub gateways: Vec<SimulatedGateway>,
    /// What gateways noticed, in order.
    pub noticed: Vec<NoticedChange>,
    /// Fraction of datagrams that is lost, in 0..=1.
    pub loss: f64,
    /// Whether datagrams from one gateway reach another.
    pub link: Box<dyn Fn(usize, usize) -> bool>,
    /// What was sent so far.
    pub traffic: Traffic,
    now: Timestamp,
    queue: EventQueue<Event>,
    random: WyRand,
}

impl MembershipSimulation {
    /// Gateways that all have just started.
    pub fn start(gateways: usize, seed: u64) -> MembershipSimulation {
        let mut simulation = MembershipSimulation {
            gateways: Vec::new(),
            noticed: Vec::new(),
            loss: 0.0,
            link: Box::new(|_, _| true),
            traffic: Traffic::default(),
            now: START,
            queue: EventQueue::new(),
            random: WyRand::new_seed(seed),
        };
        for number in 0..gateways {
            let gateway = simulation.start_process(number, 1);
            simulation.gateways.push(gateway);
            simulation.set_timer(number, START);
        }
        simulation
    }

    fn start_process(&mut self, gateway: usize, generation: u64) -> SimulatedGateway {
        let info = MemberInfo { address: address(gateway), zone: "east".into(), requests_per_second: 20 };
        let seed = self.random.generate::<u64>();
        let membership = Membership::new(&name(gateway), generation, info, settings(), seed, self.now);
        SimulatedGateway {
            membership,
            up: true,
            suspended_until: None,
            generation,
            timer_set_for: Timestamp::default(),
        }
    }

    /// A gateway's process ends without notice.
    pub fn kill(&mut self, gateway: usize) {
        self.gateways[gateway].up = false;
    }

    /// Nothing happens at a gateway for this long: what arrives waits in its socket.
    pub fn suspend(&mut self, gateway: usize, duration: Duration) {
        self.gateways[gateway].suspended_until = Some(self.now + duration);
    }

    /// Another process of a gateway starts.
    pub fn restart(&mut self, gateway: usize) {
        let generation = self.gateways[gateway].generation + 1;
        self.gateways[gateway] = self.start_process(gateway, generation);
        self.set_timer(gateway, self.now);
    }

    fn set_timer(&mut self, gateway: usize, at: Timestamp) {
        self.gateways[gateway].timer_set_for = at;
        let generation = self.gateways[gateway].generation;
        self.queue.schedule(at, Event::Timer { gateway, generation });
    }

    fn handle(&mut self, event: Event) {
        let gateway = event.gateway();
        if let Some(until) = self.gateways[gateway].suspended_until {
            if until > self.now {
                self.queue.schedule(until, event);
                return;
            }
            self.gateways[gateway].suspended_until = None;
        }
        if !self.gateways[gateway].up {
            return;
        }
        let Some(output) = self.deliver(event) else { return };
        for change in output.changes {
            self.notice(gateway, change);
        }
        for OutgoingDatagram { to, datagram } in output.datagrams {
            self.send(gateway, number_at(to), &datagram);
        }
        let due = self.gateways[gateway].membership.next_timer().max(self.now + MIN_TIMER_WAIT);
        if due != self.gateways[gateway].timer_set_for {
            self.set_timer(gateway, due);
        }
    }

    /// What a gateway does with an event; `None` for a timer of an earlier process, or one that was set anew.
    fn deliver(&mut self, event: Event) -> Option<Output> {
        let now = self.now;
        match event {
            Event::Timer { gateway, generation } => {
                let gateway = &mut self.gateways[gateway];
                let is_set = generation == gateway.generation && now >= gateway.timer_set_for;
                is_set.then(|| gateway.membership.on_timer(now))
            }
            Event::Datagram { to, from, bytes } => {
                let datagram = Datagram::decode(&bytes, CLUSTER).expect("what members encode can be decoded");
                let output = self.gateways[to].membership.on_datagram(address(from), &datagram, now);
                Some(output.unwrap_or_default())
            }
        }
    }

    fn notice(&mut self, by: usize, change: MemberChange) {
        let of = number_of(&change.name).and_then(|of| self.gateways.get(of));
        if change.state == MemberState::Dead || of.is_some_and(|of| !of.up) {
            self.noticed.push(NoticedChange { at: self.now, by, change });
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: &Datagram) {
        let bytes = datagram.encode();
        self.traffic.datagrams += 1;
        self.traffic.bytes += bytes.len() as u64;
        self.traffic.longest_datagram = self.traffic.longest_datagram.max(bytes.len());
        let arrives =
            to < self.gateways.len() && (self.link)(from, to) && self.random.generate::<f64>() >= self.loss;
        if arrives {
            let delay = Duration::from_micros(self.random.generate_range(DELAY_MICROS));
            self.queue.schedule(self.now + delay, Event::Datagram { to, from, bytes });
        }
    }

    /// The state in which one gateway holds another.
    pub fn member_state(&self, by: usize, of: usize) -> Option<MemberState> {
        self.gateways[by].membership.members().get(&name(of)).map(|member| member.status.state)
    }

    /// Whether all that run hold exactly those alive that do.
    pub fn agrees(&self) -> bool {
        let names: Vec<String> = (0..self.gateways.len()).map(name).collect();
        let is_alive = |member: &Member| member.status.state == MemberState::Alive;
        self.gateways.iter().filter(|by| by.up).all(|by| {
            let members = by.membership.members();
            let held_alive = |name: &String| members.get(name).is_some_and(is_alive);
            names.iter().zip(&self.gateways).all(|(name, of)| held_alive(name) == of.up)
        })
    }

    /// How often a gateway that runs was declared dead since then.
    pub fn false_deaths(&self, since: Timestamp) -> usize {
        let unrefuted = |noticed: &&NoticedChange| {
            noticed.at >= since && noticed.change.reason == ChangeReason::SuspicionTimeout
        };
        let runs =
            |noticed: &&NoticedChange| number_of(&noticed.change.name).is_some_and(|of| self.gateways[of].up);
        self.noticed.iter().filter(unrefuted).filter(runs).count()
    }
}

impl Simulation for MembershipSimulation {
    fn now(&self) -> Timestamp {
        self.now
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some(next) = self.queue.next_until(until) {
            self.now = next.at;
            self.handle(next.event);
        }
        self.now = until;
    }

    fn poll_interval(&self) -> Duration {
        POLL_INTERVAL
    }
}
