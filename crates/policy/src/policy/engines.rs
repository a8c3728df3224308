//! What the caller tells of engines, and what it may ask of them: the endpoint list, quotas, the subset, observations.

use super::Policy;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::engine_record::EngineRecord;
use crate::event::{HealthEvidence, PolicyEvent};
use crate::health_check::CheckCandidate;
use crate::outlier_detection::HealthChange;
use crate::time::Timestamp;
use crate::types::{Engine, EngineHealth, LoadReport};

impl Policy {
    /// The endpoint list has this entry for an engine.
    pub fn update_engine(&mut self, now: Timestamp, engine: usize, listed: Engine) {
        self.joined_time.get_or_insert(now);
        if let Some(record) = self.engines.get_mut(&engine) {
            record.update_entry(listed, now);
            return;
        }
        let thread_demand = self.classes.thread_demand();
        let limit =
            ConcurrencyLimit::new(self.topology.cores(&listed), self.topology.gateway_count, &thread_demand);
        self.engines.insert(engine, EngineRecord::new(listed, limit, now));
    }

    /// Forgets an engine that is gone, not soon back and has nothing in flight: then its index is free.
    pub fn forget_engine(&mut self, now: Timestamp, engine: usize) -> bool {
        let forgettable = self.engines.get(&engine).is_some_and(|record| record.is_removable(now));
        if forgettable {
            self.engines.remove(&engine);
        }
        forgettable
    }

    /// So many gateways count from now on: by them engines are divided evenly.
    pub fn set_gateway_count(&mut self, gateways: usize) {
        self.topology.gateway_count = gateways.max(1);
        let fraction = 1.0 / self.topology.gateway_count as f64;
        for engine in self.engines.values_mut() {
            engine.limit.set_gateway_fraction(fraction);
        }
    }

    /// This gateway's part of what an engine bears in slow start, and of its threads, where they are no even ones.
    pub fn set_engine_quota(&mut self, engine: usize, slow_start: Option<f64>, threads: Option<f64>) {
        let Some(engine) = self.engines.get_mut(&engine) else { return };
        engine.slow_start_fraction = slow_start;
        engine.limit.set_gateway_fraction(threads.unwrap_or(1.0 / self.topology.gateway_count as f64));
    }

    /// Whether an engine is within the subset that this gateway uses.
    pub fn set_in_subset(&mut self, engine: usize, in_subset: bool) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.outside_subset = !in_subset;
        }
    }

    /// Whether this gateway may probe an engine while that is ejected, where gateways take turns at it.
    pub fn set_probe_slot(&mut self, engine: usize, holds_slot: bool) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.awaits_probe_slot = !holds_slot;
        }
    }

    /// This gateway's part of a tenant's rate; `None` leaves it to its part of the traffic.
    pub fn set_tenant_quota(&mut self, tenant: usize, fraction: Option<f64>) {
        if let Some(quota) = self.tenants.get_mut(tenant) {
            quota.assign(fraction);
        }
    }

    /// The verdict on an engine; `None` for one that is not known.
    pub fn engine_health(&self, engine: usize) -> Option<EngineHealth> {
        let record = self.engines.get(&engine)?;
        Some(EngineHealth {
            ejected: record.outlier_detector.is_ejected(),
            congested: record.limit.signal.is_congested(),
        })
    }

    /// Engines to ask for a load report now.
    pub fn draw_health_checks(&mut self) -> Vec<usize> {
        let Some(cost) = self.capabilities.health_check_cost else { return Vec::new() };
        let used = self.engines.iter().filter(|(_, engine)| engine.is_used());
        let candidate = |(engine, record): (&usize, &EngineRecord)| CheckCandidate {
            engine: *engine,
            peer_load_fraction: record.limit.peer_load_fraction(),
        };
        let candidates: Vec<CheckCandidate> = used.map(candidate).collect();
        self.health_checks.draw(cost, &candidates, &mut self.random)
    }

    /// An engine's load report, with an answer or by a health check.
    pub fn on_load_report(&mut self, now: Timestamp, engine: usize, report: LoadReport) {
        let Some(engine) = self.engines.get_mut(&engine) else { return };
        let own = engine.limit.attempts_in_flight() as f64;
        if let Some(all) = report.in_flight.filter(|all| *all > 0.0) {
            self.traffic.record(own, all);
        }
        let cores = self.topology.cores(&engine.entry);
        let peer_load = report.in_flight.map(|all| (all - own).max(0.0) / cores);
        if let Some(load) = peer_load.or(report.busy_fraction) {
            engine.relative_load.record(load, &mut self.mean_reported_load, now);
        }
    }

    /// An outcome at an engine, of this gateway's own attempts or one that peers reported.
    pub fn record_engine_outcome(
        &mut self,
        now: Timestamp,
        engine: usize,
        bad: bool,
        evidence: HealthEvidence,
    ) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        match record.outlier_detector.record(bad, &mut self.failure_baseline, now) {
            Some(HealthChange::Ejected) => self.events.push(PolicyEvent::EngineEjected { engine, evidence }),
            Some(HealthChange::Restored) => {
                self.events.push(PolicyEvent::EngineRestored { engine, evidence });
            }
            None => {}
        }
    }
}
