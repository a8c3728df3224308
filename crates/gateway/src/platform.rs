//! What leases need of the machine: a steady clock that also runs during system sleep, the Unix clock, and a directory
//! for the voter record. Fault tests put others in their place; the shipped program has no way to.

use larchfall_leases::voter_record::Disk;
use larchfall_policy::time::{Duration, Timestamp};
use rustix::time::{ClockId, clock_gettime};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

/// The machine as leases see it.
#[derive(Clone)]
pub struct Platform {
    /// Time since the machine started, its sleep included.
    pub steady_clock: Arc<dyn Fn() -> Timestamp + Send + Sync>,
    /// Time since 1970 as the machine has it now: it may jump.
    pub unix_clock: Arc<dyn Fn() -> Duration + Send + Sync>,
    /// Opens the directory that keeps the voter record.
    pub open_disk: fn(&Path) -> Box<dyn Disk>,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform {
            steady_clock: Arc::new(boot_time),
            unix_clock: Arc::new(unix_time),
            open_disk: |path| Box::new(Directory::new(path)),
        }
    }
}

/// Time since the machine started, its sleep included.
pub fn boot_time() -> Timestamp {
    let now = clock_gettime(ClockId::Boottime);
    Timestamp::from_micros(now.tv_sec.max(0) as u64 * 1_000_000 + now.tv_nsec.max(0) as u64 / 1000)
}

/// Time since 1970; zero where the machine's clock is set before that.
pub fn unix_time() -> Duration {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Duration::from_micros(since_epoch.as_micros() as u64)
}

/// A directory of the file system.
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// The directory at this path, which has to exist by the time it is written to.
    pub fn new(path: &Path) -> Directory {
        Directory { path: path.to_owned() }
    }
}

impl Disk for Directory {
    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(file)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.path.join(file))?.write_all(bytes)
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        File::open(self.path.join(file))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
