//! The subsets of all gateways at once.
//!
//! Each takes the engines that it prefers, but none that already has as many gateways as its bound (rendezvous hashing with
//! bounded loads, after Mirrokni, Thorup, Zadimoghaddam: "Consistent Hashing with Bounded Loads", 2018). Gateways choose one
//! after the other in the order of their keys, so one that comes or goes moves only what comes after it, and of that only
//! what meets a bound.

use crate::preference::preference_order;
use crate::{Gateway, ReadyEngine, Requirement};
use std::collections::{BTreeMap, BTreeSet};

/// How subsets are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanSettings {
    /// Engines that each request class may go to, where there are as many.
    pub min_engines: usize,
    /// How far above the mean an engine's number of gateways may be, as a fraction of the mean.
    pub load_slack: f64,
}

impl PlanSettings {
    /// How many gateways an engine may have for this requirement: all that are wanted, spread evenly, and a little more.
    fn max_gateways(&self, gateways: usize, requirement: &Requirement) -> usize {
        let wanted = gateways as f64 * self.min_engines.min(requirement.len()) as f64;
        (wanted / requirement.len() as f64 * (1.0 + self.load_slack)).ceil().max(1.0) as usize
    }
}

/// The same at all gateways that have the same lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SubsetPlan {
    /// By gateway's key: the ids of the engines that it uses.
    pub subsets: BTreeMap<u64, BTreeSet<u32>>,
    /// By engine's id: how many gateways use it.
    pub gateway_counts: BTreeMap<u32, usize>,
}

impl SubsetPlan {
    /// Computes the plan.
    pub fn compute(
        settings: PlanSettings,
        gateways: &BTreeSet<Gateway>,
        engines: &[ReadyEngine],
        requirements: &[Requirement],
    ) -> SubsetPlan {
        let mut plan = SubsetPlan {
            subsets: BTreeMap::new(),
            gateway_counts: engines.iter().map(|ready| (ready.id, 0)).collect(),
        };
        for gateway in gateways {
            let preferred = preference_order(*gateway, engines);
            let mut subset = BTreeSet::new();
            for requirement in requirements {
                let max_gateways = settings.max_gateways(gateways.len(), requirement);
                let allowed: Vec<&ReadyEngine> =
                    preferred.iter().copied().filter(|ready| requirement.contains(ready.id)).collect();
                plan.choose(settings.min_engines, &allowed, max_gateways, &mut subset);
            }
            plan.subsets.insert(gateway.key, subset);
        }
        plan
    }

    /// Adds to a subset until it has enough of these engines, in two cells where there are two.
    fn choose(
        &mut self,
        min_engines: usize,
        allowed: &[&ReadyEngine],
        max_gateways: usize,
        subset: &mut BTreeSet<u32>,
    ) {
        let cells: BTreeSet<usize> = allowed.iter().map(|ready| ready.engine.cell).collect();
        let wanted = min_engines.min(allowed.len());
        let mut chosen: Vec<&ReadyEngine> =
            allowed.iter().copied().filter(|ready| subset.contains(&ready.id)).collect();
        loop {
            // All engines in one cell would fail together: where there are two cells the last engine is of another.
            let only_cell = chosen.first().map(|ready| ready.engine.cell);
            let only_cell = only_cell.filter(|cell| chosen.iter().all(|ready| ready.engine.cell == *cell));
            let is_last = chosen.len() + 1 >= wanted;
            let excluded_cell = only_cell.filter(|_| wanted > 1 && cells.len() > 1 && is_last);
            if chosen.len() >= wanted && excluded_cell.is_none() {
                return;
            }
            let is_candidate = |ready: &&ReadyEngine| {
                !subset.contains(&ready.id) && excluded_cell != Some(ready.engine.cell)
            };
            let Some(next) = self.next_engine(allowed.iter().copied().filter(is_candidate), max_gateways)
            else {
                return;
            };
            subset.insert(next.id);
            chosen.push(next);
            *self.gateway_counts.entry(next.id).or_default() += 1;
        }
    }

    /// The most preferred engine below its bound, or where all are at their bound the one with the fewest gateways.
    fn next_engine<'a>(
        &self,
        candidates: impl Iterator<Item = &'a ReadyEngine> + Clone,
        max_gateways: usize,
    ) -> Option<&'a ReadyEngine> {
        let gateways = |ready: &ReadyEngine| self.gateway_counts.get(&ready.id).copied();
        let is_below_bound = |ready: &&ReadyEngine| gateways(ready).is_some_and(|n| n < max_gateways);
        candidates.clone().find(is_below_bound).or_else(|| candidates.min_by_key(|ready| gateways(ready)))
    }

    /// A gateway's fraction of an engine among the gateways that use it.
    pub fn fraction(&self, engine: u32) -> Option<f64> {
        let gateways = self.gateway_counts.get(&engine).filter(|gateways| **gateways > 0)?;
        Some(1.0 / *gateways as f64)
    }
}
