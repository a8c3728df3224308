//! The configuration file of a gateway, which is validated as a whole before the gateway starts.

use crate::codec::discovery::{self, DiscoveryError, Known, WatchEvent};
use crate::state::limits::Limits;
use larchfall_config::{Settings, SettingsError};
use serde::Deserialize;
use serde_json::Value;
use std::io;
use std::net::SocketAddrV4;

/// The deserialized JSON file. Error messages of serde show the names of this struct and of [`RawLimits`] and their
/// numbers of fields, so the names stay the same across releases.
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

/// A validated configuration.
pub struct Config {
    /// Name of this gateway, which is a field of each log line.
    pub name: String,
    /// Address on which clients connect with MessagePack-RPC.
    pub listen: SocketAddrV4,
    /// Seed of the gateway's random choices.
    pub seed: u64,
    /// Limits on connections, requests and bytes, computed from the machine's memory and sockets.
    pub limits: Limits,
    /// Address of the discovery service.
    pub discovery: SocketAddrV4,
    /// The endpoint list when the file was written, used until the discovery service sends a newer one.
    pub endpoint_list: Vec<WatchEvent>,
    /// The settings that the platform provides.
    pub settings: Settings,
}

/// Why a configuration is invalid. Each text names the field.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not JSON, or a field is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The field is not an IPv4 address with a port.
    #[error("{field}: '{text}' is not an IPv4 address with a port")]
    Address {
        /// Name of the field in the file.
        field: &'static str,
        /// The invalid value.
        text: String,
    },
    /// The settings have no request class.
    #[error("settings.classes: must list at least one request class")]
    NoRequestClass,
    /// The seed is not hexadecimal or has more than 64 bits.
    #[error("seed: '{0}' is not hexadecimal of at most 64 bits")]
    Seed(String),
    /// The memory or the number of sockets is too small to serve a client.
    #[error("limits: memory_mb or sockets is too small to serve a client")]
    Limits,
    /// The platform's settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The endpoint list is invalid.
    #[error(transparent)]
    EndpointList(#[from] DiscoveryError),
}

/// Why a configuration file could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Io {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The contents of the file are invalid.
    #[error("{path}: {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// The first error found.
        source: ConfigError,
    },
}

/// Reads and validates a configuration file.
pub fn read(path: &str) -> Result<Config, ConfigFileError> {
    let text = std::fs::read(path).map_err(|source| ConfigFileError::Io { path: path.to_owned(), source })?;
    parse(&text).map_err(|source| ConfigFileError::Invalid { path: path.to_owned(), source })
}

/// Validates the text of a configuration file.
pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
    let raw: Raw = serde_json::from_slice(text)?;
    let settings = larchfall_config::read(raw.settings.to_string().as_bytes())?;
    if settings.names.classes.is_empty() {
        return Err(ConfigError::NoRequestClass);
    }
    let seed = u64::from_str_radix(&raw.seed, 16).map_err(|_| ConfigError::Seed(raw.seed.clone()))?;
    let limits = Limits::new(raw.limits.memory_mb, raw.limits.sockets).ok_or(ConfigError::Limits)?;
    Ok(Config {
        listen: parse_address("listen", &raw.listen)?,
        discovery: parse_address("board", &raw.discovery)?,
        endpoint_list: discovery::known_events(&raw.known, &settings.names)?,
        name: raw.name,
        seed,
        limits,
        settings,
    })
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddrV4, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address { field, text: text.to_owned() })
}
