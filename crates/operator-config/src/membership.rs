//! `[fronts]`: the gateways among themselves.

use crate::error::{ConfigError, Problem};
use crate::table::{Table, default_count, default_ms};
use larchfall_membership::fleet_size::FleetSizeSettings;
use larchfall_membership::member_update::MAX_NAME_BYTES;
use larchfall_membership::membership::{MembershipSettings, Network};
use serde::Deserialize;
use std::net::SocketAddrV4;
use toml::Spanned;

/// Members that are asked to check one that did not reply.
const HELPERS: usize = 3;

/// The gateways among themselves.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// This gateway's name.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddrV4,
    /// The address that other members are told.
    pub advertised: SocketAddrV4,
    /// This gateway's zone.
    pub zone: String,
    /// Requests a second that this gateway is meant to serve, as other members are told.
    pub requests_per_second: u32,
    /// How members find and check each other.
    pub settings: MembershipSettings,
    /// The policy counts the gateways that are alive, within these bounds; `None`: those that the settings name.
    pub fleet_size: Option<FleetSizeSettings>,
}

/// The table as it is written.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct RawFronts {
    cluster: Spanned<String>,
    name: Spanned<String>,
    address: Spanned<String>,
    #[serde(default)]
    told: Option<Spanned<String>>,
    seeds: Vec<Spanned<String>>,
    networks: Vec<Spanned<String>>,
    #[serde(default)]
    zone: Option<Spanned<String>>,
    #[serde(default)]
    serves: u32,
    #[serde(default = "default_ms::<500>")]
    period_ms: Spanned<u64>,
    #[serde(default = "default_ms::<150>")]
    answer_ms: Spanned<u64>,
    #[serde(default = "default_ms::<3_000>")]
    table_ms: Spanned<u64>,
    #[serde(default = "default_ms::<60_000>")]
    remembered_ms: Spanned<u64>,
    #[serde(default = "default_count::<1_024>")]
    most: Spanned<usize>,
    #[serde(default)]
    shares: bool,
    #[serde(default = "default_ms::<30_000>")]
    count_within_ms: Spanned<u64>,
    #[serde(default = "default_ms::<2_000>")]
    count_step_ms: Spanned<u64>,
    #[serde(default = "default_count::<1>")]
    count_least: Spanned<usize>,
}

pub(crate) fn check(text: &str, raw: &RawFronts) -> Result<MembershipConfig, ConfigError> {
    let table = Table::new(text, "fronts");
    let settings = members(&table, raw)?;
    let fleet_size = FleetSizeSettings {
        decrease_delay: table.duration(&raw.count_within_ms, "count-within-ms", 100, 3_600_000)?,
        decrease_interval: table.duration(&raw.count_step_ms, "count-step-ms", 10, 600_000)?,
        min_gateways: table.count(&raw.count_least, "count-least", 1, 65_536)?,
    };
    let listen = address(&table, &raw.address, "address")?;
    let advertised = raw.told.as_ref().map(|told| address(&table, told, "told")).transpose()?;
    let advertised = advertised.unwrap_or(listen);
    if advertised.port() == 0 || advertised.ip().is_unspecified() {
        return Err(table.refuse(
            &raw.address,
            "address",
            Problem::UnreachableAddress { address: advertised },
        ));
    }
    let zone = raw.zone.as_ref();
    Ok(MembershipConfig {
        name: name(&table, &raw.name, "name")?,
        listen,
        advertised,
        zone: zone.map(|zone| name(&table, zone, "zone")).transpose()?.unwrap_or_default(),
        requests_per_second: raw.serves,
        settings,
        fleet_size: raw.shares.then_some(fleet_size),
    })
}

fn members(table: &Table, raw: &RawFronts) -> Result<MembershipSettings, ConfigError> {
    let probe_interval = table.duration(&raw.period_ms, "period-ms", 50, 60_000)?;
    let probe_timeout = table.duration(&raw.answer_ms, "answer-ms", 10, 60_000)?;
    if probe_timeout * 2.0 > probe_interval {
        let problem = Problem::ReplyTimeoutTooLong {
            reply_timeout_ms: *raw.answer_ms.get_ref(),
            period_ms: *raw.period_ms.get_ref(),
        };
        return Err(table.refuse(&raw.answer_ms, "answer-ms", problem));
    }
    Ok(MembershipSettings {
        cluster: name(table, &raw.cluster, "cluster")?,
        probe_interval,
        probe_timeout,
        helper_count: HELPERS,
        ended_retention: table.duration(&raw.remembered_ms, "remembered-ms", 1_000, 3_600_000)?,
        table_exchange_interval: table.duration(&raw.table_ms, "table-ms", 100, 600_000)?,
        max_members: table.count(&raw.most, "most", 2, 65_536)?,
        allowed_networks: raw.networks.iter().map(|value| network(table, value)).collect::<Result<_, _>>()?,
        seeds: raw.seeds.iter().map(|seed| address(table, seed, "seeds")).collect::<Result<_, _>>()?,
    })
}

fn name(table: &Table, value: &Spanned<String>, field: &'static str) -> Result<String, ConfigError> {
    let name = value.get_ref().clone();
    if (1..=MAX_NAME_BYTES).contains(&name.len()) {
        Ok(name)
    } else {
        Err(table.refuse(value, field, Problem::NameLength { value: name, maximum: MAX_NAME_BYTES }))
    }
}

fn address(table: &Table, value: &Spanned<String>, field: &'static str) -> Result<SocketAddrV4, ConfigError> {
    let address = value.get_ref();
    let refused = |_| table.refuse(value, field, Problem::InvalidIpv4Address { value: address.clone() });
    address.parse().map_err(refused)
}

/// An address and how many of its bits are the network's; all of them where none are named.
fn network(table: &Table, value: &Spanned<String>) -> Result<Network, ConfigError> {
    let network = value.get_ref();
    let (address, bits) = network.split_once('/').unwrap_or((network, "32"));
    let address = address.parse().ok();
    let prefix_len = bits.parse().ok().filter(|bits| *bits <= 32);
    let parsed = address.zip(prefix_len).map(|(address, prefix_len)| Network { address, prefix_len });
    parsed.ok_or_else(|| table.refuse(value, "networks", Problem::InvalidNetwork { value: network.clone() }))
}
