//! The operator's own settings: one TOML file beside the configuration that the platform hands out. A file is used
//! whole or not at all, and what it does not name is off. Each module reads one table of it: structs named `Raw…` and
//! their fields have the file's own names, since refusals show these, and are checked and turned into the program's own
//! settings there.

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

/// All that a file sets; `None` for what is off.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// The paged REST protocol for clients.
    pub paged_rest: Option<PagedRestConfig>,
    /// The gateways among themselves.
    pub membership: Option<MembershipConfig>,
    /// What one gateway at a time does.
    pub leases: Option<LeaseConfig>,
    /// Which engines a gateway uses.
    pub subsetting: Option<SubsettingConfig>,
    /// What gateways tell each other of engines.
    pub health_gossip: Option<HealthGossipConfig>,
}

/// The file as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    rest: Option<RawRest>,
    fronts: Option<RawFronts>,
    duties: Option<RawDuties>,
    subsets: Option<RawSubsets>,
    signals: Option<Spanned<RawSignals>>,
    #[serde(default)]
    duty: Vec<RawProgram>,
}

/// Reads a file; a refusal begins with its path.
pub fn read(path: &str, names: &Names) -> Result<OperatorConfig, ReadError> {
    let unreadable = |error| ReadError::Unreadable { path: path.to_owned(), error };
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    parse(&text, names).map_err(|error| ReadError::Invalid { path: path.to_owned(), error })
}

/// Checks the text of a file against the names of the platform's settings.
pub fn parse(text: &str, names: &Names) -> Result<OperatorConfig, ConfigError> {
    let raw: Raw = toml::from_str(text).map_err(|error| syntax_error(text, &error))?;
    let membership = raw.fronts.map(|raw| membership::check(text, &raw)).transpose()?;
    let leases = match raw.duties {
        Some(duties) => Some(leases::check(text, duties, &raw.duty, membership.as_ref())?),
        None => {
            leases::refuse_without_leases(text, &raw.duty)?;
            None
        }
    };
    let subsetting = raw.subsets.map(|raw| subsetting::check(text, &raw)).transpose()?;
    let health_gossip =
        raw.signals.map(|raw| health_gossip::check(text, &raw, membership.as_ref())).transpose()?;
    let paged_rest = raw.rest.map(|raw| paged_rest::check(text, raw, names)).transpose()?;
    Ok(OperatorConfig { paged_rest, membership, leases, subsetting, health_gossip })
}

fn syntax_error(text: &str, error: &toml::de::Error) -> ConfigError {
    let message = error.message().to_owned();
    match error.span() {
        Some(span) => ConfigError::Syntax { line: table::line(text, span.start), message },
        None => ConfigError::SyntaxWithoutLine { message },
    }
}
