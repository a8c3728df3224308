//! The clocks and the disk of the machine that leases depend on: a steady clock that also runs during system sleep, the
//! Unix clock, and a directory for the voter record. Fault tests replace them; the released program can't.

use larchfall_leases::voter_record::Disk;
use larchfall_policy::time::{Duration, Timestamp};
use rustix::time::{ClockId, clock_gettime};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

/// The clocks and the disk that leases use.
#[derive(Clone)]
pub struct Platform {
    /// Time since boot, including system sleep.
    pub steady_clock: Arc<dyn Fn() -> Timestamp + Send + Sync>,
    /// Unix time. It may jump when the machine's clock is set.
    pub unix_clock: Arc<dyn Fn() -> Duration + Send + Sync>,
    /// Opens the directory of the voter record.
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

/// Time since boot, including system sleep.
pub fn boot_time() -> Timestamp {
    let now = clock_gettime(ClockId::Boottime);
    Timestamp::from_micros(now.tv_sec.max(0) as u64 * 1_000_000 + now.tv_nsec.max(0) as u64 / 1000)
}

/// Unix time; zero if the machine's clock is set to a time before 1970.
pub fn unix_time() -> Duration {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Duration::from_micros(since_epoch.as_micros() as u64)
}

/// A directory of the file system as the disk of the voter record.
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// Uses the directory at `path`, which must exist before the first write.
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
