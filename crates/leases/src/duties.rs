//! One gateway's part in all duties: which it asks for and when, which it holds and till when, when it hands one on, and
//! its part as an elector where the file names it. `wake` is called when `due` comes, `hear` with each letter.
//!
//! A gateway asks for a duty once nobody is known to hold it, the one that a hash puts first at once and the others
//! after it in turn, so that a majority is seldom split; who gets none gives back what it got and waits by chance.

use crate::bid::{Bid, Terms};
use crate::elector::{Bounds, Elector};
use crate::permit::Permit;
use crate::quorum::Electors;
use crate::record::Record;
use crate::spread;
use crate::wire::{Leased, Letter, Matter, Vote, Want, Who, pages, size};
use larchfall_policy::time::{Duration, Timestamp};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Parts of a lease: between two asks, and until an ask that has no majority is given up.
const ASKS: f64 = 3.0;
/// Of a lease, how much later the next in turn asks.
const STAGGER: f64 = 0.2;
/// Rounds that are remembered for their answers; later ones say nothing.
const ROUNDS: usize = 32;
/// What was given up is said so often: datagrams are lost.
const SAID: u32 = 3;
/// A gateway that heard no elector for this part of a lease asks for nothing: it may still be heard itself, and would keep
/// from others what it does not know to be its own.
const DEAF: f64 = 0.75;
/// Electors that are asked who holds what, each time.
const LOOKS: usize = 2;
/// Electors are not changed again before so many longest leases are over: gateways read their files at different times.
const DWELL: f64 = 3.0;
/// A beat that comes later than this part of a lease is a stall.
const STALL: f64 = 0.5;
/// What one gateway sends itself in a call.
const OWN: usize = 256;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub cluster: String,
    pub electors: Electors,
    pub terms: Terms,
    /// Of this gateway as an elector.
    pub bounds: Bounds,
    pub duties: BTreeSet<String>,
    /// A holder keeps a duty at least so long, and a better one must have lived for as long.
    pub least: Duration,
    /// By so much of the whole scale another must be better.
    pub better: f64,
}

/// Why a duty is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Why {
    /// The lease was not renewed in time.
    RanOut,
    /// This gateway stood still for a good part of a lease.
    StoodStill,
    Leaving,
    /// Nothing within reach, what it knows is stale, or it is slow itself.
    Unfit,
    /// The file names it no more.
    NotNamed,
    Better,
    NameTaken,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum What {
    Holds {
        token: u64,
    },
    /// Nothing more is to be done under it; to be answered by `stopped` once that is so.
    Ends {
        token: u64,
        why: Why,
        to: Option<String>,
    },
    /// It is over without a word: nobody was told.
    Lost {
        token: u64,
        why: Why,
    },
    GivenBack {
        token: u64,
        to: Option<String>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    pub duty: String,
    pub what: What,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Out {
    pub letters: Vec<(String, Matter)>,
    pub changes: Vec<Change>,
    /// To be put on disk, and answered by `written`.
    pub write: Option<Record>,
}

/// Who holds a duty, as an elector last told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Known {
    pub holder: Who,
    pub token: u64,
    pub until: Timestamp,
}

#[derive(Clone, Debug)]
enum Part {
    Watching { not_before: Timestamp },
    Asking { bid: Bid, since: Timestamp, refused: BTreeSet<String> },
    Holding { bid: Bid, next: Option<Bid>, since: Timestamp, ends: Option<(Why, Option<String>)> },
}

impl Part {
    fn asking(token: u64, now: Timestamp) -> Part {
        Part::Asking { bid: Bid::new(token), since: now, refused: BTreeSet::new() }
    }
}

#[derive(Clone, Debug)]
struct Task {
    part: Part,
    known: Option<Known>,
    free_since: Option<Timestamp>,
    highest: u64,
    /// It was handed to this gateway: asks at once, again and again, until then.
    eager: Timestamp,
    /// How it last came to end here, and when.
    last: Option<(Why, Timestamp)>,
}

/// What this gateway knows of one duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View<'a> {
    pub duty: &'a str,
    pub known: Option<&'a Known>,
    /// Held here, with this token and until then.
    pub held: Option<(u64, Timestamp)>,
    pub last: Option<(Why, Timestamp)>,
}

