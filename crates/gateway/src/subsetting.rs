//! Subsetting: which engines this gateway uses, if the operator's file has a `[subsets]` table. One coroutine checks
//! at a fixed interval which members are alive and which engines are ready, and gives the policy the resulting
//! subset. All changes within an interval are handled together.

use crate::cluster::Cluster;
use crate::state::State;
use larchfall_config::Settings;
use larchfall_operator_config::SubsettingConfig;
use larchfall_policy::time::Timestamp;
use larchfall_policy::types::{EngineHealth, RequestClass, Topology};
use larchfall_subsetting::aperture::{Aperture, SubsetHealth};
use larchfall_subsetting::plan::SubsetPlan;
use larchfall_subsetting::{Gateway, ReadyEngine, requirements};
use slog::info;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of engine ids in one log line.
const MAX_LOGGED_ENGINES: usize = 64;
/// Health of an engine in the subset that is no longer in the endpoint list.
const UNLISTED_ENGINE_HEALTH: EngineHealth = EngineHealth { ejected: true, congested: false };

/// Settings from which an assignment is computed, together with the members and the engines.
pub struct SubsettingInputs {
    settings: SubsettingConfig,
    classes: Vec<RequestClass>,
    /// Number of gateways and index of this gateway, from the platform's settings; used without membership.
    topology: Topology,
}

impl SubsettingInputs {
    /// Combines the operator's settings with the request classes and the topology of the platform's settings.
    pub fn new(settings: SubsettingConfig, platform: &Settings) -> SubsettingInputs {
        let policy = &platform.policy;
        SubsettingInputs { settings, classes: policy.classes.clone(), topology: policy.topology.clone() }
    }

    fn live_gateways(&self, state: &State, cluster: Option<&Cluster>) -> LiveGateways {
        let Some(cluster) = cluster else {
            // The platform's settings name no zones of gateways.
            let by_index = |index: usize| Gateway { key: index as u64, zone: None };
            return LiveGateways {
                own: by_index(self.topology.gateway_index),
                all: (0..self.topology.gateway_count.max(1)).map(by_index).collect(),
            };
        };
        let zone_index = |zone: &str| state.settings.names.zones.iter().position(|known| known == zone);
        let member_zones = cluster.live_member_zones();
        let by_name = |name: &str, zone: Option<&String>| Gateway {
            key: xxh3_64(name.as_bytes()),
            zone: zone.and_then(|zone| zone_index(zone)),
        };
        LiveGateways {
            own: by_name(cluster.member_name(), member_zones.get(cluster.member_name())),
            all: member_zones.iter().map(|(name, zone)| by_name(name, Some(zone))).collect(),
        }
    }
}

/// This gateway and all gateways that are alive.
struct LiveGateways {
    own: Gateway,
    all: BTreeSet<Gateway>,
}

/// A plan that assigns engines to gateways, and the gateways and engines that it was computed from.
#[derive(Default)]
struct Assignment {
    gateways: BTreeSet<Gateway>,
    engines: Vec<ReadyEngine>,
    plan: SubsetPlan,
}

/// Starts the coroutine. Until its first pass the policy uses the engines that are known now.
pub fn start(state: &Arc<State>, cluster: Option<Arc<Cluster>>, inputs: SubsettingInputs) {
    let state = state.clone();
    state.policy.enable_subset();
    may::go!(move || run(&state, cluster.as_deref(), &inputs));
}

fn run(state: &State, cluster: Option<&Cluster>, inputs: &SubsettingInputs) {
    let mut aperture = Aperture::new(inputs.settings.aperture, state.clock.now());
    let mut assignment = Assignment::default();
    let mut subset = BTreeSet::new();
    while !state.shutdown.is_complete() {
        let engines: Vec<ReadyEngine> = state
            .policy
            .ready_engines()
            .into_iter()
            .map(|ready| ReadyEngine { id: ready.id, engine: ready.engine })
            .collect();
        let LiveGateways { own, all } = inputs.live_gateways(state, cluster);
        if all != assignment.gateways || engines != assignment.engines {
            let requirements = requirements(&engines, &inputs.classes);
            let plan = SubsetPlan::compute(inputs.settings.plan, &all, &engines, &requirements);
            assignment = Assignment { gateways: all, engines, plan };
        }
        let now = state.clock.now();
        if !subset.is_empty() {
            update_aperture(state, &mut aperture, &assignment, own, &subset, now);
        }
        let new_subset = aperture.engines_in_use(&assignment.plan, own, &assignment.engines);
        if new_subset != subset {
            log_subset_change(state, &assignment, &aperture, &subset, &new_subset);
            subset = new_subset;
        }
        let fractions: BTreeMap<u32, f64> =
            subset.iter().filter_map(|id| Some((*id, assignment.plan.fraction(*id)?))).collect();
        state.policy.set_subset(&subset, &fractions);
        state.sleep(inputs.settings.check_interval);
    }
}

/// Widens or narrows the aperture by the health of the engines in the subset.
fn update_aperture(
    state: &State,
    aperture: &mut Aperture,
    assignment: &Assignment,
    own: Gateway,
    subset: &BTreeSet<u32>,
    now: Timestamp,
) {
    let ready: BTreeSet<u32> = assignment.engines.iter().map(|engine| engine.id).collect();
    let mut subset_health = SubsetHealth { used: subset.len(), ..SubsetHealth::default() };
    for id in subset {
        let health = state.policy.engine_health(*id).unwrap_or(UNLISTED_ENGINE_HEALTH);
        subset_health.unhealthy += usize::from(health.ejected || !ready.contains(id));
        subset_health.congested += usize::from(health.congested);
    }
    let assigned = assignment.plan.subsets.get(&own.key).map_or(0, BTreeSet::len);
    aperture.observe(subset_health, assignment.engines.len().saturating_sub(assigned), now);
}

fn log_subset_change(
    state: &State,
    assignment: &Assignment,
    aperture: &Aperture,
    old_subset: &BTreeSet<u32>,
    new_subset: &BTreeSet<u32>,
) {
    let ids: Vec<String> = new_subset.iter().take(MAX_LOGGED_ENGINES).map(|id| format!("{id:08x}")).collect();
    info!(state.log, "subset changed"; "added" => new_subset.difference(old_subset).count(),
        "removed" => old_subset.difference(new_subset).count(), "gateways" => assignment.gateways.len(),
        "beyond_assignment" => aperture.extra_engines(), "ids" => ids.join(" "),
        "engines" => assignment.engines.len(), "used" => new_subset.len());
}
