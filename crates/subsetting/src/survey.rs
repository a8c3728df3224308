//! What a plan comes to before it is switched on: who uses whom, how even engines' gateways are, what moves when one gateway or
//! engine goes.

use crate::plan::{Plan, Settings};
use crate::{Gateway, Listed, needs};
use larchfall_policy::interface::RequestClass;
use std::collections::{BTreeMap, BTreeSet};

/// So many goings of each kind are worked out at most: of 1,000 gateways not every one.
const GOINGS: usize = 24;

#[derive(Clone, Debug, PartialEq)]
pub struct Survey {
    pub plan: Plan,
    /// Pairs of a gateway and an engine that it uses, and pairs that there would be without subsets.
    pub pairs: (usize, usize),
    /// Gateways of an engine: least, mean, most.
    pub users: (usize, f64, usize),
    /// Pairs that are new to those that stay, in parts of what the one that went had: as a gateway goes, and as an engine goes.
    pub moved: (f64, f64),
}

fn new_pairs(before: &Plan, after: &Plan) -> usize {
    let new = |(gateway, now): (&u64, &BTreeSet<u32>)| {
        before.chosen.get(gateway).map_or(0, |was| now.difference(was).count())
    };
    after.chosen.iter().map(new).sum()
}

/// Some of them, spread over all.
fn some<T: Copy>(all: &[T]) -> impl Iterator<Item = T> + '_ {
    let step = all.len().div_ceil(GOINGS).max(1);
    all.iter().copied().step_by(step)
}

pub fn survey(
    settings: Settings,
    gateways: &BTreeSet<Gateway>,
    engines: &[Listed],
    classes: &[RequestClass],
) -> Survey {
    let make = |gateways: &BTreeSet<Gateway>, engines: &[Listed]| {
        Plan::make(settings, gateways, engines, &needs(engines, classes))
    };
    let plan = make(gateways, engines);
    let mean = |parts: &[f64]| parts.iter().sum::<f64>() / parts.len().max(1) as f64;
    let list: Vec<Gateway> = gateways.iter().copied().collect();
    let as_gateway_goes = |gone: Gateway| {
        let rest: BTreeSet<Gateway> = gateways.iter().copied().filter(|gateway| *gateway != gone).collect();
        let had = plan.chosen.get(&gone.number).map_or(0, BTreeSet::len);
        new_pairs(&plan, &make(&rest, engines)) as f64 / had.max(1) as f64
    };
    let as_engine_goes = |gone: Listed| {
        let rest: Vec<Listed> = engines.iter().copied().filter(|x| x.id != gone.id).collect();
        let had = plan.users.get(&gone.id).copied().unwrap_or(0);
        new_pairs(&plan, &make(gateways, &rest)) as f64 / had.max(1) as f64
    };
    let by_gateway: Vec<f64> = some(&list).map(as_gateway_goes).collect();
    let by_engine: Vec<f64> = some(engines).map(as_engine_goes).collect();
    let users: BTreeMap<u32, usize> = plan.users.clone();
    let pairs: usize = users.values().sum();
    Survey {
        pairs: (pairs, gateways.len() * engines.len()),
        users: (
            users.values().copied().min().unwrap_or(0),
            pairs as f64 / engines.len().max(1) as f64,
            users.values().copied().max().unwrap_or(0),
        ),
        moved: (mean(&by_gateway), mean(&by_engine)),
        plan,
    }
}
