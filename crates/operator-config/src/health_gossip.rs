//! The `[signals]` table: health gossip, by which gateways share observations of engines.

use crate::error::{ConfigError, Problem};
use crate::membership::MembershipConfig;
use crate::table::{Table, default_count, default_ms};
use larchfall_health_gossip::aggregation::AggregationSettings;
use larchfall_policy::time::Duration;
use serde::Deserialize;
use toml::Spanned;

/// Settings of health gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthGossipConfig {
    /// Time between two reports of this gateway.
    pub interval: Duration,
    /// Number of members to which each report is sent.
    pub fanout: usize,
    /// How the observations of other gateways are aggregated.
    pub aggregation: AggregationSettings,
    /// Length of a probe slot, in which only one gateway probes an ejected engine; `None` if each gateway probes on its
    /// own.
    pub probe_slot: Option<Duration>,
}

/// The deserialized table.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct RawSignals {
    #[serde(rename = "every-ms", default = "default_ms::<250>")]
    interval_ms: Spanned<u64>,
    #[serde(default = "default_count::<8>")]
    fanout: Spanned<usize>,
    #[serde(default = "default_ms::<10_000>")]
    window_ms: Spanned<u64>,
    #[serde(rename = "lasts-ms", default = "default_ms::<4_000>")]
    max_age_ms: Spanned<u64>,
    #[serde(rename = "turn-ms")]
    probe_slot_ms: Option<Spanned<u64>>,
}

pub(crate) fn check(
    text: &str,
    spanned: &Spanned<RawSignals>,
    membership: Option<&MembershipConfig>,
) -> Result<HealthGossipConfig, ConfigError> {
    let table = Table::new(text, "signals");
    if membership.is_none() {
        return Err(table.invalid(spanned, "every-ms", Problem::NeedsMembership));
    }
    let raw = spanned.get_ref();
    let interval = table.duration(&raw.interval_ms, "every-ms", 20, 60_000)?;
    let fanout = table.count(&raw.fanout, "fanout", 1, 64)?;
    let window = table.duration(&raw.window_ms, "window-ms", 100, 600_000)?;
    let max_age = table.duration(&raw.max_age_ms, "lasts-ms", 100, 600_000)?;
    let probe_slot =
        raw.probe_slot_ms.as_ref().map(|slot| table.duration(slot, "turn-ms", 100, 600_000)).transpose()?;
    Ok(HealthGossipConfig {
        interval,
        fanout,
        aggregation: AggregationSettings { window, max_age },
        probe_slot,
    })
}
