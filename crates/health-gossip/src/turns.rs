//! Whose turn it is to try an engine that was left out: one gateway of those that live in each slot of time, by a hash of engine,
//! slot and gateway, so that all who see the same fleet agree without a word, and the engine has one try a slot however large the
//! fleet is. Whoever does not act is followed by another in the next slot. Once somebody had a good answer there, twice as many
//! may try in each slot that follows, so that the whole fleet is back within a few slots and not at one moment; one bad word,
//! and it is one again.

use crate::{Counts, Process};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The slot of a process at this time. Slots of engines begin at different times, so that not all are tried at once.
pub fn slot(of: Process, every: Duration, now: Timestamp) -> u64 {
    let length = every.micros().max(1);
    let phase = xxh3_64(&of.id.to_le_bytes()) % length;
    (now.micros() + phase) / length
}

/// The place of a gateway in the order of a slot: 0 is the first whose turn it is. `living` may name it or not.
pub fn place<'a>(me: &str, of: Process, slot: u64, living: impl Iterator<Item = &'a str>) -> usize {
    let mut key = [0; 20];
    key[..4].copy_from_slice(&of.id.to_le_bytes());
    key[4..12].copy_from_slice(&of.started_ms.to_le_bytes());
    key[12..].copy_from_slice(&slot.to_le_bytes());
    let seed = xxh3_64(&key);
    let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
    let mine = (rank(me), me);
    living.filter(|name| (rank(name), *name) > mine).count()
}

/// What is known of engines that come back. Bounded by the processes that are listed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Turns {
    every: Duration,
    /// Since when only good was heard of a process, here or from others.
    good_since: BTreeMap<Process, Timestamp>,
}

impl Turns {
    /// One try in each such time.
    pub fn new(every: Duration) -> Turns {
        Turns { every, good_since: BTreeMap::new() }
    }

    /// What was newly seen there, by this gateway or by another whose net is sound.
    pub fn see(&mut self, of: Process, new: Counts, now: Timestamp) {
        if new.failed > 0 {
            self.good_since.remove(&of);
        } else if new.answered > 0 {
            self.good_since.entry(of).or_insert(now);
        }
    }

    /// So many gateways may try it in this slot.
    pub fn width(&self, of: Process, now: Timestamp) -> usize {
        let Some(since) = self.good_since.get(&of) else { return 1 };
        let slots = slot(of, self.every, now).saturating_sub(slot(of, self.every, *since));
        1_usize.checked_shl(slots.min(usize::BITS.into()) as u32).unwrap_or(usize::MAX)
    }

    /// Whether this gateway may try it now. Clocks that differ, or views of the fleet, make two of them try in one slot at worst,
    /// or none: trying twice is harmless, and the next slot has another. A gateway that knows of nobody else tries by itself.
    pub fn may_try<'a>(
        &self,
        me: &str,
        of: Process,
        living: impl Iterator<Item = &'a str>,
        now: Timestamp,
    ) -> bool {
        place(me, of, slot(of, self.every, now), living) < self.width(of, now)
    }

    /// Engines that are gone leave memory.
    pub fn keep(&mut self, is_there: impl Fn(Process) -> bool) {
        self.good_since.retain(|process, _| is_there(*process));
    }
}
