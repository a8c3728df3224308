//! Leases of a whole cluster in one process: gateways with clocks of their own, disks that fail or lose writes, a network that
//! loses, delays and cuts, and a resource that each holder acts on, which remembers the highest token. The simulation's time
//! is true time; each gateway only ever sees its own clock.

mod gateway;

pub use gateway::{DiskBehavior, SimulatedGateway};

use super::event_queue::EventQueue;
use super::{Simulation, ms};
use gateway::clock_time;
use larchfall_leases::candidacy::LeaseTerms;
use larchfall_leases::fencing::TokenFence;
use larchfall_leases::manager::{
    EndReason, LeaseEventKind, LeaseManager, LeaseSettings, OutgoingMessage, Output,
};
use larchfall_leases::messages::{MemberId, Payload};
use larchfall_leases::quorum::VoterSet;
use larchfall_leases::voter::VoterLimits;
use larchfall_leases::voter_record::VoterRecord;
use larchfall_policy::time::{Duration, Timestamp};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

/// Far from zero, so that nothing depends on it.
const START: Timestamp = Timestamp::from_micros(1_000_000_000);
const MIN_DELAY_MICROS: u64 = 100;
/// A gateway looks at its timers at least this often.
const MAX_TIMER_WAIT: Duration = Duration::from_millis(200);
const MIN_TIMER_WAIT: Duration = Duration::from_millis(1);

/// The name of the gateway with this number.
pub fn name(gateway: usize) -> String {
    format!("n{gateway:03}")
}

/// The number of the gateway with this name.
fn number_of(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// Leases of three seconds with a margin of sixty in a thousand; the first gateways are voters, whose records are kept on disk
/// if they are persistent.
pub fn settings(voters: usize, roles: usize, persistent: bool) -> LeaseSettings {
    LeaseSettings {
        cluster: "toy".into(),
        voters: VoterSet { current: (0..voters).map(name).collect(), previous: None },
        terms: LeaseTerms { length: ms(3_000), drift_margin_per_mille: 60 },
        voter_limits: VoterLimits { longest_lease: ms(6_000), max_roles: 1_000, persistent },
        roles: (0..roles).map(|role| format!("duty:{role:03}")).collect(),
        min_hold_time: ms(5_000),
        better_holder_margin: 0.1,
    }
}

enum Event {
    Timer { gateway: usize, generation: u64 },
    Message { to: usize, from: usize, from_generation: u64, payload: Payload },
    RecordWritten { gateway: usize, generation: u64, succeeded: bool },
    HoldersAct,
}

impl Event {
    /// The gateway that it happens at.
    fn gateway(&self) -> Option<usize> {
        match self {
            Event::Timer { gateway, .. } | Event::RecordWritten { gateway, .. } => Some(*gateway),
            Event::Message { to, .. } => Some(*to),
            Event::HoldersAct => None,
        }
    }

    /// The process that it is for; messages are for any.
    fn generation(&self) -> Option<u64> {
        match self {
            Event::Timer { generation, .. } | Event::RecordWritten { generation, .. } => Some(*generation),
            Event::Message { .. } | Event::HoldersAct => None,
        }
    }
}

/// Two holders at once, or an action under an outdated token.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// When it was seen.
    pub at: Timestamp,
    /// What was seen.
    pub what: String,
}

/// The cluster.
pub struct LeaseSimulation {
    /// The gateways, by number.
    pub gateways: Vec<SimulatedGateway>,
    /// The settings of all of them.
    pub settings: LeaseSettings,
    /// Fraction of messages that is lost, in 0..=1.
    pub loss: f64,
    /// Longest delay of a message.
    pub max_delay: Duration,
    /// Whether messages from one gateway reach another.
    pub link: Box<dyn Fn(usize, usize) -> bool>,
    /// What went wrong.
    pub violations: Vec<Violation>,
    /// Each time in which nobody held a role.
    pub gaps: Vec<Duration>,
    /// Holders act this often.
    pub action_interval: Duration,
    /// Messages sent so far.
    pub messages_sent: u64,
    /// Leases that ended, by reason.
    pub ended: BTreeMap<EndReason, usize>,
    /// Roles that nobody holds.
    unheld_since: BTreeMap<String, Timestamp>,
    fence: TokenFence,
    now: Timestamp,
    queue: EventQueue<Event>,
    random: WyRand,
}

