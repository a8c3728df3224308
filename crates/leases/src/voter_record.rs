//! The voter record: the state that a voter keeps over restarts, mainly the highest fencing token of each role.
//!
//! A record file has a format version, the length of its body, and the body with a checksum. A record is written to a
//! new file, which is synced and renamed before the directory is synced. The last good record is kept as a second file.

use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;

const FORMAT_VERSION: u8 = 1;
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);
/// Maximum length of the body of a record file in bytes. A voter writes no longer files.
const MAX_RECORD_BYTES: usize = 8 << 20;

/// File name of the record.
pub const CURRENT_FILE: &str = "duties.record";
/// File name of the last good record before the current record.
pub const PREVIOUS_FILE: &str = "duties.record.before";
/// File name of a record that is being written.
pub const NEW_FILE: &str = "duties.record.new";

/// Persistent state of a voter. The encoding is positional: the order and types of the fields are the file format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterRecord {
    /// Version of the record, which increases with each change of the record's contents.
    pub version: u64,
    /// Upper bound on the length of all leases that the voter has granted, in microseconds.
    pub longest_lease_us: u64,
    /// Highest excluded fencing token of each role: the voter grants new leases under higher tokens only.
    pub highest_tokens: BTreeMap<String, u64>,
}

/// Reasons why a record file can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The body is shorter or longer than the length in the file header, or exceeds the maximum length.
    #[error("length differs from the frame's")]
    Length,
    /// The file has the format version of another release.
    #[error("format version {0}, not {FORMAT_VERSION}")]
    Version(u8),
    /// The checksum is wrong or the body can't be decoded.
    #[error("corrupt")]
    Corrupt,
}

impl VoterRecord {
    /// Returns the contents of the record file.
    pub fn encode(&self) -> Vec<u8> {
        let mut file = vec![FORMAT_VERSION];
        // Postcard can't fail here, since plain structures are written to a growable vector.
        let body = postcard::to_allocvec_crc32(self, CHECKSUM.digest()).unwrap_or_default();
        file.extend((body.len() as u32).to_le_bytes());
        file.extend(body);
        file
    }

    /// Decodes the contents of a record file.
    ///
    /// # Errors
    ///
    /// Returns an error if the length, the format version, the checksum or the body is invalid.
    pub fn decode(file: &[u8]) -> Result<VoterRecord, RecordError> {
        let (version, length_and_body) = file.split_first().ok_or(RecordError::Length)?;
        if *version != FORMAT_VERSION {
            return Err(RecordError::Version(*version));
        }
        let (length, body) = length_and_body.split_first_chunk::<4>().ok_or(RecordError::Length)?;
        if body.len() > MAX_RECORD_BYTES || u32::from_le_bytes(*length) as usize != body.len() {
            return Err(RecordError::Length);
        }
        postcard::from_bytes_crc32(body, CHECKSUM.digest()).map_err(|_| RecordError::Corrupt)
    }
}

/// Access to the directory of the record files. An implementation may lose or damage data; docs/leases.md lists the
/// disk faults that a voter tolerates.
pub trait Disk: Send {
    /// Reads the contents of a file. Returns `None` if the file doesn't exist.
    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>>;
    /// Writes a file, replacing an existing file of this name.
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;
    /// Syncs the contents of a file to disk.
    fn sync(&mut self, file: &str) -> io::Result<()>;
    /// Renames a file, replacing an existing file named `to`.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Syncs the entries of the directory to disk.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// Replaces the current record so that the old or the new record is readable if the process crashes at any point.
///
/// # Errors
///
/// Returns the error of the first disk operation that fails.
pub fn store(disk: &mut dyn Disk, record: &VoterRecord) -> io::Result<()> {
    disk.write(NEW_FILE, &record.encode())?;
    disk.sync(NEW_FILE)?;
    if disk.read(CURRENT_FILE)?.is_some_and(|bytes| VoterRecord::decode(&bytes).is_ok()) {
        disk.rename(CURRENT_FILE, PREVIOUS_FILE)?;
        // Without this sync, a crash could keep only the second rename on disk, which would lose the last good record.
        // If the new record were lost too, no readable record would be left.
        disk.sync_directory()?;
    }
    disk.rename(NEW_FILE, CURRENT_FILE)?;
    disk.sync_directory()
}

/// Result of reading the record files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedRecord {
    /// The readable record with the highest version, if any.
    pub record: Option<VoterRecord>,
    /// Record files that exist but can't be read or decoded.
    pub damaged: Vec<DamagedFile>,
}

/// A record file that can't be read or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedFile {
    /// Name of the file.
    pub file: &'static str,
    /// Error text for the log.
    pub reason: String,
}

/// Reads the current and the previous record file and returns the newer readable record.
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
