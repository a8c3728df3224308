//! State of the connection to the discovery service.

use larchfall_policy::time::Timestamp;
use std::sync::atomic::{AtomicU64, Ordering};

/// The current discovery client, and the time of the last message from the discovery service.
pub struct DiscoveryStatus {
    current_client_id: AtomicU64,
    /// Time of the last message, in microseconds of the gateway's clock.
    last_contact_us: AtomicU64,
}

impl DiscoveryStatus {
    /// Creates the state before the first client starts. The endpoint list of the configuration counts as received at
    /// `now`.
    pub fn new(now: Timestamp) -> DiscoveryStatus {
        DiscoveryStatus {
            current_client_id: AtomicU64::new(0),
            last_contact_us: AtomicU64::new(now.micros()),
        }
    }

    /// Returns the id of a new discovery client. Clients with earlier ids are no longer current and stop.
    pub fn next_client_id(&self) -> u64 {
        self.current_client_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns whether the client with this id has not been replaced by a newer client.
    pub fn is_current_client(&self, client_id: u64) -> bool {
        self.current_client_id.load(Ordering::Relaxed) == client_id
    }

    /// Records a message from the discovery service, which may be a keepalive without changes.
    pub fn record_contact(&self, now: Timestamp) {
        self.last_contact_us.store(now.micros(), Ordering::Relaxed);
    }

    /// Returns the time of the last message from the discovery service.
    pub fn last_contact(&self) -> Timestamp {
        Timestamp::from_micros(self.last_contact_us.load(Ordering::Relaxed))
    }
}
