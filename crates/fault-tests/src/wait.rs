//! Waiting for something that another thread or process brings about.

use std::thread;
use std::time::{Duration, Instant};

/// Far longer than anything takes in these tests, on a slow machine too.
pub const MAX_WAIT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls until there is something, and returns it.
///
/// # Panics
///
/// If there is nothing within [`MAX_WAIT`]; the message names `what` was waited for.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < deadline, "waited in vain for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Polls until a condition holds.
///
/// # Panics
///
/// If it does not hold within [`MAX_WAIT`]; the message names `what` was waited for.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    wait_for(what, || condition().then_some(()));
}
