//! The endpoint list of the discovery service. Maps engine ids of the list to the small indices that the policy uses.

use crate::codec::discovery::{EndpointEntry, WatchEvent};
use larchfall_health_gossip::EngineProcess;
use larchfall_policy::time::Timestamp;
use larchfall_policy::types::{Engine, EngineState};
use slab::Slab;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;

/// One process of an engine. A later process may reuse the address or the index of an earlier process; the generation
/// tells them apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineInstance {
    /// Index of the engine in this table.
    pub engine: usize,
    /// Address on which the process listens.
    pub address: SocketAddrV4,
    /// Sequence number of the process among all processes that this gateway has seen in the list.
    pub generation: u64,
}

/// An entry of the endpoint list.
struct Endpoint {
    entry: EndpointEntry,
    generation: u64,
}

impl Endpoint {
    fn is_gone(&self) -> bool {
        self.entry.state == EngineState::Gone
    }

    fn is_ready(&self) -> bool {
        self.entry.state == EngineState::Ready
    }

    fn process(&self) -> EngineProcess {
        EngineProcess { id: self.entry.id, started_ms: self.entry.started_ms }
    }
}

/// The endpoint list as of the last applied watch event.
#[derive(Default)]
pub struct EngineTable {
    index_by_id: HashMap<u32, usize>,
    endpoints: Slab<Endpoint>,
    last_generation: u64,
    /// Revision of the last applied watch event.
    revision: u64,
}

/// An engine's description to be passed to the policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineUpdate {
    /// Index of the engine in this table.
    pub index: usize,
    /// Attributes of the engine in the endpoint list.
    pub engine: Engine,
}

/// Changes to the endpoint list made by a watch event.
#[derive(Debug, Default, PartialEq)]
pub struct EndpointChanges {
    /// Engines named by the event, and engines that a full list no longer names and that are now gone.
    pub updated: Vec<EngineUpdate>,
    /// Indices of engines whose process was replaced. Connections to the previous process must be closed.
    pub replaced: Vec<usize>,
    /// Indices of engines that are new to the list, and of engines whose process was replaced.
    pub added: Vec<usize>,
}

/// An engine that is listed as ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadyEngine {
    /// Index of the engine in the table.
    pub index: usize,
    /// Id of the engine in the endpoint list.
    pub id: u32,
    /// Attributes of the engine in the endpoint list.
    pub engine: Engine,
}

/// An engine that is listed and not gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PresentEngine {
    /// Index of the engine in the table.
    pub index: usize,
    /// The engine's current process.
    pub process: EngineProcess,
    /// State of the engine in the endpoint list.
    pub state: EngineState,
}

impl EngineTable {
    /// Revision of the last applied watch event; 0 if none was applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the current process of the engine with this index; `None` if the index is unused.
    pub fn instance(&self, engine: usize) -> Option<EngineInstance> {
        let Endpoint { entry, generation } = self.endpoints.get(engine)?;
        Some(EngineInstance { engine, address: entry.address, generation: *generation })
    }

