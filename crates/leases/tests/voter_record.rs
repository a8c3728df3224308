//! The voter's record on a disk that loses power, writes in part or damages files.

use larchfall_leases::voter_record::{
    CURRENT_FILE, Disk, LoadedRecord, NEW_FILE, PREVIOUS_FILE, RecordError, VoterRecord, load, store,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::io;

/// A directory in memory: what was not synced may be lost, in part and in any combination, when power is lost.
#[derive(Clone, Default)]
struct MemoryDisk {
    /// What would be read now.
    files: BTreeMap<String, Vec<u8>>,
    /// What is sure to be there after power was lost.
    synced: BTreeMap<String, Vec<u8>>,
    /// Steps since the last sync.
    steps: Vec<Step>,
    /// Power is lost after so many steps.
    remaining_steps: usize,
}

#[derive(Clone)]
enum Step {
    Write(String, Vec<u8>),
    Rename(String, String),
}

impl MemoryDisk {
    fn step(&mut self) -> io::Result<()> {
        self.remaining_steps = self.remaining_steps.checked_sub(1).ok_or(io::ErrorKind::Interrupted)?;
        Ok(())
    }

    /// What is there afterwards: of the steps since the last sync those that `kept` names, writes perhaps cut short.
    fn after_power(&self, kept: &[bool], cut: usize) -> MemoryDisk {
        let mut files = self.synced.clone();
        for (step, _) in self.steps.iter().zip(kept).filter(|(_, kept)| **kept) {
            match step {
                Step::Write(file, bytes) => {
                    files.insert(file.clone(), bytes[..cut.min(bytes.len())].to_vec());
                }
                Step::Rename(from, to) => {
                    // A name may come to stand for a file of which not all is there.
                    if let Some(bytes) = files.remove(from) {
                        files.insert(to.clone(), bytes);
                    }
                }
            }
        }
        MemoryDisk { synced: files.clone(), files, steps: Vec::new(), remaining_steps: usize::MAX }
    }
}

impl Disk for MemoryDisk {
    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(file).cloned())
    }
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        self.files.insert(file.into(), bytes.into());
        self.steps.push(Step::Write(file.into(), bytes.into()));
        Ok(())
    }
    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.step()?;
        let is_it = |step: &Step| matches!(step, Step::Write(name, _) if name == file);
        if let Some(i) = self.steps.iter().rposition(is_it)
            && let Step::Write(file, bytes) = self.steps.remove(i)
        {
            self.synced.insert(file, bytes);
        }
        self.steps.retain(|step| !is_it(step));
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let bytes = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.into(), bytes);
        self.steps.push(Step::Rename(from.into(), to.into()));
        Ok(())
    }
    fn sync_directory(&mut self) -> io::Result<()> {
        self.step()?;
        self.synced = self.files.clone();
        self.steps.clear();
        Ok(())
    }
}

fn record(version: u64) -> VoterRecord {
    let highest_tokens = BTreeMap::from([("x".into(), version * 10), ("y".into(), 3)]);
    VoterRecord { version, longest_lease_us: 9, highest_tokens }
}

proptest! {
    /// Power goes at any step of any write, and any part of what was not synced is lost: what is read is the last that
    /// was kept, or the one under way, whole.
    #[test]
    fn what_is_read_is_a_whole_record_and_none_older_than_the_last_stored(
        writes in 1_u64..5, remaining_steps in 0_usize..30, kept in proptest::collection::vec(any::<bool>(), 8), cut in 0_usize..40,
    ) {
        let mut disk = MemoryDisk { remaining_steps, ..MemoryDisk::default() };
        let (mut last, mut tried) = (0, 0);
        for version in 1..=writes {
            tried = version;
            match store(&mut disk, &record(version)) {
                Ok(()) => last = version,
                Err(_) => break,
            }
        }
        let mut disk = disk.after_power(&kept, cut);
        let loaded = load(&mut disk).record;
        match &loaded {
            Some(loaded) => prop_assert!(*loaded == record(loaded.version) && (last..=tried).contains(&loaded.version)),
            None => prop_assert_eq!(last, 0),
        }
        // And the next can be kept on what is left.
        store(&mut disk, &record(9)).unwrap();
        prop_assert_eq!(load(&mut disk).record, Some(record(9)));
    }

    #[test]
    fn a_record_with_a_bit_flipped_or_cut_is_rejected(version in 0_u64..1000, bit in 0_usize..400, cut in 0_usize..60) {
        let mut bytes = record(version).encode();
        prop_assert_eq!(VoterRecord::decode(&bytes), Ok(record(version)));
        let cut = cut.min(bytes.len() - 1);
        prop_assert!(VoterRecord::decode(&bytes[..cut]).is_err());
        let bit = bit % (bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(VoterRecord::decode(&bytes).is_err());
    }
}

#[test]
fn the_newest_readable_record_counts_and_damage_is_reported() {
    let mut disk = MemoryDisk { remaining_steps: usize::MAX, ..MemoryDisk::default() };
    assert_eq!(load(&mut disk), LoadedRecord::default());
    let mut corrupt = record(5).encode();
    corrupt[9] ^= 4;
    // (current, before, the version that is read, files that are damaged)
    let cases = [
        (record(4).encode(), record(3).encode(), Some(4), 0),
        (corrupt, record(3).encode(), Some(3), 1),
        (record(2).encode(), record(3).encode(), Some(3), 0),
        (Vec::new(), vec![9], None, 2),
    ];
    for (current, before, version, damaged) in cases {
        disk.write(CURRENT_FILE, &current).unwrap();
        disk.write(PREVIOUS_FILE, &before).unwrap();
        disk.write(NEW_FILE, b"left over").unwrap();
        let loaded = load(&mut disk);
        assert_eq!((loaded.record.map(|r| r.version), loaded.damaged.len()), (version, damaged));
    }
    assert_eq!(VoterRecord::decode(&[2, 0, 0]), Err(RecordError::Version(2)));
}
