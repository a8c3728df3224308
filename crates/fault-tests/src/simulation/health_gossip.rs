//! A fleet in one process for what gateways see of engines: the real decisions and the real desks of each gateway, a net between
//! them that loses letters, engines of which one stops working and comes back, and gateways that lie. Seeded.

use larchfall_health_gossip::EngineProcess;
use larchfall_health_gossip::aggregation::AggregationSettings;
use larchfall_health_gossip::datagram::MAX_ENTRIES;
use larchfall_health_gossip::health_gossip::{HealthGossip, PeerOutcome};
use larchfall_health_gossip::observation_store::{Reporter, StoreLimits};
use larchfall_health_gossip::observations::{Observation, Observations, Report};
use larchfall_policy::event::Evidence;
use larchfall_policy::interface::*;
use larchfall_policy::policy::{Policy, TICK};
use larchfall_policy::time::{Duration, Timestamp};
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub const ENGINES: usize = 20;
/// The engine that stops working, or that is lied about.
pub const BAD: usize = 7;
const EVERY: Duration = Duration::from_millis(250);
const FANOUT: usize = 8;
const TAKES: Duration = Duration::from_millis(20);

/// What gateways tell each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Telling {
    Nothing,
    /// That an engine fails: whoever hears it believes it.
    Verdicts,
    Counts,
    /// Counts, and turns at what is left out, of this length.
    Turns(Duration),
}

#[derive(Clone, Debug)]
pub struct Setting {
    pub gateways: usize,
    pub telling: Telling,
    /// Requests a second at a gateway in the mean; every tenth gateway has eight times as many as the others.
    pub pace: f64,
    /// Share of letters that are lost.
    pub loss: f64,
    /// So many gateways, all of one zone, say of `BAD` that it fails, whatever they see.
    pub liars: usize,
}

/// What was counted since it was last asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    pub requests: usize,
    /// Attempts that the engine that does not work met.
    pub met: usize,
    /// Time that gateways that do not lie left `BAD` out, summed over them.
    pub left_out: Duration,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Comes(usize),
    Ends { gateway: usize, b: usize, number: u8, engine: usize, good: bool },
    Tick(usize),
    Look(usize),
    Heard { to: usize, letter: usize },
}

struct Letter {
    from: usize,
    report: Report,
}

struct Gateway {
    policy: Policy,
    sights: Observations,
    desk: HealthGossip,
    pace: f64,
    next: usize,
}

pub struct Sighted {
    setting: Setting,
    pub now: Timestamp,
    pub works: bool,
    pub seen: Seen,
    gateways: Vec<Gateway>,
    living: BTreeMap<String, String>,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    letters: Vec<Letter>,
    events: u64,
    chance: WyRand,
}

fn process(e: usize) -> EngineProcess {
    EngineProcess { id: e as u32, started_ms: 1 }
}

fn name(i: usize) -> String {
    format!("n{i:04}")
}

fn zone(i: usize) -> &'static str {
    ["east", "west", "north"][i % 3]
}

fn given(gateways: usize) -> PolicyConfig {
    let class = RequestClass {
        priority_weight: 1.0,
        latency_objective: Duration::from_millis(500),
        objective_stretch: 0.0,
        effect: Idempotency::Idempotent,
        in_order: false,
        threads: 1.0,
        locks_data_set: false,
        waits_for_data_lock: false,
        zones: None,
        kinds: None,
    };
    // Cores for all, so that nothing here is about load.
    let kind = EngineKind { cores: gateways.max(8) as f64, memory_mb: 0.0 };
    let caps = Caps { max_attempts: 3, clock_step: Duration::from_millis(1), ..Caps::default() };
    let fleet = Fleet { gateways, me: 0, zone: 0, kinds: vec![kind] };
    PolicyConfig { fleet, classes: vec![class], caps, ..PolicyConfig::default() }
}

