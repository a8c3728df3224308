//! Calls about engines: endpoint list entries, quotas, the subset, health checks, load reports and outcomes.

use super::Policy;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::engine_record::EngineRecord;
use crate::event::{HealthEvidence, PolicyEvent};
use crate::health_check::CheckCandidate;
use crate::outlier_detection::HealthChange;
use crate::time::Timestamp;
use crate::types::{Engine, EngineHealth, LoadReport};

impl Policy {
    /// Adds an engine or applies its changed endpoint list entry. A new start time means a new process: the health,
    /// cache and congestion state of the old process is reset.
    pub fn update_engine(&mut self, now: Timestamp, engine: usize, entry: Engine) {
        self.joined_time.get_or_insert(now);
        if let Some(record) = self.engines.get_mut(&engine) {
            record.update_entry(entry, now);
            return;
        }
        let thread_demand = self.classes.thread_demand();
        let limit =
            ConcurrencyLimit::new(self.topology.cores(&entry), self.topology.gateway_count, &thread_demand);
        self.engines.insert(engine, EngineRecord::new(entry, limit, now));
    }

    /// Removes an engine that has been gone for a while and has no attempt in flight. Returns whether it was removed:
    /// its index may then be used for another engine.
    pub fn remove_engine(&mut self, now: Timestamp, engine: usize) -> bool {
        let removable = self.engines.get(&engine).is_some_and(|record| record.is_removable(now));
        if removable {
            self.engines.remove(&engine);
        }
        removable
    }

    /// Sets the number of gateways that share the engines. Each gateway gets an equal fraction of every engine; this
    /// replaces the fractions that [`Policy::set_engine_quota`] set for threads.
    pub fn set_gateway_count(&mut self, gateways: usize) {
        self.topology.gateway_count = gateways.max(1);
        let fraction = 1.0 / self.topology.gateway_count as f64;
        for engine in self.engines.values_mut() {
            engine.limit.set_gateway_fraction(fraction);
        }
    }

    /// Sets this gateway's fractions of an engine's slow-start budget and threads, each in 0..=1. `None` means an
    /// equal fraction for each gateway.
    pub fn set_engine_quota(&mut self, engine: usize, slow_start: Option<f64>, threads: Option<f64>) {
        let Some(engine) = self.engines.get_mut(&engine) else { return };
        engine.slow_start_fraction = slow_start;
        engine.limit.set_gateway_fraction(threads.unwrap_or(1.0 / self.topology.gateway_count as f64));
    }

    /// Sets whether an engine is in the subset that this gateway sends to.
    pub fn set_in_subset(&mut self, engine: usize, in_subset: bool) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.outside_subset = !in_subset;
        }
    }

    /// Sets whether this gateway holds the probe slot of an engine. Where gateways take turns, only the holder probes
    /// the engine while it is ejected.
    pub fn set_probe_slot(&mut self, engine: usize, holds_slot: bool) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.awaits_probe_slot = !holds_slot;
        }
    }

    /// Sets this gateway's fraction of a tenant's rate, in 0..=1. `None` means the gateway's fraction of all traffic.
    pub fn set_tenant_quota(&mut self, tenant: usize, fraction: Option<f64>) {
        if let Some(quota) = self.tenants.get_mut(tenant) {
            quota.set_fraction(fraction);
        }
    }

    /// The health of an engine; `None` if the engine is unknown.
    pub fn engine_health(&self, engine: usize) -> Option<EngineHealth> {
        let record = self.engines.get(&engine)?;
        Some(EngineHealth {
            ejected: record.outlier_detector.is_ejected(),
            congested: record.limit.signal.is_congested(),
        })
    }

    /// Draws the engines to health-check now; an engine may occur more than once. Empty where engines may not be
    /// checked.
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

    /// Records an engine's load report, which came with an answer, from a health check or from a peer.
    pub fn on_load_report(&mut self, now: Timestamp, engine: usize, report: LoadReport) {
        let Some(engine) = self.engines.get_mut(&engine) else { return };
        let own_in_flight = engine.limit.attempts_in_flight() as f64;
        if let Some(all_in_flight) = report.in_flight.filter(|count| *count > 0.0) {
            self.traffic.record(own_in_flight, all_in_flight);
        }
        let cores = self.topology.cores(&engine.entry);
        let peer_load =
            report.in_flight.map(|all_in_flight| (all_in_flight - own_in_flight).max(0.0) / cores);
        if let Some(load) = peer_load.or(report.busy_fraction) {
            engine.relative_load.record(load, &mut self.mean_reported_load, now);
        }
    }

    /// Records one outcome at an engine for outlier detection: of this gateway's own attempt, or as a peer reported
    /// it. `failed` says whether the outcome counts against the engine.
    pub fn record_engine_outcome(
        &mut self,
        now: Timestamp,
        engine: usize,
        failed: bool,
        evidence: HealthEvidence,
    ) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        match record.outlier_detector.record(failed, &mut self.failure_baseline, now) {
            Some(HealthChange::Ejected) => self.events.push(PolicyEvent::EngineEjected { engine, evidence }),
            Some(HealthChange::Restored) => {
                self.events.push(PolicyEvent::EngineRestored { engine, evidence });
            }
            None => {}
        }
    }
}
