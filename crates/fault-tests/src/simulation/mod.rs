//! Whole clusters in one process, by seed: many instances of one of the crates without I/O, a network between them that
//! loses, delays and cuts, and one queue of what happens when.

mod event_queue;
pub mod health_gossip;
pub mod leases;
pub mod membership;

use larchfall_policy::time::{Duration, Timestamp};

/// Milliseconds.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A simulation that can be run for some simulated time.
pub trait Simulation {
    /// The simulated time.
    fn now(&self) -> Timestamp;

    /// Runs for this long.
    fn run(&mut self, duration: Duration);

    /// From one look at a condition to the next.
    fn poll_interval(&self) -> Duration;

    /// Runs until a condition holds; the time that took, or `None` if it does not hold in time.
    fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> Option<Duration>
    where
        Self: Sized,
    {
        let began = self.now();
        while !condition(self) {
            if self.now().since(began) >= limit {
                return None;
            }
            self.run(self.poll_interval());
        }
        Some(self.now().since(began))
    }
}
