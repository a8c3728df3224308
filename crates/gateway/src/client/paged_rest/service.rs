//! What the service keeps beside its connections.

use crate::state::lock;
use crate::state::result_pages::ResultPages;
use larchfall_operator_config::PagedRestConfig;
use larchfall_paged_rest::page_address::AddressKey;
use nanorand::{Rng, WyRand};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// The state that all connections of the service share.
pub struct RestService {
    settings: Mutex<Arc<PagedRestConfig>>,
    /// As at the start: a reload does not change the limits of what is open.
    max_connections: usize,
    /// Open results.
    pub pages: ResultPages,
    pub(super) address_key: AddressKey,
    ids: Mutex<WyRand>,
    connections: AtomicUsize,
}

impl RestService {
    /// The key of page addresses comes from the system's entropy: who knows this gateway's seed must not know them.
    pub fn new(settings: PagedRestConfig, seed: u64) -> Result<RestService, getrandom::Error> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret)?;
        Ok(RestService {
            max_connections: settings.max_connections,
            pages: ResultPages::new(settings.limits),
            address_key: AddressKey::new(&secret),
            ids: Mutex::new(WyRand::new_seed(!seed)),
            connections: AtomicUsize::new(0),
            settings: Mutex::new(Arc::new(settings)),
        })
    }

    pub(super) fn settings(&self) -> Arc<PagedRestConfig> {
        lock(&self.settings).clone()
    }

    /// Uses other sources for the fields of requests from the next call on. The listener and all limits change with the
    /// next start.
    pub fn reload(&self, settings: PagedRestConfig) {
        *lock(&self.settings) = Arc::new(settings);
    }

    /// An id for a new request.
    pub(super) fn next_id(&self) -> u64 {
        lock(&self.ids).generate()
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    pub(super) fn is_full(&self) -> bool {
        self.open_connections() >= self.max_connections
    }

    /// Counts a connection for as long as the value returned lives.
    pub(super) fn count_connection(self: &Arc<Self>) -> CountedConnection {
        self.connections.fetch_add(1, Ordering::Relaxed);
        CountedConnection { service: self.clone() }
    }
}

/// A connection that counts as open until this is dropped, whatever ends its coroutine.
pub(super) struct CountedConnection {
    service: Arc<RestService>,
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.service.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
