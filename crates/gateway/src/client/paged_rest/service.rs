//! State of the paged REST service that its connections share.

use crate::state::lock;
use crate::state::result_pages::ResultPages;
use larchfall_operator_config::PagedRestConfig;
use larchfall_paged_rest::page_address::AddressKey;
use nanorand::{Rng, WyRand};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Settings, open results and connection count of the service.
pub struct RestService {
    settings: Mutex<Arc<PagedRestConfig>>,
    /// Set at startup; a reload of the settings doesn't change limits.
    max_connections: usize,
    /// Pages of all open results.
    pub pages: ResultPages,
    pub(super) address_key: AddressKey,
    /// Generator of request ids.
    request_ids: Mutex<WyRand>,
    /// Number of open connections.
    connections: AtomicUsize,
}

impl RestService {
    /// Fails when the operating system provides no entropy. The key of page addresses is random and independent of
    /// `seed`, so that addresses can't be predicted from the gateway's seed.
    pub fn new(settings: PagedRestConfig, seed: u64) -> Result<RestService, getrandom::Error> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret)?;
        Ok(RestService {
            max_connections: settings.max_connections,
            pages: ResultPages::new(settings.limits),
            address_key: AddressKey::new(&secret),
            request_ids: Mutex::new(WyRand::new_seed(!seed)),
            connections: AtomicUsize::new(0),
            settings: Mutex::new(Arc::new(settings)),
        })
    }

    pub(super) fn settings(&self) -> Arc<PagedRestConfig> {
        lock(&self.settings).clone()
    }

    /// Replaces the settings. Sources of request fields apply from the next call on; changes to the listener and to
    /// limits take effect only at the next start.
    pub fn reload(&self, settings: PagedRestConfig) {
        *lock(&self.settings) = Arc::new(settings);
    }

    /// Generates the id of a new request.
    pub(super) fn next_request_id(&self) -> u64 {
        lock(&self.request_ids).generate()
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Whether the connection limit is reached.
    pub(super) fn is_full(&self) -> bool {
        self.open_connections() >= self.max_connections
    }

    /// Counts a connection as open until the returned guard is dropped.
    pub(super) fn register_connection(self: &Arc<Self>) -> OpenConnectionGuard {
        self.connections.fetch_add(1, Ordering::Relaxed);
        OpenConnectionGuard { service: self.clone() }
    }
}

/// Counts a connection as open until dropped, also when the connection's coroutine panics.
pub(super) struct OpenConnectionGuard {
    service: Arc<RestService>,
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.service.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
