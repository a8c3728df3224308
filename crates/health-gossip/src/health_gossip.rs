//! All that a gateway does with its own observations and the reports of others, but for the network and the judgement:
//! which outcomes count beside its own, and whether it is its turn to probe an ejected engine.

use crate::EngineProcess;
use crate::aggregation::{AggregationSettings, Aggregator, PeerReport};
use crate::counts::{OutcomeCounts, ProcessCounts};
use crate::observation_store::{NewOutcomes, ObservationStore, PeerSummary, Reporter, StoreLimits};
use crate::probe_slots::ProbeSlots;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// An outcome that counts beside this gateway's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerOutcome {
    /// The process.
    pub process: EngineProcess,
    /// Whether it is a bad one.
    pub bad: bool,
}

/// What is known of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessSummary {
    /// What others reported.
    pub peers: PeerSummary,
    /// What this gateway had observed when it last collected outcomes.
    pub own: OutcomeCounts,
}

/// One gateway's part in health gossip.
#[derive(Clone, Debug)]
pub struct HealthGossip {
    store: ObservationStore,
    aggregator: Aggregator,
    /// Where gateways take turns.
    probe_slots: Option<ProbeSlots>,
    /// What this gateway had observed when it last collected outcomes.
    own: BTreeMap<EngineProcess, OutcomeCounts>,
}

impl HealthGossip {
    /// With `probe_slot` one gateway probes an ejected engine in each such time, else each by itself.
    pub fn new(
        limits: StoreLimits,
        aggregation: AggregationSettings,
        probe_slot: Option<Duration>,
    ) -> HealthGossip {
        HealthGossip {
            store: ObservationStore::new(limits),
            aggregator: Aggregator::new(aggregation),
            probe_slots: probe_slot.map(ProbeSlots::new),
            own: BTreeMap::new(),
        }
    }

    /// Takes in a gateway's report of what it observed itself.
    pub fn on_report(
        &mut self,
        reporter: Reporter<'_>,
        number: u64,
        entries: &[ProcessCounts],
        now: Timestamp,
    ) {
        self.store.on_report(reporter, number, entries, now);
    }

    /// Outcomes that count beside this gateway's own since the last call. `own` is all that it observed itself, `live` the
    /// live gateways with their zones; `is_listed` says which processes the endpoint list still names.
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
            let before = self.own.get(process).copied().unwrap_or_default();
            self.record_for_slots(*process, counts.since(before), now);
        }
        self.own = own.iter().map(|entry| (entry.process, entry.counts)).collect();
        self.store.retain(|gateway, _| live.contains_key(gateway), &is_listed);
        self.aggregator.retain(&is_listed, now);
        let zones: BTreeSet<String> = live.values().cloned().collect();
        let mut outcomes = Vec::new();
        for (process, new) in self.store.take_new_outcomes() {
            let reports: Vec<PeerReport> = new.into_iter().map(|new| self.weighed(new)).collect();
            for report in reports.iter().filter(|report| !report.failing_engines.suggests_own_network_fault())
            {
                self.record_for_slots(process, report.new.counts, now);
            }
            let evidence = self.aggregator.aggregate(process, &reports, &zones, now);
            let whole = self.aggregator.whole_outcomes(process, evidence);
            outcomes.extend(whole.map(|bad| PeerOutcome { process, bad }));
        }
        outcomes
    }

    fn record_for_slots(&mut self, process: EngineProcess, new: OutcomeCounts, now: Timestamp) {
        if let Some(probe_slots) = &mut self.probe_slots {
            probe_slots.record(process, new, now);
        }
    }

    fn weighed(&self, new: NewOutcomes) -> PeerReport {
        PeerReport { failing_engines: self.store.failing_engines(&new.gateway), new }
    }

    /// What is known of one process.
    pub fn summary(&self, process: EngineProcess) -> ProcessSummary {
        ProcessSummary {
            peers: self.store.summary(process),
            own: self.own.get(&process).copied().unwrap_or_default(),
        }
    }

    /// Whether this gateway may probe a process that it ejected, among the live gateways.
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
