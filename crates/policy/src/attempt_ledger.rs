//! Attempt ledger of one ordering key: the attempts that may be running at an engine. An attempt is listed from before
//! its first byte is sent until there is proof that it neither runs nor can start, or until it can no longer run.

use crate::time::Timestamp;
use crate::types::{AttemptEvidence, LastObservation};

/// Whether the evidence proves that an attempt neither runs nor can start.
///
/// A reply proves this only when it came from the process that has the attempt. A call on a broken connection may
/// still arrive late, and another process may listen at the address of a draining engine that still runs its attempts.
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

/// One attempt that may be running.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LedgerEntry {
    /// `None` once the request has finished, since its index may then be assigned to another request.
    request: Option<usize>,
    attempt: u8,
    engine: usize,
    /// When the attempt can no longer be running; `None` while it is in flight.
    may_run_until: Option<Timestamp>,
    /// The attempt has an outcome, but nothing proved that it ended.
    end_unproven: bool,
}

impl LedgerEntry {
    fn has_ended(&self, now: Timestamp) -> bool {
        self.may_run_until.is_some_and(|until| until <= now)
    }
}

/// Attempts of one key that may be running.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct AttemptLedger {
    entries: Vec<LedgerEntry>,
}

impl AttemptLedger {
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn record_start(&mut self, request: usize, attempt: u8, engine: usize) {
        let request = Some(request);
        self.entries.push(LedgerEntry { request, attempt, engine, may_run_until: None, end_unproven: false });
    }

    /// Whether no attempt of any other request may be running.
    pub(crate) fn allows_request(&self, request: usize, now: Timestamp) -> bool {
        self.entries.iter().all(|entry| entry.request == Some(request) || entry.has_ended(now))
    }

    /// Records that an attempt has its outcome and may run until `may_run_until`.
    pub(crate) fn record_outcome(
        &mut self,
        request: usize,
        attempt: u8,
        may_run_until: Timestamp,
        end_unproven: bool,
    ) {
        let is_attempt =
            |entry: &&mut LedgerEntry| entry.request == Some(request) && entry.attempt == attempt;
        for entry in self.entries.iter_mut().filter(is_attempt) {
            entry.may_run_until = Some(may_run_until);
            entry.end_unproven = end_unproven;
        }
    }

    /// Extends the time in which attempts without proof of their end may run at draining engines, at least to `until`.
    pub(crate) fn extend_unproven(&mut self, until: Timestamp, is_draining: impl Fn(usize) -> bool) {
        for entry in self.entries.iter_mut().filter(|entry| entry.end_unproven && is_draining(entry.engine)) {
            entry.may_run_until = entry.may_run_until.max(Some(until));
        }
    }

    /// Records that a request has finished. Its attempts that may be running stay listed without the request's index.
    pub(crate) fn detach_request(&mut self, request: usize) {
        for entry in self.entries.iter_mut().filter(|entry| entry.request == Some(request)) {
            entry.request = None;
        }
    }

    pub(crate) fn remove_ended(&mut self, now: Timestamp) {
        self.entries.retain(|entry| !entry.has_ended(now));
    }
}
