//! Store of the counts that other gateways reported. The counts of each gateway come only from reports of the latest
//! process of that gateway, and for each engine process the report with the highest number wins. Duplicated, late and
//! reordered reports therefore change nothing.

use crate::EngineProcess;
use crate::counts::{OutcomeCounts, ProcessCounts};
use larchfall_policy::time::Timestamp;
use std::collections::BTreeMap;

/// If a gateway reports more than this fraction of engines as failing, the gateway's own network is assumed to be at
/// fault.
const OWN_NETWORK_FAULT_FRACTION: f64 = 0.5;
/// Minimum number of reported engines for the assumption that a gateway's own network is at fault.
const OWN_NETWORK_FAULT_MIN_ENGINES: usize = 3;

/// The latest counts of one engine process by one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    report_number: u64,
    counts: OutcomeCounts,
    /// The part of `counts` that `take_new_outcomes` has already returned.
    taken: OutcomeCounts,
    received_at: Timestamp,
}

/// The counts that one process of a gateway reported.
#[derive(Clone, Debug, PartialEq, Eq)]
struct GatewayCounts {
    generation: u64,
    zone: String,
    entries: BTreeMap<EngineProcess, Entry>,
}

/// The gateway process that sent a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reporter<'a> {
    /// Name of the gateway.
    pub gateway: &'a str,
    /// Generation of the gateway's process; a restarted gateway has a higher generation.
    pub generation: u64,
    /// Zone of the gateway.
    pub zone: &'a str,
}

/// Outcomes at one engine process that one gateway reported since the last call of
/// [`ObservationStore::take_new_outcomes`].
#[derive(Clone, Debug, PartialEq)]
pub struct NewOutcomes {
    /// Name of the reporting gateway.
    pub gateway: String,
    /// Zone of the reporting gateway.
    pub zone: String,
    /// Time when the latest report about the engine process arrived.
    pub received_at: Timestamp,
    /// Increase of the counts; `recent` holds the recent outcomes of the latest report.
    pub counts: OutcomeCounts,
}

/// Totals of the reports of all other gateways about one engine process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerSummary {
    /// Number of gateways that reported outcomes.
    pub gateways: usize,
    /// Number of answered attempts.
    pub answered: u32,
    /// Number of failed attempts.
    pub failed: u32,
    /// Time when the newest report arrived; `None` without reports.
    pub last_report_at: Option<Timestamp>,
}

/// Number of failing engines among the engines that a gateway reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailingEngines {
    /// Number of engines at which more attempts failed than were answered.
    pub failing: usize,
    /// Number of engines with at least one outcome.
    pub total: usize,
}

impl FailingEngines {
    /// Whether so many engines fail that the reporting gateway's own network is probably at fault.
    pub fn suggests_own_network_fault(self) -> bool {
        self.total >= OWN_NETWORK_FAULT_MIN_ENGINES
            && self.failing as f64 > self.total as f64 * OWN_NETWORK_FAULT_FRACTION
    }
}

/// Limits of the store; reports beyond the limits are ignored.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Maximum number of gateways.
    pub gateways: usize,
    /// Maximum number of engine processes for each gateway.
    pub processes: usize,
}

/// Latest reports of other gateways.
#[derive(Clone, Debug)]
pub struct ObservationStore {
    limits: StoreLimits,
    /// By name of the gateway.
    counts_by_gateway: BTreeMap<String, GatewayCounts>,
}

impl ObservationStore {
    /// Creates a store without reports.
    pub fn new(limits: StoreLimits) -> ObservationStore {
        ObservationStore { limits, counts_by_gateway: BTreeMap::new() }
    }

    /// Stores the report with this sequence number from another gateway.
    pub fn on_report(
        &mut self,
        reporter: Reporter<'_>,
        number: u64,
        entries: &[ProcessCounts],
        now: Timestamp,
    ) {
        if !self.counts_by_gateway.contains_key(reporter.gateway)
            && self.counts_by_gateway.len() >= self.limits.gateways
        {
            return;
        }
        let Reporter { gateway, generation, zone } = reporter;
        let no_counts = || GatewayCounts { generation, zone: zone.to_owned(), entries: BTreeMap::new() };
        let stored = self.counts_by_gateway.entry(gateway.to_owned()).or_insert_with(no_counts);
        if generation < stored.generation {
            return;
        }
        if generation > stored.generation {
            // The counts of a restarted gateway start at zero.
            *stored = no_counts();
        }
        let is_first_report = stored.entries.is_empty();
        for ProcessCounts { process, counts } in entries {
            let has_room = stored.entries.len() < self.limits.processes;
            match stored.entries.get_mut(process) {
                Some(entry) if number > entry.report_number => {
                    entry.report_number = number;
                    entry.counts = *counts;
                    entry.received_at = now;
                }
                None if has_room => {
                    // Counts in the first report from a gateway may be about outcomes of long ago, so they aren't new.
                    let taken = if is_first_report { *counts } else { OutcomeCounts::default() };
                    let entry = Entry { report_number: number, counts: *counts, taken, received_at: now };
                    stored.entries.insert(*process, entry);
                }
                Some(_) | None => {}
            }
        }
    }

    /// Removes gateways that are no longer members, and engine processes that are no longer listed. `is_member` gets
    /// the name and the generation of a gateway.
    pub fn retain(
        &mut self,
        is_member: impl Fn(&str, u64) -> bool,
        is_listed: impl Fn(EngineProcess) -> bool,
    ) {
        self.counts_by_gateway.retain(|gateway, stored| is_member(gateway, stored.generation));
        for stored in self.counts_by_gateway.values_mut() {
            stored.entries.retain(|process, _| is_listed(*process));
        }
    }

    /// Returns the outcomes that were reported since the last call, by engine process. Each outcome is returned once.
    pub fn take_new_outcomes(&mut self) -> BTreeMap<EngineProcess, Vec<NewOutcomes>> {
        let mut new: BTreeMap<EngineProcess, Vec<NewOutcomes>> = BTreeMap::new();
        for (gateway, stored) in &mut self.counts_by_gateway {
            for (process, entry) in &mut stored.entries {
                let counts = entry.counts.since(entry.taken);
                entry.taken = entry.counts;
                if !counts.is_empty() {
                    new.entry(*process).or_default().push(NewOutcomes {
                        gateway: gateway.clone(),
                        zone: stored.zone.clone(),
                        received_at: entry.received_at,
                        counts,
                    });
                }
            }
        }
        new
    }

    /// Totals of the reports of all other gateways about one engine process.
    pub fn summary(&self, process: EngineProcess) -> PeerSummary {
        let entries = self.counts_by_gateway.values().filter_map(|stored| stored.entries.get(&process));
        let reported = entries.filter(|entry| entry.counts.total() > 0);
        reported.fold(PeerSummary::default(), |sum, entry| PeerSummary {
            gateways: sum.gateways + 1,
            answered: sum.answered.saturating_add(entry.counts.answered),
            failed: sum.failed.saturating_add(entry.counts.failed),
            last_report_at: sum.last_report_at.max(Some(entry.received_at)),
        })
    }

    /// Number of failing engines among the engines that this gateway reported.
    pub fn failing_engines(&self, gateway: &str) -> FailingEngines {
        let entries =
            || self.counts_by_gateway.get(gateway).into_iter().flat_map(|stored| stored.entries.values());
        FailingEngines {
            failing: entries().filter(|entry| entry.counts.is_failing()).count(),
            total: entries().filter(|entry| entry.counts.total() > 0).count(),
        }
    }
}
