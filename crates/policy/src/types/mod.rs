//! What goes into the decisions and what comes out: plain values, no wire.
//!
//! Engines, request classes, tenants, zones, engine kinds and requests are small indices that the caller hands out. A
//! request's index may be used again once the request has finished and every attempt of it has brought its outcome.

mod attempt;
mod config;
mod decision;
mod engine;
mod request;

pub use attempt::{AttemptEvidence, AttemptResult, LastObservation, LoadReport, Outcome, ProgressUpdate};
pub use config::{
    Capabilities, EngineKind, PolicyConfig, RetryBudgetConfig, SlowStartConfig, Tenant, Topology,
};
pub use decision::{AfterAttempt, AttemptParameters, EngineHealth, RoutingDecision};
pub use engine::{Engine, EngineState};
pub use request::{DeduplicationScope, Idempotency, Request, RequestClass};
