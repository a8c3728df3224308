//! Engines by their ids on the discovery service, as the small indices that decisions use.

use crate::wire::discovery::{Entry, Event};
use larchfall_health_gossip::EngineProcess;
use larchfall_policy::interface::{Engine, EngineState};
use larchfall_policy::time::Timestamp;
use slab::Slab;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;

/// Where a process listens, and its number among all that there were: another may come to the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Home {
    pub address: SocketAddrV4,
    pub era: u64,
}

struct Listed {
    entry: Entry,
    era: u64,
}

impl Listed {
    fn is_gone(&self) -> bool {
        self.entry.state == EngineState::Gone
    }
}

#[derive(Default)]
pub struct Engines {
    by_id: HashMap<u32, usize>,
    listed: Slab<Listed>,
    eras: u64,
    /// The last event that was taken in.
    seen: u64,
}

/// What an event changes.
#[derive(Debug, Default, PartialEq)]
pub struct Changes {
    pub told: Vec<(usize, Engine)>,
    /// Other processes than before: what was connected to the one before is of no more use.
    pub moved: Vec<usize>,
    /// Among those told, the ones that were not listed before, or as another process.
    pub new: Vec<usize>,
}

impl Engines {
    pub fn seen(&self) -> u64 {
        self.seen
    }

    pub fn home(&self, e: usize) -> Option<Home> {
        self.listed.get(e).map(|l| Home { address: l.entry.address, era: l.era })
    }

    /// How many are listed and not gone, and those that are ready, with their ids.
    pub fn listed(&self) -> (usize, Vec<(usize, u32)>) {
        let ready = self.listed.iter().filter(|(_, l)| l.entry.state == EngineState::Ready);
        let listed = self.listed.iter().filter(|(_, l)| !l.is_gone()).count();
        (listed, ready.map(|(e, l)| (e, l.entry.id)).collect())
    }

    /// Those that are ready: index, id, and what the list says of them.
    pub fn ready(&self) -> Vec<(usize, u32, Engine)> {
        let ready = self.listed.iter().filter(|(_, l)| l.entry.state == EngineState::Ready);
        ready.map(|(e, l)| (e, l.entry.id, engine(&l.entry))).collect()
    }

    pub fn id(&self, e: usize) -> Option<u32> {
        self.listed.get(e).map(|l| l.entry.id)
    }

    /// The process that has this index.
    pub fn process(&self, e: usize) -> Option<EngineProcess> {
        self.listed.get(e).map(|l| EngineProcess { id: l.entry.id, started_ms: l.entry.started_ms })
    }

    pub fn of_process(&self, process: EngineProcess) -> Option<usize> {
        let e = self.of_id(process.id)?;
        self.listed.get(e).filter(|l| !l.is_gone() && l.entry.started_ms == process.started_ms).map(|_| e)
    }

    pub fn processes(&self) -> Vec<EngineProcess> {
        let there = self.listed.iter().filter(|(_, l)| !l.is_gone());
        there.filter_map(|(e, _)| self.process(e)).collect()
    }

    /// Index, process and state of all that are not gone.
    pub fn standing(&self) -> impl Iterator<Item = (usize, EngineProcess, EngineState)> + '_ {
        let there = self.listed.iter().filter(|(_, l)| !l.is_gone());
        there.filter_map(|(e, l)| Some((e, self.process(e)?, l.entry.state)))
    }

    pub fn of_id(&self, id: u32) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    /// Whether what was picked for this process may still be sent there: the list has neither moved nor dropped
    /// it, and where it drains by now, the pick is `fresh`.
    pub fn is_open(&self, e: usize, home: Home, fresh: bool) -> bool {
        let listed = self.listed.get(e).filter(|l| l.era == home.era && !l.is_gone());
        listed.is_some_and(|l| fresh || l.entry.state == EngineState::Ready)
    }

    /// Those that the discovery service calls gone.
    pub fn gone(&self) -> Vec<usize> {
        self.listed.iter().filter(|(_, l)| l.is_gone()).map(|(e, _)| e).collect()
    }

    /// An index is free for another: engines come and go for as long as a gateway runs.
    pub fn forget(&mut self, e: usize) {
        if let Some(listed) = self.listed.try_remove(e) {
            self.by_id.remove(&listed.entry.id);
        }
    }

    /// A number that was seen already changes nothing.
    pub fn follow(&mut self, event: &Event) -> Changes {
        if event.number <= self.seen {
            return Changes::default();
        }
        self.seen = event.number;
        let mut changes = Changes::default();
        for entry in &event.entries {
            let e = match self.by_id.get(&entry.id) {
                Some(e) => *e,
                // Gone before it was heard of.
                None if entry.state == EngineState::Gone => continue,
                None => {
                    self.eras += 1;
                    let e = self.listed.insert(Listed { entry: *entry, era: self.eras });
                    self.by_id.insert(entry.id, e);
                    changes.new.push(e);
                    e
                }
            };
            let listed = &mut self.listed[e];
            let before = std::mem::replace(&mut listed.entry, *entry);
            if (before.address, before.started_ms) != (entry.address, entry.started_ms) {
                self.eras += 1;
                listed.era = self.eras;
                changes.moved.push(e);
                changes.new.push(e);
            }
            changes.told.push((e, engine(entry)));
        }
        // A whole list drops what it does not name.
        let named: HashSet<usize> = changes.told.iter().map(|(e, _)| *e).collect();
        for (e, listed) in self.listed.iter_mut().filter(|_| event.whole) {
            if !listed.is_gone() && !named.contains(&e) {
                listed.entry.state = EngineState::Gone;
                changes.told.push((e, engine(&listed.entry)));
            }
        }
        changes
    }
}

fn engine(entry: &Entry) -> Engine {
    Engine {
        zone: entry.zone,
        kind: entry.kind,
        cell: entry.cell,
        state: entry.state,
        started: (entry.started_ms > 0).then(|| Timestamp::from_micros(entry.started_ms * 1000)),
    }
}
