//! When the input of a connection may have been sent. The time limits of requests run from then, over all protocols.

use crate::state::State;
use larchfall_policy::time::Timestamp;

/// The earliest time at which the input that is read next may have been sent.
pub(super) struct InputClock {
    /// Earliest time since which input may have waited unread: in the listener's queue, or while the connection was not
    /// read. `None` once all input was read.
    unread_since: Option<Timestamp>,
    /// When the coroutine last began to wait for the socket; input may have arrived at any time since. Initially zero,
    /// because a new connection may have waited in the listener's queue during a whole stall.
    waiting_since: Timestamp,
}

impl InputClock {
    /// The clock of a connection that may have waited in the listener's queue since `queued_since`.
    pub(super) fn new(queued_since: Timestamp) -> InputClock {
        InputClock { unread_since: Some(queued_since), waiting_since: Timestamp::default() }
    }

    /// Records that the coroutine begins to wait for the socket at `now`.
    pub(super) fn record_wait(&mut self, now: Timestamp) {
        self.waiting_since = now;
    }

    /// Records that the connection is not read at `now`, whether or not there is input.
    pub(super) fn record_pause(&mut self, now: Timestamp) {
        self.unread_since.get_or_insert(now);
    }

    /// Records that all input that was sent so far has been read.
    pub(super) fn record_all_read(&mut self) {
        self.unread_since = None;
    }

    /// Records a read of `count` bytes. Returns the earliest time at which they may have been sent; `None` if there were
    /// none.
    pub(super) fn record_read(&mut self, state: &State, count: usize) -> Option<Timestamp> {
        if count == 0 {
            self.unread_since = None;
            return None;
        }
        let sent = state.stall_detector.earliest_send_time(self.waiting_since, state.clock.now());
        Some(self.unread_since.map_or(sent, |unread| unread.min(sent)))
    }
}
