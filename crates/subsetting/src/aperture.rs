//! How much of its liking a gateway uses beside its part of the plan: more while that reads congested or too little of it is
//! ready, all at once when half of it is failing or gone, and back one by one in calm.

use crate::plan::Plan;
use crate::rank::order;
use crate::{Gateway, Listed};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// One more engine each such time while what is used reads congested.
    pub grows: Duration,
    /// One fewer each such time in calm.
    pub shrinks: Duration,
}

/// What a gateway sees of the engines that it uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sight {
    pub used: usize,
    /// Of them: judged failing, or ready no more.
    pub bad: usize,
    /// Of them: the last tick read congested.
    pub congested: usize,
}

/// So much of what is used has to be bad to widen to all, and congested to widen by one.
const HALF: f64 = 0.5;
/// And less than this congested for calm.
const CALM: f64 = 0.25;
/// One fewer is used only where no more than this of the rest is bad: else it would soon be all again.
const BAD_STAYS: f64 = 0.4;

#[derive(Clone, Debug, PartialEq)]
pub struct Aperture {
    settings: Settings,
    /// Engines beyond the plan.
    beyond: usize,
    next: Timestamp,
}

impl Aperture {
    pub fn new(settings: Settings, now: Timestamp) -> Aperture {
        Aperture { settings, beyond: 0, next: now + settings.grows }
    }

    pub fn beyond(&self) -> usize {
        self.beyond
    }

    /// `others` are the engines beyond what the plan says: no more than those can be added.
    pub fn look(&mut self, sight: Sight, others: usize, now: Timestamp) {
        let part = |n: usize| n as f64 / sight.used.max(1) as f64;
        self.beyond = self.beyond.min(others);
        if sight.used == 0 || part(sight.bad) >= HALF {
            // Others widen in the same moment: each to all, and every one in an order of its own.
            (self.beyond, self.next) = (others, now + self.settings.shrinks);
            return;
        }
        if now < self.next {
            return;
        }
        if part(sight.congested) >= HALF {
            (self.beyond, self.next) = ((self.beyond + 1).min(others), now + self.settings.grows);
        } else if part(sight.congested) < CALM && sight.bad as f64 <= (sight.used - 1) as f64 * BAD_STAYS {
            (self.beyond, self.next) = (self.beyond.saturating_sub(1), now + self.settings.shrinks);
        }
    }

    /// What is used now: the gateway's part of the plan, and of the rest what it likes best.
    pub fn used(&self, plan: &Plan, me: Gateway, engines: &[Listed]) -> BTreeSet<u32> {
        let mut used = plan.chosen.get(&me.number).cloned().unwrap_or_default();
        let liked = order(me, engines);
        let beyond: Vec<u32> =
            liked.iter().map(|x| x.id).filter(|id| !used.contains(id)).take(self.beyond).collect();
        used.extend(beyond);
        used
    }
}
