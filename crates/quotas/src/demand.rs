//! How much a gateway wants of each capacity, from what came to it recently: threads by request class, and requests by
//! tenant. Rejected requests count like served ones: a gateway that gets little must not seem to want little.

use crate::capacity::Capacity;
use larchfall_policy::types::{Engine, RequestClass};

/// How much of what came recently still counts one observation later.
const DECAY: f64 = 0.7;
/// A gateway that wants nothing still has a little weight, so that its first requests find a quota.
const MIN_WEIGHT: f64 = 0.05;

/// Requests that came so far, by request class and by tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrivals {
    /// By index of the request class.
    pub classes: Vec<u64>,
    /// By index of the tenant.
    pub tenants: Vec<u64>,
}

impl Arrivals {
    /// Counts a request.
    pub fn count(&mut self, class: usize, tenant: Option<usize>) {
        increment(&mut self.classes, class);
        if let Some(tenant) = tenant {
            increment(&mut self.tenants, tenant);
        }
    }
}

fn increment(counts: &mut Vec<u64>, index: usize) {
    counts.resize(counts.len().max(index + 1), 0);
    counts[index] += 1;
}

/// What came recently.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    before: Arrivals,
    recent_by_class: Vec<f64>,
    recent_by_tenant: Vec<f64>,
}

fn decay_and_add(recent: &mut Vec<f64>, before: &[u64], now: &[u64]) {
    recent.resize(now.len(), 0.0);
    for (index, (recent, now)) in recent.iter_mut().zip(now).enumerate() {
        let new = now.saturating_sub(before.get(index).copied().unwrap_or(0));
        *recent = *recent * DECAY + new as f64;
    }
}

impl Demand {
    /// Takes in what came so far; called at regular intervals.
    pub fn observe(&mut self, arrivals: Arrivals) {
        decay_and_add(&mut self.recent_by_class, &self.before.classes, &arrivals.classes);
        decay_and_add(&mut self.recent_by_tenant, &self.before.tenants, &arrivals.tenants);
        self.before = arrivals;
    }

    /// Threads that are wanted of this engine, by the classes that may go there.
    pub fn engine_demand(&self, engine: &Engine, classes: &[RequestClass]) -> f64 {
        let recent = classes.iter().zip(&self.recent_by_class);
        let allowed = recent.filter(|(class, _)| class.allows_engine(engine));
        allowed.map(|(class, recent)| class.threads.max(1.0) * recent).sum::<f64>().max(MIN_WEIGHT)
    }

    /// Requests of this tenant, by its index.
    pub fn tenant_demand(&self, tenant: usize) -> f64 {
        self.recent_by_tenant.get(tenant).copied().unwrap_or_default().max(MIN_WEIGHT)
    }
}

/// A capacity and how much of it is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityDemand {
    /// The capacity.
    pub capacity: Capacity,
    /// The gateway's weight in the division.
    pub weight: f64,
}
