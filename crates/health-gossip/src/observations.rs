//! This gateway's own observations of engines, and the reports of them to other gateways. Each report holds first the
//! entries that were sent the fewest times since their last change. Unchanged entries are repeated, because datagrams
//! may be lost.

use crate::EngineProcess;
use crate::counts::{DecayedOutcomes, OutcomeCounts, ProcessCounts};
use larchfall_policy::time::Timestamp;
use larchfall_policy::types::Outcome;
use std::collections::BTreeMap;

/// Number of times that a changed entry is reported with precedence; afterwards all entries are reported in turn.
const PRIORITY_SENDS: u32 = 3;

/// The outcome of an attempt, as evidence about the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The attempt was answered in time.
    Answered,
    /// The attempt was answered after the latency objective.
    Late,
    /// The attempt failed at the connection, or the engine replied with an error.
    Failed,
}

impl Observation {
    /// The observation that follows from an outcome. `None` for a timeout, which may be due to load, and for attempts
    /// that were rejected, cancelled or not sent, which are no evidence about the engine.
    pub fn from_outcome(outcome: Outcome) -> Option<Observation> {
        match outcome {
            Outcome::Returned => Some(Observation::Answered),
            Outcome::ConnectFailed | Outcome::Reset | Outcome::Errored => Some(Observation::Failed),
            Outcome::Rejected | Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => None,
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    counts: OutcomeCounts,
    recent: DecayedOutcomes,
    /// Time to which `recent` has decayed.
    recent_at: Timestamp,
    /// Number of reports with this entry since its last change, reduced whenever all entries were reported often
    /// enough.
    sends: u32,
}

impl Entry {
    fn new(now: Timestamp) -> Entry {
        Entry {
            counts: OutcomeCounts::default(),
            recent: DecayedOutcomes::default(),
            recent_at: now,
            sends: 0,
        }
    }

    fn decay(&mut self, now: Timestamp) {
        self.recent = self.recent.decayed_over(now.since(self.recent_at));
        self.recent_at = now;
    }
}

/// A report of observations to other gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Sequence number, increasing while the gateway's process runs.
    pub number: u64,
    /// Cumulative counts by engine process.
    pub entries: Vec<ProcessCounts>,
}

/// This gateway's own observations of a limited number of engine processes.
#[derive(Clone, Debug)]
pub struct Observations {
    max_processes: usize,
    /// Sequence number of the last report.
    last_report_number: u64,
    entries: BTreeMap<EngineProcess, Entry>,
}

impl Observations {
    /// Creates the observations; outcomes of more than `max_processes` engine processes aren't counted.
    pub fn new(max_processes: usize) -> Observations {
        Observations { max_processes, last_report_number: 0, entries: BTreeMap::new() }
    }

    /// Counts an observation. Ignored for a new process when the maximum number of processes is reached.
    pub fn record(&mut self, process: EngineProcess, observation: Observation, now: Timestamp) {
        let is_known = self.entries.contains_key(&process);
        if !is_known && self.entries.len() >= self.max_processes {
            return;
        }
        let entry = self.entries.entry(process).or_insert_with(|| Entry::new(now));
        entry.decay(now);
        let counts = &mut entry.counts;
        match observation {
            Observation::Answered => {
                counts.answered = counts.answered.saturating_add(1);
                entry.recent.answered += 1.0;
            }
            Observation::Late => {
                counts.answered = counts.answered.saturating_add(1);
                counts.late = counts.late.saturating_add(1);
                entry.recent.answered += 1.0;
            }
            Observation::Failed => {
                counts.failed = counts.failed.saturating_add(1);
                entry.recent.failed += 1.0;
            }
        }
        entry.sends = 0;
    }

    /// Removes engine processes that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(EngineProcess) -> bool) {
        self.entries.retain(|process, _| is_listed(*process));
    }

    /// The counts of one process, without recent outcomes.
    pub fn counts(&self, process: EngineProcess) -> OutcomeCounts {
        self.entries.get(&process).map_or(OutcomeCounts::default(), |entry| entry.counts)
    }

    /// The counts of all processes, without recent outcomes.
    pub fn all(&self) -> impl Iterator<Item = ProcessCounts> + '_ {
        self.entries.iter().map(|(process, entry)| ProcessCounts { process: *process, counts: entry.counts })
    }

    /// Creates the next report with at most `max_entries` entries, those with the fewest reports since their last
    /// change first.
    pub fn next_report(&mut self, max_entries: usize, now: Timestamp) -> Report {
        self.last_report_number += 1;
        let mut order: Vec<EngineProcess> = self.entries.keys().copied().collect();
        order.sort_by_key(|process| self.entries[process].sends);
        let mut entries = Vec::new();
        for process in order.into_iter().take(max_entries) {
            if let Some(entry) = self.entries.get_mut(&process) {
                entry.sends = entry.sends.saturating_add(1);
                entry.decay(now);
                let counts = OutcomeCounts { recent: entry.recent.into(), ..entry.counts };
                entries.push(ProcessCounts { process, counts });
            }
        }
        // When all entries were sent often enough, reducing the counters keeps their order, so that the entries that
        // were sent the longest ago come first in the next reports.
        if self.entries.values().all(|entry| entry.sends >= PRIORITY_SENDS) {
            for entry in self.entries.values_mut() {
                entry.sends -= PRIORITY_SENDS - 1;
            }
        }
        Report { number: self.last_report_number, entries }
    }
}
