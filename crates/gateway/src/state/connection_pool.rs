//! Connections to engines: how many may be open, and the idle ones. A connection in use belongs to the coroutine that
//! took it; an idle one belongs to the pool.

use super::connection_permits::{ConnectionPermits, PermitWait};
use super::engine_table::EngineInstance;
use super::lock;
use crate::engine::connection::Connection;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// One connection in so many is reserved for idle ones when all permits are taken: without any, each attempt would
/// open a connection of its own.
const IDLE_RESERVE_DIVISOR: usize = 8;
/// Fraction of an engine's idle timeout for which an idle connection is kept.
const IDLE_LIFETIME_FRACTION: f64 = 0.9;
/// A duplicate of an answer may come some milliseconds after the answer. A call sent on the same connection meanwhile
/// would take it for its own answer: another request's rows, or a false report that it never ran or has stopped.
pub const REUSE_DELAY: Duration = Duration::from_millis(25);

/// All connections to engines.
pub struct ConnectionPool {
    permits: ConnectionPermits,
    connections: Mutex<Connections>,
    max_open: usize,
    idle_lifetime: Duration,
}

#[derive(Default)]
struct Connections {
    /// By engine, in the order in which they became idle.
    idle_by_engine: BTreeMap<usize, Vec<IdleConnection>>,
    idle: usize,
    permits_held: usize,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Timestamp,
}

/// An idle connection that was taken out of the pool.
pub struct ReusedConnection {
    /// The connection.
    pub connection: Connection,
    /// When it may carry the next call.
    pub usable_from: Timestamp,
}

/// How many connections there may be at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolUsage {
    /// Permits that are taken.
    pub permits_held: usize,
    /// Idle connections.
    pub idle: usize,
}

/// The right to one open connection at a time, given back when dropped. It is held for a whole attempt, so that what
/// was sent can always be polled and cancelled.
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
    /// The last used of those that are past their reuse delay; else the one that will be first.
    fn take(&mut self, engine: usize, now: Timestamp) -> Option<IdleConnection> {
        let idle = self.idle_by_engine.get_mut(&engine).filter(|idle| !idle.is_empty())?;
        let reusable = idle.iter().rposition(|entry| now.since(entry.idle_since) >= REUSE_DELAY);
        self.idle -= 1;
        Some(idle.remove(reusable.unwrap_or(0)))
    }

    /// Closes the one that was idle longest.
    fn close_oldest(&mut self) {
        let oldest_of_each =
            self.idle_by_engine.iter().filter_map(|(engine, idle)| Some((idle.first()?.idle_since, *engine)));
        let Some((_, engine)) = oldest_of_each.min() else { return };
        if let Some(idle) = self.idle_by_engine.get_mut(&engine) {
            idle.remove(0);
            self.idle -= 1;
        }
    }
}

impl ConnectionPool {
    /// A pool of at most `max_open` connections. Engines close connections that were idle for `engine_idle_timeout`.
    pub fn new(max_open: usize, engine_idle_timeout: Duration) -> ConnectionPool {
        ConnectionPool {
            permits: ConnectionPermits::new((max_open - max_open / IDLE_RESERVE_DIVISOR).max(1)),
            connections: Mutex::default(),
            max_open,
            idle_lifetime: ConnectionPool::idle_lifetime(engine_idle_timeout),
        }
    }

    /// How long an idle connection is kept: a tenth less than the engine's timeout, so that none is written to as it
    /// closes, and no less than that, since a new connection costs its engine work and its request a round trip.
    pub fn idle_lifetime(engine_idle_timeout: Duration) -> Duration {
        engine_idle_timeout * IDLE_LIFETIME_FRACTION
    }

    /// Takes a permit, or waits for one; `None` when none became available in time.
    pub fn acquire(self: &Arc<Self>, priority: u8, wait: Option<PermitWait>) -> Option<ConnectionPermit> {
        if !self.permits.acquire(priority, wait) {
            return None;
        }
        lock(&self.connections).permits_held += 1;
        Some(ConnectionPermit { pool: self.clone() })
    }

    /// An idle connection to this process that is still good; where there is none, makes room for a new one. Only for
    /// a holder of a permit.
    pub fn take_idle(&self, instance: EngineInstance, now: Timestamp) -> Option<ReusedConnection> {
        let mut connections = lock(&self.connections);
        while let Some(IdleConnection { connection, idle_since }) = connections.take(instance.engine, now) {
            // One that was in use while its engine was replaced came back after all others were closed.
            let is_current = connection.instance() == instance;
            if now.since(idle_since) < self.idle_lifetime && is_current && connection.is_reusable() {
                return Some(ReusedConnection { connection, usable_from: idle_since + REUSE_DELAY });
            }
        }
        while connections.idle > 0 && connections.idle + connections.permits_held > self.max_open {
            connections.close_oldest();
        }
        None
    }

    /// Takes back a connection that is still good.
    pub fn put_back(&self, connection: Connection, now: Timestamp) {
        let mut connections = lock(&self.connections);
        let engine = connection.instance().engine;
        let idle = connections.idle_by_engine.entry(engine).or_default();
        idle.push(IdleConnection { connection, idle_since: now });
        connections.idle += 1;
        // Whoever gives the connection back still holds a permit.
        while connections.idle + connections.permits_held > self.max_open + 1 {
            connections.close_oldest();
        }
    }

    /// Closes all idle connections to an engine.
    pub fn close_idle(&self, engine: usize) {
        let mut connections = lock(&self.connections);
        let closed = connections.idle_by_engine.remove(&engine).map_or(0, |idle| idle.len());
        connections.idle -= closed;
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self, now: Timestamp) {
        let mut connections = lock(&self.connections);
        for idle in connections.idle_by_engine.values_mut() {
            idle.retain(|entry| now.since(entry.idle_since) < self.idle_lifetime);
        }
        connections.idle = connections.idle_by_engine.values().map(Vec::len).sum();
    }

    /// Permits held and idle connections.
    pub fn usage(&self) -> PoolUsage {
        let connections = lock(&self.connections);
        PoolUsage { permits_held: connections.permits_held, idle: connections.idle }
    }
}
