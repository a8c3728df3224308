//! A fleet in one process for what fronts see of engines: the real decisions and the real desks of each front, a net between
//! them that loses letters, engines of which one stops working and comes back, and fronts that lie. Seeded.

use larchfall_health_gossip::desk::{Bounds, Desk};
use larchfall_health_gossip::sights::{Saw, Sights};
use larchfall_health_gossip::wire::MOST_ENGINES;
use larchfall_health_gossip::{Counts, Process, weigh};
use larchfall_policy::interface::*;
use larchfall_policy::policy::{Policy, TICK};
use larchfall_policy::time::{At, Span};
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub const ENGINES: usize = 20;
/// The engine that stops working, or that is lied about.
pub const BAD: usize = 7;
const EVERY: Span = Span::from_millis(250);
const FANOUT: usize = 8;
const TAKES: Span = Span::from_millis(20);

/// What fronts tell each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Telling {
    Nothing,
    /// That an engine fails: whoever hears it believes it.
    Verdicts,
    Counts,
    /// Counts, and turns at what is left out, of this length.
    Turns(Span),
}

#[derive(Clone, Debug)]
pub struct Setting {
    pub fronts: usize,
    pub telling: Telling,
    /// Batches a second at a front in the mean; every tenth front has eight times as many as the others.
    pub pace: f64,
    /// Share of letters that are lost.
    pub loss: f64,
    /// So many fronts, all of one zone, say of `BAD` that it fails, whatever they see.
    pub liars: usize,
}

/// What was counted since it was last asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    pub batches: usize,
    /// Dispatches that the engine that does not work met.
    pub met: usize,
    /// Time that fronts that do not lie left `BAD` out, summed over them.
    pub left_out: Span,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Comes(usize),
    Ends { front: usize, b: usize, number: u8, engine: usize, good: bool },
    Tick(usize),
    Look(usize),
    Heard { to: usize, letter: usize },
}

struct Letter {
    from: usize,
    number: u64,
    saw: Vec<(Process, Counts)>,
}

struct Front {
    policy: Policy,
    sights: Sights,
    desk: Desk,
    pace: f64,
    next: usize,
}

pub struct Sighted {
    setting: Setting,
    pub now: At,
    pub works: bool,
    pub seen: Seen,
    fronts: Vec<Front>,
    living: BTreeMap<String, String>,
    queue: BinaryHeap<Reverse<(At, u64, Event)>>,
    letters: Vec<Letter>,
    events: u64,
    chance: WyRand,
}

fn process(e: usize) -> Process {
    Process { id: e as u32, started_ms: 1 }
}

fn name(i: usize) -> String {
    format!("n{i:04}")
}

fn zone(i: usize) -> &'static str {
    ["east", "west", "north"][i % 3]
}

fn given(fronts: usize) -> Given {
    let group = ServiceGroup {
        utility: 1.0,
        goal: Span::from_millis(500),
        goal_stretch: 0.0,
        effect: Effect::Repeatable,
        in_order: false,
        threads: 1.0,
        holds_data: false,
        waits_for_holder: false,
        zones: None,
        kinds: None,
    };
    // Cores for all, so that nothing here is about load.
    let kind = Kind { cores: fronts.max(8) as f64, memory_mb: 0.0 };
    let caps = Caps { most_dispatches: 3, clock_step: Span::from_millis(1), ..Caps::default() };
    let fleet = Fleet { fronts, me: 0, zone: 0, kinds: vec![kind] };
    Given { fleet, groups: vec![group], caps, ..Given::default() }
}

impl Sighted {
    pub fn start(setting: Setting, seed: u64) -> Sighted {
        let now = At::from_micros(1_000_000_000);
        let turn = match setting.telling {
            Telling::Turns(turn) => Some(turn),
            _ => None,
        };
        let weigh = weigh::Settings { window: Span::from_millis(10_000), lasts: Span::from_millis(4_000) };
        let bounds = Bounds { fronts: 2048, processes: 64 };
        // One part in ten at eight times the pace of the others, the mean as set.
        let low = setting.pace / 1.7;
        let front = |i: usize| {
            let mut policy = Policy::new(seed ^ (i as u64) << 20, given(setting.fronts));
            let engine = Engine { started: None, ..Engine::default() };
            (0..ENGINES).for_each(|e| policy.engine(now, e, engine));
            let pace = if i.is_multiple_of(10) { low * 8.0 } else { low };
            let desk = Desk::new(bounds, weigh, turn);
            Front { policy, sights: Sights::new(64), desk, pace, next: 0 }
        };
        let fronts: Vec<Front> = (0..setting.fronts).map(front).collect();
        let living = (0..setting.fronts).map(|i| (name(i), zone(i).to_owned())).collect();
        let chance = WyRand::new_seed(seed);
        let mut fleet = Sighted {
            setting,
            now,
            works: true,
            seen: Seen::default(),
            fronts,
            living,
            queue: BinaryHeap::new(),
            letters: Vec::new(),
            events: 0,
            chance,
        };
        for i in 0..fleet.fronts.len() {
            let mut part = |span: Span| span * fleet.chance.generate::<f64>();
            let (tick, look) = (now + part(TICK), now + part(EVERY));
            fleet.push(tick, Event::Tick(i));
            fleet.push(look, Event::Look(i));
            fleet.comes_next(i);
        }
        fleet
    }

