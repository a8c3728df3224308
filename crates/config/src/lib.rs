//! Reads the JSON settings that the platform provides to each gateway. Unknown keys are ignored; an absent key has the
//! default that the platform's protocol defines. `raw` deserializes the text, `check` validates it, and `convert`
//! converts it into the policy's types.

#![deny(missing_docs)]

mod check;
mod convert;
mod error;
mod raw;

pub use error::{Problem, SettingsError};

use larchfall_policy::time::Duration;
use larchfall_policy::types::PolicyConfig;

/// The validated settings of one gateway.
pub struct Settings {
    /// The configuration of the policy, which makes all routing decisions.
    pub policy: PolicyConfig,
    /// Whether engines report the work of a request in its outcome.
    pub outcomes_report_work: bool,
    /// Names of the values in an engine's load report, in the order of the report.
    pub load_report_fields: Vec<String>,
    /// Whether the discovery service sends the endpoint list only after a subscription.
    pub must_subscribe: bool,
    /// Names of request classes, tenants, zones and engine kinds.
    pub names: Names,
    /// Longest deadline of a request, by class index.
    pub max_deadlines: Vec<Duration>,
    /// Time after which an attempt to connect to an engine has failed.
    pub connect_timeout: Duration,
    /// Idle time after which engines close a connection.
    pub engine_idle_timeout: Duration,
    /// Time from the announcement of an engine's drain after which no attempt may be sent to the engine.
    pub drain_grace: Duration,
    /// Whether a request may have only one attempt in flight, which forbids hedging.
    pub single_attempt: bool,
}

/// Names in the settings. The policy identifies each by its index in these lists.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of request classes.
    pub classes: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of engine kinds, which differ in cores and memory.
    pub kinds: Vec<String>,
}

/// Parses and validates the settings.
pub fn read(text: &[u8]) -> Result<Settings, SettingsError> {
    let raw: raw::Raw = serde_json::from_slice(text).map_err(|error| SettingsError::Syntax { error })?;
    check::check(&raw)?;
    convert::convert(raw)
}