    /// Iterates over all engines that are listed and not gone.
    pub fn present(&self) -> impl Iterator<Item = PresentEngine> + '_ {
        let present = self.endpoints.iter().filter(|(_, endpoint)| !endpoint.is_gone());
        present.map(|(index, endpoint)| PresentEngine {
            index,
            process: endpoint.process(),
            state: endpoint.entry.state,
        })
    }

    /// Returns all engines that are listed as ready.
    pub fn ready(&self) -> Vec<ReadyEngine> {
        let ready = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_ready());
        ready
            .map(|(index, endpoint)| ReadyEngine {
                index,
                id: endpoint.entry.id,
                engine: policy_engine(&endpoint.entry),
            })
            .collect()
    }

    /// Returns the id of the engine with this index; `None` if the index is unused.
    pub fn id(&self, engine: usize) -> Option<u32> {
        self.endpoints.get(engine).map(|endpoint| endpoint.entry.id)
    }

    /// Returns the index of the engine with this id; `None` if the id is unknown.
    pub fn index(&self, id: u32) -> Option<usize> {
        self.index_by_id.get(&id).copied()
    }

    /// Returns the current process of the engine with this index, in the form in which gateways identify processes to
    /// each other.
    pub fn process(&self, engine: usize) -> Option<EngineProcess> {
        self.endpoints.get(engine).map(Endpoint::process)
    }

    /// Returns the index of a process; `None` if the process is gone or was replaced.
    pub fn index_of_process(&self, process: EngineProcess) -> Option<usize> {
        let index = self.index(process.id)?;
        let endpoint = self.endpoints.get(index)?;
        (!endpoint.is_gone() && endpoint.process() == process).then_some(index)
    }

    /// Returns whether a request that was routed to this process may still be sent there. The process must still be
    /// listed under its index. A process that is draining accepts only requests that were routed recently.
    pub fn accepts_attempt(&self, instance: EngineInstance, is_recently_routed: bool) -> bool {
        let endpoint = self.endpoints.get(instance.engine);
        endpoint.is_some_and(|endpoint| {
            endpoint.generation == instance.generation
                && !endpoint.is_gone()
                && (is_recently_routed || endpoint.is_ready())
        })
    }

    /// Returns the indices of engines that the discovery service lists as gone or no longer lists.
    pub fn gone(&self) -> Vec<usize> {
        let gone = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_gone());
        gone.map(|(index, _)| index).collect()
    }

    /// Removes an engine, so that another engine can reuse its index. Without this the table would grow for as long as
    /// the gateway runs.
    pub fn remove(&mut self, engine: usize) {
        if let Some(endpoint) = self.endpoints.try_remove(engine) {
            self.index_by_id.remove(&endpoint.entry.id);
        }
    }

    /// Applies a watch event. An event whose revision is not greater than the current revision is ignored.
    pub fn apply(&mut self, event: &WatchEvent) -> EndpointChanges {
        let mut changes = EndpointChanges::default();
        if event.revision <= self.revision {
            return changes;
        }
        self.revision = event.revision;
        for entry in &event.entries {
            self.apply_entry(entry, &mut changes);
        }
        if event.is_full_list {
            self.mark_unlisted_gone(&mut changes);
        }
        changes
    }

    fn apply_entry(&mut self, entry: &EndpointEntry, changes: &mut EndpointChanges) {
        let Some(index) = self.index(entry.id) else {
            // An engine that is already gone when it first appears in the list is not added.
            if entry.state != EngineState::Gone {
                let index = self.insert(entry);
                changes.added.push(index);
                changes.updated.push(EngineUpdate { index, engine: policy_engine(entry) });
            }
            return;
        };
        let endpoint = &mut self.endpoints[index];
        let previous = std::mem::replace(&mut endpoint.entry, *entry);
        let is_replaced = previous.address != entry.address || previous.started_ms != entry.started_ms;
        if is_replaced {
            self.last_generation += 1;
            endpoint.generation = self.last_generation;
            changes.replaced.push(index);
            changes.added.push(index);
        }
        changes.updated.push(EngineUpdate { index, engine: policy_engine(entry) });
    }

    fn insert(&mut self, entry: &EndpointEntry) -> usize {
        self.last_generation += 1;
        let index = self.endpoints.insert(Endpoint { entry: *entry, generation: self.last_generation });
        self.index_by_id.insert(entry.id, index);
        index
    }

    /// Marks engines as gone that a full list does not name.
    fn mark_unlisted_gone(&mut self, changes: &mut EndpointChanges) {
        let listed: HashSet<usize> = changes.updated.iter().map(|update| update.index).collect();
        for (index, endpoint) in &mut self.endpoints {
            if !endpoint.is_gone() && !listed.contains(&index) {
                endpoint.entry.state = EngineState::Gone;
                changes.updated.push(EngineUpdate { index, engine: policy_engine(&endpoint.entry) });
            }
        }
    }
}

/// Converts an endpoint list entry to the policy's description of an engine.
fn policy_engine(entry: &EndpointEntry) -> Engine {
    Engine {
        zone: entry.zone,
        kind: entry.kind,
        cell: entry.cell,
        state: entry.state,
        start_time: (entry.started_ms > 0).then(|| Timestamp::from_micros(entry.started_ms * 1000)),
    }
}
