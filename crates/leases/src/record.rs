//! What an elector remembers over restarts: the highest token of each duty. Framed by its length, with a version and a
//! checksum; written to a new file, synced, renamed, and the folder synced, with the last good one kept beside it.

use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;

const FORM: u8 = 1;
const CHECK: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);
/// Longer files are none of ours.
const MOST_BYTES: usize = 8 << 20;

pub const CURRENT: &str = "duties.record";
pub const BEFORE: &str = "duties.record.before";
pub const NEW: &str = "duties.record.new";

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Grows with each write.
    pub version: u64,
    /// No lease that was granted under it was longer.
    pub longest_us: u64,
    pub highest: BTreeMap<String, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// Shorter or longer than it says.
    Cut,
    /// Written by another version of this program.
    Form(u8),
    Spoilt,
}

impl Record {
    pub fn seal(&self) -> Vec<u8> {
        let mut whole = vec![FORM];
        let body = postcard::to_allocvec_crc32(self, CHECK.digest()).unwrap_or_default();
        whole.extend((body.len() as u32).to_le_bytes());
        whole.extend(body);
        whole
    }

    pub fn open(bytes: &[u8]) -> Result<Record, Damage> {
        let (form, rest) = bytes.split_first().ok_or(Damage::Cut)?;
        if *form != FORM {
            return Err(Damage::Form(*form));
        }
        let (length, body) = rest.split_first_chunk::<4>().ok_or(Damage::Cut)?;
        if body.len() > MOST_BYTES || u32::from_le_bytes(*length) as usize != body.len() {
            return Err(Damage::Cut);
        }
        postcard::from_bytes_crc32(body, CHECK.digest()).map_err(|_| Damage::Spoilt)
    }
}

/// A folder for the record. What it answers may be a lie; docs/duties.md says which lies are survived.
pub trait Disk: Send {
    /// `None`: there is no such file.
    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>>;
    /// A whole new file in place of any other.
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self, file: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Puts a record in place of the one there is, so that at any time the one or the other can be read whole.
pub fn keep(disk: &mut dyn Disk, record: &Record) -> io::Result<()> {
    disk.write(NEW, &record.seal())?;
    disk.sync(NEW)?;
    if disk.read(CURRENT)?.is_some_and(|bytes| Record::open(&bytes).is_ok()) {
        disk.rename(CURRENT, BEFORE)?;
        // Else a crash could keep the second rename alone, and lose the last good one with the new.
        disk.sync_folder()?;
    }
    disk.rename(NEW, CURRENT)?;
    disk.sync_folder()
}

/// What was found on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// The newest that is whole.
    pub record: Option<Record>,
    /// What could not be read, and why.
    pub damaged: Vec<(&'static str, String)>,
}

pub fn find(disk: &mut dyn Disk) -> Found {
    let mut found = Found::default();
    for file in [CURRENT, BEFORE] {
        let opened = match disk.read(file) {
            Ok(None) => continue,
            Ok(Some(bytes)) => Record::open(&bytes).map_err(|damage| format!("{damage:?}")),
            Err(e) => Err(e.to_string()),
        };
        match opened {
            Ok(record) if found.record.as_ref().is_none_or(|r| record.version > r.version) => {
                found.record = Some(record);
            }
            Ok(_) => {}
            Err(why) => found.damaged.push((file, why)),
        }
    }
    found
}