pub struct Duties {
    me: Who,
    settings: Settings,
    /// What the electors were before the file was read again, for one lease.
    prior: Option<(Electors, Timestamp)>,
    changed: Option<Timestamp>,
    /// What was on its disk at the start, for when it becomes an elector later.
    record: Option<Record>,
    elector: Option<Elector>,
    /// Gateways that live, and since when.
    live: BTreeMap<String, Timestamp>,
    tasks: BTreeMap<String, Task>,
    /// When each round was asked, and under which terms.
    rounds: VecDeque<(u32, Timestamp, Terms)>,
    round: u32,
    next_ask: Timestamp,
    next_look: Timestamp,
    /// Which elector was looked at last.
    look: usize,
    woke: Timestamp,
    /// Last word from an elector that is another gateway.
    heard: Timestamp,
    said: Vec<(String, u64, u32)>,
    fit: bool,
    leaving: bool,
    chance: WyRand,
}

impl Duties {
    /// `wall` is the Unix clock in microseconds, `record` what the elector found on its disk.
    pub fn new(
        me: Who,
        settings: Settings,
        record: Option<&Record>,
        wall: u64,
        seed: u64,
        now: Timestamp,
    ) -> Duties {
        let is_elector = settings.electors.has(&me.name);
        let elector = is_elector.then(|| Elector::new(settings.bounds, record, wall, now));
        let mut duties = Duties {
            me,
            prior: None,
            changed: None,
            record: record.cloned(),
            elector,
            live: BTreeMap::new(),
            tasks: BTreeMap::new(),
            rounds: VecDeque::new(),
            round: 0,
            next_ask: now,
            next_look: now,
            look: 0,
            woke: now,
            heard: now,
            said: Vec::new(),
            fit: true,
            leaving: false,
            chance: WyRand::new_seed(seed),
            settings,
        };
        duties.name_tasks();
        duties
    }

    fn name_tasks(&mut self) {
        for duty in &self.settings.duties {
            self.tasks.entry(duty.clone()).or_insert_with(|| Task {
                part: Part::Watching { not_before: Timestamp::default() },
                known: None,
                free_since: None,
                highest: 0,
                eager: Timestamp::default(),
                last: None,
            });
        }
    }

    /// Gateways that live, this one among them, with the times since when.
    pub fn live(&mut self, live: BTreeMap<String, Timestamp>) {
        self.live = live;
    }

    /// Whether this gateway has anything within reach that its duties need, and knows it freshly.
    pub fn fit(&mut self, fit: bool) {
        self.fit = fit;
    }

    fn period(&self) -> Duration {
        self.settings.terms.length * (1.0 / ASKS)
    }

    /// Where another asks too the votes may be split, and both give way soon. Otherwise electors are waited for: a disk may
    /// take its time, and a new token would only begin the wait anew.
    fn patience(&self, refused: &BTreeSet<String>) -> Duration {
        if refused.is_empty() { self.settings.terms.length } else { self.period() }
    }

    pub fn due(&self) -> Timestamp {
        let ends = self.tasks.values().filter_map(|task| match &task.part {
            Part::Watching { not_before } => (task.eager > *not_before).then_some(*not_before),
            Part::Asking { since, refused, .. } => Some(*since + self.patience(refused)),
            Part::Holding { bid, next, .. } => self.until(bid, next.as_ref(), self.woke),
        });
        ends.chain([self.next_ask, self.next_look]).fold(self.next_look, Timestamp::min)
    }

