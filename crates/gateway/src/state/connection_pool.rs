//! Pool of connections to engines. The pool bounds the number of open connections and owns the idle ones; a connection
//! in use is owned by the coroutine that took it from the pool.

use super::connection_permits::{ConnectionPermits, PermitWait};
use super::engine_table::EngineInstance;
use super::lock;
use crate::engine::connection::Connection;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// One in this many connections stays reserved for idle connections while all permits are taken. Without idle
/// connections, each attempt would open a new connection.
const IDLE_RESERVE_DIVISOR: usize = 8;
/// Fraction of an engine's idle timeout for which the pool keeps an idle connection.
const IDLE_LIFETIME_FRACTION: f64 = 0.9;
/// Minimum time between two uses of a connection. A duplicate of a response may arrive some milliseconds after the
/// response itself. The next call on the connection would take the duplicate for its own response, and so return
/// another request's rows or report that its query never ran or has stopped.
pub const REUSE_DELAY: Duration = Duration::from_millis(25);

/// All connections of this gateway to engines.
pub struct ConnectionPool {
    permits: ConnectionPermits,
    connections: Mutex<Connections>,
    max_open: usize,
    idle_lifetime: Duration,
}

#[derive(Default)]
struct Connections {
    /// Idle connections by engine index, each list in the order in which its connections became idle.
    idle_by_engine: BTreeMap<usize, Vec<IdleConnection>>,
    /// Total number of idle connections of all engines.
    idle_count: usize,
    permits_held: usize,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Timestamp,
}

/// An idle connection that was taken out of the pool.
pub struct ReusedConnection {
    /// The connection, which has not reached its idle lifetime.
    pub connection: Connection,
    /// Earliest time at which the next call may be sent, `REUSE_DELAY` after the last use.
    pub usable_from: Timestamp,
}

/// Current use of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolUsage {
    /// Number of permits held by attempts.
    pub permits_held: usize,
    /// Number of idle connections.
    pub idle: usize,
}

/// Permission to have one connection open, returned to the pool on drop. An attempt holds its permit to the end, so
/// that a query sent to an engine can always be polled and cancelled.
pub struct ConnectionPermit {
    pool: Arc<ConnectionPool>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        lock(&self.pool.connections).permits_held -= 1;
        self.pool.permits.release();
    }
}

impl Connections {
    /// Takes the engine's most recently used connection that is past its reuse delay, or else the connection whose
    /// delay ends first.
    fn take_idle(&mut self, engine: usize, now: Timestamp) -> Option<IdleConnection> {
        let idle = self.idle_by_engine.get_mut(&engine).filter(|idle| !idle.is_empty())?;
        let reusable = idle.iter().rposition(|entry| now.since(entry.idle_since) >= REUSE_DELAY);
        self.idle_count -= 1;
        Some(idle.remove(reusable.unwrap_or(0)))
    }

    /// Closes the connection that has been idle longest, of all engines.
    fn close_longest_idle(&mut self) {
        let oldest_of_each =
            self.idle_by_engine.iter().filter_map(|(engine, idle)| Some((idle.first()?.idle_since, *engine)));
        let Some((_, engine)) = oldest_of_each.min() else { return };
        if let Some(idle) = self.idle_by_engine.get_mut(&engine) {
            idle.remove(0);
            self.idle_count -= 1;
        }
    }
}

impl ConnectionPool {
    /// Creates a pool of at most `max_open` connections. `engine_idle_timeout` is the time after which engines close an
    /// idle connection.
    pub fn new(max_open: usize, engine_idle_timeout: Duration) -> ConnectionPool {
        ConnectionPool {
            permits: ConnectionPermits::new((max_open - max_open / IDLE_RESERVE_DIVISOR).max(1)),
            connections: Mutex::default(),
            max_open,
            idle_lifetime: ConnectionPool::idle_lifetime(engine_idle_timeout),
        }
    }

    /// Returns how long the pool keeps an idle connection: the engine's timeout less a tenth. The margin avoids writing
    /// to a connection while the engine closes it. It is kept small because a new connection costs the engine work and
    /// the request a round trip.
    pub fn idle_lifetime(engine_idle_timeout: Duration) -> Duration {
        engine_idle_timeout * IDLE_LIFETIME_FRACTION
    }

    /// Acquires a permit, waiting for a free permit if `wait` is given; `None` if no permit became available in time.
    pub fn acquire(self: &Arc<Self>, priority: u8, wait: Option<PermitWait>) -> Option<ConnectionPermit> {
        if !self.permits.acquire(priority, wait) {
            return None;
        }
        lock(&self.connections).permits_held += 1;
        Some(ConnectionPermit { pool: self.clone() })
    }

    /// Takes a usable idle connection to this engine process. If there is none, closes idle connections until the pool
    /// has capacity for a new connection. The caller must hold a permit.
    pub fn take_idle(&self, instance: EngineInstance, now: Timestamp) -> Option<ReusedConnection> {
        let mut connections = lock(&self.connections);
        while let Some(IdleConnection { connection, idle_since }) =
            connections.take_idle(instance.engine, now)
        {
            // A connection that was in use while its engine process was replaced returns to the pool after the pool has
            // closed the idle connections to the old process.
            let is_current = connection.instance() == instance;
            if now.since(idle_since) < self.idle_lifetime && is_current && connection.is_reusable() {
                return Some(ReusedConnection { connection, usable_from: idle_since + REUSE_DELAY });
            }
        }
        while connections.idle_count > 0 && connections.idle_count + connections.permits_held > self.max_open
        {
            connections.close_longest_idle();
        }
        None
    }

    /// Returns a reusable connection to the pool.
    pub fn put_back(&self, connection: Connection, now: Timestamp) {
        let mut connections = lock(&self.connections);
        let engine = connection.instance().engine;
        let idle = connections.idle_by_engine.entry(engine).or_default();
        idle.push(IdleConnection { connection, idle_since: now });
        connections.idle_count += 1;
        // The caller still holds the permit of the returned connection, which is therefore counted twice.
        while connections.idle_count + connections.permits_held > self.max_open + 1 {
            connections.close_longest_idle();
        }
    }

    /// Closes all idle connections to the engine with this index.
    pub fn close_idle(&self, engine: usize) {
        let mut connections = lock(&self.connections);
        let closed = connections.idle_by_engine.remove(&engine).map_or(0, |idle| idle.len());
        connections.idle_count -= closed;
    }

    /// Closes connections that have reached their idle lifetime.
    pub fn close_expired(&self, now: Timestamp) {
        let mut connections = lock(&self.connections);
        for idle in connections.idle_by_engine.values_mut() {
            idle.retain(|entry| now.since(entry.idle_since) < self.idle_lifetime);
        }
        connections.idle_count = connections.idle_by_engine.values().map(Vec::len).sum();
    }

    /// Returns the current number of held permits and idle connections.
    pub fn usage(&self) -> PoolUsage {
        let connections = lock(&self.connections);
        PoolUsage { permits_held: connections.permits_held, idle: connections.idle_count }
    }
}
