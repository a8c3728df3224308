//! Registry of the open client connections of all protocols.

use super::lock;
use larchfall_policy::client_connection::{
    ConnectionActivity, ConnectionEnd, ConnectionTimeouts, choose_evictions, places_to_free,
};
use larchfall_policy::time::Timestamp;
use may::io::WaitIoWaker;
use slab::Slab;
use std::sync::{Arc, Mutex};

/// The protocol that a client connection speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientProtocol {
    /// MessagePack-RPC.
    MessagePack,
    /// The paged REST protocol.
    PagedRest,
}

/// Largest numbers of open client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Of all protocols together.
    pub total: usize,
    /// Of MessagePack-RPC.
    pub message_pack: usize,
}

/// All open client connections. A connection's id is unique while the connection is open and may be reused afterwards.
pub struct ClientConnections {
    open: Mutex<OpenConnections>,
    limits: ConnectionLimits,
}

#[derive(Default)]
struct OpenConnections {
    connections: Slab<Arc<ClientConnection>>,
    /// How many of them speak MessagePack-RPC.
    message_pack: usize,
}

/// An open client connection.
pub struct ClientConnection {
    protocol: ClientProtocol,
    activity: Mutex<ConnectionActivity>,
    /// Wakes the connection's coroutine.
    waker: WaitIoWaker,
}

/// A connection is equal to itself only.
impl PartialEq for ClientConnection {
    fn eq(&self, other: &ClientConnection) -> bool {
        std::ptr::eq(self, other)
    }
}

impl ClientConnection {
    /// Updates what is known of the connection, or reads it.
    pub fn update<R>(&self, update: impl FnOnce(&mut ConnectionActivity) -> R) -> R {
        update(&mut lock(&self.activity))
    }

    /// Wakes the connection's coroutine.
    pub fn wake(&self) {
        self.waker.wakeup();
    }

    /// Returns why the gateway closes the connection now, if it does.
    pub fn end(&self, now: Timestamp) -> Option<ConnectionEnd> {
        self.update(|activity| activity.end(now))
    }
}

/// A newly registered client connection.
pub struct RegisteredConnection {
    /// Id under which the connection is unregistered.
    pub id: usize,
    /// The connection.
    pub connection: Arc<ClientConnection>,
}

impl ClientConnections {
    /// Creates an empty registry.
    pub fn new(limits: ConnectionLimits) -> ClientConnections {
        ClientConnections { open: Mutex::default(), limits }
    }

    /// Adds a connection that was accepted at `now`. `waker` wakes the connection's coroutine.
    pub fn register(
        &self,
        protocol: ClientProtocol,
        timeouts: ConnectionTimeouts,
        waker: WaitIoWaker,
        now: Timestamp,
    ) -> RegisteredConnection {
        let activity = Mutex::new(ConnectionActivity::new(timeouts, now));
        let connection = Arc::new(ClientConnection { protocol, activity, waker });
        let mut open = lock(&self.open);
        open.message_pack += usize::from(protocol == ClientProtocol::MessagePack);
        let id = open.connections.insert(connection.clone());
        RegisteredConnection { id, connection }
    }

    /// Removes a closed connection; does nothing if the id is unknown.
    pub fn unregister(&self, id: usize) {
        let mut open = lock(&self.open);
        if let Some(removed) = open.connections.try_remove(id) {
            open.message_pack -= usize::from(removed.protocol == ClientProtocol::MessagePack);
        }
    }

    /// Number of open connections of all protocols.
    pub fn len(&self) -> usize {
        lock(&self.open).connections.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether every connection has neither open requests nor unsent response bytes.
    pub fn all_idle(&self) -> bool {
        self.all().iter().all(|connection| !connection.update(|activity| activity.is_busy()))
    }

    /// Wakes the coroutines of connections of which a timeout has passed. Each coroutine then decides whether to close
    /// its connection.
    pub fn wake_overdue(&self, now: Timestamp) {
        for connection in self.all() {
            if connection.update(|activity| activity.is_overdue(now)) {
                connection.wake();
            }
        }
    }

    /// Wakes the coroutines of all connections.
    pub fn wake_all(&self) {
        for connection in self.all() {
            connection.wake();
        }
    }

    /// Returns whether another connection of this protocol may be accepted. Asks connections to close where places are
    /// short, of whichever protocol.
    pub fn make_room(&self, protocol: ClientProtocol, now: Timestamp) -> bool {
        let open = lock(&self.open);
        let (total, message_pack) = (open.connections.len(), open.message_pack);
        drop(open);
        let has_place = self.make_room_among(total, self.limits.total, now, |_| true);
        let is_limited = protocol == ClientProtocol::MessagePack;
        let is_of_protocol = |connection: &ClientConnection| connection.protocol == protocol;
        has_place
            && (!is_limited
                || self.make_room_among(message_pack, self.limits.message_pack, now, is_of_protocol))
    }

    /// Asks as many of the candidates to close as the policy frees places, if `open` of `max` places are taken. Returns
    /// whether there is a free place now.
    fn make_room_among(
        &self,
        open: usize,
        max: usize,
        now: Timestamp,
        is_candidate: impl Fn(&ClientConnection) -> bool,
    ) -> bool {
        let needed = places_to_free(open, max);
        if needed > 0 {
            let candidates =
                self.all().into_iter().filter(|connection| is_candidate(connection)).map(|connection| {
                    let activity = connection.update(|activity| *activity);
                    (connection, activity)
                });
            for connection in choose_evictions(candidates, needed, now) {
                connection.update(ConnectionActivity::request_close);
                connection.wake();
            }
        }
        open < max
    }

    fn all(&self) -> Vec<Arc<ClientConnection>> {
        lock(&self.open).connections.iter().map(|(_, connection)| connection.clone()).collect()
    }
}
