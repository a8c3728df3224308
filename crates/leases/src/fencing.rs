//! Fencing of actions that a gateway performs under a lease.
//!
//! A receiver that can check fencing tokens gets the action as [`Fenced`] and rejects it if it has seen a newer token
//! ([`TokenFence`]). For receivers that check no tokens, only actions that implement [`SafeAfterExpiry`] are allowed:
//! these state what happens if the action is performed after the lease has expired.

use larchfall_policy::time::{Duration, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Permission to perform one action under a lease. Request a new permit immediately before each action; a permit that
/// is kept for later may outlast its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActionPermit<'a> {
    /// Name of the role that the gateway holds.
    pub role: &'a str,
    /// Fencing token of the lease.
    pub token: u64,
    /// When the lease expires at its holder.
    pub expires_at: Timestamp,
}

/// An action or message with the fencing token of its sender's lease. The receiver checks the token with a
/// [`TokenFence`] before it uses the content.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fenced<T> {
    /// Name of the role that the sender holds.
    pub role: String,
    /// Fencing token of the sender's lease.
    pub token: u64,
    /// The action or message.
    pub content: T,
}

/// An action that is allowed without a fencing token, since it does no harm if the lease has already expired.
pub trait SafeAfterExpiry {
    /// What happens if a gateway whose lease has expired performs the action once more.
    const EFFECT_AFTER_EXPIRY: &'static str;
}

/// An action that a permit has allowed. It can be created with [`ActionPermit::allow`] only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllowedAction<T>(T);

impl ActionPermit<'_> {
    /// Returns the remaining time of the lease. An action that starts now must end within this time.
    pub fn remaining(&self, now: Timestamp) -> Duration {
        self.expires_at.since(now)
    }

    /// Attaches the role and the fencing token of the lease to an action or message.
    pub fn fence<T>(&self, content: T) -> Fenced<T> {
        Fenced { role: self.role.to_owned(), token: self.token, content }
    }

    /// Allows an action that does no harm after the lease has expired.
    pub fn allow<T: SafeAfterExpiry>(&self, action: T) -> AllowedAction<T> {
        AllowedAction(action)
    }
}

impl<T> AllowedAction<T> {
    /// Returns the action, which the caller must perform immediately.
    pub fn into_action(self) -> T {
        self.0
    }
}

/// The highest fencing token seen for each role. Callers pass only known roles, which bounds the size of the map.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TokenFence {
    highest_tokens: BTreeMap<String, u64>,
    /// Number of tokens rejected because a newer token of the same role had been seen.
    pub rejected: u64,
}

impl TokenFence {
    /// Records a token and returns whether it is at least as high as every token seen before for the role.
    pub fn admits(&mut self, role: &str, token: u64) -> bool {
        let highest_token = self.highest_tokens.entry(role.to_owned()).or_default();
        let is_admitted = token >= *highest_token;
        *highest_token = token.max(*highest_token);
        self.rejected += u64::from(!is_admitted);
        is_admitted
    }
}