    fn push(&mut self, at: At, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    fn comes_next(&mut self, i: usize) {
        let gap = -(1.0 - self.chance.generate::<f64>()).ln() / self.fronts[i].pace;
        self.push(self.now + Span::from_secs(gap), Event::Comes(i));
    }

    /// How many fronts that do not lie have the engine left out.
    pub fn leave_out(&self) -> usize {
        let honest = self.fronts.iter().enumerate().filter(|(i, _)| !self.lies(*i));
        honest.filter(|(_, f)| f.policy.standing(BAD).is_some_and(|(failing, _)| failing)).count()
    }

    /// Liars are of one zone, at the end of the fleet.
    fn lies(&self, i: usize) -> bool {
        let rank = (self.fronts.len() - 1 - i) / 3;
        zone(i) == zone(self.fronts.len() - 1) && rank < self.setting.liars
    }

    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            match event {
                Event::Comes(i) => self.comes(i),
                Event::Ends { front, b, number, engine, good } => self.ends(front, b, number, engine, good),
                Event::Tick(i) => {
                    self.fronts[i].policy.tick(at);
                    drop(self.fronts[i].policy.log_lines());
                    self.push(at + TICK, Event::Tick(i));
                }
                Event::Look(i) => {
                    self.look(i);
                    self.push(at + EVERY, Event::Look(i));
                }
                Event::Heard { to, letter } => {
                    let Letter { from, number, saw } = &self.letters[letter];
                    let from = (&name(*from)[..], 1, zone(*from));
                    self.fronts[to].desk.hear(from, *number, saw, at);
                }
            }
        }
        self.now = until;
    }

    fn comes(&mut self, i: usize) {
        self.comes_next(i);
        self.seen.batches += 1;
        let now = self.now;
        // Of many data sets, or each front would keep to the few engines that have the one.
        let data_set = self.chance.generate_range(0..500);
        let batch = Batch { time_limit: now + Span::from_millis(5_000), data_set, ..Batch::default() };
        let front = &mut self.fronts[i];
        let b = front.next;
        front.next += 1;
        front.policy.take(now, b, batch);
        self.place(i, b, 0);
    }

    fn place(&mut self, i: usize, b: usize, number: u8) {
        let (now, front) = (self.now, &mut self.fronts[i]);
        match front.policy.place(now, b) {
            Place::Send(Dispatch { engine, .. }) => {
                let good = engine != BAD || self.works;
                self.seen.met += usize::from(!good);
                let takes = if good { TAKES } else { Span::from_millis(2) };
                self.push(now + takes, Event::Ends { front: i, b, number, engine, good });
            }
            Place::NotYet | Place::PushBack(_) | Place::Error | Place::CallOff(_) => {}
        }
    }

    fn ends(&mut self, i: usize, b: usize, number: u8, engine: usize, good: bool) {
        let (now, front) = (self.now, &mut self.fronts[i]);
        let outcome = if good { Outcome::Returned } else { Outcome::Errored };
        Saw::of(outcome).into_iter().for_each(|saw| front.sights.see(process(engine), saw, now));
        let seen = larchfall_policy::interface::Seen { last: Last::Ended, same: true };
        let answer = Answer { over: good, took: TAKES, ..Answer::bare(outcome, seen) };
        if front.policy.after(now, b, number, &answer) == Next::Ask {
            self.place(i, b, number + 1);
        }
    }

    fn look(&mut self, i: usize) {
        let now = self.now;
        self.seen.left_out = self.seen.left_out + if self.leaves_out(i) { EVERY } else { Span::ZERO };
        if self.setting.telling == Telling::Nothing {
            return;
        }
        self.tell(i);
        let lies = self.lies(i);
        let front = &mut self.fronts[i];
        if self.setting.telling == Telling::Verdicts {
            return;
        }
        let sights = front.sights.all().collect();
        let outcomes = front.desk.look(sights, &self.living, |_| true, now);
        for (process, bad) in outcomes.into_iter().filter(|_| !lies) {
            front.policy.outcome(now, process.id as usize, bad, "told");
        }
        for e in 0..ENGINES {
            if front.policy.standing(e).is_some_and(|(failing, _)| failing) {
                let mine = front.desk.may_try(&name(i), process(e), &self.living, now);
                front.policy.turn(e, mine);
            }
        }
    }

    fn leaves_out(&self, i: usize) -> bool {
        !self.lies(i) && self.fronts[i].policy.standing(BAD).is_some_and(|(failing, _)| failing)
    }

    fn tell(&mut self, i: usize) {
        if self.lies(i) {
            (0..3).for_each(|_| self.fronts[i].sights.see(process(BAD), Saw::Failed, self.now));
        }
        let says_failing = self.lies(i) || self.leaves_out(i);
        let (number, saw) = self.fronts[i].sights.to_tell(MOST_ENGINES, self.now);
        self.letters.push(Letter { from: i, number, saw });
        let letter = self.letters.len() - 1;
        for _ in 0..FANOUT.min(self.fronts.len() - 1) {
            let to = self.chance.generate_range(0..self.fronts.len());
            if to == i || self.chance.generate::<f64>() < self.setting.loss {
                continue;
            }
            if self.setting.telling == Telling::Verdicts {
                if says_failing && !self.lies(to) {
                    (0..2).for_each(|_| self.fronts[to].policy.outcome(self.now, BAD, true, "told"));
                }
                continue;
            }
            let delay = Span::from_micros(self.chance.generate_range(200..5_000));
            self.push(self.now + delay, Event::Heard { to, letter });
        }
    }
}
