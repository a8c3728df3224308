//! How much the words of others count for an engine, as outcomes beside this gateway's own. One's own evidence counts whole and
//! is not weighed here. Of others, each place (a zone, or a gateway where all are in one zone) has one bad and one good outcome a
//! window at most, and bad ones count only once two places have said so within a window: however often one gateway or one zone says
//! it, also where nothing of one's own is there to speak against it, no sound engine is left out for it. A gateway that finds
//! most engines failing tells of its own net.

use crate::books::New;
use crate::{Process, faded};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// One outcome a place in each such time.
    pub window: Duration,
    /// A word counts less as it ages, and nothing from then on.
    pub lasts: Duration,
}

/// More than this part of the engines that a gateway tells of failing: its own net.
const OWN_NET: f64 = 0.5;
/// Two outcomes, of which the first has faded a little.
const TWICE: f64 = 1.5;
/// Of so many engines at least.
const ENOUGH: usize = 3;

/// Whether a gateway that finds so many engines failing, of so many, tells of its own net.
pub fn tells_of_own_net((failing, all): (usize, usize)) -> bool {
    all >= ENOUGH && failing as f64 > all as f64 * OWN_NET
}

/// Outcomes to be counted beside this gateway's own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    pub bad: f64,
    pub good: f64,
}

type Place = String;

#[derive(Clone, Debug)]
pub struct Weigher {
    settings: Settings,
    /// By engine, place and whether bad: what is left of its outcome, and when that was. Had the two one allowance, good words
    /// of an engine that works would use up what is then to be said of it when it breaks.
    left: BTreeMap<(Process, Place, bool), (f64, Timestamp)>,
    /// By engine and place: answered and failed lately, and when that was worked out.
    lately: BTreeMap<(Process, Place), (f64, f64, Timestamp)>,
    /// What one place alone said to be bad, and when it last did.
    alone: BTreeMap<Process, BTreeMap<Place, (f64, Timestamp)>>,
    /// Parts of outcomes that are not a whole one yet.
    parts: BTreeMap<Process, Evidence>,
}

impl Weigher {
    pub fn new(settings: Settings) -> Weigher {
        Weigher {
            settings,
            left: BTreeMap::new(),
            lately: BTreeMap::new(),
            alone: BTreeMap::new(),
            parts: BTreeMap::new(),
        }
    }

    /// The whole outcomes that this comes to, with what was left over before: bad ones first.
    pub fn outcomes(&mut self, of: Process, said: Evidence) -> impl Iterator<Item = bool> + use<> {
        let parts = self.parts.entry(of).or_default();
        let whole = |part: &mut f64, said: f64| {
            // Sums of parts of a whole may be off by a grain.
            let n = (*part + said + 1e-9).floor();
            *part += said - n;
            n as usize
        };
        let (bad, good) = (whole(&mut parts.bad, said.bad), whole(&mut parts.good, said.good));
        std::iter::repeat_n(true, bad).chain(std::iter::repeat_n(false, good))
    }

    /// What is new of one engine, each with how many engines its gateway finds failing and of how many. `zones` are those of
    /// all gateways that live.
    pub fn weigh(
        &mut self,
        of: Process,
        new: &[(New, (usize, usize))],
        zones: &BTreeSet<String>,
        now: Timestamp,
    ) -> Evidence {
        let mut places: BTreeMap<Place, Evidence> = BTreeMap::new();
        for (word, (failing, all)) in new {
            let fresh = (1.0 - now.since(word.heard) / self.settings.lasts).max(0.0);
            let own_net = tells_of_own_net((*failing, *all));
            let place = if zones.len() > 1 { word.zone.clone() } else { word.gateway.clone() };
            if !own_net {
                self.add(of, &place, word, now);
            }
            let at = places.entry(place).or_default();
            // Counts of one look are one sight: many requests that met the same fault are no more witnesses.
            // An answer of before it broke is no good word of now.
            let (answered, failed) = word.counts.lately.outcomes();
            let (good, bad) = (answered > failed, word.counts.failed > word.counts.answered);
            at.bad = at.bad.max(if bad && !own_net { fresh } else { 0.0 });
            at.good = at.good.max(if good && !bad { fresh } else { 0.0 });
        }
        let mut all = Evidence::default();
        for (place, said) in places {
            // Who sees it both ways in one place says nothing; but what a place saw lately goes before what it saw earlier.
            let (bad, good) = match self.fails_lately(of, &place, now) {
                true => (1.0, 0.0),
                false => ((said.bad - said.good).max(0.0), (said.good - said.bad).max(0.0)),
            };
            let bad = self.take((of, place.clone(), true), bad, now);
            if bad > 0.0 {
                let before = self.alone.entry(of).or_default().entry(place.clone()).or_insert((0.0, now));
                *before = (before.0 + bad, now);
            }
            all.good += self.take((of, place, false), good, now);
        }
        if let Some(alone) = self.alone.get_mut(&of) {
            alone.retain(|_, (_, at)| now.since(*at) < self.settings.window);
            if alone.len() > 1 {
                all.bad = std::mem::take(alone).into_values().map(|(bad, _)| bad.min(1.0)).sum();
            }
        }
        all
    }

    /// What a place saw lately, by all its words.
    fn add(&mut self, of: Process, place: &Place, word: &New, now: Timestamp) {
        let lately = self.lately.entry((of, place.clone())).or_insert((0.0, 0.0, now));
        let after = now.since(lately.2);
        let (answered, failed) = word.counts.lately.outcomes();
        let age = now.since(word.heard);
        *lately =
            (faded(lately.0, after) + faded(answered, age), faded(lately.1, after) + faded(failed, age), now);
    }

    /// More failed there lately than was answered, and more than once.
    fn fails_lately(&self, of: Process, place: &Place, now: Timestamp) -> bool {
        let lately = self.lately.get(&(of, place.clone()));
        lately.is_some_and(|(answered, failed, at)| {
            failed > answered && faded(*failed, now.since(*at)) >= TWICE
        })
    }

    /// Of what a place may still say in this window.
    fn take(&mut self, what: (Process, Place, bool), wants: f64, now: Timestamp) -> f64 {
        if wants <= 0.0 {
            return 0.0;
        }
        let (left, at) = self.left.entry(what).or_insert((1.0, now));
        *left = (*left + now.since(*at) / self.settings.window).min(1.0);
        *at = now;
        let taken = wants.min(*left);
        *left -= taken;
        taken
    }

    /// What said nothing for a window, and engines that are gone, leave memory.
    pub fn keep(&mut self, is_there: impl Fn(Process) -> bool, now: Timestamp) {
        let window = self.settings.window;
        self.lately.retain(|(process, _), (.., at)| is_there(*process) && now.since(*at) < window);
        self.left.retain(|(process, ..), (_, at)| is_there(*process) && now.since(*at) < window);
        self.alone.retain(|process, places| {
            places.retain(|_, (_, at)| now.since(*at) < window);
            is_there(*process) && !places.is_empty()
        });
        self.parts.retain(|process, _| is_there(*process));
    }
}
