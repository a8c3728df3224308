//! How many gateways to count when something is divided by their number.
//!
//! Counting too many leaves a part unused; counting too few hands the same part out twice, and an engine in slow start is
//! overloaded by the sum. So the count goes up at once and down slowly, and not at all while the members that fell silent
//! might be the other side of a network partition.

use larchfall_policy::time::{Duration, Timestamp};
use std::collections::VecDeque;

/// How the count follows the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSizeSettings {
    /// Never fewer than were alive at any time within this window.
    pub decrease_delay: Duration,
    /// After that, one fewer in each such step.
    pub decrease_interval: Duration,
    /// Never fewer than this.
    pub min_gateways: usize,
}

/// What this gateway sees of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Members that are alive or suspected, this gateway among them.
    pub live: usize,
    /// Members declared dead because they fell silent: they may be alive where this gateway can't see.
    pub dead: usize,
}

impl FleetView {
    /// Whether most of all that may be alive are in sight. A gateway that sees nobody else may be cut off, or just started.
    fn is_majority_in_sight(self) -> bool {
        self.live > self.dead.max(1)
    }
}

/// How many may have been alive when.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Timestamp,
    live: usize,
}

/// Counts the gateways of the fleet.
#[derive(Clone, Debug)]
pub struct FleetSize {
    settings: FleetSizeSettings,
    /// Maxima of the window: falling numbers, of which the first is the largest.
    maxima: VecDeque<Sample>,
    counted: usize,
    changed_at: Timestamp,
}

impl FleetSize {
    /// `initial` are counted until more are seen, or enough to go down from there.
    pub fn new(settings: FleetSizeSettings, initial: usize, now: Timestamp) -> FleetSize {
        let counted = initial.max(settings.min_gateways).max(1);
        FleetSize { settings, maxima: VecDeque::new(), counted, changed_at: now }
    }

    /// How many to count now that the fleet looks like this.
    pub fn observe(&mut self, view: FleetView, now: Timestamp) -> usize {
        let live =
            if view.is_majority_in_sight() { view.live } else { (view.live + view.dead).max(self.counted) };
        while self.maxima.back().is_some_and(|sample| sample.live <= live) {
            self.maxima.pop_back();
        }
        self.maxima.push_back(Sample { at: now, live });
        while self.maxima.front().is_some_and(|sample| now.since(sample.at) >= self.settings.decrease_delay) {
            self.maxima.pop_front();
        }
        let floor =
            self.maxima.front().map_or(1, |sample| sample.live).max(self.settings.min_gateways).max(1);
        if floor >= self.counted {
            self.counted = floor;
            self.changed_at = now;
        } else if now.since(self.changed_at) >= self.settings.decrease_interval {
            self.counted -= 1;
            self.changed_at = now;
        }
        self.counted
    }
}
