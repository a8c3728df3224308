//! Reads the operator's own settings, a TOML file in addition to the configuration that the platform provides. A file
//! with any error is rejected as a whole, and a feature whose table is absent is off.
//!
//! Each module reads one table of the file: it deserializes a struct named `Raw…`, then validates and converts that
//! struct. An error of a wrong type shows the name of the struct and its number of fields, so the structs are named after
//! the file's tables; attributes give their fields the names of the file's keys.

#![deny(missing_docs)]

mod error;
mod health_gossip;
mod leases;
mod membership;
mod paged_rest;
mod subsetting;
mod table;

pub use error::{ConfigError, Problem, ReadError};
pub use health_gossip::HealthGossipConfig;
pub use leases::{LeaseConfig, ProgramConfig, QuotaConfig, QuotaKinds};
pub use membership::MembershipConfig;
pub use paged_rest::PagedRestConfig;
pub use subsetting::SubsettingConfig;

use health_gossip::RawSignals;
use larchfall_config::Names;
use leases::{RawDuties, RawProgram};
use membership::RawFronts;
use paged_rest::RawRest;
use serde::Deserialize;
use subsetting::RawSubsets;
use toml::Spanned;

/// The validated settings of an operator's file; `None` for a feature that is off.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// The paged REST protocol for clients, from `[rest]`.
    pub paged_rest: Option<PagedRestConfig>,
    /// Membership of the cluster of gateways, from `[fronts]`.
    pub membership: Option<MembershipConfig>,
    /// Leased roles, from `[duties]` and `[[duty]]`.
    pub leases: Option<LeaseConfig>,
    /// The subset of engines that each gateway uses, from `[subsets]`.
    pub subsetting: Option<SubsettingConfig>,
    /// Health gossip about engines, from `[signals]`.
    pub health_gossip: Option<HealthGossipConfig>,
}

/// The deserialized file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(rename = "rest")]
    paged_rest: Option<RawRest>,
    #[serde(rename = "fronts")]
    membership: Option<RawFronts>,
    #[serde(rename = "duties")]
    leases: Option<RawDuties>,
    #[serde(rename = "subsets")]
    subsetting: Option<RawSubsets>,
    #[serde(rename = "signals")]
    health_gossip: Option<Spanned<RawSignals>>,
    #[serde(rename = "duty", default)]
    programs: Vec<RawProgram>,
}

/// Reads and validates a file. The text of an error starts with the path.
pub fn read(path: &str, names: &Names) -> Result<OperatorConfig, ReadError> {
    let read_error = |error| ReadError::Unreadable { path: path.to_owned(), error };
    let text = std::fs::read_to_string(path).map_err(read_error)?;
    parse(&text, names).map_err(|error| ReadError::Invalid { path: path.to_owned(), error })
}

/// Validates the text of a file. Request classes and tenants in it must be among `names`, those of the platform's
/// settings.
pub fn parse(text: &str, names: &Names) -> Result<OperatorConfig, ConfigError> {
    let raw: Raw = toml::from_str(text).map_err(|error| syntax_error(text, &error))?;
    let membership = raw.membership.map(|raw| membership::check(text, &raw)).transpose()?;
    let leases = match raw.leases {
        Some(raw_leases) => Some(leases::check(text, raw_leases, &raw.programs, membership.as_ref())?),
        None => {
            leases::reject_programs_without_leases(text, &raw.programs)?;
            None
        }
    };
    let subsetting = raw.subsetting.map(|raw| subsetting::check(text, &raw)).transpose()?;
    let health_gossip =
        raw.health_gossip.map(|raw| health_gossip::check(text, &raw, membership.as_ref())).transpose()?;
    let paged_rest = raw.paged_rest.map(|raw| paged_rest::check(text, raw, names)).transpose()?;
    Ok(OperatorConfig { paged_rest, membership, leases, subsetting, health_gossip })
}

fn syntax_error(text: &str, error: &toml::de::Error) -> ConfigError {
    let message = error.message().to_owned();
    match error.span() {
        Some(span) => ConfigError::Syntax { line: table::line(text, span.start), message },
        None => ConfigError::SyntaxWithoutLine { message },
    }
}
