//! What a scenario is: the cluster, the features that are on, which faults may happen and how often. Read from TOML and
//! checked whole; the words in the file are the ones that scenarios were first written with.

use crate::fault_script::draw::ScriptBounds;
use crate::fault_script::{FaultKind, FaultScript, FaultWeights, basic_fault_weights};
use crate::gateway_config::name_list;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

/// What can be on or off; membership always is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Feature {
    /// Programs of the operator's, each run by the holder of a lease.
    Programs,
    /// One gateway at a time that asks engines for load reports.
    Probing,
    /// Quotas of engines and tenants that one gateway allocates.
    #[serde(rename = "shares")]
    Quotas,
    /// Each gateway uses some of the engines.
    #[serde(rename = "subsets")]
    Subsetting,
    /// Gateways exchange observations of engines.
    #[serde(rename = "signals")]
    HealthGossip,
}

impl Feature {
    /// All of them.
    pub const ALL: [Feature; 5] =
        [Feature::Programs, Feature::Probing, Feature::Quotas, Feature::Subsetting, Feature::HealthGossip];
}

/// Features that need leases; each has two.
const WITH_LEASES: [Feature; 3] = [Feature::Programs, Feature::Probing, Feature::Quotas];
const LEASES_PER_FEATURE: usize = 2;

/// An engine that drains keeps what it has for some seconds, so replacements may not come faster.
const MIN_REPLACEMENT_INTERVAL_MS: u64 = 1_300;

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct ScenarioConfig {
    /// Number of gateways.
    #[serde(rename = "fronts")]
    pub gateways: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of zones.
    pub zones: usize,
    /// Requests that the client of a gateway keeps open.
    #[serde(rename = "open")]
    pub open_requests: usize,
    /// How long faults happen.
    #[serde(rename = "lasts-ms")]
    pub duration_ms: u64,
    /// Mean time from one fault to the next.
    #[serde(rename = "every-ms")]
    pub fault_interval_ms: u64,
    /// Time from one replacement of an engine to the next; 0: none is replaced.
    #[serde(rename = "replaces-ms")]
    pub replacement_interval_ms: u64,
    /// One in this many replaced engines ends without being drained; 0: none.
    #[serde(rename = "sudden")]
    pub sudden_one_in: u64,
    /// The cluster has to be healthy this long after the last fault is healed.
    #[serde(rename = "plain-within-ms")]
    pub recovery_limit_ms: u64,
    /// What is on.
    #[serde(rename = "on")]
    pub features: BTreeSet<Feature>,
    /// How likely each kind of fault is beside the others.
    #[serde(rename = "kinds")]
    pub fault_weights: FaultWeights,
}

impl Default for ScenarioConfig {
    fn default() -> ScenarioConfig {
        let mut fault_weights = basic_fault_weights();
        for kind in [FaultKind::LoadSurge, FaultKind::ClockJump, FaultKind::Disk, FaultKind::CorruptConfig] {
            fault_weights.insert(kind, 1);
        }
        ScenarioConfig {
            gateways: 5,
            engines: 3,
            zones: 2,
            open_requests: 5,
            duration_ms: 9_000,
            fault_interval_ms: 700,
            replacement_interval_ms: MIN_REPLACEMENT_INTERVAL_MS,
            sudden_one_in: 0,
            recovery_limit_ms: 30_000,
            features: Feature::ALL.into(),
            fault_weights,
        }
    }
}

/// Why a scenario could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScenarioConfigError {
    /// It is not TOML, or not a scenario.
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// A number is out of its range.
    #[error("{field}: {value} is not within {minimum} to {maximum}")]
    OutOfRange {
        /// The field's word in the file.
        field: &'static str,
        /// What it says.
        value: u64,
        /// The least that it may be.
        minimum: u64,
        /// The most that it may be.
        maximum: u64,
    },
}

fn check_range(
    field: &'static str,
    value: u64,
    minimum: u64,
    maximum: u64,
) -> Result<(), ScenarioConfigError> {
    if (minimum..=maximum).contains(&value) {
        Ok(())
    } else {
        Err(ScenarioConfigError::OutOfRange { field, value, minimum, maximum })
    }
}

impl ScenarioConfig {
    /// Reads a scenario from TOML.
    pub fn read(text: &str) -> Result<ScenarioConfig, ScenarioConfigError> {
        let config: ScenarioConfig = toml::from_str(text)?;
        // Voters are three; a machine bears some dozens of gateways.
        check_range("fronts", config.gateways as u64, 3, 64)?;
        check_range("engines", config.engines as u64, 1, 24)?;
        check_range("zones", config.zones as u64, 1, 8)?;
        check_range("open", config.open_requests as u64, 1, 64)?;
        check_range("lasts-ms", config.duration_ms, 1_000, 3_600_000)?;
        check_range("every-ms", config.fault_interval_ms, 50, 60_000)?;
        check_range("plain-within-ms", config.recovery_limit_ms, 1_000, 600_000)?;
        if config.replacement_interval_ms > 0 {
            let interval_ms = config.replacement_interval_ms;
            check_range("replaces-ms", interval_ms, MIN_REPLACEMENT_INTERVAL_MS, 600_000)?;
        }
        Ok(config)
    }

    /// Whether a feature is on.
    pub fn has(&self, feature: Feature) -> bool {
        self.features.contains(&feature)
    }

    /// The script of a seed.
    pub fn script(&self, seed: u64) -> FaultScript {
        let bounds = ScriptBounds {
            gateways: self.gateways,
            engines: self.engines,
            duration: Duration::from_millis(self.duration_ms),
            mean_interval: Duration::from_millis(self.fault_interval_ms),
        };
        FaultScript::draw(seed, bounds, &self.fault_weights)
    }

    /// What a gateway's operator file has beside its membership, with the folder of its voter record and the command of
    /// programs.
    pub fn operator_tables(&self, record_folder: &Path, command: &str) -> String {
        let mut tables = String::new();
        if WITH_LEASES.into_iter().any(|feature| self.has(feature)) {
            tables += &format!(
                "[duties]\nelectors = {}\nlease-ms = 1000\nlongest-ms = 1000\nrecord = \"{}\"\n",
                name_list(0..3),
                record_folder.display()
            );
            if self.has(Feature::Probing) {
                tables += "probing = 2\nprobe-ms = 200\nfresh-ms = 600\n";
            }
            if self.has(Feature::Quotas) {
                tables += "keepers = 2\nshare-ms = 500\nhand-out = [\"cold\", \"threads\", \"customers\"]\n";
            }
        }
        if self.has(Feature::Subsetting) {
            tables += "[subsets]\nleast = 2\nlook-ms = 100\n";
        }
        if self.has(Feature::HealthGossip) {
            tables += "[signals]\nevery-ms = 100\nturn-ms = 500\n";
        }
        if self.has(Feature::Programs) {
            for n in 0..LEASES_PER_FEATURE {
                tables += &format!("[[duty]]\nname = \"writer{n}\"\ncommand = {command}\nend-ms = 100\n");
            }
        }
        tables
    }

    /// The number of leases that have to be held.
    pub fn lease_count(&self) -> usize {
        LEASES_PER_FEATURE * WITH_LEASES.into_iter().filter(|feature| self.has(*feature)).count()
    }
}
