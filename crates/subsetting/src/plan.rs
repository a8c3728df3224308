//! Computes the subsets of all gateways.
//!
//! Each gateway takes the engines that it prefers, except engines that have already reached the maximum number of
//! gateways (rendezvous hashing with bounded loads, after Mirrokni, Thorup, Zadimoghaddam: "Consistent Hashing with
//! Bounded Loads", 2018). Gateways choose in the order of their keys. Adding or removing a gateway therefore changes
//! only the subsets of gateways with greater keys, and among these only subsets with engines that reach their
//! maximum.

use crate::preference::preference_order;
use crate::{Gateway, ReadyEngine, Requirement};
use std::collections::{BTreeMap, BTreeSet};

/// Settings for the choice of subsets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanSettings {
    /// Minimum number of engines in each subset for each request class, or all allowed engines if there are fewer.
    pub min_engines: usize,
    /// Maximum by which an engine's number of gateways may exceed the mean, as a fraction of the mean.
    pub load_slack: f64,
}

impl PlanSettings {
    /// Maximum number of gateways for each engine of a requirement: the mean, increased by the load slack.
    fn max_gateways(&self, gateways: usize, requirement: &Requirement) -> usize {
        let total_pairs = gateways as f64 * self.min_engines.min(requirement.len()) as f64;
        (total_pairs / requirement.len() as f64 * (1.0 + self.load_slack)).ceil().max(1.0) as usize
    }
}

/// Subsets of all gateways. Gateways with the same lists of gateways and engines compute the same plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SubsetPlan {
    /// Ids of the engines in each gateway's subset, by key of the gateway.
    pub subsets: BTreeMap<u64, BTreeSet<u32>>,
    /// Number of gateways with the engine in their subsets, by id of the engine.
    pub gateway_counts: BTreeMap<u32, usize>,
}

impl SubsetPlan {
    /// Computes the plan of all gateways. `requirements` are processed in the given order for each gateway.
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
                plan.add_engines(settings.min_engines, &allowed, max_gateways, &mut subset);
            }
            plan.subsets.insert(gateway.key, subset);
        }
        plan
    }

    /// Adds engines to a subset until the subset has `min_engines` of the allowed engines. The engines are from at
    /// least two cells if possible.
    fn add_engines(
        &mut self,
        min_engines: usize,
        allowed: &[&ReadyEngine],
        max_gateways: usize,
        subset: &mut BTreeSet<u32>,
    ) {
        let cells: BTreeSet<usize> = allowed.iter().map(|ready| ready.engine.cell).collect();
        let target = min_engines.min(allowed.len());
        let mut chosen: Vec<&ReadyEngine> =
            allowed.iter().copied().filter(|ready| subset.contains(&ready.id)).collect();
        loop {
            // Engines of one cell can fail together, so if all chosen engines are in one cell, the last engine must
            // be from another cell.
            let only_cell = chosen.first().map(|ready| ready.engine.cell);
            let only_cell = only_cell.filter(|cell| chosen.iter().all(|ready| ready.engine.cell == *cell));
            let is_last = chosen.len() + 1 >= target;
            let excluded_cell = only_cell.filter(|_| target > 1 && cells.len() > 1 && is_last);
            if chosen.len() >= target && excluded_cell.is_none() {
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

    /// The first candidate with fewer than the maximum number of gateways. If there is none, the candidate with the
    /// fewest gateways.
    fn next_engine<'a>(
        &self,
        candidates: impl Iterator<Item = &'a ReadyEngine> + Clone,
        max_gateways: usize,
    ) -> Option<&'a ReadyEngine> {
        let gateway_count = |ready: &ReadyEngine| self.gateway_counts.get(&ready.id).copied();
        let is_below_max =
            |ready: &&ReadyEngine| gateway_count(ready).is_some_and(|count| count < max_gateways);
        candidates.clone().find(is_below_max).or_else(|| candidates.min_by_key(|ready| gateway_count(ready)))
    }

    /// An equal share of an engine among the gateways that use the engine; `None` if no gateway does.
    pub fn fraction(&self, engine: u32) -> Option<f64> {
        let count = self.gateway_counts.get(&engine).filter(|count| **count > 0)?;
        Some(1.0 / *count as f64)
    }
}
