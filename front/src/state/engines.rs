//! Engines by their ids on the notice board, as the small indices that decisions use.

use crate::wire::board::{Entry, Event};
use larchfall::interface::Engine;
use larchfall::time::At;
use std::collections::HashMap;
use std::net::SocketAddrV4;

#[derive(Default)]
pub struct Engines {
    by_id: HashMap<u32, usize>,
    entries: Vec<Entry>,
    /// The last event that was taken in.
    seen: u64,
}

/// What an event changes.
#[derive(Debug, Default, PartialEq)]
pub struct Changes {
    pub told: Vec<(usize, Engine)>,
    /// A whole list drops what it does not name.
    pub left: Vec<usize>,
    /// Other processes than before: what was connected to the one before is of no more use.
    pub moved: Vec<usize>,
}

impl Engines {
    pub fn seen(&self) -> u64 {
        self.seen
    }

    pub fn address(&self, e: usize) -> SocketAddrV4 {
        self.entries[e].address
    }

    /// A number that was seen already changes nothing.
    pub fn follow(&mut self, event: &Event) -> Changes {
        if event.number <= self.seen {
            return Changes::default();
        }
        self.seen = event.number;
        let mut changes = Changes::default();
        for entry in &event.entries {
            let next = self.entries.len();
            let e = *self.by_id.entry(entry.id).or_insert(next);
            if e == next {
                self.entries.push(*entry);
            }
            let before = std::mem::replace(&mut self.entries[e], *entry);
            if (before.address, before.started_ms) != (entry.address, entry.started_ms) {
                changes.moved.push(e);
            }
            changes.told.push((e, engine(entry)));
        }
        let named = |e: &usize| changes.told.iter().any(|(t, _)| t == e);
        changes.left = (0..self.entries.len()).filter(|e| event.whole && !named(e)).collect();
        changes
    }
}

fn engine(entry: &Entry) -> Engine {
    Engine {
        zone: entry.zone,
        kind: entry.kind,
        cell: entry.cell,
        state: entry.state,
        started: (entry.started_ms > 0).then(|| At::from_micros(entry.started_ms * 1000)),
    }
}
