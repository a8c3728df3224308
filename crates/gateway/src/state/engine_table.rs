//! Engines by their id in the discovery service's list, and by the small index under which the policy knows them.

use crate::codec::discovery::{EndpointEntry, WatchEvent};
use larchfall_health_gossip::EngineProcess;
use larchfall_policy::time::Timestamp;
use larchfall_policy::types::{Engine, EngineState};
use slab::Slab;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;

/// One process of an engine. Another process may come to the same address, or under the same index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineInstance {
    /// The engine's index.
    pub engine: usize,
    /// Where the process listens.
    pub address: SocketAddrV4,
    /// Its number among all processes that were ever listed.
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

/// The endpoint list as of the last discovery event.
#[derive(Default)]
pub struct EngineTable {
    index_by_id: HashMap<u32, usize>,
    endpoints: Slab<Endpoint>,
    generations: u64,
    /// The number of the last event that was applied.
    revision: u64,
}

/// What the policy is to be told of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineUpdate {
    /// The engine's index.
    pub index: usize,
    /// What the list says of it.
    pub engine: Engine,
}

/// What an event changed.
#[derive(Debug, Default, PartialEq)]
pub struct EndpointChanges {
    /// All engines that the event told of, or dropped.
    pub updated: Vec<EngineUpdate>,
    /// Indices under which there is another process than before: connections to the one before are of no more use.
    pub replaced: Vec<usize>,
    /// Indices of engines that were not listed before, or as another process.
    pub added: Vec<usize>,
}

/// An engine that is listed as ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadyEngine {
    /// Its index.
    pub index: usize,
    /// Its id in the list.
    pub id: u32,
    /// What the list says of it.
    pub engine: Engine,
}

/// An engine that is listed and not gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PresentEngine {
    /// Its index.
    pub index: usize,
    /// The process that is listed.
    pub process: EngineProcess,
    /// Its state in the list.
    pub state: EngineState,
}

impl EngineTable {
    /// The number of the last event that was applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The process that has this index.
    pub fn instance(&self, engine: usize) -> Option<EngineInstance> {
        let Endpoint { entry, generation } = self.endpoints.get(engine)?;
        Some(EngineInstance { engine, address: entry.address, generation: *generation })
    }

    /// All engines that are listed and not gone.
    pub fn present(&self) -> impl Iterator<Item = PresentEngine> + '_ {
        let present = self.endpoints.iter().filter(|(_, endpoint)| !endpoint.is_gone());
        present.map(|(index, endpoint)| PresentEngine {
            index,
            process: endpoint.process(),
            state: endpoint.entry.state,
        })
    }

    /// All engines that are listed as ready.
    pub fn ready(&self) -> Vec<ReadyEngine> {
        let ready = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_ready());
        ready
            .map(|(index, endpoint)| ReadyEngine {
                index,
                id: endpoint.entry.id,
                engine: engine_of(&endpoint.entry),
            })
            .collect()
    }

    /// The id of the engine that has this index.
    pub fn id(&self, engine: usize) -> Option<u32> {
        self.endpoints.get(engine).map(|endpoint| endpoint.entry.id)
    }

    /// The index of the engine that has this id.
    pub fn index(&self, id: u32) -> Option<usize> {
        self.index_by_id.get(&id).copied()
    }

    /// The process that has this index, as gateways name it to each other.
    pub fn process(&self, engine: usize) -> Option<EngineProcess> {
        self.endpoints.get(engine).map(Endpoint::process)
    }

    /// The index of a process, unless it is gone or was replaced.
    pub fn index_of_process(&self, process: EngineProcess) -> Option<usize> {
        let index = self.index(process.id)?;
        let endpoint = self.endpoints.get(index)?;
        (!endpoint.is_gone() && endpoint.process() == process).then_some(index)
    }

    /// Whether what was routed to this process may still be sent there: it is still listed under its index, and where
    /// it drains by now, the request was routed recently.
    pub fn accepts(&self, instance: EngineInstance, is_recently_routed: bool) -> bool {
        let endpoint = self.endpoints.get(instance.engine);
        endpoint.is_some_and(|endpoint| {
            endpoint.generation == instance.generation
                && !endpoint.is_gone()
                && (is_recently_routed || endpoint.is_ready())
        })
    }

    /// Indices of engines that the discovery service lists as gone, or no longer lists.
    pub fn gone(&self) -> Vec<usize> {
        let gone = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_gone());
        gone.map(|(index, _)| index).collect()
    }

    /// Frees an index for another engine: engines come and go for as long as a gateway runs.
    pub fn remove(&mut self, engine: usize) {
        if let Some(endpoint) = self.endpoints.try_remove(engine) {
            self.index_by_id.remove(&endpoint.entry.id);
        }
    }

    /// Applies an event. One with a number that is not above the present revision changes nothing.
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
            self.drop_unlisted(&mut changes);
        }
        changes
    }

    fn apply_entry(&mut self, entry: &EndpointEntry, changes: &mut EndpointChanges) {
        let Some(index) = self.index(entry.id) else {
            // An engine that is gone before it was heard of is never known.
            if entry.state != EngineState::Gone {
                let index = self.insert(entry);
                changes.added.push(index);
                changes.updated.push(EngineUpdate { index, engine: engine_of(entry) });
            }
            return;
        };
        let endpoint = &mut self.endpoints[index];
        let before = std::mem::replace(&mut endpoint.entry, *entry);
        let is_replaced = before.address != entry.address || before.started_ms != entry.started_ms;
        if is_replaced {
            self.generations += 1;
            endpoint.generation = self.generations;
            changes.replaced.push(index);
            changes.added.push(index);
        }
        changes.updated.push(EngineUpdate { index, engine: engine_of(entry) });
    }

    fn insert(&mut self, entry: &EndpointEntry) -> usize {
        self.generations += 1;
        let index = self.endpoints.insert(Endpoint { entry: *entry, generation: self.generations });
        self.index_by_id.insert(entry.id, index);
        index
    }

    /// A complete list drops what it does not name.
    fn drop_unlisted(&mut self, changes: &mut EndpointChanges) {
        let listed: HashSet<usize> = changes.updated.iter().map(|update| update.index).collect();
        for (index, endpoint) in &mut self.endpoints {
            if !endpoint.is_gone() && !listed.contains(&index) {
                endpoint.entry.state = EngineState::Gone;
                changes.updated.push(EngineUpdate { index, engine: engine_of(&endpoint.entry) });
            }
        }
    }
}

fn engine_of(entry: &EndpointEntry) -> Engine {
    Engine {
        zone: entry.zone,
        kind: entry.kind,
        cell: entry.cell,
        state: entry.state,
        start_time: (entry.started_ms > 0).then(|| Timestamp::from_micros(entry.started_ms * 1000)),
    }
}
