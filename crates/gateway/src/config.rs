//! The configuration file of one gateway, read whole and checked before anything starts.

use crate::codec::discovery::{self, DiscoveryError, Known, WatchEvent};
use crate::state::limits::Limits;
use larchfall_config::{Settings, SettingsError};
use serde::Deserialize;
use serde_json::Value;
use std::io;
use std::net::SocketAddrV4;

/// The file as it is written. Refusals of a wrong shape show the names of these structs and how many fields they have, so
/// they keep their names.
#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: String,
    seed: String,
    limits: RawLimits,
    #[serde(rename = "board")]
    discovery: String,
    known: Known,
    settings: Value,
}

#[derive(Deserialize)]
struct RawLimits {
    memory_mb: usize,
    sockets: usize,
}

/// A checked configuration.
pub struct Config {
    /// Name of this gateway, on each line of its log.
    pub name: String,
    /// Where clients connect with MessagePack-RPC.
    pub listen: SocketAddrV4,
    /// Seed of all random choices.
    pub seed: u64,
    /// Connections, requests and bytes, by what the machine allows.
    pub limits: Limits,
    /// Address of the discovery service.
    pub discovery: SocketAddrV4,
    /// Endpoint list at the time the file was written.
    pub endpoint_list: Vec<WatchEvent>,
    /// The platform's settings.
    pub settings: Settings,
}

/// What is wrong with a configuration; the texts name the field.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No JSON, or of another shape.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An address without a port, or no address at all.
    #[error("{field}: '{text}' is no address with a port")]
    Address {
        /// Name of the field in the file.
        field: &'static str,
        /// What stands there.
        text: String,
    },
    /// The settings name no request class.
    #[error("settings.classes: no service group is named")]
    NoRequestClass,
    /// The seed is not hexadecimal, or longer than 64 bits.
    #[error("seed: '{0}' is not hex")]
    Seed(String),
    /// The machine is too small to serve any client.
    #[error("limits: too little memory or too few sockets to serve anybody")]
    Limits,
    /// A field of the platform's settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An entry of the endpoint list.
    #[error(transparent)]
    EndpointList(#[from] DiscoveryError),
}

/// Why a configuration file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: String,
        /// The system's reason.
        source: io::Error,
    },
    /// What it says is wrong.
    #[error("{path}: {source}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong.
        source: ConfigError,
    },
}

/// Reads and checks a configuration file.
pub fn read(path: &str) -> Result<Config, ConfigFileError> {
    let text = std::fs::read(path).map_err(|source| ConfigFileError::Io { path: path.to_owned(), source })?;
    parse(&text).map_err(|source| ConfigFileError::Invalid { path: path.to_owned(), source })
}

/// Checks the text of a configuration file.
pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
    let file: Raw = serde_json::from_slice(text)?;
    let settings = larchfall_config::read(file.settings.to_string().as_bytes())?;
    if settings.names.classes.is_empty() {
        return Err(ConfigError::NoRequestClass);
    }
    let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed.clone()))?;
    let limits = Limits::new(file.limits.memory_mb, file.limits.sockets).ok_or(ConfigError::Limits)?;
    Ok(Config {
        listen: address("listen", &file.listen)?,
        discovery: address("board", &file.discovery)?,
        endpoint_list: discovery::known_events(&file.known, &settings.names)?,
        name: file.name,
        seed,
        limits,
        settings,
    })
}

fn address(field: &'static str, text: &str) -> Result<SocketAddrV4, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address { field, text: text.to_owned() })
}
