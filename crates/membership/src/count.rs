//! How many gateways to count when something is divided by their number. Counting too many leaves a part unused;
//! counting too few gives the same part out twice, and a cold engine falls over under the sum (rule 4). So: up at
//! once, down slowly, and not at all while those who fell silent might as well be a side of a split that this gateway
//! can't see.

use larchfall_policy::time::{Duration, Timestamp};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Never fewer than lived at any time this long ago or later.
    pub within: Duration,
    /// After that, one fewer in each such step.
    pub step: Duration,
    /// Never fewer than this, whoever lives.
    pub least: usize,
}

/// What this gateway sees of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Alive or suspected, this gateway among them.
    pub live: usize,
    /// Held for dead because they fell silent: they may live where this gateway does not see.
    pub silent: usize,
}

impl Fleet {
    /// Those in sight are most of all that may live: what is out of sight is the smaller side, or none. A gateway that
    /// sees nobody else may be cut off, or just started.
    fn sees_most(self) -> bool {
        self.live > self.silent.max(1)
    }
}

#[derive(Clone, Debug)]
pub struct Count {
    settings: Settings,
    /// The most that may have lived, and when that was last so: falling numbers, of which the first is the most.
    most: VecDeque<(Timestamp, usize)>,
    counted: usize,
    stepped: Timestamp,
}

impl Count {
    /// `at_first` are counted until more are seen, or enough to go down from there.
    pub fn new(settings: Settings, at_first: usize, now: Timestamp) -> Count {
        let counted = at_first.max(settings.least).max(1);
        Count { settings, most: VecDeque::new(), counted, stepped: now }
    }

    /// How many to count now that the fleet looks like this.
    pub fn see(&mut self, fleet: Fleet, now: Timestamp) -> usize {
        let may_live =
            if fleet.sees_most() { fleet.live } else { (fleet.live + fleet.silent).max(self.counted) };
        while self.most.back().is_some_and(|(_, n)| *n <= may_live) {
            self.most.pop_back();
        }
        self.most.push_back((now, may_live));
        while self.most.front().is_some_and(|(at, _)| now.since(*at) >= self.settings.within) {
            self.most.pop_front();
        }
        let floor = self.most.front().map_or(1, |(_, n)| *n).max(self.settings.least).max(1);
        if floor >= self.counted {
            (self.counted, self.stepped) = (floor, now);
        } else if now.since(self.stepped) >= self.settings.step {
            (self.counted, self.stepped) = (self.counted - 1, now);
        }
        self.counted
    }
}
