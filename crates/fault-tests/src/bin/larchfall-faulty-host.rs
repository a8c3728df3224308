//! The gateway's library with a clock and a disk that can be told to be wrong, for tests alone: the shipped program has no
//! way to. `FAULTY_CLOCK` is the rate of the steady clock; `FAULTY_WALL` a file with the seconds by which the Unix clock is off
//! just now; `FAULTY_DISK` a file that says, at each step of a write, what the disk does: nothing (it is healthy), `full`,
//! `read-only`, `lies` (writes are lost), `slow MS`, or `dies N` (the process ends at step N).

use larchfall_fault_tests::fault_script::fault_files::{
    DISK_VARIABLE, STEADY_CLOCK_VARIABLE, UNIX_CLOCK_VARIABLE,
};
use larchfall_gateway::cli::main_on;
use larchfall_gateway::platform::{Directory, Platform, boot_time, unix_time};
use larchfall_leases::voter_record::Disk;
use larchfall_policy::time::{Duration, Timestamp};
use std::io::{self, ErrorKind};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration as StdDuration;

const MICROS_PER_SECOND: i64 = 1_000_000;

/// The content of the file that an environment variable names, if there is one.
fn file_named_by(variable: &str) -> Option<String> {
    std::fs::read_to_string(std::env::var(variable).ok()?).ok()
}

struct FaultyDisk {
    directory: Directory,
    /// Steps of writes so far.
    steps: u64,
}

impl FaultyDisk {
    /// Whether this step of a write is to be done at all; an error where it fails.
    fn begin_step(&mut self) -> io::Result<bool> {
        self.steps += 1;
        let behavior = file_named_by(DISK_VARIABLE).unwrap_or_default();
        let mut words = behavior.split_whitespace();
        let word = words.next();
        let number = words.next().and_then(|number| number.parse::<u64>().ok()).unwrap_or_default();
        match word {
            Some("full") => Err(ErrorKind::StorageFull.into()),
            Some("read-only") => Err(ErrorKind::ReadOnlyFilesystem.into()),
            Some("lies") => Ok(false),
            Some("slow") => {
                std::thread::sleep(StdDuration::from_millis(number));
                Ok(true)
            }
            Some("dies") if self.steps >= number => std::process::abort(),
            _ => Ok(true),
        }
    }
}

impl Disk for FaultyDisk {
    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>> {
        self.directory.read(file)
    }
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        if self.begin_step()? { self.directory.write(file, bytes) } else { Ok(()) }
    }
    fn sync(&mut self, file: &str) -> io::Result<()> {
        if self.begin_step()? { self.directory.sync(file) } else { Ok(()) }
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.begin_step()? { self.directory.rename(from, to) } else { Ok(()) }
    }
    fn sync_directory(&mut self) -> io::Result<()> {
        if self.begin_step()? { self.directory.sync_directory() } else { Ok(()) }
    }
}

fn unix_clock() -> Duration {
    let offset_seconds = file_named_by(UNIX_CLOCK_VARIABLE).and_then(|text| text.trim().parse::<i64>().ok());
    let offset_micros = offset_seconds.unwrap_or_default() * MICROS_PER_SECOND;
    Duration::from_micros(unix_time().micros().saturating_add_signed(offset_micros))
}

fn main() -> ExitCode {
    let rate = std::env::var(STEADY_CLOCK_VARIABLE).ok().and_then(|rate| rate.parse::<f64>().ok());
    let rate = rate.unwrap_or(1.0);
    let steady_clock = move || Timestamp::from_micros((boot_time().micros() as f64 * rate) as u64);
    let disk = |folder: &Path| -> Box<dyn Disk> {
        Box::new(FaultyDisk { directory: Directory::new(folder), steps: 0 })
    };
    main_on(Platform {
        steady_clock: Arc::new(steady_clock),
        unix_clock: Arc::new(unix_clock),
        open_disk: disk,
    })
}
