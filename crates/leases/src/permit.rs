//! What a holder may do, and how what it does is checked. An action towards what can check tokens carries one and is
//! refused there once a newer was seen; towards what can't, only what states that a second, late one does no harm.

use larchfall_policy::time::{Duration, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Leave to act on a duty, looked at immediately before the action. It is no more than a look: it can't be kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit<'a> {
    pub duty: &'a str,
    pub token: u64,
    pub until: Timestamp,
}

/// An action with the token of the duty that it is done under; who takes it in asks `Fence` first.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamped<T> {
    pub duty: String,
    pub token: u64,
    pub action: T,
}

/// What may be done under a duty to something that checks no token.
pub trait Harmless {
    /// What a second one costs that comes late, from a gateway whose lease was over.
    const LATE_COSTS: &'static str;
}

/// A harmless action that a permit allowed; nothing else makes one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowed<T>(T);

impl Permit<'_> {
    /// What is left of it: an action that was begun is bounded by this.
    pub fn left(&self, now: Timestamp) -> Duration {
        self.until.since(now)
    }

    pub fn stamp<T>(&self, action: T) -> Stamped<T> {
        Stamped { duty: self.duty.to_owned(), token: self.token, action }
    }

    pub fn allow<T: Harmless>(&self, action: T) -> Allowed<T> {
        Allowed(action)
    }
}

impl<T> Allowed<T> {
    pub fn action(self) -> T {
        self.0
    }
}

/// The highest token seen of each duty. Bounded by the duties that are known to whoever keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<String, u64>,
    pub refused: u64,
}

impl Fence {
    /// Whether this token is no older than any seen of its duty.
    pub fn admits(&mut self, duty: &str, token: u64) -> bool {
        let highest = self.highest.entry(duty.to_owned()).or_default();
        let admits = token >= *highest;
        *highest = token.max(*highest);
        self.refused += u64::from(!admits);
        admits
    }
}
