//! What the decisions answer.

use crate::time::Duration;

/// What to do with a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoutingDecision {
    /// Start an attempt.
    Send(AttemptParameters),
    /// Nothing to do now: ask again at the next check.
    Wait,
    /// Final: trying again is harmless, best after the time given.
    Reject(Option<Duration>),
    /// Final: nothing is promised about what it did.
    Fail,
    /// Cancel the attempt with this number.
    CancelAttempt(u8),
}

/// How to make an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptParameters {
    /// Index of the engine.
    pub engine: usize,
    /// When it counts as timed out.
    pub timeout: Duration,
    /// Memory to grant in MB; `None` leaves it to the engine.
    pub memory_grant_mb: Option<f64>,
    /// Priority to send; engines serve the higher one first.
    pub priority: u8,
}

/// What to do after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAttempt {
    /// The request has finished.
    Finished,
    /// Something is still open: route the request again.
    RouteAgain,
}

/// The verdict on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineHealth {
    /// It fails more than others do, and gets probes only.
    pub ejected: bool,
    /// Its last tick found it congested.
    pub congested: bool,
}
