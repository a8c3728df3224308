//! Counters of datagrams between gateways.

use slog::{Logger, info};
use std::sync::atomic::{AtomicU64, Ordering};

/// Datagrams received and sent, and those ignored by why.
#[derive(Default)]
pub(super) struct DatagramCounters {
    pub(super) received: AtomicU64,
    pub(super) sent: AtomicU64,
    pub(super) unsent: AtomicU64,
    pub(super) other_version: AtomicU64,
    pub(super) other_cluster: AtomicU64,
    pub(super) corrupt: AtomicU64,
    pub(super) unknown_senders: AtomicU64,
    /// Times that the budget of received datagrams was used up.
    pub(super) over_budget: AtomicU64,
}

impl DatagramCounters {
    pub(super) fn log(&self, log: &Logger) {
        info!(log, "membership counters"; "received" => count(&self.received), "sent" => count(&self.sent),
            "unsent" => count(&self.unsent), "other_version" => count(&self.other_version),
            "other_cluster" => count(&self.other_cluster), "corrupt" => count(&self.corrupt),
            "unknown_senders" => count(&self.unknown_senders), "over_budget" => count(&self.over_budget));
    }
}

pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

pub(super) fn count(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
