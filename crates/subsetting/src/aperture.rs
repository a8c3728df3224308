//! Aperture: the number of engines that a gateway uses in addition to its subset of the plan. The number grows by one
//! at a time while the engines in use are congested, jumps to all engines when half of those in use are unhealthy or
//! gone, and shrinks by one at a time when there is little congestion.

use crate::plan::SubsetPlan;
use crate::preference::preference_order;
use crate::{Gateway, ReadyEngine};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeSet;

/// At this fraction of unhealthy engines or above, the gateway uses all engines.
const USE_ALL_UNHEALTHY_FRACTION: f64 = 0.5;
/// At this fraction of congested engines or above, the gateway uses one more engine.
const GROW_CONGESTED_FRACTION: f64 = 0.5;
/// Below this fraction of congested engines, the gateway uses one fewer engine.
const SHRINK_CONGESTED_FRACTION: f64 = 0.25;
/// Maximum fraction of unhealthy engines among the remaining engines for using one fewer engine. Without this limit,
/// the gateway would soon use all engines again.
const SHRINK_UNHEALTHY_FRACTION: f64 = 0.4;

/// Intervals of changes to the number of additional engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ApertureSettings {
    /// Time between additions of one engine while the engines in use are congested.
    pub grow_interval: Duration,
    /// Time between removals of one engine while few engines in use are congested.
    pub shrink_interval: Duration,
}

/// Health of the engines that a gateway uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SubsetHealth {
    /// Number of engines in use.
    pub used: usize,
    /// Number of engines in use that are ejected or no longer ready.
    pub unhealthy: usize,
    /// Number of engines in use that were congested at the last tick.
    pub congested: usize,
}

impl SubsetHealth {
    /// `engines` as a fraction of the engines in use.
    fn fraction(&self, engines: usize) -> f64 {
        engines as f64 / self.used.max(1) as f64
    }
}

/// State of the number of additional engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Aperture {
    settings: ApertureSettings,
    extra_engines: usize,
    next_change: Timestamp,
}

impl Aperture {
    /// Creates an aperture without additional engines, which can change first after one grow interval.
    pub fn new(settings: ApertureSettings, now: Timestamp) -> Aperture {
        Aperture { settings, extra_engines: 0, next_change: now + settings.grow_interval }
    }

    /// Number of engines that the gateway uses in addition to its subset.
    pub fn extra_engines(&self) -> usize {
        self.extra_engines
    }

    /// Updates the number of additional engines. `max_extra` is the number of engines outside of the gateway's subset.
    pub fn observe(&mut self, health: SubsetHealth, max_extra: usize, now: Timestamp) {
        self.extra_engines = self.extra_engines.min(max_extra);
        if health.used == 0 || health.fraction(health.unhealthy) >= USE_ALL_UNHEALTHY_FRACTION {
            // Other gateways may do the same at this moment. Using all engines, each in its own order of preference,
            // spreads the load.
            self.extra_engines = max_extra;
            self.next_change = now + self.settings.shrink_interval;
            return;
        }
        if now < self.next_change {
            return;
        }
        let congested_fraction = health.fraction(health.congested);
        let may_shrink = health.unhealthy as f64 <= (health.used - 1) as f64 * SHRINK_UNHEALTHY_FRACTION;
        if congested_fraction >= GROW_CONGESTED_FRACTION {
            self.extra_engines = (self.extra_engines + 1).min(max_extra);
            self.next_change = now + self.settings.grow_interval;
        } else if congested_fraction < SHRINK_CONGESTED_FRACTION && may_shrink {
            self.extra_engines = self.extra_engines.saturating_sub(1);
            self.next_change = now + self.settings.shrink_interval;
        }
    }

    /// The ids of the engines in use: the gateway's subset, and the additional engines that the gateway prefers.
    pub fn engines_in_use(
        &self,
        plan: &SubsetPlan,
        gateway: Gateway,
        engines: &[ReadyEngine],
    ) -> BTreeSet<u32> {
        let mut in_use = plan.subsets.get(&gateway.key).cloned().unwrap_or_default();
        let preferred = preference_order(gateway, engines).into_iter().map(|ready| ready.id);
        let extra: Vec<u32> = preferred.filter(|id| !in_use.contains(id)).take(self.extra_engines).collect();
        in_use.extend(extra);
        in_use
    }
}
