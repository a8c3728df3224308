//! Tests of the voter record on a disk that loses power, writes only part of a file or damages files.

use larchfall_leases::voter_record::{
    CURRENT_FILE, Disk, LoadedRecord, NEW_FILE, PREVIOUS_FILE, RecordError, VoterRecord, load, store,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::io;

/// A directory in memory. A power loss can undo or truncate any combination of the operations that were not synced.
#[derive(Clone, Default)]
struct MemoryDisk {
    /// Contents of the files that a read returns, by file name.
    files: BTreeMap<String, Vec<u8>>,
    /// Contents of the files that survive a power loss, by file name.
    synced: BTreeMap<String, Vec<u8>>,
    /// Writes and renames that were not synced.
    unsynced: Vec<Operation>,
    /// Number of operations until the power is lost, after which every operation fails.
    remaining_operations: usize,
}

#[derive(Clone)]
enum Operation {
    Write(String, Vec<u8>),
    Rename(String, String),
}

impl MemoryDisk {
    /// Counts an operation, and fails it if the power has been lost.
    fn count_operation(&mut self) -> io::Result<()> {
        self.remaining_operations =
            self.remaining_operations.checked_sub(1).ok_or(io::ErrorKind::Interrupted)?;
        Ok(())
    }

    /// Returns the disk after a power loss. Each unsynced operation survives if its entry in `kept` is true; surviving
    /// writes are truncated to `written_bytes`.
    fn after_power_loss(&self, kept: &[bool], written_bytes: usize) -> MemoryDisk {
        let mut files = self.synced.clone();
        for (operation, _) in self.unsynced.iter().zip(kept).filter(|(_, kept)| **kept) {
            match operation {
                Operation::Write(file, bytes) => {
                    files.insert(file.clone(), bytes[..written_bytes.min(bytes.len())].to_vec());
                }
                Operation::Rename(from, to) => {
                    // A rename can survive although the contents of the file are incomplete.
                    if let Some(bytes) = files.remove(from) {
                        files.insert(to.clone(), bytes);
                    }
                }
            }
        }
        MemoryDisk { synced: files.clone(), files, unsynced: Vec::new(), remaining_operations: usize::MAX }
    }
}

impl Disk for MemoryDisk {
    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(file).cloned())
    }
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.count_operation()?;
        self.files.insert(file.into(), bytes.into());
        self.unsynced.push(Operation::Write(file.into(), bytes.into()));
        Ok(())
    }
    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.count_operation()?;
        let writes_file =
            |operation: &Operation| matches!(operation, Operation::Write(name, _) if name == file);
        if let Some(i) = self.unsynced.iter().rposition(writes_file)
            && let Operation::Write(file, bytes) = self.unsynced.remove(i)
        {
            self.synced.insert(file, bytes);
        }
        self.unsynced.retain(|operation| !writes_file(operation));
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.count_operation()?;
        let bytes = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.into(), bytes);
        self.unsynced.push(Operation::Rename(from.into(), to.into()));
        Ok(())
    }
    fn sync_directory(&mut self) -> io::Result<()> {
        self.count_operation()?;
        self.synced = self.files.clone();
        self.unsynced.clear();
        Ok(())
    }
}

fn record(version: u64) -> VoterRecord {
    let highest_tokens = BTreeMap::from([("x".into(), version * 10), ("y".into(), 3)]);
    VoterRecord { version, longest_lease_us: 9, highest_tokens }
}

proptest! {
    /// The power is lost at any operation of any write, and any part of the unsynced data is lost. The loaded record
    /// must be the last record that was stored or the record that was being stored, and be complete.
    #[test]
    fn after_a_power_loss_a_complete_record_is_loaded_that_is_not_older_than_the_last_stored_record(
        writes in 1_u64..5,
        remaining_operations in 0_usize..30,
        kept in proptest::collection::vec(any::<bool>(), 8),
        written_bytes in 0_usize..40,
    ) {
        let mut disk = MemoryDisk { remaining_operations, ..MemoryDisk::default() };
        let (mut last_stored, mut last_attempted) = (0, 0);
        for version in 1..=writes {
            last_attempted = version;
            match store(&mut disk, &record(version)) {
                Ok(()) => last_stored = version,
                Err(_) => break,
            }
        }
        let mut disk = disk.after_power_loss(&kept, written_bytes);
        let loaded = load(&mut disk).record;
        match &loaded {
            Some(loaded) => prop_assert!(
                *loaded == record(loaded.version) && (last_stored..=last_attempted).contains(&loaded.version)
            ),
            None => prop_assert_eq!(last_stored, 0),
        }
        // The next record can be stored in the remaining files.
        store(&mut disk, &record(9)).unwrap();
        prop_assert_eq!(load(&mut disk).record, Some(record(9)));
    }

    #[test]
    fn a_truncated_record_or_a_record_with_a_flipped_bit_is_rejected(
        version in 0_u64..1000,
        bit in 0_usize..400,
        truncated_length in 0_usize..60,
    ) {
        let mut bytes = record(version).encode();
        prop_assert_eq!(VoterRecord::decode(&bytes), Ok(record(version)));
        let truncated_length = truncated_length.min(bytes.len() - 1);
        prop_assert!(VoterRecord::decode(&bytes[..truncated_length]).is_err());
        let bit = bit % (bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(VoterRecord::decode(&bytes).is_err());
    }
}

#[test]
fn the_newest_readable_record_is_loaded_and_damaged_files_are_reported() {
    let mut disk = MemoryDisk { remaining_operations: usize::MAX, ..MemoryDisk::default() };
    assert_eq!(load(&mut disk), LoadedRecord::default());
    let mut corrupt = record(5).encode();
    corrupt[9] ^= 4;
    // (current file, previous file, version of the loaded record, number of damaged files)
    let cases = [
        (record(4).encode(), record(3).encode(), Some(4), 0),
        (corrupt, record(3).encode(), Some(3), 1),
        (record(2).encode(), record(3).encode(), Some(3), 0),
        (Vec::new(), vec![9], None, 2),
    ];
    for (current, previous, version, damaged) in cases {
        disk.write(CURRENT_FILE, &current).unwrap();
        disk.write(PREVIOUS_FILE, &previous).unwrap();
        disk.write(NEW_FILE, b"left over").unwrap();
        let loaded = load(&mut disk);
        assert_eq!((loaded.record.map(|r| r.version), loaded.damaged.len()), (version, damaged));
    }
    assert_eq!(VoterRecord::decode(&[2, 0, 0]), Err(RecordError::Version(2)));
}
