//! Demand of a gateway for each capacity, derived from requests that arrived recently: threads by request class, and
//! requests by tenant. Rejected requests count like served requests, because a gateway with a small quota would
//! otherwise appear to have a small demand.

use crate::capacity::Capacity;
use larchfall_policy::types::{Engine, RequestClass};

/// Factor by which earlier arrivals are reduced at each observation.
const DECAY_FACTOR: f64 = 0.7;
/// Weight of a gateway without demand. The weight isn't zero, so that the first requests find a quota.
const MIN_WEIGHT: f64 = 0.05;

/// Numbers of requests that have arrived since the start of the gateway, by request class and by tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrivals {
    /// Number of requests by index of the request class.
    pub classes: Vec<u64>,
    /// Number of requests by index of the tenant.
    pub tenants: Vec<u64>,
}

impl Arrivals {
    /// Counts one request; `tenant` is `None` for a request without a configured tenant.
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

/// Recent arrivals, which decay with each observation.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    last_arrivals: Arrivals,
    recent_by_class: Vec<f64>,
    recent_by_tenant: Vec<f64>,
}

/// Decays the `recent` counts and adds the difference between two totals.
fn decay_and_add(recent: &mut Vec<f64>, last_totals: &[u64], totals: &[u64]) {
    recent.resize(totals.len(), 0.0);
    for (index, (recent, total)) in recent.iter_mut().zip(totals).enumerate() {
        let added = total.saturating_sub(last_totals.get(index).copied().unwrap_or(0));
        *recent = *recent * DECAY_FACTOR + added as f64;
    }
}

impl Demand {
    /// Records the totals of all arrivals so far. To be called at regular intervals, since each call decays earlier
    /// arrivals.
    pub fn observe(&mut self, arrivals: Arrivals) {
        decay_and_add(&mut self.recent_by_class, &self.last_arrivals.classes, &arrivals.classes);
        decay_and_add(&mut self.recent_by_tenant, &self.last_arrivals.tenants, &arrivals.tenants);
        self.last_arrivals = arrivals;
    }

    /// Demand for an engine: recent requests times threads, summed over the request classes that the engine may serve.
    pub fn engine_demand(&self, engine: &Engine, classes: &[RequestClass]) -> f64 {
        let recent = classes.iter().zip(&self.recent_by_class);
        let allowed = recent.filter(|(class, _)| class.allows_engine(engine));
        allowed.map(|(class, recent)| class.threads.max(1.0) * recent).sum::<f64>().max(MIN_WEIGHT)
    }

    /// Demand of a tenant, by index of the tenant: the number of recent requests.
    pub fn tenant_demand(&self, tenant: usize) -> f64 {
        self.recent_by_tenant.get(tenant).copied().unwrap_or_default().max(MIN_WEIGHT)
    }
}

/// A capacity and the gateway's demand for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityDemand {
    /// The capacity for which the gateway requests a quota.
    pub capacity: Capacity,
    /// The gateway's weight in the division of the capacity; quotas are proportional to weights.
    pub weight: f64,
}
