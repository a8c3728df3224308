//! Combines a gateway's own observations with the reports of other gateways. Determines which reported outcomes
//! count, and whether this gateway may probe an ejected engine now. Sending and receiving reports, and ejecting
//! engines, are up to the caller.

use crate::EngineProcess;
use crate::aggregation::{AggregationSettings, Aggregator, PeerReport};
use crate::counts::{OutcomeCounts, ProcessCounts};
use crate::observation_store::{NewOutcomes, ObservationStore, PeerSummary, Reporter, StoreLimits};
use crate::probe_slots::ProbeSlots;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// An outcome from the reports of other gateways, to be counted in addition to this gateway's own outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerOutcome {
    /// The engine process.
    pub process: EngineProcess,
    /// Whether the engine process failed; otherwise it answered.
    pub bad: bool,
}

/// All observations of one engine process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessSummary {
    /// Totals of the reports of other gateways.
    pub peers: PeerSummary,
    /// Counts of this gateway at the last call of [`HealthGossip::take_outcomes`].
    pub own: OutcomeCounts,
}

/// Health gossip state of one gateway.
#[derive(Clone, Debug)]
pub struct HealthGossip {
    store: ObservationStore,
    aggregator: Aggregator,
    /// `None` if each gateway probes ejected engines independently of the others.
    probe_slots: Option<ProbeSlots>,
    /// Counts of this gateway at the last call of `take_outcomes`.
    own_counts: BTreeMap<EngineProcess, OutcomeCounts>,
}

impl HealthGossip {
    /// Creates the state without observations. `probe_slot` is the length of a probe slot, in which one gateway may
    /// probe an ejected engine; with `None`, each gateway probes independently of the others.
    pub fn new(
        limits: StoreLimits,
        aggregation: AggregationSettings,
        probe_slot: Option<Duration>,
    ) -> HealthGossip {
        HealthGossip {
            store: ObservationStore::new(limits),
            aggregator: Aggregator::new(aggregation),
            probe_slots: probe_slot.map(ProbeSlots::new),
            own_counts: BTreeMap::new(),
        }
    }

    /// Stores the report with this sequence number from another gateway.
    pub fn on_report(
        &mut self,
        reporter: Reporter<'_>,
        number: u64,
        entries: &[ProcessCounts],
        now: Timestamp,
    ) {
        self.store.on_report(reporter, number, entries, now);
    }

    /// Returns the outcomes of other gateways that have become known since the last call. `own` are the counts of
    /// this gateway for all processes, `live` maps the names of live gateways to their zones, and `is_listed` tells
    /// whether a process is in the endpoint list.
    pub fn take_outcomes(
        &mut self,
        own: &[ProcessCounts],
        live: &BTreeMap<String, String>,
        is_listed: impl Fn(EngineProcess) -> bool,
        now: Timestamp,
    ) -> Vec<PeerOutcome> {
        if let Some(probe_slots) = &mut self.probe_slots {
            probe_slots.retain(&is_listed);
        }
        for ProcessCounts { process, counts } in own {
            let previous = self.own_counts.get(process).copied().unwrap_or_default();
            self.record_for_probe_slots(*process, counts.since(previous), now);
        }
        self.own_counts = own.iter().map(|entry| (entry.process, entry.counts)).collect();
        self.store.retain(|gateway, _| live.contains_key(gateway), &is_listed);
        self.aggregator.retain(&is_listed, now);
        let zones: BTreeSet<String> = live.values().cloned().collect();
        let mut outcomes = Vec::new();
        for (process, new) in self.store.take_new_outcomes() {
            let reports: Vec<PeerReport> = new.into_iter().map(|new| self.peer_report(new)).collect();
            for report in reports.iter().filter(|report| !report.failing_engines.suggests_own_network_fault())
            {
                self.record_for_probe_slots(process, report.new.counts, now);
            }
            let evidence = self.aggregator.aggregate(process, &reports, &zones, now);
            let whole_outcomes = self.aggregator.whole_outcomes(process, evidence);
            outcomes.extend(whole_outcomes.map(|bad| PeerOutcome { process, bad }));
        }
        outcomes
    }

    fn record_for_probe_slots(&mut self, process: EngineProcess, new: OutcomeCounts, now: Timestamp) {
        if let Some(probe_slots) = &mut self.probe_slots {
            probe_slots.record(process, new, now);
        }
    }

    fn peer_report(&self, new: NewOutcomes) -> PeerReport {
        PeerReport { failing_engines: self.store.failing_engines(&new.gateway), new }
    }

    /// All observations of one engine process.
    pub fn summary(&self, process: EngineProcess) -> ProcessSummary {
        ProcessSummary {
            peers: self.store.summary(process),
            own: self.own_counts.get(&process).copied().unwrap_or_default(),
        }
    }

    /// Whether this gateway may probe a process that it ejected. `live` maps the names of live gateways to their zones.
    pub fn may_probe(
        &self,
        gateway: &str,
        process: EngineProcess,
        live: &BTreeMap<String, String>,
        now: Timestamp,
    ) -> bool {
        let live = live.keys().map(String::as_str);
        self.probe_slots.as_ref().is_none_or(|slots| slots.may_probe(gateway, process, live, now))
    }
}
