//! Rule 3: whether the list of engines is recent enough to send to what it names.

use crate::time::{Duration, Timestamp};

/// When the list was last confirmed. Guards against engines that drain or go unheard of while discovery is out of reach.
#[derive(Default)]
pub(crate) struct EndpointListAge {
    confirmed_time: Timestamp,
    expired: bool,
}

impl EndpointListAge {
    /// Discovery was heard, with nothing new or all of it: the list holds as of then.
    pub(crate) fn confirm(&mut self, time: Timestamp) {
        self.confirmed_time = self.confirmed_time.max(time);
    }

    /// Whether the list still holds; `None` as lifetime is one that always holds.
    pub(crate) fn is_current(&self, lifetime: Option<Duration>, now: Timestamp) -> bool {
        lifetime.is_none_or(|lifetime| now.since(self.confirmed_time) < lifetime)
    }

    /// Whether the list has expired, where that changed since the last call.
    pub(crate) fn take_expiry_change(&mut self, lifetime: Option<Duration>, now: Timestamp) -> Option<bool> {
        let expired = !self.is_current(lifetime, now);
        let changed = expired != self.expired;
        self.expired = expired;
        changed.then_some(expired)
    }
}
