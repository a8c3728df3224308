//! What the decisions tell an operator: events that the gateway logs.

use std::fmt;

/// What an ejection or restoration of an engine rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvidence {
    /// Outcomes of this gateway's own attempts.
    Outcomes,
    /// Outcomes that other gateways reported.
    Gossip,
    /// Progress updates that are due and did not come.
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

/// One change of a verdict. Displayed as a log line: a fixed message, then its values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PolicyEvent {
    /// An engine gets probes only from now on.
    EngineEjected {
        /// Index of the engine.
        engine: usize,
        /// What the last outcome came from.
        evidence: HealthEvidence,
    },
    /// An ejected engine is used again.
    EngineRestored {
        /// Index of the engine.
        engine: usize,
        /// What the last outcome came from.
        evidence: HealthEvidence,
    },
    /// Discovery was not heard for too long: no engine is sent anything.
    EndpointListExpired,
    /// Discovery was heard again.
    EndpointListCurrent,
    /// Most engines are congested: no retries until that is over.
    OverloadStarted {
        /// Congested engines among the ready ones.
        congested: usize,
        /// Engines that are ready and in use.
        ready: usize,
    },
    /// Fewer engines are congested.
    OverloadEnded {
        /// Congested engines among the ready ones.
        congested: usize,
        /// Engines that are ready and in use.
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
