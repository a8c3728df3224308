//! This gateway's own observations, and what of them goes into the next report: what changed and was sent least first, and
//! each again now and then, since datagrams are lost.

use crate::EngineProcess;
use crate::counts::{DecayedOutcomes, OutcomeCounts, ProcessCounts};
use larchfall_policy::time::Timestamp;
use larchfall_policy::types::Outcome;
use std::collections::BTreeMap;

/// A change goes into this many reports one after the other; then it takes turns with all others.
const IMMEDIATE_SENDS: u32 = 3;

/// What happened to an attempt, as far as it tells of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It was answered.
    Answered,
    /// It was answered after the latency objective.
    Late,
    /// It failed.
    Failed,
}

impl Observation {
    /// What an outcome tells. A time-out may be load, and what was rejected or cancelled says nothing of the engine.
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
    /// When `recent` was computed.
    recent_at: Timestamp,
    /// Reports since it last changed.
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

/// What goes into a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Grows with each report of this process.
    pub number: u64,
    /// What was observed so far.
    pub entries: Vec<ProcessCounts>,
}

/// All that this gateway observed itself, of a bounded number of processes.
#[derive(Clone, Debug)]
pub struct Observations {
    max_processes: usize,
    last_report: u64,
    entries: BTreeMap<EngineProcess, Entry>,
}

impl Observations {
    /// Processes beyond `max_processes` are not counted.
    pub fn new(max_processes: usize) -> Observations {
        Observations { max_processes, last_report: 0, entries: BTreeMap::new() }
    }

    /// Counts an observation.
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

    /// Forgets processes that are not listed any more.
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

    /// The next report, of at most so many entries: what changed and was sent least first.
    pub fn next_report(&mut self, max_entries: usize, now: Timestamp) -> Report {
        self.last_report += 1;
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
        // Once all were sent often enough they take turns: the counts keep who was sent longest ago in front.
        if self.entries.values().all(|entry| entry.sends >= IMMEDIATE_SENDS) {
            for entry in self.entries.values_mut() {
                entry.sends -= IMMEDIATE_SENDS - 1;
            }
        }
        Report { number: self.last_report, entries }
    }
}
