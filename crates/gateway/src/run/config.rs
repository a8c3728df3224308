//! The configuration of one gateway, read whole and checked before anything starts.

use crate::state::limits::Limits;
use crate::wire::discovery::{self, Event, Known};
use larchfall_config::{self as settings, Settings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddrV4;

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

pub struct Config {
    pub name: String,
    pub listen: SocketAddrV4,
    pub seed: u64,
    pub limits: Limits,
    pub discovery: SocketAddrV4,
    pub known: Vec<Event>,
    pub settings: Settings,
}

/// Reads the file; what is wrong is said with the names of the file and the field.
pub fn read(path: &str) -> Result<Config, String> {
    let text = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    parse(&text).map_err(|e| format!("{path}: {e}"))
}

pub fn parse(text: &[u8]) -> Result<Config, String> {
    let raw: Raw = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let address = |field, text: &str| {
        text.parse::<SocketAddrV4>().map_err(|_| format!("{field}: '{text}' is no address with a port"))
    };
    let settings = settings::read(raw.settings.to_string().as_bytes())?;
    if settings.names.classes.is_empty() {
        return Err("settings.classes: no service group is named".into());
    }
    let seed = u64::from_str_radix(&raw.seed, 16).map_err(|_| format!("seed: '{}' is not hex", raw.seed))?;
    let limits = Limits::new(raw.limits.memory_mb, raw.limits.sockets);
    let limits = limits.ok_or("limits: too little memory or too few sockets to serve anybody")?;
    Ok(Config {
        listen: address("listen", &raw.listen)?,
        discovery: address("board", &raw.discovery)?,
        known: discovery::known(&raw.known, &settings.names)?,
        name: raw.name,
        seed,
        limits,
        settings,
    })
}
