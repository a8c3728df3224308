//! The engines that this gateway uses, where the operator's file has a `[subsets]` table: one coroutine looks at steady times
//! at who lives and which engines are ready, and tells the module. However many changes there were since, it is one look.

use crate::cluster::Gateways;
use crate::state::State;
use larchfall_operator_config::Subsets;
use larchfall_policy::interface::{Fleet, RequestClass};
use larchfall_subsetting::aperture::{Aperture, SubsetHealth};
use larchfall_subsetting::plan::SubsetPlan;
use larchfall_subsetting::{Gateway, ReadyEngine, requirements};
use slog::info;
use std::collections::BTreeSet;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// So many ids stand in a line of the log.
const NAMED: usize = 64;

/// What the plan is worked out from beside what changes.
pub struct Subset {
    site: Subsets,
    classes: Vec<RequestClass>,
    /// How many gateways the settings name and which is this one: what counts where gateways do not know each other.
    fleet: Fleet,
}

/// A plan and what it was worked out from.
#[derive(Default)]
struct Made {
    gateways: BTreeSet<Gateway>,
    engines: Vec<ReadyEngine>,
    plan: SubsetPlan,
}

impl Subset {
    pub fn new(site: Subsets, classes: Vec<RequestClass>, fleet: Fleet) -> Subset {
        Subset { site, classes, fleet }
    }

    /// This gateway, and all that live; those that only the settings count are in no zone that is known.
    fn gateways(&self, state: &State, gateways: Option<&Gateways>) -> (Gateway, BTreeSet<Gateway>) {
        let Some(gateways) = gateways else {
            let gateway = |number: usize| Gateway { key: number as u64, zone: None };
            return (gateway(self.fleet.me), (0..self.fleet.gateways.max(1)).map(gateway).collect());
        };
        let zone = |name: &str| state.settings.names.zones.iter().position(|zone| zone == name);
        let living = gateways.living();
        let gateway =
            |name: &str, zone_name: &str| Gateway { key: xxh3_64(name.as_bytes()), zone: zone(zone_name) };
        let me =
            living.iter().find(|(name, _)| *name == gateways.name()).map(|(name, zone)| gateway(name, zone));
        let all = living.iter().map(|(name, zone)| gateway(name, zone)).collect();
        (me.unwrap_or(Gateway { key: xxh3_64(gateways.name().as_bytes()), zone: None }), all)
    }
}

/// Looks until the gateway ends.
pub fn run(state: &Arc<State>, gateways: Option<&Gateways>, subset: &Subset) {
    let mut aperture = Aperture::new(subset.site.aperture, state.clock.now());
    let (mut made, mut used) = (Made::default(), BTreeSet::new());
    while !state.shutdown.is_complete() {
        let ready = state.policy.ready_engines().into_iter();
        let engines: Vec<ReadyEngine> =
            ready.map(|ready| ReadyEngine { id: ready.id, engine: ready.engine }).collect();
        let (me, all) = subset.gateways(state, gateways);
        if all != made.gateways || engines != made.engines {
            let requirements = requirements(&engines, &subset.classes);
            let plan = SubsetPlan::compute(subset.site.plan, &all, &engines, &requirements);
            made = Made { gateways: all, engines, plan };
        }
        let now = state.clock.now();
        if !used.is_empty() {
            let ready: BTreeSet<u32> = made.engines.iter().map(|x| x.id).collect();
            let mut subset_health = SubsetHealth { used: used.len(), ..SubsetHealth::default() };
            for id in &used {
                let health = state.policy.engine_health(*id);
                let ejected = health.is_none_or(|health| health.ejected);
                subset_health.unhealthy += usize::from(ejected || !ready.contains(id));
                subset_health.congested += usize::from(health.is_some_and(|health| health.congested));
            }
            let planned = made.plan.subsets.get(&me.key).map_or(0, BTreeSet::len);
            aperture.observe(subset_health, made.engines.len().saturating_sub(planned), now);
        }
        let now_used = aperture.engines_in_use(&made.plan, me, &made.engines);
        if now_used != used {
            let ids: Vec<String> = now_used.iter().take(NAMED).map(|id| format!("{id:08x}")).collect();
            info!(state.log, "subset changed"; "added" => now_used.difference(&used).count(),
                "removed" => used.difference(&now_used).count(), "gateways" => made.gateways.len(),
                "beyond_assignment" => aperture.extra_engines(), "ids" => ids.join(" "),
                "engines" => made.engines.len(), "used" => now_used.len());
            used = now_used;
        }
        let parts = used.iter().filter_map(|id| Some((*id, made.plan.fraction(*id)?))).collect();
        state.policy.set_subset(&used, &parts);
        state.sleep(subset.site.look);
    }
}

/// Where it is on: what the next look works with.
pub fn start(state: &Arc<State>, gateways: Option<Arc<Gateways>>, subset: Subset) {
    let state = state.clone();
    state.policy.enable_subset();
    may::go!(move || run(&state, gateways.as_deref(), &subset));
}
