//! Attempts: progress updates, outcomes, and the evidence of whether an attempt still runs.

use crate::time::Duration;

/// How an attempt ended, as seen by the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine returned the complete result.
    Returned,
    /// The engine answered with an error.
    Errored,
    /// The engine rejected the attempt for lack of capacity, without running it.
    Rejected,
    /// The attempt did not end within its timeout.
    TimedOut,
    /// No connection could be opened, so that the attempt never ran.
    ConnectFailed,
    /// The connection ended before the answer arrived.
    Reset,
    /// The gateway cancelled the attempt.
    Cancelled,
    /// The gateway sent nothing of the attempt, for a reason of its own such as a lack of free connections.
    NotSent,
}

/// Last observation about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LastObservation {
    /// The gateway sent no byte of the attempt.
    NotSent,
    /// The engine rejected the attempt without running it.
    Declined,
    /// The engine replied that the attempt is over.
    Ended,
    /// The engine acknowledged a cancellation.
    Stopped,
    /// The process that replied does not know the request.
    Unknown,
    /// The engine's address refused the connection.
    Refused,
    /// No reply arrived in time, neither to a poll nor to a cancellation.
    Silent,
    /// The gateway's own task for the request ended unexpectedly.
    Lost,
}

/// Evidence by which the policy decides whether an attempt may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptEvidence {
    /// Last observation about the attempt.
    pub last: LastObservation,
    /// Whether the observation came from the process that has the request: on the connection that the request was sent
    /// on, or on a later one on which that process had shown that it knows the request.
    pub same_process: bool,
}

/// Result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the start of the attempt to its end.
    pub duration: Duration,
    /// Whether the request has its final answer, by this outcome or an earlier event.
    pub request_finished: bool,
    /// Evidence of whether the attempt still runs.
    pub evidence: AttemptEvidence,
    /// Work of the request as the answer reports it, in time of one thread; `None` where answers do not report it.
    pub reported_work: Option<Duration>,
    /// The engine's load as the answer reports it; empty where answers do not report it.
    pub load_report: LoadReport,
}

impl AttemptResult {
    /// Creates a result without measurements (zero duration, no work, no load report) that finishes its request.
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

    /// Whether it is certain that the engine never ran the attempt. A rejection proves that only when the process that has
    /// the attempt sent it: after a broken connection, the first call may still arrive later than a rejection on a new
    /// connection.
    pub fn never_ran(&self) -> bool {
        match self.outcome {
            Outcome::ConnectFailed | Outcome::NotSent => true,
            Outcome::Rejected => self.evidence.same_process,
            Outcome::Returned
            | Outcome::Errored
            | Outcome::TimedOut
            | Outcome::Reset
            | Outcome::Cancelled => false,
        }
    }
}

/// An engine's own report of its load, which may be delayed and inaccurate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests at the engine, from all gateways; `None` if not reported.
    pub in_flight: Option<f64>,
    /// Fraction of the engine's cores that are busy, in 0..=1; `None` if not reported.
    pub busy_fraction: Option<f64>,
}

/// Progress of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressUpdate {
    /// Approximate fraction of the work that is done, in 0..=1.
    FractionDone(f64),
    /// The attempt spills this many MB to disk.
    SpillsMb(f64),
    /// The attempt waits for memory.
    WaitsForMemory,
    /// The attempt waits for a request that locks its data set.
    WaitsForDataLock,
    /// The connection broke or stalled and delayed the answer. The gateway itself reports this, not the engine.
    ConnectionLost,
}
