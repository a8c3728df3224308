//! What happens to a cluster, and when: drawn from a seed, kept as TOML, and repeated from that. The words in the file are
//! the ones that scripts were first written with.

pub mod draw;
pub mod fault_files;
pub mod history;
pub mod runner;
pub mod timeline;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One thing that is done to a cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// A gateway is killed, and another process is started under its name.
    Restart {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
    },
    /// A gateway's process is suspended.
    #[serde(rename = "stop")]
    Suspend {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
    },
    /// A gateway's process runs again.
    #[serde(rename = "wake")]
    Resume {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
    },
    /// A gateway is told to end, and another process is started under its name.
    Replace {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
    },
    /// No datagram passes between a gateway and any other.
    #[serde(rename = "cut-off")]
    Isolate {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
    },
    /// No datagram passes from one gateway to another.
    #[serde(rename = "one-way")]
    CutLink {
        /// The sender's number.
        from: usize,
        /// The receiver's number.
        to: usize,
    },
    /// Datagrams pass only within each of some groups of gateways.
    #[serde(rename = "islands")]
    Partition {
        /// Number of groups.
        number: usize,
    },
    /// Datagrams between all gateways are lost, duplicated and delayed.
    #[serde(rename = "worse")]
    Degrade {
        /// Fraction that is lost.
        #[serde(rename = "loses")]
        loss: f64,
        /// Fraction that arrives twice.
        #[serde(rename = "doubles")]
        duplication: f64,
        /// Longest delay, in milliseconds.
        #[serde(rename = "delays_ms")]
        max_delay_ms: u64,
    },
    /// All links between gateways are healthy again.
    Heal,
    /// Connections from a gateway to an engine are cut.
    EngineCut {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
        /// The engine's number.
        engine: usize,
    },
    /// Connections from a gateway to an engine stall.
    #[serde(rename = "engine-stalls")]
    EngineStall {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
        /// The engine's number.
        engine: usize,
    },
    /// Connections from a gateway to an engine are slow.
    EngineSlow {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
        /// The engine's number.
        engine: usize,
        /// Delay of each piece, in milliseconds.
        ms: u64,
    },
    /// All connections to engines are healthy again.
    EnginesHeal,
    /// Connections from a gateway to its discovery service are cut.
    #[serde(rename = "board-cut")]
    DiscoveryCut {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
    },
    /// Connections from a gateway to its discovery service stall.
    #[serde(rename = "board-stalls")]
    DiscoveryStall {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
    },
    /// All connections to discovery services are healthy again.
    #[serde(rename = "boards-heal")]
    DiscoveriesHeal,
    /// Clients keep this many times as many requests open as at first.
    Load {
        /// The factor.
        times: u32,
    },
    /// A gateway's Unix clock is off.
    Clock {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
        /// By this many seconds.
        seconds: i64,
    },
    /// What a gateway's disk does from now on.
    Disk {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
        /// What it does.
        #[serde(rename = "does")]
        behavior: DiskBehavior,
    },
    /// A gateway's operator file becomes invalid, and the gateway is told to read it.
    #[serde(rename = "spoil")]
    CorruptConfig {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
    },
    /// A gateway's operator file is as it was, and the gateway is told to read it.
    #[serde(rename = "mend")]
    RestoreConfig {
        /// The gateway's number.
        #[serde(rename = "front")]
        gateway: usize,
    },
}

/// What a disk does with writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiskBehavior {
    /// They succeed.
    #[serde(rename = "sound")]
    Healthy,
    /// They fail for want of space.
    Full,
    /// They fail as the file system is read-only.
    ReadOnly,
    /// They seem to succeed and are lost.
    #[serde(rename = "lies")]
    LosesWrites,
    /// They succeed late.
    Slow,
}

impl DiskBehavior {
    /// The word by which `larchfall-faulty-host` knows it.
    pub fn word(self) -> &'static str {
        match self {
            DiskBehavior::Healthy => "",
            DiskBehavior::Full => "full",
            DiskBehavior::ReadOnly => "read-only",
            DiskBehavior::LosesWrites => "lies",
            DiskBehavior::Slow => "slow 400",
        }
    }
}

/// What can be drawn. The order is that in which weights are summed up, so scripts of a seed depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// [`Step::Restart`]
    Restart,
    /// [`Step::Suspend`], and [`Step::Resume`] later.
    #[serde(rename = "stop")]
    Suspend,
    /// [`Step::Replace`]
    Replace,
    /// [`Step::Isolate`]
    #[serde(rename = "cut-off")]
    Isolate,
    /// [`Step::CutLink`]
    #[serde(rename = "one-way")]
    CutLink,
    /// [`Step::Partition`]
    #[serde(rename = "islands")]
    Partition,
    /// [`Step::Degrade`]
    #[serde(rename = "worse")]
    Degrade,
    /// [`Step::EngineCut`]
    EngineCut,
    /// [`Step::EngineStall`], and [`Step::EnginesHeal`] later.
    #[serde(rename = "engine-stalls")]
    EngineStall,
    /// [`Step::EngineSlow`]
    EngineSlow,
    /// [`Step::EnginesHeal`]
    EnginesHeal,
    /// [`Step::DiscoveryCut`]
    #[serde(rename = "board-cut")]
    DiscoveryCut,
    /// [`Step::DiscoveryStall`]
    #[serde(rename = "board-stalls")]
    DiscoveryStall,
    /// [`Step::DiscoveriesHeal`]
    #[serde(rename = "boards-heal")]
    DiscoveriesHeal,
    /// [`Step::Heal`]
    Heal,
    /// [`Step::Load`], and back later.
    #[serde(rename = "surge")]
    LoadSurge,
    /// [`Step::Clock`], and back later.
    #[serde(rename = "clock")]
    ClockJump,
    /// [`Step::Disk`], and back later.
    Disk,
    /// [`Step::CorruptConfig`], and [`Step::RestoreConfig`] later.
    #[serde(rename = "reload")]
    CorruptConfig,
}

/// How likely each kind of fault is beside the others.
pub type FaultWeights = BTreeMap<FaultKind, u32>;

/// All kinds that need neither a clock nor a disk that can be told to be wrong, nor load that can be changed.
pub fn basic_fault_weights() -> FaultWeights {
    use FaultKind as Kind;
    let weight_of_one = [
        Kind::Restart,
        Kind::Replace,
        Kind::Isolate,
        Kind::CutLink,
        Kind::Partition,
        Kind::Degrade,
        Kind::EngineCut,
        Kind::EngineStall,
        Kind::EngineSlow,
        Kind::EnginesHeal,
        Kind::DiscoveryCut,
        Kind::DiscoveryStall,
        Kind::DiscoveriesHeal,
        Kind::Heal,
    ];
    weight_of_one.into_iter().map(|kind| (kind, 1)).chain([(Kind::Suspend, 2)]).collect()
}

/// A step of a script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedStep {
    /// From the start of the script.
    pub at_ms: u64,
    /// What is done.
    pub step: Step,
}

/// A script, in the order in which it is carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultScript {
    /// The seed that it was drawn from, and that a run of it uses.
    pub seed: u64,
    /// Its steps, by time.
    pub steps: Vec<TimedStep>,
}

/// Why a script could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct FaultScriptError(#[from] toml::de::Error);

impl FaultScript {
    /// The script as TOML.
    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// Reads a script from TOML.
    pub fn read(text: &str) -> Result<FaultScript, FaultScriptError> {
        Ok(toml::from_str(text)?)
    }
}
