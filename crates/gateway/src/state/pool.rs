//! Connections to engines: how many may be open, and the idle ones. A connection in use belongs to the
//! coroutine that took it.

use super::alarms::Alarms;
use super::engines::Home;
use super::lock;
use super::permits::Permits;
use crate::engines::link::Link;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::sync::Mutex;

/// One in so many connections is left to idle ones when all permits are taken: without any, each attempt would
/// open a connection of its own.
const SPARE: usize = 8;
/// The part of the time until engines close it that an idle connection is kept.
const KEEP: f64 = 0.9;
/// A second copy of an answer may come some milliseconds after the first. Whatever call went out on its connection
/// meanwhile would take it for its own answer: another request's rows, or a word that it never ran or has stopped.
pub const RESTS: Duration = Duration::from_millis(25);

pub struct Pool {
    permits: Permits,
    idle: Mutex<Idle>,
    most: usize,
    keep: Duration,
}

#[derive(Default)]
struct Idle {
    by_engine: BTreeMap<usize, Vec<(Timestamp, Link)>>,
    count: usize,
    held: usize,
}

impl Idle {
    /// The one that was used last of those that have rested; else the one that has rested longest.
    fn take(&mut self, e: usize, now: Timestamp) -> Option<(Timestamp, Link)> {
        let links = self.by_engine.get_mut(&e).filter(|links| !links.is_empty())?;
        let rested = links.iter().rposition(|(since, _)| now.since(*since) >= RESTS);
        self.count -= 1;
        Some(links.remove(rested.unwrap_or(0)))
    }

    /// Drops the one that was idle longest.
    fn drop_oldest(&mut self) {
        let oldest = self.by_engine.iter().filter_map(|(e, v)| Some((v.first()?.0, *e))).min();
        if let Some(links) = oldest.and_then(|(_, e)| self.by_engine.get_mut(&e)) {
            links.remove(0);
            self.count -= 1;
        }
    }
}

impl Pool {
    /// Engines close what was idle for `idle_close`. Here it is let go a tenth of that earlier, so that none is written
    /// to as it closes, and no sooner: each new connection costs its engine work and its request a way there and back.
    pub fn new(most: usize, idle_close: Duration) -> Pool {
        let permits = Permits::new((most - most / SPARE).max(1));
        Pool { permits, idle: Mutex::default(), most, keep: Pool::kept(idle_close) }
    }

    pub fn kept(idle_close: Duration) -> Duration {
        idle_close * KEEP
    }

    /// A permit is the right to one connection at a time. It is taken for a whole attempt, so that what was
    /// sent can always be asked for and given up; false when none came free in time.
    pub fn acquire(&self, priority: u8, wait: Option<(&Alarms, Timestamp)>) -> bool {
        let held = self.permits.take(priority, wait);
        if held {
            lock(&self.idle).held += 1;
        }
        held
    }

    pub fn release(&self) {
        lock(&self.idle).held -= 1;
        self.permits.leave();
    }

    /// An idle connection that is still good, and from when on it may carry a call; else makes room for a new one. Only
    /// for who holds a permit.
    pub fn idle(&self, e: usize, home: Home, now: Timestamp) -> Option<(Link, Timestamp)> {
        let mut idle = lock(&self.idle);
        while let Some((since, link)) = idle.take(e, now) {
            // One that was in use while its engine moved came back after all others were dropped.
            if now.since(since) < self.keep && link.home() == home && link.is_quiet() {
                return Some((link, since + RESTS));
            }
        }
        while idle.count > 0 && idle.count + idle.held > self.most {
            idle.drop_oldest();
        }
        None
    }

    /// Takes back a connection that is still good.
    pub fn keep(&self, e: usize, link: Link, now: Timestamp) {
        let mut idle = lock(&self.idle);
        idle.by_engine.entry(e).or_default().push((now, link));
        idle.count += 1;
        // The permit of whoever gives it back is still taken.
        while idle.count + idle.held > self.most + 1 {
            idle.drop_oldest();
        }
    }

    pub fn forget(&self, e: usize) {
        let mut idle = lock(&self.idle);
        idle.count -= idle.by_engine.remove(&e).map_or(0, |links| links.len());
    }

    pub fn drop_stale(&self, now: Timestamp) {
        let mut idle = lock(&self.idle);
        let keep = self.keep;
        idle.by_engine.values_mut().for_each(|v| v.retain(|(since, _)| now.since(*since) < keep));
        idle.count = idle.by_engine.values().map(Vec::len).sum();
    }

    /// Permits taken, and idle connections.
    pub fn open(&self) -> (usize, usize) {
        let idle = lock(&self.idle);
        (idle.held, idle.count)
    }
}
