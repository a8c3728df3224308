//! The keeper's side. What it has handed out counts until its end by the keeper's own clock, counted from after it
//! answered; a gateway that has none counts with its careful share. A keeper that just began may know nothing of what the
//! one before it handed out, so it waits as long as any share lasts. Both lengths are drawn out by the window in which
//! what was used still weighs on the capacity.
//!
//! Hundreds of gateways ask several times within a share's length, for each of many capacities: how far the whole goes is
//! worked out a few times in that, over all of them, and an answer looks only at its own gateway.

use crate::Terms;
use crate::divide::{Ask, Level, level};
use crate::fair;
use larchfall_policy::time::Timestamp;
use std::collections::BTreeMap;

/// A share grows to so many times itself at once, and by a careful share; it shrinks at once.
const GROWS: f64 = 4.0;
/// So many times within a share's length all asks are divided anew, and what has run out is counted no more.
const ROUNDS: f64 = 20.0;
/// Sums of fractions may be off by so much.
const GRAIN: f64 = 1e-9;

#[derive(Clone, Debug, PartialEq)]
struct Out {
    ask: Ask,
    /// What it last was handed.
    share: f64,
    /// Shares that may still be in use, each until its end: the largest of them counts.
    shares: Vec<(f64, Timestamp)>,
}

impl Out {
    /// What may be in use of it: at least the careful share, with one and without.
    fn counts(&self) -> f64 {
        self.shares.iter().map(|(share, _)| *share).fold(self.ask.floor, f64::max)
    }

    fn drop_ended(&mut self, now: Timestamp) {
        self.shares.retain(|(_, until)| now < *until);
    }
}

/// How fairly a capacity is handed out just now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fairness {
    /// Gateways that have a share.
    pub gateways: usize,
    /// The part of the whole that may be in use, what is kept back for others among it.
    pub in_use: f64,
    /// Over gateways, of what each has for what it wants.
    pub jain: f64,
    /// By how much a request is better off at the best than at the worst.
    pub factor: Option<f64>,
}

/// One capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Keeper {
    terms: Terms,
    begins: Timestamp,
    /// When it last answered or began.
    last: Timestamp,
    out: BTreeMap<String, Out>,
    /// Of all that are out together; never less than is so.
    counts: f64,
    level: Level,
    divides: Timestamp,
}

impl Keeper {
    /// Its duty began then.
    pub fn new(terms: Terms, now: Timestamp) -> Keeper {
        let (begins, level) = (now + terms.length + terms.window, Level::default());
        Keeper { terms, begins, last: now, out: BTreeMap::new(), counts: 0.0, level, divides: now }
    }

    /// Counts anew what is out, and how far the whole goes.
    fn divide(&mut self, now: Timestamp) {
        self.divides = now + self.terms.length * (1.0 / ROUNDS);
        self.out.values_mut().for_each(|out| out.drop_ended(now));
        self.out.retain(|_, out| !out.shares.is_empty());
        self.counts = self.out.values().map(Out::counts).sum();
        self.level = level(1.0 - self.kept_back(), self.out.values().map(|out| &out.ask));
    }

    /// Those that have none use a part by themselves, seen or unseen.
    fn kept_back(&self) -> f64 {
        self.terms.careful() * self.terms.gateways.saturating_sub(self.out.len()) as f64
    }

    /// A gateway asks, with a weight (what it takes) and what it can use of the whole; its share from now on, if any. At
    /// any time all that may be in use is within the whole: asserted at each answer.
    pub fn ask(&mut self, gateway: &str, weight: f64, demand: f64, now: Timestamp) -> Option<f64> {
        if now < self.begins {
            return None;
        }
        let sound = |n: f64, most: f64| if n.is_finite() { n.clamp(0.0, most) } else { 0.0 };
        let careful = self.terms.careful();
        let ask = Ask { weight: sound(weight, 1e9), demand: sound(demand, 1.0), floor: careful };
        if now >= self.divides {
            self.divide(now);
        }
        if !self.out.contains_key(gateway) {
            if self.out.len() >= self.terms.gateways {
                return None;
            }
            // What was kept back for it counts as its own from now on.
            self.out.insert(gateway.to_owned(), Out { ask, share: careful, shares: Vec::new() });
            self.counts += careful;
            self.level = level(1.0 - self.kept_back(), self.out.values().map(|out| &out.ask));
        }
        let kept_back = self.kept_back();
        let out = self.out.get_mut(gateway)?;
        let before = out.counts();
        out.ask = ask;
        out.drop_ended(now);
        let mine = out.counts();
        self.counts += mine - before;
        let free = 1.0 - kept_back - (self.counts - mine);
        let share = self.level.share(&ask).min(free).min(mine * GROWS + careful).max(careful);
        let until = now + self.terms.length + self.terms.window;
        // Each length holds a few answers; of equal ones the latest stands for all.
        out.shares.retain(|(before, _)| *before > share + GRAIN);
        out.shares.push((share, until));
        out.share = share;
        self.counts += out.counts() - mine;
        self.last = now;
        assert!(self.in_use() <= 1.0 + GRAIN, "shares of {} add up to {}", self.out.len(), self.in_use());
        Some(share)
    }

    /// The most that may be in use, as a part of the whole.
    pub fn in_use(&self) -> f64 {
        self.counts + self.kept_back()
    }

    pub fn fairness(&self) -> Fairness {
        let parts = || self.out.values().map(|out| out.share / out.ask.weight.max(GRAIN));
        let (jain, factor) = (fair::jain(parts()), fair::factor(parts()));
        Fairness { gateways: self.out.len(), in_use: self.in_use(), jain, factor }
    }

    pub fn gateways(&self) -> usize {
        self.out.len()
    }

    /// Nothing that it handed out can be in use, and it began long ago.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        self.last + self.terms.length + self.terms.window <= now
    }
}
