//! What a storm is: the fleet, the pieces that are on, what may happen and how often. TOML, checked whole.

use crate::script::{Kind, Kinds, Script, plain_kinds};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// What can be on or off; members always are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Piece {
    /// Programs of the operator's, each at one gateway.
    Programs,
    Probing,
    Shares,
    Subsets,
    Signals,
}

pub const PIECES: [Piece; 5] =
    [Piece::Programs, Piece::Probing, Piece::Shares, Piece::Subsets, Piece::Signals];

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Setting {
    #[serde(rename = "fronts")]
    pub gateways: usize,
    pub engines: usize,
    pub zones: usize,
    /// Requests that the client of a gateway keeps open.
    pub open: usize,
    pub lasts_ms: u64,
    /// A fault each such time, in the mean.
    pub every_ms: u64,
    /// One engine after the other is replaced so often; 0: never.
    pub replaces_ms: u64,
    /// One in so many of them goes without a word; 0: none.
    pub sudden: u64,
    /// All is plain again so long after the last fault is healed.
    pub plain_within_ms: u64,
    pub on: BTreeSet<Piece>,
    pub kinds: Kinds,
}

impl Default for Setting {
    fn default() -> Setting {
        let mut kinds = plain_kinds();
        kinds.extend([Kind::Surge, Kind::Clock, Kind::Disk, Kind::Reload].map(|kind| (kind, 1)));
        Setting {
            gateways: 5,
            engines: 3,
            zones: 2,
            open: 5,
            lasts_ms: 9_000,
            every_ms: 700,
            replaces_ms: 1_300,
            sudden: 0,
            plain_within_ms: 30_000,
            on: PIECES.into(),
            kinds,
        }
    }
}

impl Setting {
    pub fn read(text: &str) -> Result<Setting, String> {
        let setting: Setting = toml::from_str(text).map_err(|e| e.to_string())?;
        let within = |what: &str, n: u64, from: u64, to: u64| match (from..=to).contains(&n) {
            true => Ok(()),
            false => Err(format!("{what}: {n} is not within {from} to {to}")),
        };
        // Electors are three; a machine bears some dozens of gateways.
        within("fronts", setting.gateways as u64, 3, 64)?;
        within("engines", setting.engines as u64, 1, 24)?;
        within("zones", setting.zones as u64, 1, 8)?;
        within("open", setting.open as u64, 1, 64)?;
        within("lasts-ms", setting.lasts_ms, 1_000, 3_600_000)?;
        within("every-ms", setting.every_ms, 50, 60_000)?;
        within("plain-within-ms", setting.plain_within_ms, 1_000, 600_000)?;
        if setting.replaces_ms > 0 {
            // An engine that is about to go holds what it has for some seconds.
            within("replaces-ms", setting.replaces_ms, 1_300, 600_000)?;
        }
        Ok(setting)
    }

    pub fn has(&self, piece: Piece) -> bool {
        self.on.contains(&piece)
    }

    pub fn script(&self, seed: u64) -> Script {
        let ms = Duration::from_millis;
        Script::draw(seed, (self.gateways, self.engines), (ms(self.lasts_ms), ms(self.every_ms)), &self.kinds)
    }

    /// What stands in a gateway's own file beside its `[gateways]`.
    pub fn tables(&self, record: &str, vault: impl Fn() -> String) -> String {
        let mut all = String::new();
        if self.has(Piece::Programs) || self.has(Piece::Probing) || self.has(Piece::Shares) {
            all += "[duties]\nelectors = [\"n00\", \"n01\", \"n02\"]\nlease-ms = 1000\nlongest-ms = 1000\n";
            all += &format!("record = \"{record}\"\n");
            if self.has(Piece::Probing) {
                all += "probing = 2\nprobe-ms = 200\nfresh-ms = 600\n";
            }
            if self.has(Piece::Shares) {
                all += "keepers = 2\nshare-ms = 500\nhand-out = [\"cold\", \"threads\", \"customers\"]\n";
            }
        }
        if self.has(Piece::Subsets) {
            all += "[subsets]\nleast = 2\nlook-ms = 100\n";
        }
        if self.has(Piece::Signals) {
            all += "[signals]\nevery-ms = 100\nturn-ms = 500\n";
        }
        if self.has(Piece::Programs) {
            for n in 0..2 {
                all += &format!("[[duty]]\nname = \"writer{n}\"\ncommand = {}\nend-ms = 100\n", vault());
            }
        }
        all
    }

    /// Duties that somebody has to hold.
    pub fn duties(&self) -> usize {
        2 * [Piece::Programs, Piece::Probing, Piece::Shares].into_iter().filter(|p| self.has(*p)).count()
    }
}
