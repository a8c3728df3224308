//! Progress of the gateway's shutdown.

use super::lock;
use larchfall_policy::time::Timestamp;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// State of the shutdown, from the signal that requests it to the last answer.
#[derive(Default)]
pub struct Shutdown {
    deadline: Mutex<Option<Timestamp>>,
    is_complete: AtomicBool,
}

impl Shutdown {
    /// Returns the time by which the gateway stops serving; `None` before a shutdown is requested.
    pub fn deadline(&self) -> Option<Timestamp> {
        *lock(&self.deadline)
    }

    /// Sets the time by which the gateway stops serving.
    pub(super) fn set_deadline(&self, deadline: Timestamp) {
        *lock(&self.deadline) = Some(deadline);
    }

    /// Returns whether all requests are answered, so that client connections may close.
    pub fn is_complete(&self) -> bool {
        self.is_complete.load(Ordering::Relaxed)
    }

    /// Records that all requests are answered.
    pub fn mark_complete(&self) {
        self.is_complete.store(true, Ordering::Relaxed);
    }
}
