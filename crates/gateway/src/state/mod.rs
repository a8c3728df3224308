//! What one front keeps in memory. Nothing here does input or output on its own; no lock is held across a wait.

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
use larchfall_leases::probing::Probing;
use larchfall_policy::time::{At, Span};
use limits::Limits;
use peer::Peers;
use pool::Pool;
use slog::{Logger, info};
use stalls::Stalls;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// All parts of a front, shared by its coroutines.
pub struct State {
    pub clock: Clock,
    pub names: Names,
    /// How long clients of each service group wait at most.
    pub group_limits: Vec<Span>,
    /// Service groups whose batches of one key go one after the other.
    pub in_order: Vec<bool>,
    /// No batch may have two dispatches out.
    pub one_at_a_time: bool,
    /// Service groups whose batches carry a mark by which a repeat is known.
    pub referenced: Vec<bool>,
    /// When to come back, for what the front itself pushes back.
    pub come_back: Option<Span>,
    /// A connection to an engine that is not up by then counts as failed.
    pub connect_within: Span,
    /// An engine that drains by now is sent what was picked for it no longer ago than this.
    pub pick_holds: Span,
    /// Answers that wait unread for so long have no reader.
    pub answers_kept: Span,
    pub limits: Limits,
    pub stalls: Stalls,
    pub alarms: Arc<Alarms>,
    pub facade: Facade,
    pub peers: Peers,
    pub pool: Pool,
    pub counters: Counters,
    pub log: Logger,
    /// When this front ends, once it was told to.
    pub ends: Mutex<Option<At>>,
    /// All is answered: connections may end.
    pub done: AtomicBool,
    /// Which follower of the notice board is the present one.
    pub board: AtomicU64,
    /// When the board last said anything, in microseconds of the clock.
    pub board_heard: AtomicU64,
    /// What the holders of probing duties tell, where there are such duties.
    pub probing: Option<Mutex<Probing>>,
}

impl State {
    pub fn ends(&self) -> Option<At> {
        *lock(&self.ends)
    }

    /// Rests for so long.
    pub fn sleep(&self, span: Span) {
        if span > Span::ZERO {
            self.alarms.sleep(span);
        }
    }

    /// Whether this front stood still for long and has not heard since what the board told meanwhile.
    pub fn is_deaf(&self) -> bool {
        let heard = At::from_micros(self.board_heard.load(Ordering::Relaxed));
        self.stalls.deaf_for(self.clock.now(), heard) > Span::ZERO
    }

    /// Whether what clients, engines and the board said a while ago may still be unread.
    pub fn hears_nothing(&self) -> bool {
        self.is_deaf() || self.stalls.starves_events(self.clock.now())
    }

    pub fn is_done(&self) -> bool {
        self.done.load(Ordering::Relaxed)
    }

    /// Whether this front is to ask that engine for its load by itself: nobody who asks for all has told it lately.
    pub fn is_to_ask(&self, e: usize) -> bool {
        let Some(probing) = &self.probing else { return true };
        let id = self.facade.id(e).map(u64::from);
        id.is_none_or(|id| !lock(probing).is_fresh(id, self.clock.now()))
    }

    /// The number of a new follower; the ones before it end.
    pub fn next_board(&self) -> u64 {
        self.board.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub fn is_board(&self, era: u64) -> bool {
        self.board.load(Ordering::Relaxed) == era
    }

    pub fn log_counters(&self) {
        for line in self.counters.lines(&self.names.groups) {
            info!(self.log, "counters: {}", line);
        }
    }

    /// From now on nothing is promised beyond this time.
    pub fn end_at(&self, at: At) {
        *lock(&self.ends) = Some(at);
        self.facade.end_by(at);
    }
}

/// A part that panicked while it held a lock left plain values behind: the others go on.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
