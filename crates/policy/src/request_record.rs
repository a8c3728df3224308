//! State of a request, from its admission until it has its final answer and no attempt in flight.

use crate::idempotency::PossibleRun;
use crate::time::{Duration, Timestamp};
use crate::types::{Engine, ProgressUpdate, Request};

/// How long attempts may still begin for a client whose connections are closed. Clients may use a new connection for each
/// call; an attempt must have come whole to its engine within 100 ms after its client has left.
const CLIENT_ABSENCE_GRACE: Duration = Duration::from_millis(50);

/// An attempt that was sent and has no outcome yet.
#[derive(Default)]
pub(crate) struct AttemptInFlight {
    pub number: u8,
    pub engine: usize,
    pub sent_time: Timestamp,
    /// When the attempt was sent or its engine last sent a progress update on it.
    pub heard_time: Timestamp,
    pub cancelled: bool,
    /// Total duration extrapolated from the last progress update; `None` before the first update with a fraction done.
    pub predicted_duration: Option<Duration>,
    /// Memory granted to the attempt in MB; `None` if the engine decides.
    pub memory_grant_mb: Option<f64>,
    pub spilled: bool,
    /// The connection broke or stalled, so that the duration does not show the load of the engine.
    pub connection_lost: bool,
    /// The attempt waited for a data lock that another request held, which is no sign of overload.
    pub waited_for_lock: bool,
}

impl AttemptInFlight {
    /// Whether progress updates on the attempt are overdue; never where `update_overdue_after` is `None`.
    pub(crate) fn is_silent(&self, update_overdue_after: Option<Duration>, now: Timestamp) -> bool {
        update_overdue_after.is_some_and(|overdue| now.since(self.heard_time) > overdue)
    }

    /// Records a progress update.
    pub(crate) fn record_progress(&mut self, update: ProgressUpdate, now: Timestamp) {
        self.heard_time = now;
        match update {
            ProgressUpdate::FractionDone(fraction) if fraction > 0.0 => {
                let elapsed = now.since(self.sent_time);
                self.predicted_duration = Some(elapsed * fraction.min(1.0).recip());
            }
            ProgressUpdate::SpillsMb(_) => self.spilled = true,
            ProgressUpdate::WaitsForDataLock => self.waited_for_lock = true,
            ProgressUpdate::FractionDone(_)
            | ProgressUpdate::WaitsForMemory
            | ProgressUpdate::ConnectionLost => {}
        }
    }
}

/// An admitted request and its attempts.
#[derive(Default)]
pub(crate) struct RequestRecord {
    pub request: Request,
    pub admitted_time: Timestamp,
    /// Estimated work in seconds of one thread; `None` before anything is known of the class.
    pub work_estimate: Option<f64>,
    /// Whether the request was within its tenant's quota when it was admitted.
    pub within_quota: bool,
    pub in_flight: Vec<AttemptInFlight>,
    pub attempts_made: usize,
    pub last_engine: Option<usize>,
    /// An attempt of the request was cancelled because it was much slower than estimated.
    pub cancelled_off_estimate: bool,
    /// The earliest attempt that may have run.
    pub first_possible_run: Option<PossibleRun>,
    /// An attempt has an outcome, but no proof that it ended, and no other attempt may run at the same time.
    pub has_unproven_end: bool,
    /// Since when no connection of the client is open on which the request was sent or its result asked for; `None` while
    /// there is one.
    pub client_absent_since: Option<Timestamp>,
    /// The request has its final answer.
    pub finished: bool,
}

impl RequestRecord {
    pub(crate) fn attempt_mut(&mut self, number: u8) -> Option<&mut AttemptInFlight> {
        self.in_flight.iter_mut().find(|attempt| attempt.number == number)
    }

    pub(crate) fn remove_attempt(&mut self, number: u8) -> Option<AttemptInFlight> {
        let position = self.in_flight.iter().position(|attempt| attempt.number == number)?;
        Some(self.in_flight.remove(position))
    }

    /// Records an attempt that may have run. Only the earliest is kept.
    pub(crate) fn record_possible_run(&mut self, engine: Engine, sent_time: Timestamp) {
        if self.first_possible_run.is_none_or(|first| sent_time < first.sent_time) {
            self.first_possible_run = Some(PossibleRun { engine, sent_time });
        }
    }

    /// Whether the client has been away for so long that no attempt may begin for it.
    pub(crate) fn has_client_left(&self, now: Timestamp) -> bool {
        self.client_absent_since.is_some_and(|since| now.since(since) >= CLIENT_ABSENCE_GRACE)
    }

    /// Whether the request has its final answer and no attempt in flight.
    pub(crate) fn is_complete(&self) -> bool {
        self.finished && self.in_flight.is_empty()
    }

    /// Marks all attempts in flight as cancelled. Returns the numbers of those that were not cancelled before.
    pub(crate) fn cancel_attempts(&mut self) -> Vec<u8> {
        let mut cancelled = Vec::new();
        for attempt in self.in_flight.iter_mut().filter(|attempt| !attempt.cancelled) {
            attempt.cancelled = true;
            cancelled.push(attempt.number);
        }
        cancelled
    }
}
