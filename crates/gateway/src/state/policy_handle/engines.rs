//! What the policy is told of engines, and what it judges of them.

use super::PolicyHandle;
use crate::codec::discovery::WatchEvent;
use crate::state::engine_table::{EngineInstance, ReadyEngine};
use larchfall_health_gossip::EngineProcess;
use larchfall_policy::time::Timestamp;
use larchfall_policy::types::{EngineHealth, EngineState, LoadReport};

/// An engine that is listed and not gone, with what this gateway makes of it.
#[derive(Clone, Copy, Debug)]
pub struct EngineStatus {
    /// The process that is listed.
    pub process: EngineProcess,
    /// Its state in the list.
    pub state: EngineState,
    /// What this gateway judges of it.
    pub health: EngineHealth,
    /// Whether this gateway uses it: it is in its subset, or subsets are off.
    pub in_subset: bool,
}

/// The endpoint list in short.
#[derive(Clone, Debug)]
pub struct EndpointSummary {
    /// How many engines are listed and not gone.
    pub present_count: usize,
    /// Those that are ready.
    pub ready: Vec<ReadyEngine>,
}

impl PolicyHandle {
    /// The discovery service said something, be it that there is nothing new: the endpoint list holds as of then.
    pub fn confirm_endpoint_list(&self, as_of: Timestamp) {
        self.lock().policy.confirm_endpoint_list(as_of);
    }

    /// Applies an event of the discovery service; returns the engines to which connections are of no more use.
    pub fn apply_discovery_event(&self, event: &WatchEvent) -> Vec<usize> {
        let mut decisions = self.lock();
        let changes = decisions.engines.apply(event);
        let now = self.clock.now();
        for update in &changes.updated {
            decisions.policy.update_engine(now, update.index, update.engine);
            if changes.added.contains(&update.index) {
                decisions.apply_capacity_to_new(update.index);
            }
        }
        let gone = changes.updated.iter().filter(|update| update.engine.state == EngineState::Gone);
        gone.map(|update| update.index).chain(changes.replaced).collect()
    }

    /// The number of the last discovery event that was applied.
    pub fn discovery_revision(&self) -> u64 {
        self.lock().engines.revision()
    }

    /// How many engines are listed, and those that are ready.
    pub fn endpoint_summary(&self) -> EndpointSummary {
        let decisions = self.lock();
        EndpointSummary {
            present_count: decisions.engines.present().count(),
            ready: decisions.engines.ready(),
        }
    }

    /// All engines that are listed as ready, in the subset or not.
    pub fn ready_engines(&self) -> Vec<ReadyEngine> {
        self.lock().engines.ready()
    }

    /// All processes of engines that are listed and not gone.
    pub fn listed_processes(&self) -> Vec<EngineProcess> {
        self.lock().engines.present().map(|engine| engine.process).collect()
    }

    /// All engines that are listed and not gone.
    pub fn engine_statuses(&self) -> Vec<EngineStatus> {
        let decisions = self.lock();
        let present = decisions.engines.present();
        present
            .map(|engine| EngineStatus {
                process: engine.process,
                state: engine.state,
                health: decisions.policy.engine_health(engine.index).unwrap_or_default(),
                in_subset: decisions.capacity.uses(engine.process.id),
            })
            .collect()
    }

    /// What this gateway judges of the engine with this id, if it is known.
    pub fn engine_health(&self, id: u32) -> Option<EngineHealth> {
        let decisions = self.lock();
        decisions.policy.engine_health(decisions.engines.index(id)?)
    }

    /// The id of the engine that has this index.
    pub fn engine_id(&self, engine: usize) -> Option<u32> {
        self.lock().engines.id(engine)
    }

    /// The process that has this index; none once it is gone and has no attempts of this gateway in flight.
    pub fn engine_instance(&self, engine: usize) -> Option<EngineInstance> {
        self.lock().engines.instance(engine)
    }

    /// A load report of a process that this gateway asked.
    pub fn record_load_report(&self, instance: EngineInstance, report: LoadReport) {
        let mut decisions = self.lock();
        if decisions.engines.instance(instance.engine) == Some(instance) {
            decisions.policy.on_load_report(self.clock.now(), instance.engine, report);
        }
    }

    /// A load report of the engine with this id, which another member asked.
    pub fn record_shared_load_report(&self, id: u64, report: LoadReport) {
        let mut decisions = self.lock();
        let engine = u32::try_from(id).ok().and_then(|id| decisions.engines.index(id));
        if let Some(engine) = engine {
            decisions.policy.on_load_report(self.clock.now(), engine, report);
        }
    }
}
