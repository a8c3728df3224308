//! What a voter remembers over restarts: the highest token of each role.
//!
//! The record is framed by its length, with a format version and a checksum. It is written to a new file, synced and
//! renamed, and the directory is synced; the last good record is kept beside it.

use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;

const FORMAT_VERSION: u8 = 1;
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);
/// Longer files were not written by a voter.
const MAX_RECORD_BYTES: usize = 8 << 20;

/// File name of the record.
pub const CURRENT_FILE: &str = "duties.record";
/// File name of the last good record before it.
pub const PREVIOUS_FILE: &str = "duties.record.before";
/// File name of a record that is being written.
pub const NEW_FILE: &str = "duties.record.new";

/// A voter's memory. Encoded by position: the order and types of its fields are the format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterRecord {
    /// Grows with each write.
    pub version: u64,
    /// No lease that the voter may have granted was longer, in microseconds.
    pub longest_lease_us: u64,
    /// By role.
    pub highest_tokens: BTreeMap<String, u64>,
}

/// Why a record can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Shorter or longer than its frame says.
    #[error("length differs from the frame's")]
    Length,
    /// Written by another version of this program.
    #[error("format version {0}, not {FORMAT_VERSION}")]
    Version(u8),
    /// The checksum or the contents are wrong.
    #[error("corrupt")]
    Corrupt,
}

impl VoterRecord {
    /// The bytes of its file.
    pub fn encode(&self) -> Vec<u8> {
        let mut file = vec![FORMAT_VERSION];
        // Plain structures into a vector: postcard has no way to fail here.
        let body = postcard::to_allocvec_crc32(self, CHECKSUM.digest()).unwrap_or_default();
        file.extend((body.len() as u32).to_le_bytes());
        file.extend(body);
        file
    }

    /// Reads a file's bytes.
    pub fn decode(file: &[u8]) -> Result<VoterRecord, RecordError> {
        let (version, framed) = file.split_first().ok_or(RecordError::Length)?;
        if *version != FORMAT_VERSION {
            return Err(RecordError::Version(*version));
        }
        let (length, body) = framed.split_first_chunk::<4>().ok_or(RecordError::Length)?;
        if body.len() > MAX_RECORD_BYTES || u32::from_le_bytes(*length) as usize != body.len() {
            return Err(RecordError::Length);
        }
        postcard::from_bytes_crc32(body, CHECKSUM.digest()).map_err(|_| RecordError::Corrupt)
    }
}

/// A directory for the record. What it answers may be wrong; docs/leases.md lists the faults that are survived.
pub trait Disk: Send {
    /// Contents of a file; `None` where there is none.
    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>>;
    /// Writes a whole new file in place of any other.
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;
    /// Syncs a file's contents.
    fn sync(&mut self, file: &str) -> io::Result<()>;
    /// Renames a file, in place of any other of that name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Syncs the directory's entries.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// Puts a record in place of the present one, so that at any time one of the two can be read whole.
pub fn store(disk: &mut dyn Disk, record: &VoterRecord) -> io::Result<()> {
    disk.write(NEW_FILE, &record.encode())?;
    disk.sync(NEW_FILE)?;
    if disk.read(CURRENT_FILE)?.is_some_and(|bytes| VoterRecord::decode(&bytes).is_ok()) {
        disk.rename(CURRENT_FILE, PREVIOUS_FILE)?;
        // Without this sync a crash could keep the second rename alone, and lose the last good record with the new one.
        disk.sync_directory()?;
    }
    disk.rename(NEW_FILE, CURRENT_FILE)?;
    disk.sync_directory()
}

/// What was found on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedRecord {
    /// The newest record that can be read.
    pub record: Option<VoterRecord>,
    /// Files that can't be read.
    pub damaged: Vec<DamagedFile>,
}

/// A record's file that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedFile {
    /// Its name.
    pub file: &'static str,
    /// What is wrong with it, for the log.
    pub reason: String,
}

/// Reads the newest record that can be read.
pub fn load(disk: &mut dyn Disk) -> LoadedRecord {
    let mut loaded = LoadedRecord::default();
    for file in [CURRENT_FILE, PREVIOUS_FILE] {
        let decoded = match disk.read(file) {
            Ok(None) => continue,
            Ok(Some(bytes)) => VoterRecord::decode(&bytes).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match decoded {
            Ok(record) if loaded.record.as_ref().is_none_or(|newest| record.version > newest.version) => {
                loaded.record = Some(record);
            }
            Ok(_) => {}
            Err(reason) => loaded.damaged.push(DamagedFile { file, reason }),
        }
    }
    loaded
}
