//! The engines that this gateway uses, where the operator's file has a `[subsets]` table: one coroutine looks at steady
//! times at which members are alive and which engines are ready, and tells the policy. However many changes there were
//! in between, they are handled at once.

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

/// Engines that one log line names at most.
const LOGGED_ENGINES: usize = 64;
/// What counts of an engine that is no longer listed.
const UNKNOWN: EngineHealth = EngineHealth { ejected: true, congested: false };

/// What an assignment is worked out from, but for members and engines.
pub struct SubsettingInputs {
    settings: SubsettingConfig,
    classes: Vec<RequestClass>,
    /// How many gateways the platform's settings name and which is this one: what counts without membership.
    topology: Topology,
}

impl SubsettingInputs {
    /// With the operator's settings and the platform's.
    pub fn new(settings: SubsettingConfig, platform: &Settings) -> SubsettingInputs {
        let policy = &platform.policy;
        SubsettingInputs { settings, classes: policy.classes.clone(), topology: policy.topology.clone() }
    }

    fn members(&self, state: &State, cluster: Option<&Cluster>) -> Members {
        let Some(cluster) = cluster else {
            // The platform's settings say nothing of zones.
            let numbered = |number: usize| Gateway { key: number as u64, zone: None };
            return Members {
                me: numbered(self.topology.gateway_index),
                alive: (0..self.topology.gateway_count.max(1)).map(numbered).collect(),
            };
        };
        let zone_index = |zone: &str| state.settings.names.zones.iter().position(|known| known == zone);
        let alive_zones = cluster.live_member_zones();
        let named = |name: &str, zone: Option<&String>| Gateway {
            key: xxh3_64(name.as_bytes()),
            zone: zone.and_then(|zone| zone_index(zone)),
        };
        Members {
            me: named(cluster.member_name(), alive_zones.get(cluster.member_name())),
            alive: alive_zones.iter().map(|(name, zone)| named(name, Some(zone))).collect(),
        }
    }
}

/// This gateway and all that are alive.
struct Members {
    me: Gateway,
    alive: BTreeSet<Gateway>,
}

/// An assignment of engines to gateways, and what it was worked out from.
#[derive(Default)]
struct Assignment {
    gateways: BTreeSet<Gateway>,
    engines: Vec<ReadyEngine>,
    plan: SubsetPlan,
}

/// Starts the coroutine. Until its first pass the policy uses the engines that are known now.
pub fn start(state: &Arc<State>, cluster: Option<Arc<Cluster>>, subsetting: SubsettingInputs) {
    let state = state.clone();
    state.policy.enable_subset();
    may::go!(move || run(&state, cluster.as_deref(), &subsetting));
}

fn run(state: &State, cluster: Option<&Cluster>, subsetting: &SubsettingInputs) {
    let mut aperture = Aperture::new(subsetting.settings.aperture, state.clock.now());
    let mut assignment = Assignment::default();
    let mut used = BTreeSet::new();
    while !state.shutdown.is_complete() {
        let engines: Vec<ReadyEngine> = state
            .policy
            .ready_engines()
            .into_iter()
            .map(|ready| ReadyEngine { id: ready.id, engine: ready.engine })
            .collect();
        let Members { me, alive } = subsetting.members(state, cluster);
        if alive != assignment.gateways || engines != assignment.engines {
            let requirements = requirements(&engines, &subsetting.classes);
            let plan = SubsetPlan::compute(subsetting.settings.plan, &alive, &engines, &requirements);
            assignment = Assignment { gateways: alive, engines, plan };
        }
        let now = state.clock.now();
        if !used.is_empty() {
            observe_used(state, &mut aperture, &assignment, me, &used, now);
        }
        let now_used = aperture.engines_in_use(&assignment.plan, me, &assignment.engines);
        if now_used != used {
            log_change(state, &assignment, &aperture, &used, &now_used);
            used = now_used;
        }
        let fractions: BTreeMap<u32, f64> =
            used.iter().filter_map(|id| Some((*id, assignment.plan.fraction(*id)?))).collect();
        state.policy.set_subset(&used, &fractions);
        state.sleep(subsetting.settings.check_interval);
    }
}

/// Has the aperture widen or narrow by how the engines in use are.
fn observe_used(
    state: &State,
    aperture: &mut Aperture,
    assignment: &Assignment,
    me: Gateway,
    used: &BTreeSet<u32>,
    now: Timestamp,
) {
    let ready: BTreeSet<u32> = assignment.engines.iter().map(|engine| engine.id).collect();
    let mut subset_health = SubsetHealth { used: used.len(), ..SubsetHealth::default() };
    for id in used {
        let health = state.policy.engine_health(*id).unwrap_or(UNKNOWN);
        subset_health.unhealthy += usize::from(health.ejected || !ready.contains(id));
        subset_health.congested += usize::from(health.congested);
    }
    let assigned = assignment.plan.subsets.get(&me.key).map_or(0, BTreeSet::len);
    aperture.observe(subset_health, assignment.engines.len().saturating_sub(assigned), now);
}

fn log_change(
    state: &State,
    assignment: &Assignment,
    aperture: &Aperture,
    before: &BTreeSet<u32>,
    now: &BTreeSet<u32>,
) {
    let ids: Vec<String> = now.iter().take(LOGGED_ENGINES).map(|id| format!("{id:08x}")).collect();
    info!(state.log, "subset changed"; "added" => now.difference(before).count(),
        "removed" => before.difference(now).count(), "gateways" => assignment.gateways.len(),
        "beyond_assignment" => aperture.extra_engines(), "ids" => ids.join(" "),
        "engines" => assignment.engines.len(), "used" => now.len());
}
