//! What a plan comes to before it is switched on: who uses whom, how even the engines' numbers of gateways are, and what
//! moves when a gateway or engine leaves.

use crate::plan::{PlanSettings, SubsetPlan};
use crate::{Gateway, ReadyEngine, requirements};
use larchfall_policy::types::RequestClass;
use std::collections::BTreeSet;

/// Departures of each kind that are computed at most: of 1,000 gateways not every one.
const MAX_DEPARTURES: usize = 24;

/// What a plan comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSurvey {
    /// The plan.
    pub plan: SubsetPlan,
    /// Pairs of a gateway and an engine that it uses.
    pub pairs: usize,
    /// Pairs that there would be without subsets.
    pub all_pairs: usize,
    /// How many gateways an engine has.
    pub gateways_per_engine: Spread,
    /// What a departure moves.
    pub churn: PlanChurn,
}

/// The spread of a count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The smallest.
    pub min: usize,
    /// The mean.
    pub mean: f64,
    /// The largest.
    pub max: usize,
}

/// Pairs that are new to those that stay, in the mean, as a fraction of the pairs of the one that leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanChurn {
    /// As a gateway leaves.
    pub by_gateway: f64,
    /// As an engine leaves.
    pub by_engine: f64,
}

fn new_pairs(before: &SubsetPlan, after: &SubsetPlan) -> usize {
    let new = |(gateway, now): (&u64, &BTreeSet<u32>)| {
        before.subsets.get(gateway).map_or(0, |was| now.difference(was).count())
    };
    after.subsets.iter().map(new).sum()
}

/// Some of them, spread over all.
fn sample<T: Copy>(all: &[T]) -> impl Iterator<Item = T> + '_ {
    let step = all.len().div_ceil(MAX_DEPARTURES).max(1);
    all.iter().copied().step_by(step)
}

fn mean(fractions: impl Iterator<Item = f64>) -> f64 {
    let fractions: Vec<f64> = fractions.collect();
    fractions.iter().sum::<f64>() / fractions.len().max(1) as f64
}

/// Computes the plan of these gateways and engines, and what departures would move.
pub fn survey(
    settings: PlanSettings,
    gateways: &BTreeSet<Gateway>,
    engines: &[ReadyEngine],
    classes: &[RequestClass],
) -> PlanSurvey {
    let compute = |gateways: &BTreeSet<Gateway>, engines: &[ReadyEngine]| {
        SubsetPlan::compute(settings, gateways, engines, &requirements(engines, classes))
    };
    let plan = compute(gateways, engines);
    let gateway_list: Vec<Gateway> = gateways.iter().copied().collect();
    let moved_by_gateway = |left: Gateway| {
        let rest = gateways.iter().copied().filter(|gateway| *gateway != left).collect();
        let pairs = plan.subsets.get(&left.key).map_or(0, BTreeSet::len);
        new_pairs(&plan, &compute(&rest, engines)) as f64 / pairs.max(1) as f64
    };
    let moved_by_engine = |left: ReadyEngine| {
        let rest: Vec<ReadyEngine> = engines.iter().copied().filter(|ready| ready.id != left.id).collect();
        let pairs = plan.gateway_counts.get(&left.id).copied().unwrap_or(0);
        new_pairs(&plan, &compute(gateways, &rest)) as f64 / pairs.max(1) as f64
    };
    let churn = PlanChurn {
        by_gateway: mean(sample(&gateway_list).map(moved_by_gateway)),
        by_engine: mean(sample(engines).map(moved_by_engine)),
    };
    let counts = || plan.gateway_counts.values().copied();
    let pairs: usize = counts().sum();
    let gateways_per_engine = Spread {
        min: counts().min().unwrap_or(0),
        mean: pairs as f64 / engines.len().max(1) as f64,
        max: counts().max().unwrap_or(0),
    };
    let all_pairs = gateways.len() * engines.len();
    PlanSurvey { pairs, all_pairs, gateways_per_engine, churn, plan }
}
