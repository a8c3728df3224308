//! What a gateway has of a duty under one token: which electors granted it, and when each was asked. A lease counts from
//! before it was asked for, less a margin for clocks that run unevenly, so that it ends here before it ends there.

use crate::quorum::Electors;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// How long leases are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    pub length: Duration,
    /// By so many parts in a thousand two clocks of the fleet may differ in how fast they run.
    pub margin: u32,
}

impl Terms {
    /// What a holder counts on of one length.
    pub fn counted(&self) -> Duration {
        Duration::from_micros(self.length.micros() / 1000 * u64::from(1000_u32.saturating_sub(self.margin)))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bid {
    pub token: u64,
    /// Till when each elector's grant counts here.
    votes: BTreeMap<String, Timestamp>,
}

impl Bid {
    pub fn new(token: u64) -> Bid {
        Bid { token, votes: BTreeMap::new() }
    }

    /// This elector granted it when asked at that time, under the terms of then: others may hold by now. Answers may come
    /// late and in any order; the latest ask counts.
    pub fn granted(&mut self, elector: &str, asked: Timestamp, terms: Terms) {
        let until = asked + terms.counted();
        let at = self.votes.entry(elector.to_owned()).or_insert(until);
        *at = until.max(*at);
    }

    /// When it ends; none while a majority has not granted it.
    pub fn until(&self, electors: &Electors) -> Option<Timestamp> {
        electors.reached(&self.votes)
    }

    pub fn is_held(&self, electors: &Electors, now: Timestamp) -> bool {
        self.until(electors).is_some_and(|until| now < until)
    }
}
