//! The state of the connection to the discovery service.

use larchfall_policy::time::Timestamp;
use std::sync::atomic::{AtomicU64, Ordering};

/// Which client of the discovery service is the present one, and when the service was last heard.
pub struct DiscoveryStatus {
    current_client: AtomicU64,
    /// In microseconds of the gateway's clock.
    last_contact: AtomicU64,
}

impl DiscoveryStatus {
    /// No client yet; the configuration's endpoint list counts as heard now.
    pub fn new(now: Timestamp) -> DiscoveryStatus {
        DiscoveryStatus { current_client: AtomicU64::new(0), last_contact: AtomicU64::new(now.micros()) }
    }

    /// The number of a new client; the ones before it end.
    pub fn next_client_id(&self) -> u64 {
        self.current_client.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Whether no other client has replaced this one.
    pub fn is_current_client(&self, client: u64) -> bool {
        self.current_client.load(Ordering::Relaxed) == client
    }

    /// The discovery service said something, be it that there is nothing new.
    pub fn record_contact(&self, now: Timestamp) {
        self.last_contact.store(now.micros(), Ordering::Relaxed);
    }

    /// When the discovery service last said anything.
    pub fn last_contact(&self) -> Timestamp {
        Timestamp::from_micros(self.last_contact.load(Ordering::Relaxed))
    }
}
