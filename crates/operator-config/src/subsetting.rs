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
    least: Spanned<usize>,
    #[serde(default = "default_count::<250>")]
    slack: Spanned<usize>,
    #[serde(default = "default_ms::<1_000>")]
    grows_ms: Spanned<u64>,
    #[serde(default = "default_ms::<10_000>")]
    shrinks_ms: Spanned<u64>,
    #[serde(default = "default_ms::<500>")]
    look_ms: Spanned<u64>,
}

pub(crate) fn check(text: &str, raw: &RawSubsets) -> Result<SubsettingConfig, ConfigError> {
    let table = Table::new(text, "subsets");
    let min_engines = table.count(&raw.least, "least", 1, 1024)?;
    let load_slack = table.count(&raw.slack, "slack", 0, 1000)? as f64 / 1000.0;
    let grow_interval = table.duration(&raw.grows_ms, "grows-ms", 10, 600_000)?;
    let shrink_interval = table.duration(&raw.shrinks_ms, "shrinks-ms", 10, 3_600_000)?;
    let check_interval = table.duration(&raw.look_ms, "look-ms", 10, 60_000)?;
    Ok(SubsettingConfig {
        plan: PlanSettings { min_engines, load_slack },
        aperture: ApertureSettings { grow_interval, shrink_interval },
        check_interval,
    })
}
