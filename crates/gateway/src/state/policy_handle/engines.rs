//! Passes endpoint list updates and load reports to the policy, and reads the policy's view of engine health.

use super::PolicyHandle;
use crate::codec::discovery::WatchEvent;
use crate::state::engine_table::{EngineInstance, ReadyEngine};
use larchfall_health_gossip::EngineProcess;
use larchfall_policy::time::Timestamp;
use larchfall_policy::types::{EngineHealth, EngineState, LoadReport};

/// An engine that is listed and not gone, with this gateway's view of the engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineStatus {
    /// The engine's current process.
    pub process: EngineProcess,
    /// State of the engine in the endpoint list.
    pub state: EngineState,
    /// Health of the engine as this gateway's policy rates it.
    pub health: EngineHealth,
    /// Whether this gateway uses the engine; always true while subsetting is disabled.
    pub in_subset: bool,
}

/// Summary of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointSummary {
    /// Number of engines that are listed and not gone.
    pub present_count: usize,
    /// Engines that are listed as ready.
    pub ready: Vec<ReadyEngine>,
}

impl PolicyHandle {
    /// Records that the endpoint list was current at `as_of`. Any message from the discovery service confirms the list,
    /// even a message without changes.
    pub fn confirm_endpoint_list(&self, as_of: Timestamp) {
        self.lock().policy.confirm_endpoint_list(as_of);
    }

    /// Applies a watch event. Returns the indices of engines whose idle connections must be closed, because the engine
    /// is gone or its process was replaced.
    pub fn apply_discovery_event(&self, event: &WatchEvent) -> Vec<usize> {
        let mut state = self.lock();
        let changes = state.engines.apply(event);
        let now = self.clock.now();
        for update in &changes.updated {
            state.policy.update_engine(now, update.index, update.engine);
            if changes.added.contains(&update.index) {
                state.apply_capacity_limits(update.index);
            }
        }
        let gone = changes.updated.iter().filter(|update| update.engine.state == EngineState::Gone);
        gone.map(|update| update.index).chain(changes.replaced).collect()
    }

    /// Revision of the last applied watch event.
    pub fn discovery_revision(&self) -> u64 {
        self.lock().engines.revision()
    }

    /// Returns the number of listed engines, and the ready engines.
    pub fn endpoint_summary(&self) -> EndpointSummary {
        let state = self.lock();
        EndpointSummary { present_count: state.engines.present().count(), ready: state.engines.ready() }
    }

    /// Returns all engines that are listed as ready, whether or not they are in the subset.
    pub fn ready_engines(&self) -> Vec<ReadyEngine> {
        self.lock().engines.ready()
    }

    /// Returns the processes of all engines that are listed and not gone.
    pub fn listed_processes(&self) -> Vec<EngineProcess> {
        self.lock().engines.present().map(|engine| engine.process).collect()
    }

    /// Returns the status of all engines that are listed and not gone.
    pub fn engine_statuses(&self) -> Vec<EngineStatus> {
        let state = self.lock();
        let present = state.engines.present();
        present
            .map(|engine| EngineStatus {
                process: engine.process,
                state: engine.state,
                health: state.policy.engine_health(engine.index).unwrap_or_default(),
                in_subset: state.capacity.uses_engine(engine.process.id),
            })
            .collect()
    }

    /// Returns the policy's view of the health of the engine with this id; `None` if the engine is unknown.
    pub fn engine_health(&self, id: u32) -> Option<EngineHealth> {
        let state = self.lock();
        state.policy.engine_health(state.engines.index(id)?)
    }

    /// Returns the id of the engine with this index; `None` if the index is unused.
    pub fn engine_id(&self, engine: usize) -> Option<u32> {
        self.lock().engines.id(engine)
    }

    /// Returns the current process of the engine with this index; `None` once the engine is gone and has no attempts of
    /// this gateway in flight.
    pub fn engine_instance(&self, engine: usize) -> Option<EngineInstance> {
        self.lock().engines.instance(engine)
    }

    /// Records a load report that this gateway received from an engine process. The report is dropped if the process
    /// was replaced meanwhile.
    pub fn record_load_report(&self, instance: EngineInstance, report: LoadReport) {
        let mut state = self.lock();
        if state.engines.instance(instance.engine) == Some(instance) {
            state.policy.on_load_report(self.clock.now(), instance.engine, report);
        }
    }

    /// Records a load report of the engine with this id that another member requested and shared.
    pub fn record_shared_load_report(&self, id: u64, report: LoadReport) {
        let mut state = self.lock();
        let engine = u32::try_from(id).ok().and_then(|id| state.engines.index(id));
        if let Some(engine) = engine {
            state.policy.on_load_report(self.clock.now(), engine, report);
        }
    }
}
