//! What a process writes to its standard output and error, kept line by line.

use crate::sync::lock;
use crate::wait::MAX_WAIT;
use std::io::{BufRead, BufReader, Read};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Instant;

/// A line, and when it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// When the harness read it.
    pub at: Instant,
    /// The line without its end.
    pub text: String,
}

/// The value of a field of a log line: `message, field: value, field: value`.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(", ").find_map(|part| part.strip_prefix(name)?.strip_prefix(": "))
}

/// The lines of a process, in the order in which they were read.
#[derive(Debug, Default)]
pub struct ProcessLog {
    lines: Mutex<Vec<LogLine>>,
    appended: Condvar,
}

impl ProcessLog {
    /// Reads what a process writes, in a thread of its own, until it ends.
    pub(crate) fn read(self: &Arc<ProcessLog>, output: impl Read + Send + 'static) {
        let log = self.clone();
        thread::spawn(move || {
            for text in BufReader::new(output).lines().map_while(Result::ok) {
                lock(&log.lines).push(LogLine { at: Instant::now(), text });
                log.appended.notify_all();
            }
        });
    }

    /// The number of lines that contain these words.
    pub fn count(&self, words: &str) -> usize {
        lock(&self.lines).iter().filter(|line| line.text.contains(words)).count()
    }

    /// The newest line that contains these words.
    pub fn last(&self, words: &str) -> Option<String> {
        lock(&self.lines).iter().rev().find(|line| line.text.contains(words)).map(|line| line.text.clone())
    }

    /// Whether there is a line for which this holds.
    pub fn has_line(&self, matches: impl Fn(&str) -> bool) -> bool {
        lock(&self.lines).iter().any(|line| matches(&line.text))
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<LogLine> {
        lock(&self.lines).clone()
    }

    /// Waits for a line that contains these words; the first of them.
    ///
    /// # Panics
    ///
    /// If there is none within [`MAX_WAIT`].
    pub fn wait_for(&self, words: &str) -> String {
        let matches = |line: &&LogLine| line.text.contains(words);
        let missing = |lines: &mut Vec<LogLine>| !lines.iter().any(|line| matches(&line));
        let waited = self.appended.wait_timeout_while(lock(&self.lines), MAX_WAIT, missing);
        let (lines, _) = waited.unwrap_or_else(PoisonError::into_inner);
        let found = lines.iter().find(matches).map(|line| line.text.clone());
        found.unwrap_or_else(|| panic!("no line with '{words}' in {lines:#?}"))
    }
}
