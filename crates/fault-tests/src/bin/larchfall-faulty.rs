//! The gateway's own library with a clock and a disk that can be told to be wrong, for tests alone: the shipped program has
//! no way to. `FAULTY_CLOCK` is how many times as fast the steady clock runs, `FAULTY_WALL` a file that says by how many
//! seconds the Unix clock is off just now, `FAULTY_DISK` one that says, at each step, what the disk does: nothing (it is sound), `full`, `read-only`, `lies`, `slow MS`, or `dies N` (the process ends at step N).

use larchfall_gateway::cli::main_on;
use larchfall_gateway::platform::{Directory, Platform, boot_time, unix_time};
use larchfall_leases::voter_record::Disk;
use larchfall_policy::time::{Duration, Timestamp};
use std::io::{self, ErrorKind};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration as StdDuration;

struct Faulty {
    folder: Directory,
    steps: usize,
}

impl Faulty {
    /// Whether this step is to be done at all; an error where it is refused.
    fn step(&mut self) -> io::Result<bool> {
        self.steps += 1;
        let does = std::env::var("FAULTY_DISK").ok().and_then(|file| std::fs::read_to_string(file).ok());
        let does = does.unwrap_or_default();
        let mut words = does.split_whitespace();
        let number = |word: Option<&str>| word.and_then(|w| w.parse::<u64>().ok()).unwrap_or_default();
        match words.next() {
            Some("full") => Err(ErrorKind::StorageFull.into()),
            Some("read-only") => Err(ErrorKind::ReadOnlyFilesystem.into()),
            Some("lies") => Ok(false),
            Some("slow") => {
                std::thread::sleep(StdDuration::from_millis(number(words.next())));
                Ok(true)
            }
            Some("dies") if self.steps as u64 >= number(words.next()) => std::process::abort(),
            _ => Ok(true),
        }
    }
}

impl Disk for Faulty {
    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>> {
        self.folder.read(file)
    }
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        if self.step()? { self.folder.write(file, bytes) } else { Ok(()) }
    }
    fn sync(&mut self, file: &str) -> io::Result<()> {
        if self.step()? { self.folder.sync(file) } else { Ok(()) }
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.step()? { self.folder.rename(from, to) } else { Ok(()) }
    }
    fn sync_directory(&mut self) -> io::Result<()> {
        if self.step()? { self.folder.sync_directory() } else { Ok(()) }
    }
}

fn main() -> ExitCode {
    let rate: f64 = std::env::var("FAULTY_CLOCK").ok().and_then(|rate| rate.parse().ok()).unwrap_or(1.0);
    let clock = move || Timestamp::from_micros((boot_time().micros() as f64 * rate) as u64);
    let wall = || {
        let file = std::env::var("FAULTY_WALL").ok();
        let off = file.and_then(|file| std::fs::read_to_string(file).ok()?.trim().parse::<i64>().ok());
        let now = unix_time().micros().saturating_add_signed(off.unwrap_or_default() * 1_000_000);
        Duration::from_micros(now)
    };
    let disk =
        |folder: &Path| -> Box<dyn Disk> { Box::new(Faulty { folder: Directory::new(folder), steps: 0 }) };
    main_on(Platform { steady_clock: Arc::new(clock), unix_clock: Arc::new(wall), open_disk: disk })
}
