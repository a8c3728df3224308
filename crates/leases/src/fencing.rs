//! What the holder of a role may do, and how its actions are checked.
//!
//! An action towards something that can check tokens is sent as [`Fenced`] and rejected there once a newer token was seen
//! ([`TokenFence`]). Towards something that can't, only actions are allowed that state what a late second one costs
//! ([`SafeAfterExpiry`]).

use larchfall_policy::time::{Duration, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Permission to act under a lease. Ask for one immediately before each action: it borrows from the manager, so it can't
/// be kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActionPermit<'a> {
    /// The role that is held.
    pub role: &'a str,
    /// The fencing token of the holding.
    pub token: u64,
    /// When the lease ends.
    pub expires_at: Timestamp,
}

/// An action or message with the fencing token of its role; the receiver asks a [`TokenFence`] first.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fenced<T> {
    /// The role that it is done under.
    pub role: String,
    /// The fencing token of the holding.
    pub token: u64,
    /// What is done or said.
    pub content: T,
}

/// An action that may be done towards something that checks no token.
pub trait SafeAfterExpiry {
    /// What it costs when a gateway whose lease is over does it once more.
    const EFFECT_AFTER_EXPIRY: &'static str;
}

/// An action that a permit allowed; only [`ActionPermit::allow`] makes one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllowedAction<T>(T);

impl ActionPermit<'_> {
    /// Time left under the lease: it bounds whatever is begun now.
    pub fn remaining(&self, now: Timestamp) -> Duration {
        self.expires_at.since(now)
    }

    /// Attaches the role and its token.
    pub fn fence<T>(&self, content: T) -> Fenced<T> {
        Fenced { role: self.role.to_owned(), token: self.token, content }
    }

    /// Allows an action that does no harm when it comes late.
    pub fn allow<T: SafeAfterExpiry>(&self, action: T) -> AllowedAction<T> {
        AllowedAction(action)
    }
}

impl<T> AllowedAction<T> {
    /// The action, to be done now.
    pub fn into_action(self) -> T {
        self.0
    }
}

/// The highest token seen of each role. Bounded by the roles that its owner knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TokenFence {
    highest: BTreeMap<String, u64>,
    /// How many tokens were older than one seen before.
    pub rejected: u64,
}

impl TokenFence {
    /// Whether this token is no older than any seen of its role.
    pub fn admits(&mut self, role: &str, token: u64) -> bool {
        let highest = self.highest.entry(role.to_owned()).or_default();
        let admits = token >= *highest;
        *highest = token.max(*highest);
        self.rejected += u64::from(!admits);
        admits
    }
}