impl Sighted {
    pub fn start(setting: Setting, seed: u64) -> Sighted {
        let now = Timestamp::from_micros(1_000_000_000);
        let turn = match setting.telling {
            Telling::Turns(turn) => Some(turn),
            _ => None,
        };
        let weigh = AggregationSettings {
            window: Duration::from_millis(10_000),
            max_age: Duration::from_millis(4_000),
        };
        let bounds = StoreLimits { gateways: 2048, processes: 64 };
        // One part in ten at eight times the pace of the others, the mean as set.
        let low = setting.pace / 1.7;
        let gateway = |i: usize| {
            let mut policy = Policy::new(seed ^ (i as u64) << 20, given(setting.gateways));
            let engine = Engine { started: None, ..Engine::default() };
            (0..ENGINES).for_each(|e| policy.update_engine(now, e, engine));
            let pace = if i.is_multiple_of(10) { low * 8.0 } else { low };
            let desk = HealthGossip::new(bounds, weigh, turn);
            Gateway { policy, sights: Observations::new(64), desk, pace, next: 0 }
        };
        let gateways: Vec<Gateway> = (0..setting.gateways).map(gateway).collect();
        let living = (0..setting.gateways).map(|i| (name(i), zone(i).to_owned())).collect();
        let chance = WyRand::new_seed(seed);
        let mut fleet = Sighted {
            setting,
            now,
            works: true,
            seen: Seen::default(),
            gateways,
            living,
            queue: BinaryHeap::new(),
            letters: Vec::new(),
            events: 0,
            chance,
        };
        for i in 0..fleet.gateways.len() {
            let mut part = |duration: Duration| duration * fleet.chance.generate::<f64>();
            let (tick, look) = (now + part(TICK), now + part(EVERY));
            fleet.push(tick, Event::Tick(i));
            fleet.push(look, Event::Look(i));
            fleet.comes_next(i);
        }
        fleet
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    fn comes_next(&mut self, i: usize) {
        let gap = -(1.0 - self.chance.generate::<f64>()).ln() / self.gateways[i].pace;
        self.push(self.now + Duration::from_secs(gap), Event::Comes(i));
    }

    /// How many gateways that do not lie have the engine left out.
    pub fn leave_out(&self) -> usize {
        let honest = self.gateways.iter().enumerate().filter(|(i, _)| !self.lies(*i));
        honest.filter(|(_, f)| f.policy.engine_health(BAD).is_some_and(|health| health.ejected)).count()
    }

    /// Liars are of one zone, at the end of the fleet.
    fn lies(&self, i: usize) -> bool {
        let rank = (self.gateways.len() - 1 - i) / 3;
        zone(i) == zone(self.gateways.len() - 1) && rank < self.setting.liars
    }

    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            match event {
                Event::Comes(i) => self.comes(i),
                Event::Ends { gateway, b, number, engine, good } => {
                    self.ends(gateway, b, number, engine, good)
                }
                Event::Tick(i) => {
                    self.gateways[i].policy.tick(at);
                    drop(self.gateways[i].policy.take_events());
                    self.push(at + TICK, Event::Tick(i));
                }
                Event::Look(i) => {
                    self.look(i);
                    self.push(at + EVERY, Event::Look(i));
                }
                Event::Heard { to, letter } => {
                    let Letter { from, report } = &self.letters[letter];
                    let reporter = Reporter { gateway: &name(*from), generation: 1, zone: zone(*from) };
                    self.gateways[to].desk.on_report(reporter, report.number, &report.entries, at);
                }
            }
        }
        self.now = until;
    }

    fn comes(&mut self, i: usize) {
        self.comes_next(i);
        self.seen.requests += 1;
        let now = self.now;
        // Of many data sets, or each gateway would keep to the few engines that have the one.
        let data_set = self.chance.generate_range(0..500);
        let request =
            Request { deadline: now + Duration::from_millis(5_000), data_set, ..Request::default() };
        let gateway = &mut self.gateways[i];
        let b = gateway.next;
        gateway.next += 1;
        gateway.policy.admit(now, b, request);
        self.place(i, b, 0);
    }

    fn place(&mut self, i: usize, b: usize, number: u8) {
        let (now, gateway) = (self.now, &mut self.gateways[i]);
        match gateway.policy.route(now, b) {
            RoutingDecision::Send(AttemptParameters { engine, .. }) => {
                let good = engine != BAD || self.works;
                self.seen.met += usize::from(!good);
                let takes = if good { TAKES } else { Duration::from_millis(2) };
                self.push(now + takes, Event::Ends { gateway: i, b, number, engine, good });
            }
            RoutingDecision::Wait
            | RoutingDecision::Reject(_)
            | RoutingDecision::Fail
            | RoutingDecision::CancelAttempt(_) => {}
        }
    }

    fn ends(&mut self, i: usize, b: usize, number: u8, engine: usize, good: bool) {
        let (now, gateway) = (self.now, &mut self.gateways[i]);
        let outcome = if good { Outcome::Returned } else { Outcome::Errored };
        if let Some(observation) = Observation::of(outcome) {
            gateway.sights.record(process(engine), observation, now);
        }
        let seen =
            larchfall_policy::interface::AttemptEvidence { last: LastObservation::Ended, same_process: true };
        let answer = AttemptResult { over: good, took: TAKES, ..AttemptResult::bare(outcome, seen) };
        if gateway.policy.on_attempt_finished(now, b, number, &answer) == AfterAttempt::RouteAgain {
            self.place(i, b, number + 1);
        }
    }

    fn look(&mut self, i: usize) {
        let now = self.now;
        self.seen.left_out = self.seen.left_out + if self.leaves_out(i) { EVERY } else { Duration::ZERO };
        if self.setting.telling == Telling::Nothing {
            return;
        }
        self.tell(i);
        let lies = self.lies(i);
        let gateway = &mut self.gateways[i];
        if self.setting.telling == Telling::Verdicts {
            return;
        }
        let sights: Vec<_> = gateway.sights.all().collect();
        let outcomes = gateway.desk.take_outcomes(&sights, &self.living, |_| true, now);
        for PeerOutcome { process, bad } in outcomes.into_iter().filter(|_| !lies) {
            gateway.policy.record_engine_outcome(now, process.id as usize, bad, Evidence::Gossip);
        }
        for e in 0..ENGINES {
            if gateway.policy.engine_health(e).is_some_and(|health| health.ejected) {
                let mine = gateway.desk.may_probe(&name(i), process(e), &self.living, now);
                gateway.policy.set_probe_slot(e, mine);
            }
        }
    }

    fn leaves_out(&self, i: usize) -> bool {
        !self.lies(i) && self.gateways[i].policy.engine_health(BAD).is_some_and(|health| health.ejected)
    }

    fn tell(&mut self, i: usize) {
        if self.lies(i) {
            (0..3).for_each(|_| self.gateways[i].sights.record(process(BAD), Observation::Failed, self.now));
        }
        let says_failing = self.lies(i) || self.leaves_out(i);
        let report = self.gateways[i].sights.next_report(MAX_ENTRIES, self.now);
        self.letters.push(Letter { from: i, report });
        let letter = self.letters.len() - 1;
        for _ in 0..FANOUT.min(self.gateways.len() - 1) {
            let to = self.chance.generate_range(0..self.gateways.len());
            if to == i || self.chance.generate::<f64>() < self.setting.loss {
                continue;
            }
            if self.setting.telling == Telling::Verdicts {
                if says_failing && !self.lies(to) {
                    (0..2).for_each(|_| {
                        self.gateways[to].policy.record_engine_outcome(self.now, BAD, true, Evidence::Gossip)
                    });
                }
                continue;
            }
            let delay = Duration::from_micros(self.chance.generate_range(200..5_000));
            self.push(self.now + delay, Event::Heard { to, letter });
        }
    }
}
