//! What one gateway keeps in memory. Nothing here does input or output on its own; no lock is held across a wait.

pub mod alarms;
pub mod clock;
pub mod counters;
pub mod due;
pub mod engines;
pub mod facade;
pub mod limits;
pub mod pages;
pub mod peer;
pub mod permits;
pub mod pool;
pub mod stalls;

use alarms::Alarms;
use clock::Clock;
use counters::Counters;
use facade::Facade;
use larchfall_config::Names;
use larchfall_leases::load_sharing::LoadReportSharing;
use larchfall_policy::time::{Duration, Timestamp};
use limits::Limits;
use peer::Peers;
use pool::Pool;
use slog::{Logger, info};
use stalls::Stalls;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// All parts of a gateway, shared by its coroutines.
pub struct State {
    pub clock: Clock,
    pub names: Names,
    /// How long clients of each request class wait at most.
    pub class_limits: Vec<Duration>,
    /// Request classes whose requests of one key go one after the other.
    pub in_order: Vec<bool>,
    /// No request may have two attempts out.
    pub single_attempt: bool,
    /// Request classes whose requests carry a mark by which a repeat is known.
    pub referenced: Vec<bool>,
    /// When to come back, for what the gateway itself pushes back.
    pub max_retry_after: Option<Duration>,
    /// A connection to an engine that is not up by then counts as failed.
    pub connect_within: Duration,
    /// An engine that drains by now is sent what was picked for it no longer ago than this.
    pub pick_holds: Duration,
    /// Answers that wait unread for so long have no reader.
    pub answers_kept: Duration,
    pub limits: Limits,
    pub stalls: Stalls,
    pub alarms: Arc<Alarms>,
    pub facade: Facade,
    pub peers: Peers,
    pub pool: Pool,
    pub counters: Counters,
    pub log: Logger,
    /// When this gateway ends, once it was told to.
    pub ends: Mutex<Option<Timestamp>>,
    /// All is answered: connections may end.
    pub done: AtomicBool,
    /// Which follower of the discovery service is the present one.
    pub discovery: AtomicU64,
    /// When the discovery service last said anything, in microseconds of the clock.
    pub discovery_heard: AtomicU64,
    /// What the holders of probing duties tell, where there are such duties.
    pub probing: Option<Mutex<LoadReportSharing>>,
}

impl State {
    pub fn ends(&self) -> Option<Timestamp> {
        *lock(&self.ends)
    }

    /// Rests for so long.
    pub fn sleep(&self, duration: Duration) {
        if duration > Duration::ZERO {
            self.alarms.sleep(duration);
        }
    }

    /// Whether this gateway stood still for long and has not heard since what the discovery service told meanwhile.
    pub fn is_deaf(&self) -> bool {
        let heard = Timestamp::from_micros(self.discovery_heard.load(Ordering::Relaxed));
        self.stalls.deaf_for(self.clock.now(), heard) > Duration::ZERO
    }

    /// Whether what clients, engines and the discovery service said a while ago may still be unread.
    pub fn hears_nothing(&self) -> bool {
        self.is_deaf() || self.stalls.starves_events(self.clock.now())
    }

    pub fn is_done(&self) -> bool {
        self.done.load(Ordering::Relaxed)
    }

    /// Whether this gateway is to ask that engine for its load by itself: nobody who asks for all has told it lately.
    pub fn is_to_ask(&self, e: usize) -> bool {
        let Some(probing) = &self.probing else { return true };
        let id = self.facade.id(e).map(u64::from);
        id.is_none_or(|id| !lock(probing).has_fresh_report(id, self.clock.now()))
    }

    /// The number of a new follower; the ones before it end.
    pub fn next_discovery(&self) -> u64 {
        self.discovery.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub fn is_current_discovery(&self, era: u64) -> bool {
        self.discovery.load(Ordering::Relaxed) == era
    }

    pub fn log_counters(&self) {
        for line in self.counters.lines(&self.names.classes) {
            info!(self.log, "{}", line);
        }
    }

    /// From now on nothing is promised beyond this time.
    pub fn end_at(&self, at: Timestamp) {
        *lock(&self.ends) = Some(at);
        self.facade.end_by(at);
    }
}

/// A part that panicked while it held a lock left plain values behind: the others go on.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
