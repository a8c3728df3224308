//! Registry of the open MessagePack-RPC client connections.

use super::lock;
use super::memory::MemoryPool;
use super::response_writer::ResponseWriter;
use larchfall_policy::time::Timestamp;
use may::io::WaitIoWaker;
use slab::Slab;
use std::sync::{Arc, Mutex};

/// All open MessagePack-RPC client connections. A connection's id is unique while the connection is open and may be
/// reused afterwards.
pub struct ClientConnections {
    writers: Mutex<Slab<Arc<ResponseWriter>>>,
    /// Memory for results and responses.
    memory: Arc<MemoryPool>,
}

/// A newly registered client connection.
pub struct RegisteredConnection {
    /// Id under which the connection is unregistered.
    pub id: usize,
    /// Buffer for the connection's outgoing responses.
    pub writer: Arc<ResponseWriter>,
}

impl ClientConnections {
    /// Creates an empty registry. `memory` holds the results and unsent responses of all connections.
    pub fn new(memory: Arc<MemoryPool>) -> ClientConnections {
        ClientConnections { writers: Mutex::new(Slab::new()), memory }
    }

    /// Adds a connection. `waker` wakes the connection's coroutine.
    pub fn register(&self, waker: WaitIoWaker, now: Timestamp) -> RegisteredConnection {
        let writer = Arc::new(ResponseWriter::new(waker, self.memory.account(), now));
        let id = lock(&self.writers).insert(writer.clone());
        RegisteredConnection { id, writer }
    }

    /// Removes a closed connection; does nothing if the id is unknown.
    pub fn unregister(&self, id: usize) {
        lock(&self.writers).try_remove(id);
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        lock(&self.writers).len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether every connection has neither open requests nor unsent response bytes.
    pub fn all_idle(&self) -> bool {
        lock(&self.writers).iter().all(|(_, writer)| writer.is_idle())
    }

    /// Wakes the coroutines of connections without reads or writes after `inactive_since`, and of connections that have
    /// awaited a complete message since `awaiting_since` or earlier. Each coroutine then decides whether to close its
    /// connection.
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

    /// Asks up to `max` idle connections to close, first those that still await a complete message, then the least
    /// recently active. Connections with activity at or after `active_since` are kept, because their clients may be
    /// about to send a request.
    pub fn evict_idle(&self, max: usize, active_since: Timestamp) {
        let mut evictable: Vec<_> = lock(&self.writers)
            .iter()
            .filter_map(|(_, writer)| Some((writer.eviction_order(active_since)?, writer.clone())))
            .collect();
        evictable.sort_by_key(|(order, _)| *order);
        for (_, writer) in evictable.into_iter().take(max) {
            writer.request_close();
        }
    }
}
