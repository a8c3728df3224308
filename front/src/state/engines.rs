//! Engines by their ids on the notice board, as the small indices that decisions use.

use crate::wire::board::{Entry, Event};
use larchfall::interface::Engine;
use larchfall::time::At;
use std::collections::HashMap;
use std::net::SocketAddrV4;

#[derive(Default)]
pub struct Engines {
    by_id: HashMap<u32, usize>,
    addresses: Vec<SocketAddrV4>,
    /// The last event that was taken in.
    seen: u64,
}

/// What an event changes.
#[derive(Debug, Default, PartialEq)]
pub struct Changes {
    pub told: Vec<(usize, Engine)>,
    /// A whole list drops what it does not name.
    pub left: Vec<usize>,
}

impl Engines {
    pub fn seen(&self) -> u64 {
        self.seen
    }

    pub fn address(&self, e: usize) -> SocketAddrV4 {
        self.addresses[e]
    }

    /// A number that was seen already changes nothing.
    pub fn follow(&mut self, event: &Event) -> Changes {
        if event.number <= self.seen {
            return Changes::default();
        }
        self.seen = event.number;
        let told: Vec<_> = event.entries.iter().map(|entry| (self.index(entry), engine(entry))).collect();
        let named = |e: &usize| told.iter().any(|(t, _)| t == e);
        let left = (0..self.addresses.len()).filter(|e| event.whole && !named(e)).collect();
        Changes { told, left }
    }

    fn index(&mut self, entry: &Entry) -> usize {
        let next = self.addresses.len();
        let e = *self.by_id.entry(entry.id).or_insert(next);
        if e == next {
            self.addresses.push(entry.address);
        }
        self.addresses[e] = entry.address;
        e
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
