//! The record of a case: what was sent, answered and run, one line each, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Writes lines to `record.txt`. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(directory: &Path) -> std::io::Result<Record> {
        let file = File::create(directory.join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    /// Time since the record was created.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.elapsed();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:9.3} ms  {}", now.as_secs_f64() * 1e3, text.as_ref());
        let _ = file.flush();
    }
}
