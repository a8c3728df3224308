//! Counters of the UDP socket that connects the gateways of a cluster.

use slog::{Logger, info};
use std::sync::atomic::{AtomicU64, Ordering};

/// Datagrams since startup. A datagram that the gateway ignores is counted by the reason.
#[derive(Default)]
pub(super) struct DatagramCounters {
    /// Received datagrams of every kind: membership, leases, health gossip and status queries.
    pub(super) received: AtomicU64,
    /// Membership datagrams that the kernel accepted for sending.
    pub(super) sent: AtomicU64,
    /// Membership datagrams that the kernel refused to send, for example because the send buffer was full.
    pub(super) send_failed: AtomicU64,
    /// Datagrams with an unsupported protocol version.
    pub(super) other_version: AtomicU64,
    /// Datagrams that name another cluster.
    pub(super) other_cluster: AtomicU64,
    /// Membership datagrams that are too long, fail the checksum or are malformed.
    pub(super) corrupt: AtomicU64,
    /// Membership datagrams from an address that no member may use, and status queries that are invalid or come from
    /// another machine.
    pub(super) unknown_senders: AtomicU64,
    /// Times that the event loop paused because the receive budget of a window was used up.
    pub(super) budget_exhausted: AtomicU64,
}

impl DatagramCounters {
    pub(super) fn log(&self, logger: &Logger) {
        info!(logger, "membership counters"; "received" => counter_value(&self.received),
            "sent" => counter_value(&self.sent), "unsent" => counter_value(&self.send_failed),
            "other_version" => counter_value(&self.other_version),
            "other_cluster" => counter_value(&self.other_cluster), "corrupt" => counter_value(&self.corrupt),
            "unknown_senders" => counter_value(&self.unknown_senders),
            "over_budget" => counter_value(&self.budget_exhausted));
    }
}

pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

pub(super) fn counter_value(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
