//! The `[subsets]` table: the subset of engines that each gateway uses.

use crate::error::ConfigError;
use crate::table::{Table, default_count, default_ms};
use larchfall_policy::time::Duration;
use larchfall_subsetting::aperture::ApertureSettings;
use larchfall_subsetting::plan::PlanSettings;
use serde::Deserialize;
use toml::Spanned;

/// Settings of subsetting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsettingConfig {
    /// How engines are assigned to gateways.
    pub plan: PlanSettings,
    /// How the size of a subset follows the load.
    pub aperture: ApertureSettings,
    /// Time between two checks of the subset's size.
    pub check_interval: Duration,
}

/// The deserialized table.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct RawSubsets {
    #[serde(rename = "least")]
    min_engines: Spanned<usize>,
    #[serde(rename = "slack", default = "default_count::<250>")]
    load_slack_per_mille: Spanned<usize>,
    #[serde(rename = "grows-ms", default = "default_ms::<1_000>")]
    grow_interval_ms: Spanned<u64>,
    #[serde(rename = "shrinks-ms", default = "default_ms::<10_000>")]
    shrink_interval_ms: Spanned<u64>,
    #[serde(rename = "look-ms", default = "default_ms::<500>")]
    check_interval_ms: Spanned<u64>,
}

pub(crate) fn check(text: &str, raw: &RawSubsets) -> Result<SubsettingConfig, ConfigError> {
    let table = Table::new(text, "subsets");
    let min_engines = table.count(&raw.min_engines, "least", 1, 1024)?;
    let load_slack = table.count(&raw.load_slack_per_mille, "slack", 0, 1000)? as f64 / 1000.0;
    let grow_interval = table.duration(&raw.grow_interval_ms, "grows-ms", 10, 600_000)?;
    let shrink_interval = table.duration(&raw.shrink_interval_ms, "shrinks-ms", 10, 3_600_000)?;
    let check_interval = table.duration(&raw.check_interval_ms, "look-ms", 10, 60_000)?;
    Ok(SubsettingConfig {
        plan: PlanSettings { min_engines, load_slack },
        aperture: ApertureSettings { grow_interval, shrink_interval },
        check_interval,
    })
}
