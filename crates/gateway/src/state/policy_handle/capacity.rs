//! The engine capacity that this gateway may use: its subset of the engines, and its quotas of capacities shared
//! between gateways.

use super::{PolicyHandle, PolicyState};
use larchfall_policy::types::{Engine, SlowStartConfig};
use larchfall_quotas::capacity::Capacity;
use larchfall_quotas::demand::Arrivals;
use std::collections::{BTreeMap, BTreeSet};

/// The capacity that this gateway may use where no quota is allocated.
#[derive(Default)]
pub(super) struct CapacityPlan {
    /// Fraction of an engine's slow-start capacity that may be used without a quota; `None` while quotas are disabled.
    slow_start_without_quota: Option<f64>,
    /// Engines of this gateway's subset by id, each with this gateway's fraction of the engine; `None` while subsetting
    /// is disabled.
    subset: Option<BTreeMap<u32, f64>>,
}

impl CapacityPlan {
    /// Returns whether this gateway uses the engine with this id; always true while subsetting is disabled.
    pub(super) fn uses_engine(&self, id: u32) -> bool {
        self.subset.as_ref().is_none_or(|subset| subset.contains_key(&id))
    }

    /// Returns this gateway's fraction of the engine, of which other gateways use the rest; `None` if the subset
    /// assigns no fraction.
    fn subset_fraction(&self, id: u32) -> Option<f64> {
        self.subset.as_ref()?.get(&id).copied().filter(|fraction| *fraction > 0.0)
    }
}

/// A ready engine that this gateway uses, for which it may request quotas.
#[derive(Clone, Copy, Debug)]
pub struct QuotaEngine {
    /// Id of the engine in the endpoint list.
    pub id: u32,
    /// Attributes of the engine in the endpoint list.
    pub engine: Engine,
    /// Whether the engine's capacity is reduced by slow start.
    pub in_slow_start: bool,
}

impl PolicyState {
    /// Limits the use of a newly added engine. Until the engine has a quota, only the part of its slow-start capacity
    /// that needs no quota is used; engines outside the subset are not used at all.
    pub(super) fn apply_capacity_limits(&mut self, engine: usize) {
        let id = self.engines.id(engine);
        if self.capacity.slow_start_without_quota.is_some() {
            let slow_start = self.capacity.slow_start_without_quota;
            let threads = id.and_then(|id| self.capacity.subset_fraction(id));
            self.policy.set_engine_quota(engine, slow_start, threads);
        }
        let is_used = id.is_none_or(|id| self.capacity.uses_engine(id));
        self.policy.set_in_subset(engine, is_used);
    }
}

impl PolicyHandle {
    /// Enables subsetting. Until `set_subset` is called, the subset consists of the engines that are ready now.
    pub fn enable_subset(&self) {
        let mut state = self.lock();
        let initial_subset = state.engines.ready().into_iter().map(|ready| (ready.id, 0.0)).collect();
        state.capacity.subset = Some(initial_subset);
    }

    /// Sets the engines of the subset, and this gateway's fraction of each. All other engines are treated as draining.
    pub fn set_subset(&self, ids: &BTreeSet<u32>, fractions: &BTreeMap<u32, f64>) {
        let mut state = self.lock();
        let subset = ids.iter().map(|id| (*id, fractions.get(id).copied().unwrap_or(0.0))).collect();
        let previous = state.capacity.subset.replace(subset);
        if previous == state.capacity.subset {
            return;
        }
        for ready in state.engines.ready() {
            let slow_start = state.capacity.slow_start_without_quota;
            let threads = fractions.get(&ready.id).copied();
            state.policy.set_in_subset(ready.index, ids.contains(&ready.id));
            state.policy.set_engine_quota(ready.index, slow_start, threads);
        }
    }

    /// Enables quotas. Until this gateway has a quota of an engine's slow-start capacity, it may use the fraction
    /// `slow_start_without_quota` of that capacity.
    pub fn enable_quotas(&self, slow_start_without_quota: f64) {
        let mut state = self.lock();
        state.capacity.slow_start_without_quota = Some(slow_start_without_quota);
        for ready in state.engines.ready() {
            state.policy.set_engine_quota(ready.index, Some(slow_start_without_quota), None);
        }
    }

    /// Sets this gateway's quota fractions of engine capacities and of tenants' quota rates. `tenant_capacities` holds
    /// each tenant's capacity by tenant index. Capacities without a fraction are divided evenly between the gateways.
    pub fn set_quotas(&self, tenant_capacities: &[Capacity], fractions: &BTreeMap<Capacity, f64>) {
        let mut state = self.lock();
        for ready in state.engines.ready() {
            let fraction = |capacity| fractions.get(&capacity).copied();
            let capacity = &state.capacity;
            let slow_start = fraction(Capacity::SlowStart(ready.id)).or(capacity.slow_start_without_quota);
            let threads = fraction(Capacity::Threads(ready.id)).or(capacity.subset_fraction(ready.id));
            state.policy.set_engine_quota(ready.index, slow_start, threads);
        }
        for (tenant, capacity) in tenant_capacities.iter().enumerate() {
            state.policy.set_tenant_quota(tenant, fractions.get(capacity).copied());
        }
    }

    /// Returns the ready engines that this gateway uses, and whether each is in slow start according to `slow_start`.
    pub fn quota_engines(&self, slow_start: &SlowStartConfig) -> Vec<QuotaEngine> {
        let state = self.lock();
        let now = self.clock.now();
        let used = state.engines.ready().into_iter().filter(|ready| state.capacity.uses_engine(ready.id));
        used.map(|ready| QuotaEngine {
            id: ready.id,
            engine: ready.engine,
            in_slow_start: slow_start.warm_up_factor(ready.engine.start_time, now) < 1.0,
        })
        .collect()
    }

    /// Returns the number of requests received so far, by request class and tenant.
    pub fn arrivals(&self) -> Arrivals {
        self.lock().arrivals.clone()
    }
}
