//! A fleet's duties in one process: gateways with clocks of their own, disks that fail or lie, a net that loses, delays and
//! cuts, and something that each holder acts on, which remembers the highest token. Time is true time; each gateway only
//! ever sees its own clock.

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
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub fn name(i: usize) -> String {
    format!("n{i:03}")
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Leases of three seconds with a margin of sixty in a thousand; the first so many gateways are electors.
pub fn settings(electors: usize, duties: usize, keeps: bool) -> LeaseSettings {
    LeaseSettings {
        cluster: "toy".into(),
        voters: VoterSet { current: (0..electors).map(name).collect(), previous: None },
        terms: LeaseTerms { length: ms(3_000), drift_margin_per_mille: 60 },
        voter_limits: VoterLimits { longest_lease: ms(6_000), max_roles: 1_000, persistent: keeps },
        roles: (0..duties).map(|d| format!("duty:{d:03}")).collect(),
        min_hold: ms(5_000),
        better_margin: 0.1,
    }
}

/// What a gateway's disk does with a record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskDoes {
    Keeps,
    Fails,
    /// Says that it kept it, and did not.
    Lies,
}

pub struct Node {
    pub duties: LeaseManager,
    pub up: bool,
    /// True time from which on it runs again.
    stopped: Option<Timestamp>,
    /// Its clock runs so many times as fast as true time.
    pub rate: f64,
    pub disk: DiskDoes,
    pub disk_takes: Duration,
    pub record: Option<VoterRecord>,
    generation: u64,
    since: Timestamp,
    woken_for: Timestamp,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize, u64),
    Letter(usize, usize, u64, usize),
    Written(usize, u64, bool),
    Act,
}

/// What went wrong, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Wrong {
    pub at: Timestamp,
    pub what: String,
}

pub struct Fleet {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub settings: LeaseSettings,
    pub loss: f64,
    pub slowest: Duration,
    pub link: Box<dyn Fn(usize, usize) -> bool>,
    pub wrong: Vec<Wrong>,
    /// By duty: since when nobody has held it, and how long each such time was.
    free: BTreeMap<String, Timestamp>,
    pub gaps: Vec<Duration>,
    /// Holders act this often.
    pub acts: Duration,
    pub acted: u64,
    pub letters: u64,
    pub given_up: BTreeMap<EndReason, usize>,
    fence: TokenFence,
    posted: Vec<Payload>,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    events: u64,
    chance: WyRand,
}

impl Fleet {
    pub fn start(n: usize, settings: LeaseSettings, seed: u64) -> Fleet {
        let now = Timestamp::from_micros(1_000_000_000);
        let mut fleet = Fleet {
            now,
            nodes: Vec::new(),
            free: settings.roles.iter().map(|duty| (duty.clone(), now)).collect(),
            settings,
            loss: 0.0,
            slowest: ms(5),
            link: Box::new(|_, _| true),
            wrong: Vec::new(),
            gaps: Vec::new(),
            acts: ms(40),
            acted: 0,
            letters: 0,
            given_up: BTreeMap::new(),
            fence: TokenFence::default(),
            posted: Vec::new(),
            queue: BinaryHeap::new(),
            events: 0,
            chance: WyRand::new_seed(seed),
        };
        for i in 0..n {
            let duties = fleet.process(i, 1, 1.0, None);
            fleet.nodes.push(Node {
                duties,
                up: true,
                stopped: None,
                rate: 1.0,
                disk: DiskDoes::Keeps,
                disk_takes: ms(2),
                record: None,
                generation: 1,
                since: Timestamp::default(),
                woken_for: Timestamp::default(),
            });
            fleet.wake_at(i, fleet.now);
        }
        fleet.all_live();
        fleet.push(now, Event::Act);
        fleet
    }

    fn process(
        &mut self,
        i: usize,
        generation: u64,
        rate: f64,
        record: Option<&VoterRecord>,
    ) -> LeaseManager {
        let (me, seed) = (MemberId { name: name(i), generation }, self.chance.generate::<u64>());
        LeaseManager::new(me, self.settings.clone(), record, self.now.micros(), seed, clock(self.now, rate))
    }

