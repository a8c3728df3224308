//! What is seen of an attempt: its progress, its outcome, and what of it may still run.

use crate::time::Duration;

/// How an attempt ended for the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole result came.
    Returned,
    /// The engine answered with an error.
    Errored,
    /// Rejected unseen, for lack of room.
    Rejected,
    /// No end within its time.
    TimedOut,
    /// No connection: it never ran.
    ConnectFailed,
    /// The connection ended before the answer.
    Reset,
    /// Cancelled by the gateway.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What was last observed of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LastObservation {
    /// No byte of it left.
    NotSent,
    /// It was rejected unseen.
    Declined,
    /// It was said to be over.
    Ended,
    /// It was told to stop, and that was acknowledged.
    Stopped,
    /// Whoever answered knows no such request.
    Unknown,
    /// Nobody listens at its engine's address.
    Refused,
    /// Nobody could be asked or told.
    Silent,
    /// The gateway's own task for it ended unexpectedly.
    Lost,
}

/// By this alone it is judged what of an attempt may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptEvidence {
    /// What was last observed.
    pub last: LastObservation,
    /// Said by the very process that has the request: on the connection of the call itself, or on one on which that
    /// process had spoken of the request as its own.
    pub same_process: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub duration: Duration,
    /// Set once the request has finished, by this outcome or before it.
    pub request_finished: bool,
    /// What was last observed of it.
    pub evidence: AttemptEvidence,
    /// The work that the request needed, where answers report it.
    pub reported_work: Option<Duration>,
    /// The engine's load, where answers report it.
    pub load_report: LoadReport,
}

impl AttemptResult {
    /// One that tells nothing but how the attempt ended, and finishes its request.
    pub fn from_outcome(outcome: Outcome, evidence: AttemptEvidence) -> AttemptResult {
        AttemptResult {
            outcome,
            duration: Duration::ZERO,
            request_finished: true,
            evidence,
            reported_work: None,
            load_report: LoadReport::default(),
        }
    }
}

/// An engine's load as it reports it itself, late and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it has.
    pub in_flight: Option<f64>,
    /// Fraction of its cores that are busy, in 0..=1.
    pub busy_fraction: Option<f64>,
}

/// What an engine says of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressUpdate {
    /// Fraction done, rough, in 0..=1.
    FractionDone(f64),
    /// It spills so many MB to disk.
    SpillsMb(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a request that locks its data set.
    WaitsForDataLock,
    /// From the caller itself: the connection was cut or stalled, and what it would have brought came later.
    ConnectionLost,
}
