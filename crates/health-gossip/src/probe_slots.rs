//! Whose turn it is to probe an ejected engine.
//!
//! In each slot of time it is one gateway of those that are live, by a hash of engine, slot and gateway: all that see the
//! same fleet agree without a message, and the engine has one probe a slot however large the fleet is. A gateway that does
//! not act is followed by another in the next slot. Once somebody had a good answer, twice as many may probe in each slot
//! that follows, so that the whole fleet is back within a few slots and not at one moment; after a failure it is one again.

use crate::EngineProcess;
use crate::counts::OutcomeCounts;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The slot of a process at this time. Slots of engines begin at different times, so that not all are probed at once.
pub fn slot(process: EngineProcess, slot_length: Duration, now: Timestamp) -> u64 {
    let length_us = slot_length.micros().max(1);
    let phase_us = xxh3_64(&process.id.to_le_bytes()) % length_us;
    (now.micros() + phase_us) / length_us
}

/// A gateway's rank in the order of a slot: 0 is the first whose turn it is. `live` may name it or not.
pub fn rank<'a>(
    gateway: &str,
    process: EngineProcess,
    slot: u64,
    live: impl Iterator<Item = &'a str>,
) -> usize {
    let mut key = [0; 20];
    key[..4].copy_from_slice(&process.id.to_le_bytes());
    key[4..12].copy_from_slice(&process.started_ms.to_le_bytes());
    key[12..].copy_from_slice(&slot.to_le_bytes());
    let seed = xxh3_64(&key);
    let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
    let own = (score(gateway), gateway);
    live.filter(|name| (score(name), *name) > own).count()
}

/// What is known of engines that recover. Bounded by the processes that are listed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProbeSlots {
    slot_length: Duration,
    /// Since when only good outcomes of a process were observed, here or by others.
    good_since: BTreeMap<EngineProcess, Timestamp>,
}

impl ProbeSlots {
    /// One probe in each such time.
    pub fn new(slot_length: Duration) -> ProbeSlots {
        ProbeSlots { slot_length, good_since: BTreeMap::new() }
    }

    /// Takes in what was newly observed, by this gateway or by another whose network is not at fault.
    pub fn record(&mut self, process: EngineProcess, new: OutcomeCounts, now: Timestamp) {
        if new.failed > 0 {
            self.good_since.remove(&process);
        } else if new.answered > 0 {
            self.good_since.entry(process).or_insert(now);
        }
    }

    /// How many gateways may probe it in this slot.
    pub fn allowed_gateways(&self, process: EngineProcess, now: Timestamp) -> usize {
        let Some(since) = self.good_since.get(&process) else { return 1 };
        let first_slot = slot(process, self.slot_length, *since);
        let slots = slot(process, self.slot_length, now).saturating_sub(first_slot);
        1_usize.checked_shl(slots.min(usize::BITS.into()) as u32).unwrap_or(usize::MAX)
    }

    /// Whether this gateway may probe it now. With clocks or views of the fleet that differ, two or none probe in one slot
    /// at worst: two are harmless, and the next slot has another. A gateway that knows of nobody else probes by itself.
    pub fn may_probe<'a>(
        &self,
        gateway: &str,
        process: EngineProcess,
        live: impl Iterator<Item = &'a str>,
        now: Timestamp,
    ) -> bool {
        let slot = slot(process, self.slot_length, now);
        rank(gateway, process, slot, live) < self.allowed_gateways(process, now)
    }

    /// Forgets processes that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(EngineProcess) -> bool) {
        self.good_since.retain(|process, _| is_listed(*process));
    }
}
