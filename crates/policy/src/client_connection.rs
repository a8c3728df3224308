//! How long the connection of a client may stay open, and which connections are closed when places are needed: first
//! those that still await a complete message, then those that were inactive longest. One rule for all protocols.

use crate::time::{Duration, Timestamp};

/// One in this many places is kept free by closing connections.
const SPARE_DIVISOR: usize = 8;
/// Connections with activity within this time are kept, since their client may be about to send. Clients send as soon as
/// they are connected; with a longer time, hundreds of silent connections would keep active clients waiting in the
/// listener's queue.
const RECENT_ACTIVITY: Duration = Duration::from_millis(50);
/// Time after which the client of an incomplete message is no longer kept for its activity alone. With a longer time,
/// hundreds of clients that write slowly would hold all places.
const MAX_CONTESTED_MESSAGE_TIME: Duration = Duration::from_millis(250);

/// Returns how many connections to close so that new ones find a place, if `open` of `max` places are taken.
pub fn places_to_free(open: usize, max: usize) -> usize {
    let spare = max / SPARE_DIVISOR + 1;
    if open + spare >= max { spare } else { 0 }
}

/// How long a connection stays open without progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Time without reads or writes while nothing is due.
    pub idle: Duration,
    /// Time within which the first message, and every message that has begun, must be complete. Without this limit, a
    /// client that sends nothing or only part of a message would hold a place.
    pub message: Duration,
}

/// Why a connection is closed by the gateway although its client has not left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// No bytes were read or written within the idle timeout.
    Idle,
    /// The first message, or a message that had begun, was not complete within its timeout.
    IncompleteMessage,
    /// The connection's place was needed for another client.
    Evicted,
}

/// Sort key by which connections are closed when places are needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionOrder {
    has_sent_complete_messages: bool,
    last_activity: Timestamp,
}

/// Chooses up to `needed` connections to close. One whose client has been served closes only if too few others await a
/// message, since these close soon.
pub fn choose_evictions<C>(
    connections: impl Iterator<Item = (C, ConnectionActivity)>,
    needed: usize,
    now: Timestamp,
) -> Vec<C> {
    let mut awaiting = 0;
    let mut evictable = Vec::new();
    for (connection, activity) in connections.filter(|(_, activity)| !activity.is_busy) {
        awaiting += usize::from(activity.awaiting_message_since.is_some());
        evictable.extend(activity.eviction_order(now).map(|order| (order, connection)));
    }
    evictable.sort_by_key(|(order, _)| *order);
    let behind = evictable.partition_point(|(order, _)| !order.has_sent_complete_messages);
    let max_closed = needed.min(behind + needed.saturating_sub(awaiting));
    evictable.into_iter().take(max_closed).map(|(_, connection)| connection).collect()
}

/// What happened on one connection of a client.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionActivity {
    timeouts: ConnectionTimeouts,
    /// Time of the last read or write on the socket.
    last_activity: Timestamp,
    /// Time since which the gateway awaits a complete message: either the first message, or the rest of a message of
    /// which a part has arrived.
    awaiting_message_since: Option<Timestamp>,
    /// Whether requests are open or responses unsent.
    is_busy: bool,
    /// Whether the connection should close to free its place for another connection.
    should_close: bool,
}

impl ConnectionActivity {
    /// A connection that was accepted at `now`.
    pub fn new(timeouts: ConnectionTimeouts, now: Timestamp) -> ConnectionActivity {
        ConnectionActivity {
            timeouts,
            last_activity: now,
            awaiting_message_since: Some(now),
            is_busy: false,
            should_close: false,
        }
    }

    /// Records that bytes were read from or written to the socket.
    pub fn record_transfer(&mut self, now: Timestamp) {
        self.last_activity = now;
    }

    /// Records what became of bytes that were read. `has_complete` tells whether they completed any message, and
    /// `has_incomplete` whether they ended with a part of a message.
    pub fn record_messages(&mut self, has_complete: bool, has_incomplete: bool, now: Timestamp) {
        let since = self.awaiting_message_since.filter(|_| !has_complete).unwrap_or(now);
        self.awaiting_message_since = (has_incomplete || !has_complete).then_some(since);
    }

    /// Sets whether requests are open or responses unsent. A connection that becomes busy withdraws the request to
    /// close.
    pub fn set_busy(&mut self, is_busy: bool) {
        self.is_busy = is_busy;
        self.should_close &= !is_busy;
    }

    /// Whether requests are open or responses unsent.
    pub fn is_busy(&self) -> bool {
        self.is_busy
    }

    /// Time of the last read or write on the socket.
    pub fn last_activity(&self) -> Timestamp {
        self.last_activity
    }

    /// Asks the connection to close, unless a request arrives first.
    pub fn request_close(&mut self) {
        self.should_close = true;
    }

    /// Returns why the connection is closed now, if it is. A busy connection stays open.
    pub fn end(&self, now: Timestamp) -> Option<ConnectionEnd> {
        if self.is_busy {
            None
        } else if self.is_message_overdue(now) {
            Some(ConnectionEnd::IncompleteMessage)
        } else if self.should_close {
            Some(ConnectionEnd::Evicted)
        } else {
            self.is_inactive(now).then_some(ConnectionEnd::Idle)
        }
    }

    /// Whether a timeout of the connection has passed, so that its coroutine has to look whether it closes.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.is_inactive(now) || self.is_message_overdue(now)
    }

    fn is_inactive(&self, now: Timestamp) -> bool {
        now.since(self.last_activity) >= self.timeouts.idle
    }

    fn is_message_overdue(&self, now: Timestamp) -> bool {
        self.awaiting_message_since.is_some_and(|since| now.since(since) >= self.timeouts.message)
    }

    /// Returns the sort key for closing this connection to free its place; `None` if it is busy, or active and not
    /// behind with a message.
    fn eviction_order(&self, now: Timestamp) -> Option<EvictionOrder> {
        let is_recent = now.since(self.last_activity) < RECENT_ACTIVITY;
        let is_slow =
            self.awaiting_message_since.is_some_and(|since| now.since(since) >= MAX_CONTESTED_MESSAGE_TIME);
        let is_evictable = !self.is_busy && (!is_recent || is_slow);
        is_evictable.then_some(EvictionOrder {
            has_sent_complete_messages: self.awaiting_message_since.is_none(),
            last_activity: self.last_activity,
        })
    }
}
