//! A mutex whose poisoning is of no interest: a thread that panicked has failed its test already.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, whatever happened to a thread that held it before.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
