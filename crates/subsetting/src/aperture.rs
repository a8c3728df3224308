//! How many engines a gateway uses beside its subset of the plan: more while its engines are congested, all at once when
//! half of them are unhealthy or gone, and back one by one in calm.

use crate::plan::SubsetPlan;
use crate::preference::preference_order;
use crate::{Gateway, ReadyEngine};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeSet;

/// From this fraction of unhealthy engines on, all engines are used.
const UNHEALTHY_TO_OPEN: f64 = 0.5;
/// From this fraction of congested engines on, one more is used.
const CONGESTED_TO_GROW: f64 = 0.5;
/// Below this fraction of congested engines, one fewer is used.
const CONGESTED_TO_SHRINK: f64 = 0.25;
/// One fewer is used only where no more than this fraction of the rest is unhealthy: else it would soon be all again.
const UNHEALTHY_TO_SHRINK: f64 = 0.4;

/// How fast the number of engines changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ApertureSettings {
    /// One more engine in each such time while those in use are congested.
    pub grow_interval: Duration,
    /// One fewer in each such time in calm.
    pub shrink_interval: Duration,
}

/// What a gateway observes of the engines that it uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SubsetHealth {
    /// Engines in use.
    pub used: usize,
    /// Those of them that are ejected, or ready no more.
    pub unhealthy: usize,
    /// Those of them that the last tick found congested.
    pub congested: usize,
}

impl SubsetHealth {
    fn fraction(&self, engines: usize) -> f64 {
        engines as f64 / self.used.max(1) as f64
    }
}

/// How many engines are used beyond the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Aperture {
    settings: ApertureSettings,
    extra_engines: usize,
    next_change: Timestamp,
}

impl Aperture {
    /// None beyond the plan.
    pub fn new(settings: ApertureSettings, now: Timestamp) -> Aperture {
        Aperture { settings, extra_engines: 0, next_change: now + settings.grow_interval }
    }

    /// Engines beyond the plan.
    pub fn extra_engines(&self) -> usize {
        self.extra_engines
    }

    /// Takes in what the engines in use look like. `others` is how many engines there are beyond the plan.
    pub fn observe(&mut self, health: SubsetHealth, others: usize, now: Timestamp) {
        self.extra_engines = self.extra_engines.min(others);
        if health.used == 0 || health.fraction(health.unhealthy) >= UNHEALTHY_TO_OPEN {
            // Other gateways open in the same moment: each to all engines, and every one in an order of its own.
            self.extra_engines = others;
            self.next_change = now + self.settings.shrink_interval;
            return;
        }
        if now < self.next_change {
            return;
        }
        let congested = health.fraction(health.congested);
        let may_shrink = health.unhealthy as f64 <= (health.used - 1) as f64 * UNHEALTHY_TO_SHRINK;
        if congested >= CONGESTED_TO_GROW {
            self.extra_engines = (self.extra_engines + 1).min(others);
            self.next_change = now + self.settings.grow_interval;
        } else if congested < CONGESTED_TO_SHRINK && may_shrink {
            self.extra_engines = self.extra_engines.saturating_sub(1);
            self.next_change = now + self.settings.shrink_interval;
        }
    }

    /// The engines in use now: the gateway's subset, and of the rest those that it prefers.
    pub fn engines_in_use(
        &self,
        plan: &SubsetPlan,
        gateway: Gateway,
        engines: &[ReadyEngine],
    ) -> BTreeSet<u32> {
        let mut used = plan.subsets.get(&gateway.key).cloned().unwrap_or_default();
        let preferred = preference_order(gateway, engines).into_iter().map(|ready| ready.id);
        let extra: Vec<u32> = preferred.filter(|id| !used.contains(id)).take(self.extra_engines).collect();
        used.extend(extra);
        used
    }
}
