//! Decisions of the policy.

use crate::time::Duration;

/// What the caller must do with a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoutingDecision {
    /// Start an attempt.
    Send(AttemptParameters),
    /// Do nothing now, and route the request again at its next routing time.
    Wait,
    /// Reject the request. The client may safely send it again, preferably after the given retry-after time.
    Reject(Option<Duration>),
    /// Fail the request. It may have run, so that sending it again may repeat its effect.
    Fail,
    /// Cancel the attempt with this number.
    CancelAttempt(u8),
}

/// Parameters of an attempt to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptParameters {
    /// Index of the engine.
    pub engine: usize,
    /// Time from the start after which the attempt counts as timed out.
    pub timeout: Duration,
    /// Memory to grant in MB; `None` leaves the amount to the engine.
    pub memory_grant_mb: Option<f64>,
    /// Priority to send to the engine, which serves attempts of higher priority first.
    pub priority: u8,
}

/// What the caller must do with a request after an attempt of it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAttempt {
    /// Nothing: the request has its final answer or is unknown.
    Finished,
    /// Route the request again, since it has no final answer yet.
    RouteAgain,
}

/// The policy's view of an engine's health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineHealth {
    /// Whether outlier detection ejected the engine, which is then sent only probes.
    pub ejected: bool,
    /// Whether the last tick found the engine congested.
    pub congested: bool,
}