impl LeaseSimulation {
    /// Gateways that all have just started.
    pub fn start(gateways: usize, settings: LeaseSettings, seed: u64) -> LeaseSimulation {
        let mut simulation = LeaseSimulation {
            gateways: Vec::new(),
            unheld_since: settings.roles.iter().map(|role| (role.clone(), START)).collect(),
            settings,
            loss: 0.0,
            max_delay: ms(5),
            link: Box::new(|_, _| true),
            violations: Vec::new(),
            gaps: Vec::new(),
            action_interval: ms(40),
            messages_sent: 0,
            ended: BTreeMap::new(),
            fence: TokenFence::default(),
            now: START,
            queue: EventQueue::new(),
            random: WyRand::new_seed(seed),
        };
        for gateway in 0..gateways {
            let manager = simulation.start_manager(gateway, 1, 1.0, None);
            simulation.gateways.push(SimulatedGateway {
                manager,
                up: true,
                suspended_until: None,
                clock_rate: 1.0,
                disk: DiskBehavior::Healthy,
                write_time: ms(2),
                record: None,
                generation: 1,
                started: Timestamp::default(),
                timer_set_for: Timestamp::default(),
            });
            simulation.set_timer(gateway, START);
        }
        simulation.update_live_members();
        simulation.queue.schedule(START, Event::HoldersAct);
        simulation
    }

    fn start_manager(
        &mut self,
        gateway: usize,
        generation: u64,
        clock_rate: f64,
        record: Option<&VoterRecord>,
    ) -> LeaseManager {
        let me = MemberId { name: name(gateway), generation };
        let seed = self.random.generate::<u64>();
        let clock = clock_time(self.now, clock_rate);
        LeaseManager::new(me, self.settings.clone(), record, self.now.micros(), seed, clock)
    }

    /// Tells all what membership would: who is up, and since when by each one's own clock.
    fn update_live_members(&mut self) {
        let up = self.gateways.iter().enumerate().filter(|(_, gateway)| gateway.up);
        let started: BTreeMap<String, Timestamp> =
            up.map(|(number, gateway)| (name(number), gateway.started)).collect();
        for gateway in &mut self.gateways {
            let by_own_clock = |(name, at): (&String, &Timestamp)| (name.clone(), gateway.clock(*at));
            let live = started.iter().map(by_own_clock).collect();
            gateway.manager.set_live_members(live);
        }
    }

    /// A gateway's process ends without notice.
    pub fn kill(&mut self, gateway: usize) {
        self.gateways[gateway].up = false;
        self.update_live_members();
    }

    /// Nothing happens at a gateway for this long; what is due then happens after it.
    pub fn suspend(&mut self, gateway: usize, duration: Duration) {
        self.gateways[gateway].suspended_until = Some(self.now + duration);
    }

    fn is_suspended(&self, gateway: usize) -> bool {
        self.gateways[gateway].suspended_until.is_some_and(|until| until > self.now)
    }

    /// Another process of a gateway starts with the record that the disk has kept.
    pub fn restart(&mut self, gateway: usize) {
        let SimulatedGateway { generation, clock_rate, ref record, .. } = self.gateways[gateway];
        let record = record.clone();
        let generation = generation + 1;
        let manager = self.start_manager(gateway, generation, clock_rate, record.as_ref());
        let restarted = &mut self.gateways[gateway];
        restarted.manager = manager;
        restarted.generation = generation;
        restarted.up = true;
        restarted.suspended_until = None;
        restarted.started = self.now;
        self.set_timer(gateway, self.now);
        self.update_live_members();
    }

    /// A gateway is told to end: it hands over what it holds.
    pub fn leave(&mut self, gateway: usize) {
        let now = self.clock(gateway);
        let output = self.gateways[gateway].manager.leave(now);
        self.carry_out(gateway, output);
    }

    fn clock(&self, gateway: usize) -> Timestamp {
        self.gateways[gateway].clock(self.now)
    }

    /// The gateways that may act under a lease now. One that is suspended would, if it ran.
    pub fn holders(&self, role: &str) -> Vec<usize> {
        let may_act = |gateway: &usize| {
            let of = &self.gateways[*gateway];
            of.up && of.manager.permit(role, self.clock(*gateway)).is_some()
        };
        (0..self.gateways.len()).filter(may_act).collect()
    }

    /// Each role is held by one gateway that runs.
    pub fn all_held(&self) -> bool {
        let held = |role: &String| matches!(self.holders(role)[..], [holder] if !self.is_suspended(holder));
        self.settings.roles.iter().all(held)
    }

    /// For what a test draws.
    pub fn random(&mut self) -> &mut WyRand {
        &mut self.random
    }

    fn set_timer(&mut self, gateway: usize, at: Timestamp) {
        self.gateways[gateway].timer_set_for = at;
        let generation = self.gateways[gateway].generation;
        self.queue.schedule(at, Event::Timer { gateway, generation });
    }

