//! What is known of a request from its admission until nothing of it is in flight.

use crate::idempotency::PossibleRun;
use crate::time::{Duration, Timestamp};
use crate::types::{Engine, ProgressUpdate, Request};

/// An attempt that was sent and has had no outcome yet.
#[derive(Default)]
pub(crate) struct AttemptInFlight {
    pub number: u8,
    pub engine: usize,
    pub sent_time: Timestamp,
    /// When its engine last said something of it.
    pub heard_time: Timestamp,
    pub cancelled: bool,
    /// Whole time that its pace predicts, once a progress update told how much is done.
    pub predicted_duration: Option<Duration>,
    pub memory_grant_mb: Option<f64>,
    pub spilled: bool,
    /// Its connection was cut or stalled: its time tells of the network, not of the engine.
    pub connection_lost: bool,
    /// It waited for a request that locks its data set: that is no overload.
    pub waited_for_lock: bool,
}

impl AttemptInFlight {
    /// Whether nothing was heard of it for longer than progress updates take.
    pub(crate) fn is_silent(&self, update_overdue_after: Option<Duration>, now: Timestamp) -> bool {
        update_overdue_after.is_some_and(|overdue| now.since(self.heard_time) > overdue)
    }

    /// Takes in what its engine says of it.
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

/// An admitted request.
#[derive(Default)]
pub(crate) struct RequestRecord {
    pub request: Request,
    pub admitted_time: Timestamp,
    /// Estimated work in seconds.
    pub work: Option<f64>,
    pub within_quota: bool,
    pub in_flight: Vec<AttemptInFlight>,
    pub attempts_made: usize,
    pub last_engine: Option<usize>,
    /// An attempt of it was cancelled for its pace.
    pub went_off_estimate: bool,
    /// The first attempt that may have run.
    pub first_run: Option<PossibleRun>,
    /// An attempt had its outcome and may run all the same, and none may run beside it.
    pub may_still_run: bool,
    /// It has its final answer.
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

    /// An attempt may have run there: the earliest one counts.
    pub(crate) fn record_possible_run(&mut self, engine: Engine, sent_time: Timestamp) {
        if self.first_run.is_none_or(|first| sent_time < first.sent_time) {
            self.first_run = Some(PossibleRun { engine, sent_time });
        }
    }

    /// Whether it has its final answer and nothing of it is in flight.
    pub(crate) fn is_over(&self) -> bool {
        self.finished && self.in_flight.is_empty()
    }

    /// Marks all attempts in flight as cancelled, and names those that were not.
    pub(crate) fn cancel_attempts(&mut self) -> Vec<u8> {
        let mut cancelled = Vec::new();
        for attempt in self.in_flight.iter_mut().filter(|attempt| !attempt.cancelled) {
            attempt.cancelled = true;
            cancelled.push(attempt.number);
        }
        cancelled
    }
}
