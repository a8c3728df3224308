//! What this gateway observed of engines, for its members, and what they observed.

use super::{Decisions, PolicyHandle};
use crate::state::engine_table::EngineInstance;
use larchfall_health_gossip::EngineProcess;
use larchfall_health_gossip::counts::ProcessCounts;
use larchfall_health_gossip::observations::{Observation, Observations, Report};
use larchfall_policy::event::HealthEvidence;
use larchfall_policy::types::Outcome;

impl PolicyHandle {
    /// From now on observations are kept, of at most so many processes.
    pub fn enable_observations(&self, max_processes: usize) {
        self.lock().observations = Some(Observations::new(max_processes));
    }

    /// Keeps what the outcome of an attempt tells of the process it was sent to, unless that was replaced meanwhile.
    pub fn record_observation(&self, instance: EngineInstance, outcome: Outcome) {
        let mut guard = self.lock();
        let Decisions { engines, observations, .. } = &mut *guard;
        let Some(observations) = observations else { return };
        let Some(observation) = Observation::of(outcome) else { return };
        let is_current = engines.instance(instance.engine) == Some(instance);
        if let Some(process) = engines.process(instance.engine).filter(|_| is_current) {
            observations.record(process, observation, self.clock.now());
        }
    }

    /// The next report to members, with at most so many observations; `None` where there is nothing to report.
    pub fn next_observation_report(&self, max_observations: usize) -> Option<Report> {
        let mut guard = self.lock();
        let Decisions { engines, observations, .. } = &mut *guard;
        let own = observations.as_mut()?;
        own.retain(|process| engines.index_of_process(process).is_some());
        let report = own.next_report(max_observations, self.clock.now());
        (!report.entries.is_empty()).then_some(report)
    }

    /// All observations of this gateway.
    pub fn own_observations(&self) -> Vec<ProcessCounts> {
        self.lock().observations.iter().flat_map(Observations::all).collect()
    }

    /// An outcome that members observed of a process.
    pub fn record_peer_outcome(&self, process: EngineProcess, is_failure: bool) {
        let mut decisions = self.lock();
        if let Some(engine) = decisions.engines.index_of_process(process) {
            decisions.policy.record_engine_outcome(
                self.clock.now(),
                engine,
                is_failure,
                HealthEvidence::Gossip,
            );
        }
    }

    /// Processes that the policy has ejected.
    pub fn ejected_processes(&self) -> Vec<EngineProcess> {
        let statuses = self.engine_statuses();
        statuses.into_iter().filter(|status| status.health.ejected).map(|status| status.process).collect()
    }

    /// Whether it is this gateway's turn to probe a process that is ejected.
    pub fn set_probe_slot(&self, process: EngineProcess, is_ours: bool) {
        let mut decisions = self.lock();
        if let Some(engine) = decisions.engines.index_of_process(process) {
            decisions.policy.set_probe_slot(engine, is_ours);
        }
    }
}