    fn handle(&mut self, event: Event) {
        let Some(gateway) = event.gateway() else {
            self.act_all();
            self.queue.schedule(self.now + self.action_interval, Event::HoldersAct);
            return;
        };
        if let Some(until) = self.gateways[gateway].suspended_until {
            if until > self.now {
                self.queue.schedule(until, event);
                return;
            }
            self.gateways[gateway].suspended_until = None;
        }
        let is_outdated =
            event.generation().is_some_and(|generation| generation != self.gateways[gateway].generation);
        if !self.gateways[gateway].up || is_outdated {
            return;
        }
        let Some(output) = self.deliver(gateway, event) else { return };
        let before = self.clock(gateway);
        self.carry_out(gateway, output);
        let due = self.gateways[gateway].manager.next_timer();
        let wait = due.since(before).micros() as f64 / self.gateways[gateway].clock_rate;
        let wait = Duration::from_micros(wait as u64).max(MIN_TIMER_WAIT).min(MAX_TIMER_WAIT);
        if self.now + wait != self.gateways[gateway].timer_set_for {
            self.set_timer(gateway, self.now + wait);
        }
    }

    /// What a gateway does with an event; `None` for a timer that was set anew.
    fn deliver(&mut self, gateway: usize, event: Event) -> Option<Output> {
        let clock = self.clock(gateway);
        let SimulatedGateway { manager, timer_set_for, .. } = &mut self.gateways[gateway];
        match event {
            Event::Timer { .. } => (self.now >= *timer_set_for).then(|| manager.on_timer(clock)),
            Event::RecordWritten { succeeded, .. } => Some(manager.on_record_written(succeeded, clock)),
            Event::Message { from, from_generation, payload, .. } => {
                let from = MemberId { name: name(from), generation: from_generation };
                Some(manager.on_message(&from, &payload, clock))
            }
            Event::HoldersAct => None,
        }
    }

    fn carry_out(&mut self, gateway: usize, output: Output) {
        for OutgoingMessage { to, payload } in output.messages {
            self.send(gateway, &to, payload);
        }
        if let Some(record) = output.record_to_write {
            self.write_record(gateway, record);
        }
        let mut stopped = Vec::new();
        for event in output.events {
            match event.kind {
                LeaseEventKind::Ending { reason, .. } => {
                    *self.ended.entry(reason).or_default() += 1;
                    stopped.push(event.role);
                }
                LeaseEventKind::Lost { reason, .. } => *self.ended.entry(reason).or_default() += 1,
                LeaseEventKind::Acquired { .. } | LeaseEventKind::Released { .. } => {}
            }
        }
        for role in stopped {
            let now = self.clock(gateway);
            let output = self.gateways[gateway].manager.on_work_stopped(&role, now);
            self.carry_out(gateway, output);
        }
    }

    fn send(&mut self, from: usize, to: &str, payload: Payload) {
        let Some(to) = number_of(to) else { return };
        self.messages_sent += 1;
        if (self.link)(from, to) && self.random.generate::<f64>() >= self.loss {
            let delay = self.random.generate_range(MIN_DELAY_MICROS..=self.max_delay.micros());
            let from_generation = self.gateways[from].generation;
            let message = Event::Message { to, from, from_generation, payload };
            self.queue.schedule(self.now + Duration::from_micros(delay), message);
        }
    }

    fn write_record(&mut self, gateway: usize, record: VoterRecord) {
        let of = &mut self.gateways[gateway];
        let succeeded = of.disk != DiskBehavior::Fails;
        if of.disk == DiskBehavior::Healthy {
            of.record = Some(record);
        }
        let generation = of.generation;
        let written = self.now + of.write_time;
        self.queue.schedule(written, Event::RecordWritten { gateway, generation, succeeded });
    }

    /// Every holder that runs acts under each of its leases.
    fn act_all(&mut self) {
        for role in self.settings.roles.clone() {
            let holders = self.holders(&role);
            if holders.len() > 1 {
                let what = format!("{role} is held by {holders:?}");
                self.violations.push(Violation { at: self.now, what });
            }
            match holders.into_iter().find(|holder| !self.is_suspended(*holder)) {
                Some(holder) => self.act(holder, &role),
                None => drop(self.unheld_since.entry(role).or_insert(self.now)),
            }
        }
    }

    fn act(&mut self, holder: usize, role: &str) {
        if let Some(since) = self.unheld_since.remove(role) {
            self.gaps.push(self.now.since(since));
        }
        let permit = self.gateways[holder].manager.permit(role, self.clock(holder));
        let token = permit.map_or(0, |permit| permit.token);
        if !self.fence.admits(role, token) {
            let what = format!("{role}: {} acted under {token}, which is older", name(holder));
            self.violations.push(Violation { at: self.now, what });
        }
    }
}

impl Simulation for LeaseSimulation {
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
        self.action_interval * 0.25
    }
}
