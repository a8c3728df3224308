//! A stub engine that records when it received each attempt.

use larchfall_stub::engine::{Engine, EngineBehavior};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Statements that begin with this run for [`LONG_RUN`], all others end at once.
pub const LONG: &str = "long";
/// How long statements that begin with [`LONG`] run.
pub const LONG_RUN: Duration = Duration::from_millis(600);

/// An attempt that an engine received.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The statement.
    pub statement: Vec<u8>,
    /// When it had come whole.
    pub at: Instant,
}

/// An engine that records when it received each attempt.
pub struct RecordingEngine {
    /// Where it listens.
    pub address: SocketAddr,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl RecordingEngine {
    /// Starts an engine on a port of its own.
    ///
    /// # Panics
    ///
    /// If there is no free port.
    pub fn start() -> RecordingEngine {
        let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
        let record = attempts.clone();
        let engine = Engine::start("127.0.0.1:0", move |call| {
            let statement = call.statement.clone();
            let duration = if statement.starts_with(LONG.as_bytes()) { LONG_RUN } else { Duration::ZERO };
            lock(&record).push(Attempt { statement, at: Instant::now() });
            EngineBehavior::Serve(duration, vec![b"ok\n".to_vec()])
        });
        RecordingEngine { address: engine.unwrap().address, attempts }
    }

    /// All attempts so far, in the order in which they came.
    pub fn attempts(&self) -> Vec<Attempt> {
        lock(&self.attempts).clone()
    }

    /// When each attempt came whose statement contains this text.
    pub fn times_of(&self, text: &str) -> Vec<Instant> {
        let contains = |attempt: &&Attempt| String::from_utf8_lossy(&attempt.statement).contains(text);
        lock(&self.attempts).iter().filter(contains).map(|attempt| attempt.at).collect()
    }

    /// Number of attempts whose statement contains this text.
    pub fn count(&self, text: &str) -> usize {
        self.times_of(text).len()
    }
}

fn lock(attempts: &Mutex<Vec<Attempt>>) -> MutexGuard<'_, Vec<Attempt>> {
    attempts.lock().unwrap_or_else(PoisonError::into_inner)
}