    /// What membership would tell: who is up, since when by each one's own clock.
    pub fn all_live(&mut self) {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|i| self.nodes[*i].up).collect();
        let since: Vec<(usize, Timestamp)> = up.iter().map(|i| (*i, self.nodes[*i].since)).collect();
        for node in &mut self.nodes {
            node.duties
                .set_live_members(since.iter().map(|(i, at)| (name(*i), clock(*at, node.rate))).collect());
        }
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].up = false;
        self.all_live();
    }

    pub fn stop(&mut self, i: usize, duration: Duration) {
        self.nodes[i].stopped = Some(self.now + duration);
    }

    pub fn is_stopped(&self, i: usize) -> bool {
        self.nodes[i].stopped.is_some_and(|awake| awake > self.now)
    }

    pub fn restart(&mut self, i: usize) {
        let (generation, rate) = (self.nodes[i].generation + 1, self.nodes[i].rate);
        let record = self.nodes[i].record.clone();
        let duties = self.process(i, generation, rate, record.as_ref());
        let node = &mut self.nodes[i];
        (node.duties, node.generation, node.up, node.stopped) = (duties, generation, true, None);
        node.since = self.now;
        self.wake_at(i, self.now);
        self.all_live();
    }

    /// Told to stop: it hands on what it holds.
    pub fn leave(&mut self, i: usize) {
        let now = self.clock(i);
        let out = self.nodes[i].duties.leave(now);
        self.take(i, out);
    }

    pub fn clock(&self, i: usize) -> Timestamp {
        clock(self.now, self.nodes[i].rate)
    }

    /// Who may act on it now. One that stands still would, if it ran.
    pub fn holders(&self, duty: &str) -> Vec<usize> {
        let may =
            |i: &usize| self.nodes[*i].up && self.nodes[*i].duties.permit(duty, self.clock(*i)).is_some();
        (0..self.nodes.len()).filter(may).collect()
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    fn wake_at(&mut self, i: usize, at: Timestamp) {
        self.nodes[i].woken_for = at;
        let generation = self.nodes[i].generation;
        self.push(at, Event::Wake(i, generation));
    }

    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            let (i, generation) = match &event {
                Event::Act => {
                    self.act();
                    self.push(at + self.acts, Event::Act);
                    continue;
                }
                Event::Wake(i, generation) | Event::Written(i, generation, _) => (*i, *generation),
                Event::Letter(i, _, generation, _) => (*i, *generation),
            };
            if let Some(awake) = self.nodes[i].stopped {
                if awake > at {
                    self.push(awake, event);
                    continue;
                }
                self.nodes[i].stopped = None;
            }
            let other = !matches!(event, Event::Letter(..)) && generation != self.nodes[i].generation;
            if !self.nodes[i].up || other {
                continue;
            }
            let now = self.clock(i);
            let out = match event {
                Event::Wake(..) if at < self.nodes[i].woken_for => continue,
                Event::Wake(..) => self.nodes[i].duties.on_timer(now),
                Event::Written(_, _, kept) => self.nodes[i].duties.on_record_written(kept, now),
                Event::Letter(_, from, generation, n) => {
                    let matter = self.posted[n].clone();
                    self.nodes[i].duties.on_message(&MemberId { name: name(from), generation }, &matter, now)
                }
                Event::Act => continue,
            };
            self.take(i, out);
            let rate = self.nodes[i].rate;
            let wait = self.nodes[i].duties.next_timer().since(now).micros() as f64 / rate;
            let due = at + Duration::from_micros(wait as u64).max(ms(1)).min(ms(200));
            if due != self.nodes[i].woken_for {
                self.wake_at(i, due);
            }
        }
        self.now = until;
    }

    fn take(&mut self, i: usize, out: Output) {
        let generation = self.nodes[i].generation;
        for OutgoingMessage { to, payload } in out.messages {
            let Ok(to) = to[1..].parse::<usize>() else { continue };
            self.letters += 1;
            if (self.link)(i, to) && self.chance.generate::<f64>() >= self.loss {
                let delay = Duration::from_micros(self.chance.generate_range(100..=self.slowest.micros()));
                self.posted.push(payload);
                self.push(self.now + delay, Event::Letter(to, i, generation, self.posted.len() - 1));
            }
        }
        if let Some(record) = out.record_to_write {
            let node = &mut self.nodes[i];
            let (kept, takes) = (node.disk != DiskDoes::Fails, node.disk_takes);
            if node.disk == DiskDoes::Keeps {
                node.record = Some(record);
            }
            self.push(self.now + takes, Event::Written(i, generation, kept));
        }
        let mut stopped = Vec::new();
        for event in out.events {
            match event.kind {
                LeaseEventKind::Ending { reason, .. } => {
                    *self.given_up.entry(reason).or_default() += 1;
                    stopped.push(event.role);
                }
                LeaseEventKind::Lost { reason, .. } => *self.given_up.entry(reason).or_default() += 1,
                LeaseEventKind::Acquired { .. } | LeaseEventKind::Released { .. } => {}
            }
        }
        for duty in stopped {
            let now = self.clock(i);
            let out = self.nodes[i].duties.on_work_stopped(&duty, now);
            self.take(i, out);
        }
    }

    /// Every holder that runs acts on each of its duties.
    fn act(&mut self) {
        for duty in self.settings.roles.clone() {
            let holders = self.holders(&duty);
            if holders.len() > 1 {
                self.wrong.push(Wrong { at: self.now, what: format!("{duty} is held by {holders:?}") });
            }
            let acts = holders.iter().find(|i| !self.is_stopped(**i)).copied();
            let Some(i) = acts else {
                self.free.entry(duty).or_insert(self.now);
                continue;
            };
            if let Some(since) = self.free.remove(&duty) {
                self.gaps.push(self.now.since(since));
            }
            let token = self.nodes[i].duties.permit(&duty, self.clock(i)).map_or(0, |p| p.token);
            self.acted += 1;
            if !self.fence.admits(&duty, token) {
                let what = format!("{duty}: {} acted under {token}, which is older", name(i));
                self.wrong.push(Wrong { at: self.now, what });
            }
        }
    }

    /// Runs in steps until this holds; the time that took, or none within so long.
    pub fn until(&mut self, within: Duration, holds: impl Fn(&Fleet) -> bool) -> Option<Duration> {
        let from = self.now;
        while !holds(self) {
            if self.now.since(from) >= within {
                return None;
            }
            self.run(self.acts * 0.25);
        }
        Some(self.now.since(from))
    }

    /// Each duty is held by one that runs.
    pub fn all_held(&self) -> bool {
        self.settings.roles.iter().all(|duty| matches!(self.holders(duty)[..], [i] if !self.is_stopped(i)))
    }

    pub fn electors(&self) -> usize {
        self.settings.voters.current.len()
    }

    pub fn chance(&mut self) -> &mut WyRand {
        &mut self.chance
    }
}

fn clock(at: Timestamp, rate: f64) -> Timestamp {
    Timestamp::from_micros((at.micros() as f64 * rate) as u64)
}
