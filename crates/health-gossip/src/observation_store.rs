//! What other gateways reported. Each gateway is the only writer of its own page, a page is of one process of that gateway,
//! and of two reports about one engine the later one's counts stand: duplicated, late and reordered reports change nothing.

use crate::EngineProcess;
use crate::counts::{OutcomeCounts, ProcessCounts};
use larchfall_policy::time::Timestamp;
use std::collections::BTreeMap;

/// Above this part of the engines that a gateway reports as failing, its own network is at fault.
const OWN_NETWORK_FRACTION: f64 = 0.5;
/// Engines that a gateway must have reported for that.
const OWN_NETWORK_MIN_ENGINES: usize = 3;

/// The latest counts of one engine by one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Line {
    report_number: u64,
    counts: OutcomeCounts,
    /// What of them was taken already.
    taken: OutcomeCounts,
    received_at: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Page {
    generation: u64,
    zone: String,
    lines: BTreeMap<EngineProcess, Line>,
}

/// The process of a gateway that sent a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reporter<'a> {
    /// Its name.
    pub gateway: &'a str,
    /// Its generation.
    pub generation: u64,
    /// Its zone.
    pub zone: &'a str,
}

/// What is new of one engine by one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct NewOutcomes {
    /// The gateway's name.
    pub gateway: String,
    /// Its zone.
    pub zone: String,
    /// When its report came.
    pub received_at: Timestamp,
    /// What is new.
    pub counts: OutcomeCounts,
}

/// What all others together reported of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerSummary {
    /// Gateways that reported outcomes.
    pub gateways: usize,
    /// Attempts that were answered.
    pub answered: u32,
    /// Attempts that failed.
    pub failed: u32,
    /// When the newest report came.
    pub last_report_at: Option<Timestamp>,
}

/// How many of the engines that a gateway reported it finds failing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailingEngines {
    /// Engines that mostly fail.
    pub failing: usize,
    /// Engines with any outcome.
    pub total: usize,
}

impl FailingEngines {
    /// Whether so many fail that the gateway's own network is at fault.
    pub fn suggests_own_network_fault(self) -> bool {
        self.total >= OWN_NETWORK_MIN_ENGINES
            && self.failing as f64 > self.total as f64 * OWN_NETWORK_FRACTION
    }
}

/// Bounds of what is stored: more is ignored.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Gateways whose reports are stored.
    pub gateways: usize,
    /// Engine processes of each.
    pub processes: usize,
}

/// What other gateways reported.
#[derive(Clone, Debug)]
pub struct ObservationStore {
    limits: StoreLimits,
    pages: BTreeMap<String, Page>,
}

impl ObservationStore {
    /// A store without reports.
    pub fn new(limits: StoreLimits) -> ObservationStore {
        ObservationStore { limits, pages: BTreeMap::new() }
    }

    /// Takes in a gateway's report of what it observed itself.
    pub fn on_report(
        &mut self,
        reporter: Reporter<'_>,
        number: u64,
        entries: &[ProcessCounts],
        now: Timestamp,
    ) {
        if !self.pages.contains_key(reporter.gateway) && self.pages.len() >= self.limits.gateways {
            return;
        }
        let Reporter { gateway, generation, zone } = reporter;
        let new_page = || Page { generation, zone: zone.to_owned(), lines: BTreeMap::new() };
        let page = self.pages.entry(gateway.to_owned()).or_insert_with(new_page);
        if generation < page.generation {
            return;
        }
        if generation > page.generation {
            // Another process of that gateway counts from nothing.
            *page = new_page();
        }
        let is_first = page.lines.is_empty();
        for ProcessCounts { process, counts } in entries {
            let has_room = page.lines.len() < self.limits.processes;
            match page.lines.get_mut(process) {
                Some(line) if number > line.report_number => {
                    line.report_number = number;
                    line.counts = *counts;
                    line.received_at = now;
                }
                None if has_room => {
                    // What it observed before this gateway first heard of it may be of long ago: that is no news.
                    let taken = if is_first { *counts } else { OutcomeCounts::default() };
                    let line = Line { report_number: number, counts: *counts, taken, received_at: now };
                    page.lines.insert(*process, line);
                }
                Some(_) | None => {}
            }
        }
    }

    /// Forgets gateways that are no members any more, and processes that are not listed any more.
    pub fn retain(
        &mut self,
        is_member: impl Fn(&str, u64) -> bool,
        is_listed: impl Fn(EngineProcess) -> bool,
    ) {
        self.pages.retain(|gateway, page| is_member(gateway, page.generation));
        for page in self.pages.values_mut() {
            page.lines.retain(|process, _| is_listed(*process));
        }
    }

    /// Takes what is new since the last time, by process: each outcome once.
    pub fn take_new_outcomes(&mut self) -> BTreeMap<EngineProcess, Vec<NewOutcomes>> {
        let mut new: BTreeMap<EngineProcess, Vec<NewOutcomes>> = BTreeMap::new();
        for (gateway, page) in &mut self.pages {
            for (process, line) in &mut page.lines {
                let counts = line.counts.since(line.taken);
                line.taken = line.counts;
                if !counts.is_empty() {
                    new.entry(*process).or_default().push(NewOutcomes {
                        gateway: gateway.clone(),
                        zone: page.zone.clone(),
                        received_at: line.received_at,
                        counts,
                    });
                }
            }
        }
        new
    }

    /// What all others together reported of a process.
    pub fn summary(&self, process: EngineProcess) -> PeerSummary {
        let lines = self.pages.values().filter_map(|page| page.lines.get(&process));
        let reported = lines.filter(|line| line.counts.total() > 0);
        reported.fold(PeerSummary::default(), |sum, line| PeerSummary {
            gateways: sum.gateways + 1,
            answered: sum.answered.saturating_add(line.counts.answered),
            failed: sum.failed.saturating_add(line.counts.failed),
            last_report_at: sum.last_report_at.max(Some(line.received_at)),
        })
    }

    /// How many of the engines that a gateway reported it finds failing.
    pub fn failing_engines(&self, gateway: &str) -> FailingEngines {
        let lines = || self.pages.get(gateway).into_iter().flat_map(|page| page.lines.values());
        FailingEngines {
            failing: lines().filter(|line| line.counts.is_failing()).count(),
            total: lines().filter(|line| line.counts.total() > 0).count(),
        }
    }
}
