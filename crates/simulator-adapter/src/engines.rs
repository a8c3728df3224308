//! Maps engine addresses to the dense indices by which the policy refers to engines.

use crate::wire::EngineAddress;
use crate::wire::event::ListedEngine;
use std::collections::HashMap;

/// Every engine that an endpoint list has named. Engines that leave the list stay, so an index remains valid.
#[derive(Default)]
pub(crate) struct EngineTable {
    engines: Vec<ListedEngine>,
    index_by_address: HashMap<EngineAddress, usize>,
}

impl EngineTable {
    /// Adds an engine, or replaces the entry with the same address, and returns the engine's index.
    pub(crate) fn upsert(&mut self, listed_engine: ListedEngine) -> usize {
        let new_index = self.engines.len();
        let index = *self.index_by_address.entry(listed_engine.address).or_insert(new_index);
        if index == new_index {
            self.engines.push(listed_engine);
        } else {
            self.engines[index] = listed_engine;
        }
        index
    }

    pub(crate) fn len(&self) -> usize {
        self.engines.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &ListedEngine> {
        self.engines.iter()
    }

    pub(crate) fn index_of(&self, address: EngineAddress) -> Option<usize> {
        self.index_by_address.get(&address).copied()
    }

    pub(crate) fn address(&self, index: usize) -> EngineAddress {
        self.engines[index].address
    }
}
