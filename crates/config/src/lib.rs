//! The JSON settings that a gateway starts with, read into the policy's plain types. Keys that are not known are
//! ignored; what is absent has the value that the wire's page says. `raw` is the settings as they are written, `check`
//! refuses what no gateway can serve by, `convert` makes the settings of it.

#![deny(missing_docs)]

mod check;
mod convert;
mod error;
mod raw;

pub use error::{Problem, SettingsError};

use larchfall_policy::time::Duration;
use larchfall_policy::types::PolicyConfig;

/// What one gateway is given at its start.
pub struct Settings {
    /// What the decisions need.
    pub policy: PolicyConfig,
    /// Whether outcomes say what their request cost.
    pub outcomes_report_work: bool,
    /// The names of the values in an engine's load report, in their order.
    pub load_report_fields: Vec<String>,
    /// Whether endpoints are listed only once a gateway has asked for them.
    pub must_subscribe: bool,
    /// The names of classes, tenants, zones and kinds.
    pub names: Names,
    /// How long clients of each request class wait at most.
    pub max_deadlines: Vec<Duration>,
    /// A connection that is not established by then has failed.
    pub connect_timeout: Duration,
    /// Engines close connections that were idle this long.
    pub engine_idle_timeout: Duration,
    /// So long after a drain was announced, nothing new is sent to its engine.
    pub drain_grace: Duration,
    /// No request may have two attempts in flight.
    pub single_attempt: bool,
}

/// What the settings call things; the place in each list is the index that decisions use.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of engines.
    pub kinds: Vec<String>,
}

/// Reads the settings and checks them.
pub fn read(text: &[u8]) -> Result<Settings, SettingsError> {
    let raw: raw::Raw = serde_json::from_slice(text).map_err(|error| SettingsError::Syntax { error })?;
    check::check(&raw)?;
    convert::settings(raw)
}
