//! Input and output values of the policy, independent of any wire format.
//!
//! Engines, request classes, tenants, zones, engine kinds and requests are identified by small indices that the caller
//! assigns. The index of a request may be reused once the request has finished and each of its attempts has an
//! outcome.

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