    /// When what is held ends: by the electors of now, or for one lease by those before.
    fn until(&self, bid: &Bid, next: Option<&Bid>, now: Timestamp) -> Option<Timestamp> {
        let prior = self.prior.as_ref().filter(|(_, over)| now < *over).map(|(electors, _)| electors);
        let lists = || std::iter::once(&self.settings.electors).chain(prior);
        let bids = std::iter::once(bid).chain(next);
        bids.flat_map(|bid| lists().filter_map(|l| bid.until(l))).max()
    }

    /// Looked at immediately before each action.
    pub fn permit<'a>(&self, duty: &'a str, now: Timestamp) -> Option<Permit<'a>> {
        match &self.tasks.get(duty)?.part {
            Part::Holding { bid, next, ends: None, .. } => {
                let until = self.until(bid, next.as_ref(), now).filter(|until| now < *until)?;
                Some(Permit { duty, token: bid.token, until })
            }
            _ => None,
        }
    }

    /// Who holds it, as far as this gateway knows.
    pub fn holder(&self, duty: &str, now: Timestamp) -> Option<&str> {
        if self.permit(duty, now).is_some() {
            return Some(&self.me.name);
        }
        let known = self.tasks.get(duty)?.known.as_ref().filter(|known| now < known.until)?;
        Some(&known.holder.name)
    }

    pub fn view(&self, now: Timestamp) -> impl Iterator<Item = View<'_>> {
        self.tasks.iter().map(move |(duty, task)| View {
            duty,
            known: task.known.as_ref().filter(|known| now < known.until),
            held: self.permit(duty, now).map(|p| (p.token, p.until)),
            last: task.last,
        })
    }

    /// From a file that was read again. Refused whole where two majorities could miss each other.
    pub fn set(&mut self, settings: Settings, wall: u64, now: Timestamp) -> Result<Out, &'static str> {
        if !settings.electors.meets(&self.settings.electors) {
            return Err(
                "electors: a majority of these may miss one of those before: name both for a time, these as \
                 electors and those as electors-before",
            );
        }
        let mut out = Out::default();
        let longest = self.settings.bounds.longest.max(settings.bounds.longest);
        if settings.electors != self.settings.electors {
            if self.changed.is_some_and(|at| now.since(at) < longest * DWELL) {
                return Err(
                    "electors: were changed just now; others may not have read it, and new ones are still silent",
                );
            }
            self.changed = Some(now);
            // New electors say nothing for so long: what is held goes on by the old ones, which every other gateway still
            // needs as well.
            self.prior = Some((self.settings.electors.clone(), now + longest + self.settings.terms.length));
        }
        // One that is an elector again is as one that just started.
        self.elector = match (settings.electors.has(&self.me.name), self.elector.take()) {
            (true, Some(mut elector)) => {
                elector.set(settings.bounds);
                Some(elector)
            }
            (true, None) => Some(Elector::new(settings.bounds, self.record.as_ref(), wall, now)),
            (false, elector) => {
                self.record = elector.map(|elector| elector.record()).or(self.record.take());
                None
            }
        };
        let out_of_file: Vec<String> =
            self.tasks.keys().filter(|duty| !settings.duties.contains(*duty)).cloned().collect();
        self.settings = Settings { cluster: self.settings.cluster.clone(), ..settings };
        self.name_tasks();
        for duty in out_of_file {
            if self.holds(&duty) {
                self.end(&duty, Why::NotNamed, now, &mut out);
            } else {
                self.tasks.remove(&duty);
            }
        }
        (self.next_ask, self.next_look) = (now, now);
        Ok(out)
    }

    pub fn holds_any(&self) -> bool {
        self.tasks.values().any(|task| matches!(task.part, Part::Holding { .. }))
    }

    fn holds(&self, duty: &str) -> bool {
        self.tasks.get(duty).is_some_and(|task| matches!(task.part, Part::Holding { .. }))
    }

    /// Every duty is handed on, and no more are asked for.
    pub fn leave(&mut self, now: Timestamp) -> Out {
        self.leaving = true;
        self.end_all(Why::Leaving, now)
    }

    /// Another process has this name: nothing more is done or said under it.
    pub fn name_taken(&mut self, now: Timestamp) -> Out {
        self.leaving = true;
        self.elector = None;
        let mut out = Out::default();
        for duty in self.tasks.keys().cloned().collect::<Vec<_>>() {
            self.lose(&duty, Why::NameTaken, now, &mut out);
        }
        out
    }

    fn end_all(&mut self, why: Why, now: Timestamp) -> Out {
        let mut out = Out::default();
        for duty in self.tasks.keys().cloned().collect::<Vec<_>>() {
            self.end(&duty, why, now, &mut out);
        }
        out
    }

    /// Acting stops now; what runs under it is to be over before it is given back.
    fn end(&mut self, duty: &str, why: Why, now: Timestamp, out: &mut Out) {
        let best = self.in_order(duty, now).into_iter().find(|name| *name != self.me.name).map(str::to_owned);
        let Some(task) = self.tasks.get_mut(duty) else { return };
        let Part::Holding { bid, ends, .. } = &mut task.part else { return };
        if ends.is_none() {
            *ends = Some((why, best.clone()));
            task.last = Some((why, now));
            let what = What::Ends { token: bid.token, why, to: best };
            out.changes.push(Change { duty: duty.to_owned(), what });
        }
    }

    /// Nothing is done any more under a duty that was to end: it is given back, and the next is told.
    pub fn stopped(&mut self, duty: &str, now: Timestamp) -> Out {
        let mut out = Out::default();
        let Some(task) = self.tasks.get_mut(duty) else { return out };
        let Part::Holding { bid, next, ends: Some((why, to)), .. } = &task.part else { return out };
        let (why, to, token) = (*why, to.clone(), bid.token);
        let newest = next.as_ref().map_or(token, |next| next.token);
        for token in BTreeSet::from([token, newest]) {
            self.said.push((duty.to_owned(), token, SAID));
        }
        task.highest = task.highest.max(newest);
        task.part = Part::Watching { not_before: now + self.settings.terms.length };
        (task.known, task.free_since) = (None, None);
        self.say_gone(&mut out);
        if let Some(to) = &to {
            out.letters.push((to.clone(), Matter::Yours { duty: duty.to_owned(), token }));
        }
        out.changes.push(Change { duty: duty.to_owned(), what: What::GivenBack { token, to } });
        if why == Why::NotNamed {
            self.tasks.remove(duty);
        }
        self.deliver_own(now, &mut out);
        out
    }

    fn lose(&mut self, duty: &str, why: Why, now: Timestamp, out: &mut Out) {
        let Some(task) = self.tasks.get_mut(duty) else { return };
        if let Part::Holding { bid, next, .. } = &task.part {
            let newest = next.as_ref().map_or(bid.token, |next| next.token);
            out.changes.push(Change { duty: duty.to_owned(), what: What::Lost { token: bid.token, why } });
            task.highest = task.highest.max(newest);
            task.last = Some((why, now));
            (task.known, task.free_since) = (None, Some(now));
        }
        task.part = Part::Watching { not_before: now };
    }

    pub fn wake(&mut self, now: Timestamp) -> Out {
        let mut out = Out::default();
        let stalled = now.since(self.woke) > self.settings.terms.length * STALL;
        self.woke = now;
        let ours = self.fit && !self.leaving && self.hears(now);
        let mut ask = Vec::new();
        for duty in self.tasks.keys().cloned().collect::<Vec<_>>() {
            self.look_at(&duty, stalled, ours, now, &mut ask, &mut out);
        }
        self.ask(&ask, now, &mut out);
        if now >= self.next_ask {
            self.next_ask = now + self.period();
            if self.hears(now) {
                self.renew(now, &mut out);
            }
            self.say_gone(&mut out);
        }
        if now >= self.next_look {
            self.next_look = now + self.period();
            self.look_round(&mut out);
        }
        self.deliver_own(now, &mut out);
        out
    }

    /// One duty: ask for it, notice that it is held or lost, hand it on.
    fn look_at(
        &mut self,
        duty: &str,
        stalled: bool,
        ours: bool,
        now: Timestamp,
        ask: &mut Vec<String>,
        out: &mut Out,
    ) {
        let Some(task) = self.tasks.get_mut(duty) else { return };
        if let Some(over) = task.known.take_if(|known| known.until <= now) {
            task.free_since = Some(over.until);
        }
        if let Part::Watching { not_before } = &task.part {
            let (free, eager) = (task.free_since, now < task.eager);
            let ready = ours && now >= *not_before;
            if ready
                && (eager || free.is_some_and(|free| now >= free + self.turn(duty, now)))
                && let Some(task) = self.tasks.get_mut(duty)
            {
                task.part = Part::asking(task.highest + 1, now);
                ask.push(duty.to_owned());
            }
            return;
        }
        let Some(task) = self.tasks.get(duty) else { return };
        match &task.part {
            Part::Watching { .. } => {}
            Part::Asking { since, refused, .. } => {
                if now >= *since + self.patience(refused) {
                    self.give_up(duty, now, out);
                }
            }
            Part::Holding { bid, next, since, ends } => {
                let until = self.until(bid, next.as_ref(), now);
                if until.is_none_or(|until| now >= until) {
                    // Said before: whatever ran under it was to be over by now.
                    let why = ends.as_ref().map_or(Why::RanOut, |(why, _)| *why);
                    return self.lose(duty, why, now, out);
                }
                let least = self.settings.least;
                let others =
                    self.live.iter().filter(|(name, at)| **name != self.me.name && now.since(**at) >= least);
                let names = others.map(|(name, _)| name.as_str());
                // As often as it is renewed: to put many gateways in order costs more than all else here.
                let better = now >= self.next_ask
                    && now.since(*since) >= least
                    && spread::better(duty, &self.me.name, names, self.settings.better).is_some();
                if let Some((_, why)) =
                    [(stalled, Why::StoodStill), (!self.fit, Why::Unfit), (better, Why::Better)]
                        .into_iter()
                        .find(|(so, _)| *so)
                {
                    self.end(duty, why, now, out);
                }
            }
        }
    }

    /// All that live, in the order in which they should have it: those that were started lately last, since one that starts
    /// over and over would take it and drop it each time.
    fn in_order(&self, duty: &str, now: Timestamp) -> Vec<&str> {
        let is_warm =
            |name: &&str| self.live.get(*name).is_some_and(|at| now.since(*at) >= self.settings.least);
        let names = self.live.keys().map(String::as_str).chain([self.me.name.as_str()]);
        let (warm, slow_start): (BTreeSet<&str>, BTreeSet<&str>) = names.partition(is_warm);
        let mut order = spread::order(duty, warm.into_iter());
        order.extend(spread::order(duty, slow_start.into_iter()));
        order
    }

    /// How long after it is free this gateway asks: none for the first in order, and each time more for the next.
    fn turn(&self, duty: &str, now: Timestamp) -> Duration {
        let is_warm =
            |name: &&str| self.live.get(*name).is_some_and(|at| now.since(*at) >= self.settings.least);
        let names = self.live.keys().map(String::as_str).chain([self.me.name.as_str()]);
        let (warm, slow_start): (BTreeSet<&str>, BTreeSet<&str>) = names.partition(is_warm);
        let order = spread::order(duty, warm.into_iter())
            .into_iter()
            .chain(spread::order(duty, slow_start.into_iter()));
        let place = order.take_while(|name| *name != self.me.name).count();
        self.settings.terms.length * STAGGER * place as f64
    }

    /// Nothing came of it: what was granted goes back, so that another may have it.
    fn give_up(&mut self, duty: &str, now: Timestamp, out: &mut Out) {
        let eager_pause = self.period() * 0.1;
        let pause = self.period() * (0.25 + self.chance.generate::<f64>());
        let Some(task) = self.tasks.get_mut(duty) else { return };
        let Part::Asking { bid, .. } = &task.part else { return };
        let token = bid.token;
        // Never asked for again: what is said of it here may come to an elector late.
        task.highest = task.highest.max(token);
        let not_before = now + if now < task.eager { eager_pause } else { pause };
        task.part = Part::Watching { not_before };
        self.said.push((duty.to_owned(), token, 1));
        self.say_gone(out);
    }

    fn say_gone(&mut self, out: &mut Out) {
        if self.said.is_empty() {
            return;
        }
        let tokens: Vec<(String, u64)> = self.said.iter().map(|(d, t, _)| (d.clone(), *t)).collect();
        self.said.iter_mut().for_each(|(_, _, times)| *times -= 1);
        self.said.retain(|(_, _, times)| *times > 0);
        self.to_electors(tokens, |tokens| Matter::Gone { tokens }, out);
    }

    fn to_electors<T: serde::Serialize + Clone>(
        &self,
        parts: Vec<T>,
        matter: impl Fn(Vec<T>) -> Matter,
        out: &mut Out,
    ) {
        let room = Letter::new(&self.settings.cluster, &self.me, matter(Vec::new())).room();
        // The answers hold a little more for each.
        for page in pages(parts, room * 2 / 3) {
            for elector in self.settings.electors.all() {
                out.letters.push((elector.clone(), matter(page.clone())));
            }
        }
    }

    fn ask(&mut self, duties: &[String], now: Timestamp, out: &mut Out) {
        let length_us = self.settings.terms.length.micros();
        let mut wants = Vec::new();
        for duty in duties {
            let Some(task) = self.tasks.get(duty) else { continue };
            let bids: Vec<&Bid> = match &task.part {
                Part::Watching { .. } | Part::Holding { ends: Some(_), .. } => continue,
                Part::Asking { bid, .. } => vec![bid],
                // Once a newer token is asked for, the old one is not granted any more.
                Part::Holding { bid, next, .. } => vec![next.as_ref().unwrap_or(bid)],
            };
            wants.extend(bids.iter().map(|bid| Want { duty: duty.clone(), token: bid.token, length_us }));
        }
        if wants.is_empty() {
            return;
        }
        self.round = self.round.wrapping_add(1);
        self.rounds.push_back((self.round, now, self.settings.terms));
        if self.rounds.len() > ROUNDS {
            self.rounds.pop_front();
        }
        let round = self.round;
        self.to_electors(wants, |wants| Matter::Ask { round, wants }, out);
    }

    fn hears(&self, now: Timestamp) -> bool {
        now.since(self.heard) < self.settings.terms.length * DEAF
    }

    fn renew(&mut self, now: Timestamp, out: &mut Out) {
        let duties: Vec<String> = self.tasks.keys().cloned().collect();
        self.ask(&duties, now, out);
    }

    /// Two electors a time are asked who holds what, in turn, so that one that is gone leaves no gateway in the dark.
    fn look_round(&mut self, out: &mut Out) {
        let electors = self.settings.electors.all();
        let others: Vec<&&String> = electors.iter().filter(|name| ***name != self.me.name).collect();
        for _ in 0..LOOKS.min(others.len()) {
            self.look = self.look.wrapping_add(1);
            let to = (*others[self.look % others.len()]).clone();
            out.letters.push((to, Matter::Look { after: None }));
        }
    }

    pub fn hear(&mut self, from: &Who, matter: &Matter, now: Timestamp) -> Out {
        let mut out = Out::default();
        if self.settings.electors.has(&from.name)
            && matches!(matter, Matter::Votes { .. } | Matter::Leases { .. })
        {
            self.heard = now;
        }
        self.take_in(from, matter, now, &mut out);
        self.deliver_own(now, &mut out);
        out
    }

    /// An elector asks itself like any other, without the net between.
    fn deliver_own(&mut self, now: Timestamp, out: &mut Out) {
        for _ in 0..OWN {
            let Some(i) = out.letters.iter().position(|(to, _)| *to == self.me.name) else { break };
            let (_, matter) = out.letters.swap_remove(i);
            let me = self.me.clone();
            self.take_in(&me, &matter, now, out);
        }
        if let Some(elector) = &mut self.elector
            && out.write.is_none()
        {
            out.write = elector.to_write();
        }
    }

    /// What became of the record that was to be written.
    pub fn written(&mut self, kept: bool, now: Timestamp) -> Out {
        let mut out = Out::default();
        let late = self.elector.as_mut().map(|elector| elector.written(kept, now)).unwrap_or_default();
        for late in late {
            let matter = Matter::Votes { round: late.round, votes: vec![late.vote] };
            out.letters.push((late.to.name, matter));
        }
        self.deliver_own(now, &mut out);
        out
    }

    fn take_in(&mut self, from: &Who, matter: &Matter, now: Timestamp, out: &mut Out) {
        match matter {
            Matter::Ask { round, wants } => {
                let Some(elector) = &mut self.elector else { return };
                let votes: Vec<Vote> =
                    wants.iter().filter_map(|want| elector.ask(from, want, *round, now)).collect();
                if !votes.is_empty() {
                    out.letters.push((from.name.clone(), Matter::Votes { round: *round, votes }));
                }
            }
            Matter::Votes { round, votes } => {
                let asked = self
                    .rounds
                    .iter()
                    .find(|(number, ..)| number == round)
                    .map(|(_, at, terms)| (*at, *terms));
                let Some(asked) = asked.filter(|_| self.settings.electors.has(&from.name)) else { return };
                let mut again = Vec::new();
                for vote in votes {
                    self.count(&from.name, vote, asked, now, &mut again, out);
                }
                self.ask(&again, now, out);
            }
            Matter::Gone { tokens } => {
                let Some(elector) = &mut self.elector else { return };
                tokens.iter().for_each(|(duty, token)| elector.gone(from, duty, *token));
            }
            Matter::Yours { duty, token } => {
                let eager = now + self.settings.terms.length;
                let Some(task) = self.tasks.get_mut(duty).filter(|_| self.fit && !self.leaving) else {
                    return;
                };
                if matches!(task.part, Part::Holding { .. }) {
                    return;
                }
                // One that asks already goes on, and asks again soon if it came too early.
                (task.highest, task.eager, task.known) = (task.highest.max(*token), eager, None);
                if matches!(task.part, Part::Watching { .. }) {
                    task.part = Part::asking(task.highest + 1, now);
                    self.ask(std::slice::from_ref(duty), now, out);
                }
            }
            Matter::Look { after } => {
                let Some(elector) = self.elector.as_ref().filter(|e| !e.is_silent(now)) else { return };
                let empty = Matter::Leases { after: after.clone(), leases: Vec::new(), whole: true };
                let mut room = Letter::new(&self.settings.cluster, &self.me, empty).room();
                let (mut leases, mut whole) = (Vec::new(), true);
                for lease in elector.leases(after.as_deref(), now) {
                    let Some(left) = room.checked_sub(size(&lease)) else {
                        whole = false;
                        break;
                    };
                    room = left;
                    leases.push(lease);
                }
                out.letters.push((from.name.clone(), Matter::Leases { after: after.clone(), leases, whole }));
            }
            Matter::Leases { after, leases, whole } => {
                self.learn(&from.name, after, leases, *whole, now, out)
            }
            // Of what is done under duties, not of who has them.
            Matter::Readings(_) | Matter::AskShares { .. } | Matter::Shares { .. } => {}
        }
    }

    /// One elector's word on one want.
    fn count(
        &mut self,
        elector: &str,
        vote: &Vote,
        (asked, terms): (Timestamp, Terms),
        now: Timestamp,
        again: &mut Vec<String>,
        out: &mut Out,
    ) {
        let all = self.settings.electors.all().len();
        let Some(task) = self.tasks.get_mut(&vote.duty) else { return };
        task.highest = task.highest.max(vote.highest);
        let behind = !vote.granted && !vote.taken;
        let mut hopeless = false;
        match &mut task.part {
            Part::Watching { .. } => {}
            Part::Asking { bid, refused, .. } => {
                if bid.token == vote.token && vote.granted {
                    bid.granted(elector, asked, terms);
                    if bid.is_held(&self.settings.electors, now) {
                        let (token, bid) = (bid.token, bid.clone());
                        task.part = Part::Holding { bid, next: None, since: now, ends: None };
                        (task.eager, task.free_since) = (Timestamp::default(), None);
                        let what = What::Holds { token };
                        out.changes.push(Change { duty: vote.duty.clone(), what });
                    }
                } else if behind && vote.highest >= bid.token {
                    // What was granted so far is this gateway's own, and may be granted anew.
                    *bid = Bid::new(vote.highest + 1);
                    again.push(vote.duty.clone());
                } else if vote.taken {
                    refused.insert(elector.to_owned());
                    hopeless = refused.len() * 2 > all;
                }
            }
            Part::Holding { bid, next, .. } => {
                if let Some(b) =
                    [Some(&mut *bid), next.as_mut()].into_iter().flatten().find(|b| b.token == vote.token)
                    && vote.granted
                {
                    b.granted(elector, asked, terms);
                }
                if let Some(held) = next.take_if(|n| n.is_held(&self.settings.electors, now)) {
                    *bid = held;
                    out.changes
                        .push(Change { duty: vote.duty.clone(), what: What::Holds { token: bid.token } });
                }
                // An elector that forgot, or that granted another for a moment, takes a newer token only.
                let newest = next.as_ref().map_or(bid.token, |n| n.token);
                if behind && vote.token == newest && vote.highest >= newest {
                    *next = Some(Bid::new(vote.highest + 1));
                    again.push(vote.duty.clone());
                }
            }
        }
        if hopeless {
            self.give_up(&vote.duty, now, out);
        }
    }

    /// What an elector has granted, from after this duty on.
    fn learn(
        &mut self,
        elector: &str,
        after: &Option<String>,
        leases: &[Leased],
        whole: bool,
        now: Timestamp,
        out: &mut Out,
    ) {
        if !self.settings.electors.has(elector) {
            return;
        }
        let last = leases.last().map(|lease| lease.duty.clone()).filter(|_| !whole);
        let told = |duty: &str| {
            after.as_deref().is_none_or(|after| duty > after)
                && last.as_deref().is_none_or(|last| duty <= last)
        };
        for (duty, task) in self.tasks.iter_mut().filter(|(duty, _)| told(duty)) {
            let lease = leases.iter().find(|lease| lease.duty == *duty);
            // One elector that knows of none is outweighed by another that does, as long as that holds.
            let known = task.known.as_ref().is_some_and(|known| now < known.until);
            match lease {
                Some(Leased { holder, token, left_us, .. }) => {
                    let until = now + Duration::from_micros(*left_us);
                    let stands = task.known.as_ref().filter(|k| k.token > *token && now < k.until).is_some();
                    if !stands {
                        task.known = Some(Known { holder: holder.clone(), token: *token, until });
                    }
                    (task.free_since, task.highest) = (None, task.highest.max(*token));
                }
                None if !known => {
                    task.known = None;
                    task.free_since = task.free_since.or(Some(now));
                }
                None => {}
            }
        }
        if let Some(last) = last {
            out.letters.push((elector.to_owned(), Matter::Look { after: Some(last) }));
        }
    }
}
