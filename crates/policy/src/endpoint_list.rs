//! Age of the endpoint list: requests are sent to engines only while the list is recent enough.

use crate::time::{Duration, Timestamp};

/// Age of the endpoint list since discovery last confirmed it. While discovery is unreachable, engines may
/// drain or disappear without the gateway learning of it.
#[derive(Default)]
pub(crate) struct EndpointListAge {
    confirmed_time: Timestamp,
    /// Result of the last call of [`EndpointListAge::take_expiry_change`].
    expired: bool,
}

impl EndpointListAge {
    /// Records that the endpoint list was complete at `time`, because discovery sent the whole list or
    /// reported no change.
    pub(crate) fn confirm(&mut self, time: Timestamp) {
        self.confirmed_time = self.confirmed_time.max(time);
    }

    /// Whether the last confirmation is younger than `lifetime`. Without a lifetime the list is always
    /// current.
    pub(crate) fn is_current(&self, lifetime: Option<Duration>, now: Timestamp) -> bool {
        lifetime.is_none_or(|lifetime| now.since(self.confirmed_time) < lifetime)
    }

    /// Returns whether the list has expired if that has changed since the last call, and `None` otherwise.
    pub(crate) fn take_expiry_change(&mut self, lifetime: Option<Duration>, now: Timestamp) -> Option<bool> {
        let expired = !self.is_current(lifetime, now);
        let changed = expired != self.expired;
        self.expired = expired;
        changed.then_some(expired)
    }
}
