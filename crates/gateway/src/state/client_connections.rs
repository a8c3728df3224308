//! All client connections of MessagePack-RPC.

use super::lock;
use super::response_writer::{ResponseWriter, UnreadBytes};
use larchfall_policy::time::Timestamp;
use may::io::WaitIoWaker;
use slab::Slab;
use std::sync::{Arc, Mutex};

/// The connections, by a number that each has while it is open.
pub struct ClientConnections {
    writers: Mutex<Slab<Arc<ResponseWriter>>>,
    unread: Arc<UnreadBytes>,
}

/// A connection that was registered.
pub struct RegisteredConnection {
    /// Its number.
    pub id: usize,
    /// Its responses.
    pub writer: Arc<ResponseWriter>,
}

impl ClientConnections {
    /// No connections; responses of all together may hold `max_unsent_bytes`.
    pub fn new(max_unsent_bytes: usize) -> ClientConnections {
        ClientConnections {
            writers: Mutex::new(Slab::new()),
            unread: Arc::new(UnreadBytes::new(max_unsent_bytes)),
        }
    }

    /// Adds a connection whose coroutine is woken by this waker.
    pub fn register(&self, waker: WaitIoWaker, now: Timestamp) -> RegisteredConnection {
        let writer = Arc::new(ResponseWriter::new(waker, self.unread.clone(), now));
        let id = lock(&self.writers).insert(writer.clone());
        RegisteredConnection { id, writer }
    }

    /// Removes a connection that has ended.
    pub fn unregister(&self, id: usize) {
        lock(&self.writers).try_remove(id);
    }

    /// How many connections are open.
    pub fn len(&self) -> usize {
        lock(&self.writers).len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether on all connections nothing is open and nothing is on its way out.
    pub fn all_idle(&self) -> bool {
        lock(&self.writers).iter().all(|(_, writer)| writer.is_idle())
    }

    /// Wakes connections without activity after `inactive_since`, and those that await a complete message since before
    /// `awaiting_since`: each decides itself whether to end.
    pub fn wake_overdue(&self, inactive_since: Timestamp, awaiting_since: Timestamp) {
        let overdue: Vec<Arc<ResponseWriter>> = lock(&self.writers)
            .iter()
            .map(|(_, writer)| writer)
            .filter(|writer| writer.is_overdue(inactive_since, awaiting_since))
            .cloned()
            .collect();
        for writer in overdue {
            writer.wake();
        }
    }

    /// Asks up to `max` connections to close, of those on which no response is owed. One with activity since `recent`
    /// may be about to send a request and stays.
    pub fn evict_idle(&self, max: usize, recent: Timestamp) {
        let mut evictable: Vec<_> = lock(&self.writers)
            .iter()
            .filter_map(|(_, writer)| Some((writer.eviction_order(recent)?, writer.clone())))
            .collect();
        evictable.sort_by_key(|(order, _)| *order);
        for (_, writer) in evictable.into_iter().take(max) {
            writer.request_close();
        }
    }
}
