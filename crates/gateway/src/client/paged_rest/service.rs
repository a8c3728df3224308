//! State of the paged REST service that its connections share.

use crate::state::client_connections::ClientConnection;
use crate::state::lock;
use crate::state::result_pages::ResultPages;
use larchfall_operator_config::PagedRestConfig;
use larchfall_paged_rest::call_slots::CallSlots;
use larchfall_paged_rest::page_address::AddressKey;
use nanorand::{Rng, WyRand};
use std::sync::{Arc, Mutex};

/// Settings, open results and slots of waiting calls of the service.
pub struct RestService {
    settings: Mutex<Arc<PagedRestConfig>>,
    /// Pages of all open results.
    pub pages: ResultPages,
    pub(super) address_key: AddressKey,
    /// Generator of request ids.
    request_ids: Mutex<WyRand>,
    /// Slots of calls that wait for pages. Set at startup; a reload of the settings doesn't change limits.
    call_slots: Mutex<CallSlots<Arc<ClientConnection>>>,
}

impl RestService {
    /// Fails when the operating system provides no entropy. The key of page addresses is random and independent of
    /// `seed`, so that addresses can't be predicted from the gateway's seed.
    pub fn new(settings: PagedRestConfig, seed: u64) -> Result<RestService, getrandom::Error> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret)?;
        Ok(RestService {
            pages: ResultPages::new(settings.limits),
            address_key: AddressKey::new(&secret),
            request_ids: Mutex::new(WyRand::new_seed(!seed)),
            call_slots: Mutex::new(CallSlots::new(settings.max_connections)),
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

    /// Returns a slot for a call of this connection that may wait for a page. Returns `None` if there is none; the
    /// connection then queues for one, and is woken when it has to ask again.
    pub(super) fn acquire_call_slot(
        self: &Arc<Self>,
        connection: &Arc<ClientConnection>,
    ) -> Option<CallSlot> {
        let mut slots = lock(&self.call_slots);
        let is_granted = slots.acquire(connection);
        let next = slots.next_caller().filter(|_| is_granted);
        drop(slots);
        wake(next);
        is_granted.then(|| CallSlot { service: self.clone() })
    }

    /// Takes a connection out of the queue for slots.
    pub(super) fn leave_call_queue(&self, connection: &Arc<ClientConnection>) {
        let next = lock(&self.call_slots).leave(connection);
        wake(next);
    }
}

fn wake(connection: Option<Arc<ClientConnection>>) {
    if let Some(connection) = connection {
        connection.wake();
    }
}

/// A slot of a call that may wait for a page. It is given back when this is dropped, also when the connection's coroutine
/// panics.
pub(super) struct CallSlot {
    service: Arc<RestService>,
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        let next = lock(&self.service.call_slots).release();
        wake(next);
    }
}
