//! How much of which engine this gateway may use: its subset, and its quotas of what gateways share.

use super::{Decisions, PolicyHandle};
use larchfall_policy::types::{Engine, SlowStartConfig};
use larchfall_quotas::capacity::Capacity;
use larchfall_quotas::demand::Arrivals;
use std::collections::{BTreeMap, BTreeSet};

/// What this gateway may use, beside its quotas.
#[derive(Default)]
pub(super) struct CapacityPlan {
    /// The fraction of a slow-start capacity that may be used without a quota, where such quotas are allocated.
    slow_start_without_quota: Option<f64>,
    /// The engines of this gateway's subset by id, and its fraction of each; `None` where subsets are off.
    subset: Option<BTreeMap<u32, f64>>,
}

impl CapacityPlan {
    /// Whether this gateway uses the engine with this id.
    pub(super) fn uses(&self, id: u32) -> bool {
        self.subset.as_ref().is_none_or(|subset| subset.contains_key(&id))
    }

    /// This gateway's fraction of an engine among the gateways that use it, where the subset plan names one.
    fn fraction(&self, id: u32) -> Option<f64> {
        self.subset.as_ref()?.get(&id).copied().filter(|fraction| *fraction > 0.0)
    }
}

/// A ready engine that this gateway uses, as far as quotas are worked out from it.
#[derive(Clone, Copy, Debug)]
pub struct QuotaEngine {
    /// Its id in the list.
    pub id: u32,
    /// What the list says of it.
    pub engine: Engine,
    /// Whether it is in slow start.
    pub in_slow_start: bool,
}

impl Decisions {
    /// Until a new engine has a quota, no more of its slow start is used than is kept back, and nothing outside of the
    /// subset.
    pub(super) fn apply_capacity_to_new(&mut self, engine: usize) {
        let id = self.engines.id(engine);
        if self.capacity.slow_start_without_quota.is_some() {
            let slow_start = self.capacity.slow_start_without_quota;
            let threads = id.and_then(|id| self.capacity.fraction(id));
            self.policy.set_engine_quota(engine, slow_start, threads);
        }
        let is_used = id.is_none_or(|id| self.capacity.uses(id));
        self.policy.set_in_subset(engine, is_used);
    }
}

impl PolicyHandle {
    /// From now on this gateway uses only engines of its subset; until that is set, those that it knows.
    pub fn enable_subset(&self) {
        let mut decisions = self.lock();
        let known = decisions.engines.ready().into_iter().map(|ready| (ready.id, 0.0)).collect();
        decisions.capacity.subset = Some(known);
    }

    /// Sets the engines of the subset, and this gateway's fraction of each. All others are treated like engines that
    /// drain.
    pub fn set_subset(&self, ids: &BTreeSet<u32>, fractions: &BTreeMap<u32, f64>) {
        let mut decisions = self.lock();
        let subset = ids.iter().map(|id| (*id, fractions.get(id).copied().unwrap_or(0.0))).collect();
        let before = decisions.capacity.subset.replace(subset);
        if before == decisions.capacity.subset {
            return;
        }
        for ready in decisions.engines.ready() {
            let slow_start = decisions.capacity.slow_start_without_quota;
            let threads = fractions.get(&ready.id).copied();
            decisions.policy.set_in_subset(ready.index, ids.contains(&ready.id));
            decisions.policy.set_engine_quota(ready.index, slow_start, threads);
        }
    }

    /// From now on quotas are allocated: until there is one, this fraction of a slow-start capacity may be used.
    pub fn enable_quotas(&self, slow_start_without_quota: f64) {
        let mut decisions = self.lock();
        decisions.capacity.slow_start_without_quota = Some(slow_start_without_quota);
        for ready in decisions.engines.ready() {
            decisions.policy.set_engine_quota(ready.index, Some(slow_start_without_quota), None);
        }
    }

    /// Sets this gateway's quota fractions of engines' capacities and of tenants' quota rates. Of all others it has an
    /// even part.
    pub fn set_quotas(&self, tenants: &[Capacity], fractions: &BTreeMap<Capacity, f64>) {
        let mut decisions = self.lock();
        for ready in decisions.engines.ready() {
            let fraction = |capacity| fractions.get(&capacity).copied();
            let capacity = &decisions.capacity;
            let slow_start = fraction(Capacity::SlowStart(ready.id)).or(capacity.slow_start_without_quota);
            let threads = fraction(Capacity::Threads(ready.id)).or(capacity.fraction(ready.id));
            decisions.policy.set_engine_quota(ready.index, slow_start, threads);
        }
        for (tenant, capacity) in tenants.iter().enumerate() {
            decisions.policy.set_tenant_quota(tenant, fractions.get(capacity).copied());
        }
    }

    /// Ready engines that this gateway uses, and whether each is in slow start by this policy.
    pub fn quota_engines(&self, slow_start: &SlowStartConfig) -> Vec<QuotaEngine> {
        let decisions = self.lock();
        let now = self.clock.now();
        let used = decisions.engines.ready().into_iter().filter(|ready| decisions.capacity.uses(ready.id));
        used.map(|ready| QuotaEngine {
            id: ready.id,
            engine: ready.engine,
            in_slow_start: slow_start.warm_up_factor(ready.engine.start_time, now) < 1.0,
        })
        .collect()
    }

    /// Requests that came so far, by request class and tenant.
    pub fn arrivals(&self) -> Arrivals {
        self.lock().arrivals.clone()
    }
}
