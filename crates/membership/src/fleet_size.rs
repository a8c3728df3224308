//! Estimates the number of gateways in the fleet. Limits that the gateways share are divided by this number.
//!
//! An estimate that is too high leaves a part of a limit unused. An estimate that is too low hands out the same part
//! twice, and the sum overloads an engine in slow start. The count therefore rises at once and falls slowly. It does not
//! fall while the dead members might be the other side of a network partition.

use larchfall_policy::time::{Duration, Timestamp};
use std::collections::VecDeque;

/// Settings for how the gateway count follows the live members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSizeSettings {
    /// The count is at least the highest number of live members within this window.
    pub decrease_delay: Duration,
    /// Minimum time between two decrements of the count by one.
    pub decrease_interval: Duration,
    /// Lower bound of the count.
    pub min_gateways: usize,
}

/// Numbers of live and dead members in this gateway's view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Number of alive and suspected members, including this gateway.
    pub live: usize,
    /// Number of members that were declared dead after they stopped responding. They may be alive on the other side of a
    /// network partition.
    pub dead: usize,
}

impl FleetView {
    /// Returns whether live members outnumber dead ones. `false` for a gateway that sees no other live member, because that
    /// gateway may be cut off or may have just started.
    fn is_majority_visible(self) -> bool {
        self.live > self.dead.max(1)
    }
}

/// Number of live members at one time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Timestamp,
    live: usize,
}

/// Estimate of the number of gateways in the fleet.
#[derive(Clone, Debug)]
pub struct FleetSize {
    settings: FleetSizeSettings,
    /// Candidates for the maximum within `decrease_delay`, oldest first, with strictly decreasing `live`. The first one is
    /// the current maximum.
    maxima: VecDeque<Sample>,
    count: usize,
    changed_at: Timestamp,
}

impl FleetSize {
    /// Starts with a count of `initial`, which stays until more live members are seen or until a visible majority allows
    /// the count to fall.
    pub fn new(settings: FleetSizeSettings, initial: usize, now: Timestamp) -> FleetSize {
        let count = initial.max(settings.min_gateways).max(1);
        FleetSize { settings, maxima: VecDeque::new(), count, changed_at: now }
    }

    /// Updates the estimate from the current view and returns it.
    pub fn observe(&mut self, view: FleetView, now: Timestamp) -> usize {
        let live =
            if view.is_majority_visible() { view.live } else { (view.live + view.dead).max(self.count) };
        while self.maxima.back().is_some_and(|sample| sample.live <= live) {
            self.maxima.pop_back();
        }
        self.maxima.push_back(Sample { at: now, live });
        while self.maxima.front().is_some_and(|sample| now.since(sample.at) >= self.settings.decrease_delay) {
            self.maxima.pop_front();
        }
        let floor =
            self.maxima.front().map_or(1, |sample| sample.live).max(self.settings.min_gateways).max(1);
        if floor >= self.count {
            self.count = floor;
            self.changed_at = now;
        } else if now.since(self.changed_at) >= self.settings.decrease_interval {
            self.count -= 1;
            self.changed_at = now;
        }
        self.count
    }
}
