//! Electors and two askers of one duty under everything that may come between them: letters lost, doubled, late and out
//! of order, an elector whose clock runs twice as fast, electors that start anew with and without what they knew.

use larchfall_leases::bid::{Bid, Terms};
use larchfall_leases::elector::{Bounds, Elector};
use larchfall_leases::quorum::Electors;
use larchfall_leases::record::Record;
use larchfall_leases::wire::{Vote, Want, Who};
use larchfall_policy::time::{Duration, Timestamp};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const LENGTH: Duration = Duration::from_millis(4);
const TICK: u64 = 1000;

#[derive(Clone)]
struct Leases {
    electors: usize,
    /// The broken variants: no wait at a start, no margin, tokens in memory alone.
    waits: bool,
    margin: u32,
    remembers: bool,
    /// Tokens grow by clock as well.
    clock: bool,
    asks: u8,
    restarts: u8,
    ticks: u64,
    /// Letters that come twice, and whether duties are given back.
    doubles: u8,
    gives_back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Mail {
    Ask { asker: usize, elector: usize, token: u64, asked: Timestamp },
    Vote { asker: usize, elector: usize, vote: Vote, asked: Timestamp },
    Gone { asker: usize, elector: usize, token: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asker {
    bid: Option<Bid>,
    highest: u64,
    asks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    ticks: u64,
    electors: Vec<Elector>,
    askers: Vec<Asker>,
    mail: BTreeSet<Mail>,
    restarts: u8,
    doubles: u8,
    /// Who held it last, under which token; and whether a later holder had none that is higher.
    last: Option<(usize, u64)>,
    fell_back: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    Bid(usize),
    Renew(usize),
    GiveBack(usize),
    /// Whether the letter may come again.
    Deliver(Mail, bool),
    /// With or without a disk that kept the tokens, where the clock has moved on all the same.
    Restart(usize, bool),
}

fn who(asker: usize) -> Who {
    Who { name: format!("f{asker}"), generation: 1 }
}

impl Leases {
    fn names(&self) -> Electors {
        let name = |i| format!("e{i}");
        Electors { now: (0..self.electors).map(name).collect(), before: None }
    }
    fn terms(&self) -> Terms {
        Terms { length: LENGTH, margin: self.margin }
    }
    fn bounds(&self) -> Bounds {
        Bounds { longest: LENGTH, most: 2, keeps: false }
    }
    fn true_time(&self, w: &World) -> Timestamp {
        Timestamp::from_micros(100_000 + w.ticks * TICK)
    }
    /// The first elector's clock runs twice as fast as all others.
    fn clock(&self, elector: usize, w: &World) -> Timestamp {
        Timestamp::from_micros(100_000 + w.ticks * TICK * if elector == 0 { 2 } else { 1 })
    }
    fn holds(&self, asker: usize, w: &World) -> Option<u64> {
        let bid = w.askers[asker].bid.as_ref()?;
        bid.is_held(&self.names(), self.true_time(w)).then_some(bid.token)
    }
    fn ask(&self, asker: usize, w: &mut World) {
        let Some(token) = w.askers[asker].bid.as_ref().map(|b| b.token) else { return };
        let asked = self.true_time(w);
        w.askers[asker].asks += 1;
        w.mail.extend((0..self.electors).map(|elector| Mail::Ask { asker, elector, token, asked }));
    }
}

impl Model for Leases {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        // They started long ago.
        let elector = |_| Elector::new(self.bounds(), None, 0, Timestamp::from_micros(1000));
        vec![World {
            ticks: 0,
            electors: (0..self.electors).map(elector).collect(),
            // Either may know more than the other when they begin.
            askers: [0, 1].map(|highest| Asker { bid: None, highest, asks: 0 }).into(),
            mail: BTreeSet::new(),
            restarts: 0,
            doubles: 0,
            last: None,
            fell_back: false,
        }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Step>) {
        if w.ticks < self.ticks {
            actions.push(Step::Tick);
        }
        for (i, asker) in w.askers.iter().enumerate() {
            match &asker.bid {
                None if asker.asks < self.asks => actions.push(Step::Bid(i)),
                Some(_) => {
                    if self.gives_back {
                        actions.push(Step::GiveBack(i));
                    }
                    if asker.asks < self.asks {
                        actions.push(Step::Renew(i));
                    }
                }
                None => {}
            }
        }
        for mail in &w.mail {
            actions.push(Step::Deliver(mail.clone(), false));
            if w.doubles < self.doubles && !matches!(mail, Mail::Vote { .. }) {
                actions.push(Step::Deliver(mail.clone(), true));
            }
        }
        if w.restarts < self.restarts {
            actions
                .extend((0..self.electors).flat_map(|e| [Step::Restart(e, true), Step::Restart(e, false)]));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Tick => w.ticks += 1,
            Step::Bid(i) => {
                w.askers[i].bid = Some(Bid::new(w.askers[i].highest + 1));
                self.ask(i, &mut w);
            }
            Step::Renew(i) => self.ask(i, &mut w),
            Step::GiveBack(i) => {
                let token = w.askers[i].bid.take()?.token;
                w.askers[i].highest = w.askers[i].highest.max(token);
                w.mail.extend((0..self.electors).map(|elector| Mail::Gone { asker: i, elector, token }));
            }
            Step::Deliver(mail, again) => {
                if again {
                    w.doubles += 1;
                } else {
                    w.mail.remove(&mail);
                }
                match mail {
                    Mail::Ask { asker, elector, token, asked } => {
                        let want = Want { duty: "d".into(), token, length_us: LENGTH.micros() };
                        let now = self.clock(elector, &w);
                        let vote = w.electors[elector].ask(&who(asker), &want, 0, now)?;
                        w.mail.insert(Mail::Vote { asker, elector, vote, asked });
                    }
                    Mail::Gone { asker, elector, token } => w.electors[elector].gone(&who(asker), "d", token),
                    Mail::Vote { asker, elector, vote, asked } => {
                        let a = &mut w.askers[asker];
                        a.highest = a.highest.max(vote.highest);
                        if let Some(bid) = a.bid.as_mut().filter(|b| b.token == vote.token && vote.granted) {
                            bid.granted(&format!("e{elector}"), asked, self.terms());
                        }
                        if let Some(token) = self.holds(asker, &w) {
                            w.fell_back |= w.last.is_some_and(|(by, t)| by != asker && t >= token);
                            w.last = Some((asker, token));
                        }
                    }
                }
            }
            Step::Restart(e, kept) => {
                w.restarts += 1;
                let now = self.clock(e, &w);
                // Highest of all that it may have granted: what a record kept before each answer holds.
                let highest = w.askers.iter().filter_map(|a| a.bid.as_ref()).map(|b| b.token).max();
                let highest = highest.max(w.last.map(|(_, t)| t)).unwrap_or_default();
                let record =
                    Record { version: 1, longest_us: 0, highest: BTreeMap::from([("d".into(), highest)]) };
                let record = (kept && self.remembers).then_some(&record);
                let wall = if self.clock { now.micros() } else { 0 };
                let from = if self.waits { now } else { now - LENGTH };
                w.electors[e] = Elector::new(self.bounds(), record, wall, from);
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder", |m: &Leases, w: &World| {
                !(m.holds(0, w).is_some() && m.holds(1, w).is_some())
            }),
            Property::always("tokens grow", |_: &Leases, w: &World| !w.fell_back),
            Property::sometimes("both have held it", |_: &Leases, w: &World| {
                w.last.is_some_and(|(by, token)| by == 1 && token > 1)
            }),
        ]
    }
}

fn sound() -> Leases {
    Leases {
        electors: 3,
        waits: true,
        margin: 500,
        remembers: true,
        clock: true,
        asks: 1,
        restarts: 1,
        ticks: 4,
        doubles: 0,
        gives_back: false,
    }
}

#[test]
fn no_two_hold_one_duty_and_tokens_grow_whatever_is_lost_doubled_late_or_restarted() {
    let worlds = [
        ("no restarts", Leases { restarts: 0, ticks: 3, ..sound() }),
        ("restarts", Leases { ticks: 3, ..sound() }),
        ("renewals", Leases { asks: 2, restarts: 0, ticks: 3, ..sound() }),
        (
            "given back, doubled",
            Leases { gives_back: true, doubles: 1, asks: 2, restarts: 0, ticks: 1, ..sound() },
        ),
    ];
    for (name, model) in worlds {
        let checker = model.checker().threads(4).target_state_count(600_000).spawn_bfs().join();
        println!("{name}: {} states, depth {}", checker.unique_state_count(), checker.max_depth());
        for property in ["one holder", "tokens grow"] {
            assert!(checker.discovery(property).is_none(), "{name}: {:?}", checker.discovery(property));
        }
    }
}

/// What each part of it is for.
#[test]
fn without_the_wait_the_margin_or_memory_of_tokens_it_breaks() {
    let broken = [
        ("one holder", Leases { waits: false, clock: false, ticks: 0, ..sound() }),
        ("one holder", Leases { margin: 0, restarts: 0, ticks: 2, ..sound() }),
        ("tokens grow", Leases { remembers: false, clock: false, waits: false, ticks: 0, ..sound() }),
    ];
    for (property, model) in broken {
        let checker = model.checker().threads(4).target_state_count(3_000_000).spawn_bfs().join();
        println!("{property}: {} states", checker.unique_state_count());
        assert!(checker.discovery(property).is_some(), "{property} holds after {}", checker.state_count());
    }
}
