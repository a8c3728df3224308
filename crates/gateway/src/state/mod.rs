//! The in-memory state of a gateway. These modules do no I/O, and no lock is held while a coroutine waits.
//!
//! Each submodule owns its data: data that coroutines share is behind a mutex private to the submodule. Only
//! `PolicyHandle` calls the policy.

pub mod budgeted_buffer;
pub mod client_connections;
pub mod clock;
pub mod connection_permits;
pub mod connection_pool;
pub mod counters;
pub mod deadline_queue;
pub mod discovery_status;
pub mod engine_table;
pub mod limits;
pub mod memory;
pub mod policy_handle;
pub mod response_writer;
pub mod result_pages;
pub mod settings;
pub mod shutdown;
pub mod stall_detector;
pub mod timers;

use client_connections::ClientConnections;
use clock::Clock;
use connection_pool::ConnectionPool;
use counters::Counters;
use discovery_status::DiscoveryStatus;
use larchfall_leases::load_sharing::LoadReportSharing;
use larchfall_policy::time::{Duration, Timestamp};
use limits::Limits;
use memory::MemoryPool;
use policy_handle::PolicyHandle;
use settings::TransportSettings;
use shutdown::Shutdown;
use slog::{Logger, info};
use stall_detector::StallDetector;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use timers::Timers;

/// The state of a gateway, shared by all its coroutines.
pub struct State {
    /// Source of all timestamps.
    pub clock: Clock,
    /// Deadlines of waiting coroutines.
    pub timers: Arc<Timers>,
    /// Detector of periods in which this process did not run.
    pub stall_detector: StallDetector,
    /// Destination of log lines.
    pub log: Logger,
    /// Counters of requests and connections.
    pub counters: Counters,
    /// Settings of the transport, fixed at startup.
    pub settings: TransportSettings,
    /// Resource limits of the transport, fixed at startup.
    pub limits: Limits,
    /// Memory for the input and the requests in flight of all clients.
    pub request_memory: Arc<MemoryPool>,
    /// Memory for results that are being read and responses not yet sent, of all clients.
    pub response_memory: Arc<MemoryPool>,
    /// The policy, the endpoint list and the requests in flight.
    pub policy: PolicyHandle,
    /// Open client connections of all protocols.
    pub client_connections: ClientConnections,
    /// Pool of connections to engines.
    pub engine_connections: Arc<ConnectionPool>,
    /// Progress of the gateway's shutdown.
    pub shutdown: Shutdown,
    /// State of the connection to the discovery service.
    pub discovery: DiscoveryStatus,
    /// Load reports shared between members; `None` if no leases assign the members that request load reports.
    pub shared_load_reports: Option<Mutex<LoadReportSharing>>,
}

impl State {
    /// Blocks the calling coroutine for this long; returns at once if `duration` is zero.
    pub fn sleep(&self, duration: Duration) {
        if duration > Duration::ZERO {
            self.timers.sleep(duration);
        }
    }

    /// Returns whether this gateway had a long stall and may not yet have read the watch events sent during the stall.
    pub fn is_behind_discovery(&self) -> bool {
        let last_contact = self.discovery.last_contact();
        self.stall_detector.discovery_catch_up(self.clock.now(), last_contact) > Duration::ZERO
    }

    /// Returns whether sockets may hold data from clients, engines or the discovery service that arrived some time ago.
    pub fn may_have_unread_input(&self) -> bool {
        self.is_behind_discovery() || self.stall_detector.is_event_poll_overdue(self.clock.now())
    }

    /// Returns whether this gateway must request a load report from the engine itself, because no member has shared a
    /// recent report of the engine.
    pub fn needs_load_report(&self, engine: usize) -> bool {
        let Some(reports) = &self.shared_load_reports else { return true };
        let id = self.policy.engine_id(engine).map(u64::from);
        id.is_none_or(|id| !lock(reports).has_fresh_report(id, self.clock.now()))
    }

    /// Writes all counters to the log.
    pub fn log_counters(&self) {
        let counters = self.counters.log_lines(&self.settings.names.classes);
        let memory =
            [&self.request_memory, &self.response_memory].into_iter().flat_map(|pool| pool.log_lines());
        for line in counters.into_iter().chain(memory) {
            info!(self.log, "{}", line);
        }
    }

    /// Begins the shutdown: request deadlines are capped at `deadline`, and the policy plans nothing beyond `deadline`.
    pub fn begin_shutdown(&self, deadline: Timestamp) {
        self.shutdown.set_deadline(deadline);
        self.policy.set_shutdown_deadline(deadline);
    }
}

/// Locks a mutex even if it is poisoned. A panicking holder leaves plain values without broken invariants behind, and
/// the other coroutines must keep running.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
