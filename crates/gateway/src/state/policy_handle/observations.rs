//! Engine observations that gateways exchange: records the attempt outcomes of this gateway for reports to other
//! members, and passes the outcomes that members report to the policy.

use super::{PolicyHandle, PolicyState};
use crate::state::engine_table::EngineInstance;
use larchfall_health_gossip::EngineProcess;
use larchfall_health_gossip::counts::ProcessCounts;
use larchfall_health_gossip::observations::{Observation, Observations, Report};
use larchfall_policy::event::HealthEvidence;
use larchfall_policy::types::Outcome;

impl PolicyHandle {
    /// Enables the recording of observations, of at most `max_processes` engine processes.
    pub fn enable_observations(&self, max_processes: usize) {
        self.lock().observations = Some(Observations::new(max_processes));
    }

    /// Records the outcome of an attempt as an observation of the engine process to which the attempt was sent.
    /// Outcomes that say nothing about the engine, and outcomes of a process that was replaced meanwhile, are dropped.
    pub fn record_observation(&self, instance: EngineInstance, outcome: Outcome) {
        let mut guard = self.lock();
        let PolicyState { engines, observations, .. } = &mut *guard;
        let Some(observations) = observations else { return };
        let Some(observation) = Observation::from_outcome(outcome) else { return };
        let is_current = engines.instance(instance.engine) == Some(instance);
        if let Some(process) = engines.process(instance.engine).filter(|_| is_current) {
            observations.record(process, observation, self.clock.now());
        }
    }

    /// Returns the next report to members, with at most `max_observations` entries; `None` if there is nothing to
    /// report or observations are disabled.
    pub fn next_observation_report(&self, max_observations: usize) -> Option<Report> {
        let mut guard = self.lock();
        let PolicyState { engines, observations, .. } = &mut *guard;
        let observations = observations.as_mut()?;
        observations.retain(|process| engines.index_of_process(process).is_some());
        let report = observations.next_report(max_observations, self.clock.now());
        (!report.entries.is_empty()).then_some(report)
    }

    /// Returns all observations that this gateway has recorded; empty if observations are disabled.
    pub fn own_observations(&self) -> Vec<ProcessCounts> {
        self.lock().observations.iter().flat_map(Observations::all).collect()
    }

    /// Passes an outcome that members observed at an engine process to the policy; does nothing if this gateway does
    /// not list the process.
    pub fn record_peer_outcome(&self, process: EngineProcess, is_failure: bool) {
        let mut state = self.lock();
        if let Some(engine) = state.engines.index_of_process(process) {
            state.policy.record_engine_outcome(self.clock.now(), engine, is_failure, HealthEvidence::Gossip);
        }
    }

    /// Returns the listed engine processes that the policy has ejected.
    pub fn ejected_processes(&self) -> Vec<EngineProcess> {
        let statuses = self.engine_statuses();
        statuses.into_iter().filter(|status| status.health.ejected).map(|status| status.process).collect()
    }

    /// Sets whether this gateway holds the probe slot of an ejected engine process, that is, whether it may probe the
    /// process now.
    pub fn set_probe_slot(&self, process: EngineProcess, is_held: bool) {
        let mut state = self.lock();
        if let Some(engine) = state.engines.index_of_process(process) {
            state.policy.set_probe_slot(engine, is_held);
        }
    }
}
