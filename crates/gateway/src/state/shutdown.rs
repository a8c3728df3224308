//! Whether this gateway is to end, and by when.

use super::lock;
use larchfall_policy::time::Timestamp;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// The shutdown, from the signal that asks for it to the last answer.
#[derive(Default)]
pub struct Shutdown {
    deadline: Mutex<Option<Timestamp>>,
    is_complete: AtomicBool,
}

impl Shutdown {
    /// When this gateway ends, once it was told to.
    pub fn deadline(&self) -> Option<Timestamp> {
        *lock(&self.deadline)
    }

    /// From now on nothing is promised beyond this time.
    pub(super) fn set_deadline(&self, deadline: Timestamp) {
        *lock(&self.deadline) = Some(deadline);
    }

    /// Whether all is answered: connections may end.
    pub fn is_complete(&self) -> bool {
        self.is_complete.load(Ordering::Relaxed)
    }

    /// All is answered.
    pub fn complete(&self) {
        self.is_complete.store(true, Ordering::Relaxed);
    }
}
