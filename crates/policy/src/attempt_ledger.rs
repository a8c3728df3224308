//! What of one key may still run: each attempt from before its first byte until something proves that it neither runs
//! nor can start.

use crate::time::Timestamp;
use crate::types::{AttemptEvidence, LastObservation};

/// The one table of how an attempt can end: whether that proves that nothing of it runs or can start. What a process
/// says proves something only where the same one has the request: a call that was cut off may arrive late, and at the
/// address of an engine that drains, and runs on what it has, another may listen.
pub fn proves_end(evidence: AttemptEvidence) -> bool {
    match evidence.last {
        LastObservation::NotSent => true,
        LastObservation::Declined
        | LastObservation::Ended
        | LastObservation::Stopped
        | LastObservation::Unknown => evidence.same_process,
        LastObservation::Refused | LastObservation::Silent | LastObservation::Lost => false,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    /// None once the request has finished: its index may then be another one's.
    request: Option<usize>,
    attempt: u8,
    engine: usize,
    /// Until when it may run; open while it is in flight.
    may_run_until: Option<Timestamp>,
    /// It had its outcome, and nothing proved its end.
    end_unproven: bool,
}

impl Entry {
    fn is_over(&self, now: Timestamp) -> bool {
        self.may_run_until.is_some_and(|until| until <= now)
    }
}

/// Attempts of one key that may run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct AttemptLedger {
    entries: Vec<Entry>,
}

impl AttemptLedger {
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn open(&mut self, request: usize, attempt: u8, engine: usize) {
        let request = Some(request);
        self.entries.push(Entry { request, attempt, engine, may_run_until: None, end_unproven: false });
    }

    /// Whether nothing of any other request may run.
    pub(crate) fn allows(&self, request: usize, now: Timestamp) -> bool {
        self.entries.iter().all(|entry| entry.request == Some(request) || entry.is_over(now))
    }

    /// The attempt has its outcome, and may run until then.
    pub(crate) fn close(
        &mut self,
        request: usize,
        attempt: u8,
        may_run_until: Timestamp,
        end_unproven: bool,
    ) {
        let closed = |entry: &&mut Entry| entry.request == Some(request) && entry.attempt == attempt;
        for entry in self.entries.iter_mut().filter(closed) {
            entry.may_run_until = Some(may_run_until);
            entry.end_unproven = end_unproven;
        }
    }

    /// Holds what was not seen to end, at engines that meet the condition, until then at least.
    pub(crate) fn hold(&mut self, until: Timestamp, is_draining: impl Fn(usize) -> bool) {
        for entry in self.entries.iter_mut().filter(|entry| entry.end_unproven && is_draining(entry.engine)) {
            entry.may_run_until = entry.may_run_until.max(Some(until));
        }
    }

    /// The request has finished: what may run of it stays, under no index.
    pub(crate) fn forget_request(&mut self, request: usize) {
        for entry in self.entries.iter_mut().filter(|entry| entry.request == Some(request)) {
            entry.request = None;
        }
    }

    pub(crate) fn remove_over(&mut self, now: Timestamp) {
        self.entries.retain(|entry| !entry.is_over(now));
    }
}
