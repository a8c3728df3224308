//! This gateway's own sights, and what of them goes into the next letter: the newest changes first, and each told again now and
//! then, since letters are lost.

use crate::{Counts, Lately, Process, faded};
use larchfall_policy::interface::Outcome;
use larchfall_policy::time::Timestamp;
use std::collections::BTreeMap;

/// What happened to a attempt, as far as it tells of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Saw {
    Answered,
    Late,
    Failed,
}

#[derive(Clone, Debug)]
struct Entry {
    counts: Counts,
    /// Answered and failed, as they fade, and when that was worked out.
    lately: (f64, f64),
    at: Timestamp,
    /// Letters since it last changed.
    told: u32,
}

impl Entry {
    fn fade(&mut self, now: Timestamp) {
        let after = now.since(self.at);
        self.lately = (faded(self.lately.0, after), faded(self.lately.1, after));
        self.at = now;
    }
}

impl Saw {
    /// What an outcome tells. A time-out may be load, and what was turned away or called off says nothing of the engine.
    pub fn of(outcome: Outcome) -> Option<Saw> {
        match outcome {
            Outcome::Returned => Some(Saw::Answered),
            Outcome::ConnectFailed | Outcome::Reset | Outcome::Errored => Some(Saw::Failed),
            Outcome::Full | Outcome::TimedOut | Outcome::Cancelled | Outcome::Moot => None,
        }
    }
}

/// Bounded: more processes than `most` are not counted.
#[derive(Clone, Debug)]
pub struct Sights {
    most: usize,
    version: u64,
    entries: BTreeMap<Process, Entry>,
}

/// So often a change is told at once, letter after letter; then in turn with all others.
const AT_ONCE: u32 = 3;

impl Sights {
    pub fn new(most: usize) -> Sights {
        Sights { most, version: 0, entries: BTreeMap::new() }
    }

    pub fn see(&mut self, of: Process, saw: Saw, now: Timestamp) {
        let known = self.entries.contains_key(&of);
        if !known && self.entries.len() >= self.most {
            return;
        }
        let entry = self.entries.entry(of).or_insert(Entry {
            counts: Counts::default(),
            lately: (0.0, 0.0),
            at: now,
            told: 0,
        });
        entry.fade(now);
        let (answered, failed) = &mut entry.lately;
        *if saw == Saw::Failed { failed } else { answered } += 1.0;
        let counts = &mut entry.counts;
        match saw {
            Saw::Answered => counts.answered = counts.answered.saturating_add(1),
            Saw::Late => {
                counts.answered = counts.answered.saturating_add(1);
                counts.late = counts.late.saturating_add(1);
            }
            Saw::Failed => counts.failed = counts.failed.saturating_add(1),
        }
        entry.told = 0;
    }

    /// Processes that are gone leave memory.
    pub fn keep(&mut self, is_there: impl Fn(Process) -> bool) {
        self.entries.retain(|process, _| is_there(*process));
    }

    pub fn of(&self, process: Process) -> Counts {
        self.entries.get(&process).map_or(Counts::default(), |entry| entry.counts)
    }

    pub fn all(&self) -> impl Iterator<Item = (Process, Counts)> + '_ {
        self.entries.iter().map(|(process, entry)| (*process, entry.counts))
    }

    /// The next letter's number, and as many entries as there is room for: what changed and was told least first.
    pub fn to_tell(&mut self, room: usize, now: Timestamp) -> (u64, Vec<(Process, Counts)>) {
        self.version += 1;
        let mut order: Vec<(u32, Process)> = self.entries.iter().map(|(p, e)| (e.told, *p)).collect();
        order.sort();
        let mut told = Vec::new();
        for (_, process) in order.into_iter().take(room) {
            if let Some(entry) = self.entries.get_mut(&process) {
                entry.told = entry.told.saturating_add(1);
                entry.fade(now);
                let lately = Lately::of(entry.lately.0, entry.lately.1);
                told.push((process, Counts { lately, ..entry.counts }));
            }
        }
        // Beyond a few letters all have been told alike often: whoever was told longest ago comes next by its count.
        if self.entries.values().all(|entry| entry.told >= AT_ONCE) {
            self.entries.values_mut().for_each(|entry| entry.told -= AT_ONCE - 1);
        }
        (self.version, told)
    }
}
