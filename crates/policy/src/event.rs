//! Events of the policy that the gateway logs for operators.

use std::fmt;

/// Source of the outcome that led to the ejection or restoration of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvidence {
    /// Outcomes of this gateway's own attempts.
    Outcomes,
    /// Outcomes that other gateways reported.
    Gossip,
    /// Overdue progress updates of attempts in flight.
    Silence,
}

impl fmt::Display for HealthEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HealthEvidence::Outcomes => "outcomes",
            HealthEvidence::Gossip => "gossip",
            HealthEvidence::Silence => "silence",
        })
    }
}

/// One change of state. Its `Display` text is a log line: a fixed message followed by the fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PolicyEvent {
    /// An engine was ejected and is now sent only probes.
    EngineEjected {
        /// Index of the engine.
        engine: usize,
        /// Source of the last outcome.
        evidence: HealthEvidence,
    },
    /// An ejected engine was restored and is used again.
    EngineRestored {
        /// Index of the engine.
        engine: usize,
        /// Source of the last outcome.
        evidence: HealthEvidence,
    },
    /// Discovery has not confirmed the endpoint list for too long. No attempts are sent until it does.
    EndpointListExpired,
    /// Discovery confirmed the endpoint list again after it had expired.
    EndpointListCurrent,
    /// At least half of the ready engines are congested. No retries are sent until the overload ends.
    OverloadStarted {
        /// Number of ready engines that are congested.
        congested: usize,
        /// Number of engines that are ready and in the gateway's subset.
        ready: usize,
    },
    /// Less than half of the ready engines are congested, and retries are sent again.
    OverloadEnded {
        /// Number of ready engines that are congested.
        congested: usize,
        /// Number of engines that are ready and in the gateway's subset.
        ready: usize,
    },
}

impl fmt::Display for PolicyEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PolicyEvent::EngineEjected { engine, evidence } => {
                write!(f, "engine ejected, engine: {engine}, evidence: {evidence}")
            }
            PolicyEvent::EngineRestored { engine, evidence } => {
                write!(f, "engine restored, engine: {engine}, evidence: {evidence}")
            }
            PolicyEvent::EndpointListExpired => f.write_str("endpoint list expired"),
            PolicyEvent::EndpointListCurrent => f.write_str("endpoint list current again"),
            PolicyEvent::OverloadStarted { congested, ready } => {
                write!(f, "overload started, congested: {congested}, ready: {ready}")
            }
            PolicyEvent::OverloadEnded { congested, ready } => {
                write!(f, "overload ended, congested: {congested}, ready: {ready}")
            }
        }
    }
}
