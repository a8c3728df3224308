//! What one gateway keeps in memory. Nothing here does input or output, and no lock is held across a wait.
//!
//! Each part has one owner: what several coroutines share lies behind a lock of its own, private to the part's module.
//! `PolicyHandle` is the only one that calls the policy.

pub mod client_connections;
pub mod clock;
pub mod connection_permits;
pub mod connection_pool;
pub mod counters;
pub mod deadline_queue;
pub mod discovery_status;
pub mod engine_table;
pub mod limits;
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
use policy_handle::PolicyHandle;
use settings::TransportSettings;
use shutdown::Shutdown;
use slog::{Logger, info};
use stall_detector::StallDetector;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use timers::Timers;

/// All parts of a gateway, shared by its coroutines.
pub struct State {
    /// The clock that all times are read on.
    pub clock: Clock,
    /// Coroutines that wait with a deadline.
    pub timers: Arc<Timers>,
    /// Whether this process was kept from running.
    pub stall_detector: StallDetector,
    /// Where log lines go.
    pub log: Logger,
    /// Counters of requests and connections.
    pub counters: Counters,
    /// Settings of the transport.
    pub settings: TransportSettings,
    /// Limits of the transport.
    pub limits: Limits,
    /// The policy, the endpoint list and the requests in flight.
    pub policy: PolicyHandle,
    /// Clients of MessagePack-RPC.
    pub client_connections: ClientConnections,
    /// Connections to engines.
    pub engine_connections: Arc<ConnectionPool>,
    /// Whether this gateway is to end.
    pub shutdown: Shutdown,
    /// The connection to the discovery service.
    pub discovery: DiscoveryStatus,
    /// Load reports that members share, where there are leases for asking engines.
    pub shared_load_reports: Option<Mutex<LoadReportSharing>>,
}

impl State {
    /// Blocks for this long.
    pub fn sleep(&self, duration: Duration) {
        if duration > Duration::ZERO {
            self.timers.sleep(duration);
        }
    }

    /// Whether this gateway stalled for long and has not yet read what the discovery service sent meanwhile.
    pub fn is_behind_discovery(&self) -> bool {
        let heard = self.discovery.last_contact();
        self.stall_detector.discovery_catch_up(self.clock.now(), heard) > Duration::ZERO
    }

    /// Whether what clients, engines and the discovery service sent a while ago may still be unread.
    pub fn may_have_unread_input(&self) -> bool {
        self.is_behind_discovery() || self.stall_detector.is_event_poll_overdue(self.clock.now())
    }

    /// Whether this gateway is to ask that engine for a load report: no member that asks for all has sent one lately.
    pub fn needs_load_report(&self, engine: usize) -> bool {
        let Some(reports) = &self.shared_load_reports else { return true };
        let id = self.policy.engine_id(engine).map(u64::from);
        id.is_none_or(|id| !lock(reports).has_fresh_report(id, self.clock.now()))
    }

    /// Writes all counters to the log.
    pub fn log_counters(&self) {
        for line in self.counters.log_lines(&self.settings.names.classes) {
            info!(self.log, "{}", line);
        }
    }

    /// From now on nothing is promised beyond this time.
    pub fn begin_shutdown(&self, deadline: Timestamp) {
        self.shutdown.set_deadline(deadline);
        self.policy.set_shutdown_deadline(deadline);
    }
}

/// Locks a mutex even if another holder panicked: what it left behind are plain values, and the others go on.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
