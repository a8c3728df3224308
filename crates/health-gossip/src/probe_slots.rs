//! Probe slots: which gateways may probe an ejected engine, and when.
//!
//! In each probe slot, one of the live gateways may probe the engine. A hash of engine process, slot and gateway
//! selects the gateway, so that all gateways with the same view of the fleet agree without messages, and an engine
//! gets one probe in each slot however large the fleet is. If the selected gateway doesn't probe, another gateway is
//! selected for the next slot. After a good answer, the number of gateways that may probe doubles in each following
//! slot: the whole fleet returns to the engine within a few slots, but not all at once. After a failure, again only
//! one gateway may probe.

use crate::EngineProcess;
use crate::counts::OutcomeCounts;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of the probe slot of an engine process at `now`. Slots of different engines start at different times,
/// so that not all engines are probed at once.
pub fn slot(process: EngineProcess, slot_length: Duration, now: Timestamp) -> u64 {
    let length_us = slot_length.micros().max(1);
    let phase_us = xxh3_64(&process.id.to_le_bytes()) % length_us;
    (now.micros() + phase_us) / length_us
}

/// A gateway's position in the order of gateways for a slot, starting at 0. `live` holds the names of the live
/// gateways, with or without `gateway` itself.
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

/// Decides when this gateway may probe ejected engines. Keeps one timestamp for each recovering engine process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProbeSlots {
    slot_length: Duration,
    /// Start of the period in which this and other gateways observed only good outcomes of a process.
    healthy_since: BTreeMap<EngineProcess, Timestamp>,
}

impl ProbeSlots {
    /// Creates probe slots of this length.
    pub fn new(slot_length: Duration) -> ProbeSlots {
        ProbeSlots { slot_length, healthy_since: BTreeMap::new() }
    }

    /// Records new outcomes that this gateway observed, or another gateway whose own network isn't at fault.
    pub fn record(&mut self, process: EngineProcess, new: OutcomeCounts, now: Timestamp) {
        if new.failed > 0 {
            self.healthy_since.remove(&process);
        } else if new.answered > 0 {
            self.healthy_since.entry(process).or_insert(now);
        }
    }

    /// Number of gateways that may probe the process in the slot of `now`.
    pub fn allowed_gateways(&self, process: EngineProcess, now: Timestamp) -> usize {
        let Some(healthy_since) = self.healthy_since.get(&process) else { return 1 };
        let first_slot = slot(process, self.slot_length, *healthy_since);
        let slots_since = slot(process, self.slot_length, now).saturating_sub(first_slot);
        1_usize.checked_shl(slots_since.min(usize::BITS.into()) as u32).unwrap_or(usize::MAX)
    }

    /// Whether this gateway may probe the process now. `live` holds the names of the live gateways. If clocks or
    /// views of the fleet differ between gateways, two gateways or none may probe in a slot. Two probes are harmless,
    /// and in the next slot another gateway is selected. A gateway that knows no other gateway may always probe.
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

    /// Removes engine processes that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(EngineProcess) -> bool) {
        self.healthy_since.retain(|process, _| is_listed(*process));
    }
}
