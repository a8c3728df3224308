//! What a storm leaves for its report: one table of what was when, kept as CSV.

use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// A step of the script: who is empty, the value its number among them.
    Fault,
    /// Requests that ended in half a second: who says how.
    #[serde(rename = "batches")]
    Requests,
    /// Gateways that a gateway holds for living.
    Members,
    /// A gateway holds a duty from then on (1), or no more (0); `who` is gateway and duty.
    Holds,
    /// A gateway's part of a capacity; `who` is gateway and capacity.
    Part,
    /// Engines that a gateway left out.
    LeftOut,
    /// Of a gateway's process, in MB.
    Memory,
    Descriptors,
    /// How long after the last fault something was plain again, in ms.
    Plain,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub at_ms: u64,
    pub what: What,
    pub who: String,
    pub value: f64,
}

pub fn row(at_ms: u64, what: What, who: impl Into<String>, value: f64) -> Row {
    Row { at_ms, what, who: who.into(), value }
}

pub fn write<T: Serialize>(file: &Path, rows: &[T]) -> io::Result<()> {
    let mut out = csv::Writer::from_path(file)?;
    rows.iter().try_for_each(|row| out.serialize(row))?;
    out.flush()
}

pub fn read<T: for<'a> Deserialize<'a>>(file: &Path) -> io::Result<Vec<T>> {
    let rows: Result<Vec<T>, csv::Error> = csv::Reader::from_path(file)?.deserialize().collect();
    Ok(rows?)
}
