//! What of the machine gateways among themselves stand on: a steady clock that also runs in sleep, the Unix clock, and a
//! folder. A test's program puts others in their place; the shipped one has no way to.

use larchfall_leases::voter_record::{Disk, VoterRecord, store};
use larchfall_policy::time::{Duration, Timestamp};
use rustix::time::{ClockId, clock_gettime};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

#[derive(Clone)]
pub struct Parts {
    pub clock: Arc<dyn Fn() -> Timestamp + Send + Sync>,
    /// Since 1970, as the machine has it now: it may jump.
    pub wall: Arc<dyn Fn() -> Duration + Send + Sync>,
    pub disk: fn(&Path) -> Box<dyn Disk>,
}

impl Default for Parts {
    fn default() -> Parts {
        let (clock, wall) = (Arc::new(boot_time), Arc::new(unix_time));
        Parts { clock, wall, disk: |folder| Box::new(Folder(folder.to_owned())) }
    }
}

/// Since the machine's start, its sleep included.
pub fn boot_time() -> Timestamp {
    let now = clock_gettime(ClockId::Boottime);
    Timestamp::from_micros(now.tv_sec.max(0) as u64 * 1_000_000 + now.tv_nsec.max(0) as u64 / 1000)
}

pub fn unix_time() -> Duration {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Duration::from_micros(since.as_micros() as u64)
}

/// A folder of the file system.
pub struct Folder(pub PathBuf);

impl Disk for Folder {
    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.0.join(file)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.0.join(file))?.write_all(bytes)
    }
    fn sync(&mut self, file: &str) -> io::Result<()> {
        File::open(self.0.join(file))?.sync_all()
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }
    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}

/// Keeps records as they come, on a thread of its own: a disk may be slow or hang, and no request waits for it.
pub fn keeper(
    mut disk: Box<dyn Disk>,
    records: std::sync::mpsc::Receiver<VoterRecord>,
    mut kept: impl FnMut(io::Result<()>) + Send + 'static,
) -> io::Result<()> {
    std::thread::Builder::new()
        .spawn(move || records.iter().for_each(|record| kept(store(disk.as_mut(), &record))))
        .map(drop)
}
