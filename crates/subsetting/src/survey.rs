//! Evaluates a subset plan before subsetting is enabled: the subsets, the spread of the number of gateways per
//! engine, and the churn when a gateway or an engine leaves.

use crate::plan::{PlanSettings, SubsetPlan};
use crate::{Gateway, ReadyEngine, requirements};
use larchfall_policy::types::RequestClass;
use std::collections::BTreeSet;

/// Maximum number of departures of gateways, and of engines, for which the churn is computed. A sample limits the
/// cost for fleets of 1,000 gateways.
const MAX_DEPARTURES: usize = 24;

/// Evaluation of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSurvey {
    /// The evaluated plan.
    pub plan: SubsetPlan,
    /// Number of pairs of a gateway and an engine in its subset.
    pub pairs: usize,
    /// Number of pairs without subsetting: gateways times engines.
    pub all_pairs: usize,
    /// Spread of the number of gateways per engine.
    pub gateways_per_engine: Spread,
    /// Churn when a gateway or an engine leaves.
    pub churn: PlanChurn,
}

/// Minimum, mean and maximum of a count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Minimum of the count.
    pub min: usize,
    /// Arithmetic mean of the count.
    pub mean: f64,
    /// Maximum of the count.
    pub max: usize,
}

/// Mean number of new pairs of a gateway and an engine after a departure, divided by the number of pairs of the
/// gateway or engine that left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanChurn {
    /// New pairs of the remaining gateways for each pair of a leaving gateway.
    pub by_gateway: f64,
    /// New pairs of the remaining engines for each pair of a leaving engine.
    pub by_engine: f64,
}

/// Number of pairs in `after` that `before` lacks, counting only gateways in both plans.
fn new_pairs(before: &SubsetPlan, after: &SubsetPlan) -> usize {
    let new_engines = |(gateway, subset): (&u64, &BTreeSet<u32>)| {
        before.subsets.get(gateway).map_or(0, |old_subset| subset.difference(old_subset).count())
    };
    after.subsets.iter().map(new_engines).sum()
}

/// At most `MAX_DEPARTURES` items at regular distances.
fn sample<T: Copy>(all: &[T]) -> impl Iterator<Item = T> + '_ {
    let step = all.len().div_ceil(MAX_DEPARTURES).max(1);
    all.iter().copied().step_by(step)
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Computes the plan of these gateways and engines, and evaluates it.
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
    let churn_by_gateway = |left: Gateway| {
        let rest = gateways.iter().copied().filter(|gateway| *gateway != left).collect();
        let pairs = plan.subsets.get(&left.key).map_or(0, BTreeSet::len);
        new_pairs(&plan, &compute(&rest, engines)) as f64 / pairs.max(1) as f64
    };
    let churn_by_engine = |left: ReadyEngine| {
        let rest: Vec<ReadyEngine> = engines.iter().copied().filter(|ready| ready.id != left.id).collect();
        let pairs = plan.gateway_counts.get(&left.id).copied().unwrap_or(0);
        new_pairs(&plan, &compute(gateways, &rest)) as f64 / pairs.max(1) as f64
    };
    let churn = PlanChurn {
        by_gateway: mean(sample(&gateway_list).map(churn_by_gateway)),
        by_engine: mean(sample(engines).map(churn_by_engine)),
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
