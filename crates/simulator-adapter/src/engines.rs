//! Engines by their addresses, as the small indices that decisions use.

use crate::wire::EngineAddress;
use crate::wire::event::ListedEngine;
use std::collections::HashMap;

#[derive(Default)]
pub(crate) struct EngineTable {
    engines: Vec<ListedEngine>,
    by_address: HashMap<EngineAddress, usize>,
}

impl EngineTable {
    /// The index of an engine, which is added where it is not known yet.
    pub(crate) fn update(&mut self, listed: ListedEngine) -> usize {
        let next = self.engines.len();
        let index = *self.by_address.entry(listed.address).or_insert(next);
        if index == next {
            self.engines.push(listed);
        } else {
            self.engines[index] = listed;
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
        self.by_address.get(&address).copied()
    }

    pub(crate) fn address(&self, index: usize) -> EngineAddress {
        self.engines[index].address
    }
}
