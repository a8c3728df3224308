//! What was done in a run of a script, and what follows from it for the audit.

use super::Step;
use crate::audit::{ConnectionStall, DiscoveryOutage};
use std::collections::BTreeMap;
use std::time::Instant;

/// A step that was carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct PerformedStep {
    /// When it was begun.
    pub at: Instant,
    /// What was done.
    pub step: Step,
}

/// The times in which gateways, by number, could not hear their discovery services. A new process hears its own at once; the
/// one that it replaces may take seconds to end, and counts as deaf until the next step.
pub fn discovery_outages(steps: &[PerformedStep]) -> Vec<DiscoveryOutage> {
    let mut began: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut outages = Vec::new();
    for (i, PerformedStep { at, step }) in steps.iter().enumerate() {
        match step {
            Step::DiscoveryCut { gateway } | Step::DiscoveryStall { gateway } => {
                began.entry(*gateway).or_insert(*at);
            }
            Step::Restart { gateway } | Step::Replace { gateway } => {
                let until = steps.get(i + 1).map_or(*at, |next| next.at);
                let outage =
                    began.remove(gateway).map(|from| DiscoveryOutage { gateway: *gateway, from, until });
                outages.extend(outage);
            }
            Step::DiscoveriesHeal => {
                let ended = std::mem::take(&mut began).into_iter();
                outages.extend(ended.map(|(gateway, from)| DiscoveryOutage { gateway, from, until: *at }));
            }
            _ => {}
        }
    }
    outages
}

/// A gateway and an engine, by their numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    gateway: usize,
    engine: usize,
}

/// The times in which connections between gateways and engines, by number, stalled.
pub fn connection_stalls(steps: &[PerformedStep]) -> Vec<ConnectionStall> {
    let mut began: BTreeMap<Route, Instant> = BTreeMap::new();
    let mut stalls = Vec::new();
    for PerformedStep { at, step } in steps {
        let stall = |route: Route, from| ConnectionStall {
            gateway: route.gateway,
            engine: route.engine,
            from,
            until: *at,
        };
        match step {
            Step::EngineStall { gateway, engine } => {
                began.entry(Route { gateway: *gateway, engine: *engine }).or_insert(*at);
            }
            // What was held up is cut now, or is late by less than the audit looks at.
            Step::EngineCut { gateway, engine } | Step::EngineSlow { gateway, engine, .. } => {
                let route = Route { gateway: *gateway, engine: *engine };
                stalls.extend(began.remove(&route).map(|from| stall(route, from)));
            }
            Step::EnginesHeal => {
                let ended = std::mem::take(&mut began).into_iter();
                stalls.extend(ended.map(|(route, from)| stall(route, from)));
            }
            _ => {}
        }
    }
    stalls
}
