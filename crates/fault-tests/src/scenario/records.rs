//! What a run leaves for its report: one table of what was when, kept as CSV. The words in the file are the ones that reports
//! were first written with.

use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;

/// What a record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordKind {
    /// A step of the script: its subject is the step, its value its place in the script.
    Fault,
    /// Requests that ended within half a second: the subject says how.
    #[serde(rename = "batches")]
    Requests,
    /// The number of gateways that a gateway holds alive.
    Members,
    /// A lease is held from then on (1), or no longer (0); the subject is a gateway or a token, and the lease.
    Holds,
    /// A gateway's quota of a capacity; the subject is the gateway and the capacity.
    #[serde(rename = "part")]
    Quota,
    /// The number of engines that a gateway has ejected.
    #[serde(rename = "left-out")]
    Ejected,
    /// Of a gateway's process, in MB.
    Memory,
    /// Number of file descriptors of a gateway's process.
    Descriptors,
    /// How long after the last fault something was healthy again, in ms.
    #[serde(rename = "plain")]
    Recovery,
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// From the start of the run.
    pub at_ms: u64,
    /// What it is about.
    #[serde(rename = "what")]
    pub kind: RecordKind,
    /// Whom it is about.
    #[serde(rename = "who")]
    pub subject: String,
    /// Its value, as the kind says.
    pub value: f64,
}

impl Record {
    /// A row of the table.
    pub fn new(at_ms: u64, kind: RecordKind, subject: impl Into<String>, value: f64) -> Record {
        Record { at_ms, kind, subject: subject.into(), value }
    }
}

/// Writes rows to a CSV file.
pub fn write<T: Serialize>(file: &Path, rows: &[T]) -> io::Result<()> {
    let mut writer = csv::Writer::from_path(file)?;
    rows.iter().try_for_each(|row| writer.serialize(row))?;
    writer.flush()
}

/// Reads rows from a CSV file.
pub fn read<T: for<'a> Deserialize<'a>>(file: &Path) -> io::Result<Vec<T>> {
    let rows: Result<Vec<T>, csv::Error> = csv::Reader::from_path(file)?.deserialize().collect();
    Ok(rows?)
}
