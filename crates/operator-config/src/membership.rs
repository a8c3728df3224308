//! The `[fronts]` table: membership of the cluster of gateways.

use crate::error::{ConfigError, Problem};
use crate::table::{Table, default_count, default_ms};
use larchfall_membership::fleet_size::FleetSizeSettings;
use larchfall_membership::member_update::MAX_NAME_BYTES;
use larchfall_membership::membership::{MembershipSettings, Network};
use serde::Deserialize;
use std::net::SocketAddrV4;
use toml::Spanned;

/// Number of members that are asked to ping a member that did not answer.
const INDIRECT_PING_HELPERS: usize = 3;

/// Settings of this gateway as a member of the cluster.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Name of this gateway, which is unique in the cluster.
    pub name: String,
    /// Address on which this gateway receives datagrams of other members.
    pub listen: SocketAddrV4,
    /// Address that other members use to reach this gateway; equal to `listen` unless the file sets `told`.
    pub advertised: SocketAddrV4,
    /// Zone of this gateway; empty if the file does not set it.
    pub zone: String,
    /// Requests per second that this gateway is meant to serve, as announced to other members.
    pub requests_per_second: u32,
    /// How members discover and probe each other.
    pub settings: MembershipSettings,
    /// How live gateways are counted for the policy; `None` if the policy uses the number in the platform's settings.
    pub fleet_size: Option<FleetSizeSettings>,
}

/// The deserialized table.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct RawFronts {
    cluster: Spanned<String>,
    name: Spanned<String>,
    #[serde(rename = "address")]
    listen: Spanned<String>,
    #[serde(rename = "told", default)]
    advertised: Option<Spanned<String>>,
    seeds: Vec<Spanned<String>>,
    networks: Vec<Spanned<String>>,
    #[serde(default)]
    zone: Option<Spanned<String>>,
    #[serde(rename = "serves", default)]
    requests_per_second: u32,
    #[serde(rename = "period-ms", default = "default_ms::<500>")]
    probe_interval_ms: Spanned<u64>,
    #[serde(rename = "answer-ms", default = "default_ms::<150>")]
    probe_timeout_ms: Spanned<u64>,
    #[serde(rename = "table-ms", default = "default_ms::<3_000>")]
    table_interval_ms: Spanned<u64>,
    #[serde(rename = "remembered-ms", default = "default_ms::<60_000>")]
    remember_ended_ms: Spanned<u64>,
    #[serde(rename = "most", default = "default_count::<1_024>")]
    max_members: Spanned<usize>,
    #[serde(rename = "shares", default)]
    counts_live_gateways: bool,
    #[serde(rename = "count-within-ms", default = "default_ms::<30_000>")]
    fleet_size_window_ms: Spanned<u64>,
    #[serde(rename = "count-step-ms", default = "default_ms::<2_000>")]
    fleet_size_step_ms: Spanned<u64>,
    #[serde(rename = "count-least", default = "default_count::<1>")]
    min_fleet_size: Spanned<usize>,
}

pub(crate) fn check(text: &str, raw: &RawFronts) -> Result<MembershipConfig, ConfigError> {
    let table = Table::new(text, "fronts");
    let settings = membership_settings(&table, raw)?;
    let fleet_size = FleetSizeSettings {
        decrease_delay: table.duration(&raw.fleet_size_window_ms, "count-within-ms", 100, 3_600_000)?,
        decrease_interval: table.duration(&raw.fleet_size_step_ms, "count-step-ms", 10, 600_000)?,
        min_gateways: table.count(&raw.min_fleet_size, "count-least", 1, 65_536)?,
    };
    let listen = parse_address(&table, &raw.listen, "address")?;
    let advertised =
        raw.advertised.as_ref().map(|address| parse_address(&table, address, "told")).transpose()?;
    let advertised = advertised.unwrap_or(listen);
    if advertised.port() == 0 || advertised.ip().is_unspecified() {
        return Err(table.invalid(
            &raw.listen,
            "address",
            Problem::UnreachableAddress { address: advertised },
        ));
    }
    let zone = raw.zone.as_ref();
    Ok(MembershipConfig {
        name: check_name(&table, &raw.name, "name")?,
        listen,
        advertised,
        zone: zone.map(|zone| check_name(&table, zone, "zone")).transpose()?.unwrap_or_default(),
        requests_per_second: raw.requests_per_second,
        settings,
        fleet_size: raw.counts_live_gateways.then_some(fleet_size),
    })
}

fn membership_settings(table: &Table, raw: &RawFronts) -> Result<MembershipSettings, ConfigError> {
    let probe_interval = table.duration(&raw.probe_interval_ms, "period-ms", 50, 60_000)?;
    let probe_timeout = table.duration(&raw.probe_timeout_ms, "answer-ms", 10, 60_000)?;
    if probe_timeout * 2.0 > probe_interval {
        let problem = Problem::ReplyTimeoutTooLong {
            reply_timeout_ms: *raw.probe_timeout_ms.get_ref(),
            period_ms: *raw.probe_interval_ms.get_ref(),
        };
        return Err(table.invalid(&raw.probe_timeout_ms, "answer-ms", problem));
    }
    Ok(MembershipSettings {
        cluster: check_name(table, &raw.cluster, "cluster")?,
        probe_interval,
        probe_timeout,
        helper_count: INDIRECT_PING_HELPERS,
        ended_retention: table.duration(&raw.remember_ended_ms, "remembered-ms", 1_000, 3_600_000)?,
        table_exchange_interval: table.duration(&raw.table_interval_ms, "table-ms", 100, 600_000)?,
        max_members: table.count(&raw.max_members, "most", 2, 65_536)?,
        allowed_networks: raw
            .networks
            .iter()
            .map(|value| parse_network(table, value))
            .collect::<Result<_, _>>()?,
        seeds: raw.seeds.iter().map(|seed| parse_address(table, seed, "seeds")).collect::<Result<_, _>>()?,
    })
}

fn check_name(table: &Table, value: &Spanned<String>, field: &'static str) -> Result<String, ConfigError> {
    let name = value.get_ref().clone();
    if (1..=MAX_NAME_BYTES).contains(&name.len()) {
        Ok(name)
    } else {
        Err(table.invalid(value, field, Problem::NameLength { value: name, maximum: MAX_NAME_BYTES }))
    }
}

fn parse_address(
    table: &Table,
    value: &Spanned<String>,
    field: &'static str,
) -> Result<SocketAddrV4, ConfigError> {
    let address = value.get_ref();
    let invalid = |_| table.invalid(value, field, Problem::InvalidIpv4Address { value: address.clone() });
    address.parse().map_err(invalid)
}

/// Parses an address with the length of its network prefix. Without a length, the network is the address alone.
fn parse_network(table: &Table, value: &Spanned<String>) -> Result<Network, ConfigError> {
    let network = value.get_ref();
    let (address, prefix_len) = network.split_once('/').unwrap_or((network, "32"));
    let address = address.parse().ok();
    let prefix_len = prefix_len.parse().ok().filter(|prefix_len| *prefix_len <= 32);
    let parsed = address.zip(prefix_len).map(|(address, prefix_len)| Network { address, prefix_len });
    parsed.ok_or_else(|| table.invalid(value, "networks", Problem::InvalidNetwork { value: network.clone() }))
}
