//! Connections to engines: how many may be open, and the idle ones. A connection in use belongs to the
//! coroutine that took it.

use super::lock;
use crate::link::Link;
use larchfall::time::{At, Span};
use may::sync::Semphore;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

pub struct Pool {
    in_use: Semphore,
    idle: Mutex<Idle>,
    most: usize,
    keep: Span,
}

#[derive(Default)]
struct Idle {
    by_engine: BTreeMap<usize, Vec<(At, Link)>>,
    count: usize,
    in_use: usize,
}

impl Idle {
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
    /// Engines close what was idle for `idle_close`: at half of that it is let go here.
    pub fn new(most: usize, idle_close: Span) -> Pool {
        Pool { in_use: Semphore::new(most), idle: Mutex::default(), most, keep: idle_close * 0.5 }
    }

    /// Waits for leave to use a connection; false when there was none in time.
    pub fn enter(&self, within: Duration) -> bool {
        if !self.in_use.try_wait() && (within.is_zero() || !self.in_use.wait_timeout(within)) {
            return false;
        }
        lock(&self.idle).in_use += 1;
        true
    }

    /// An idle connection that is still good; else makes room for a new one. Only between enter and exit.
    pub fn idle(&self, e: usize, now: At) -> Option<Link> {
        let mut idle = lock(&self.idle);
        while let Some((since, link)) = idle.by_engine.get_mut(&e).and_then(Vec::pop) {
            idle.count -= 1;
            if now.since(since) < self.keep && link.is_quiet() {
                return Some(link);
            }
        }
        while idle.count > 0 && idle.count + idle.in_use > self.most {
            idle.drop_oldest();
        }
        None
    }

    /// Ends the use of a connection, and keeps it when it is still good.
    pub fn exit(&self, e: usize, link: Option<Link>, now: At) {
        let mut idle = lock(&self.idle);
        idle.in_use -= 1;
        if let Some(link) = link {
            idle.by_engine.entry(e).or_default().push((now, link));
            idle.count += 1;
        }
        drop(idle);
        self.in_use.post();
    }

    pub fn forget(&self, e: usize) {
        let mut idle = lock(&self.idle);
        idle.count -= idle.by_engine.remove(&e).map_or(0, |links| links.len());
    }

    pub fn drop_stale(&self, now: At) {
        let mut idle = lock(&self.idle);
        let keep = self.keep;
        idle.by_engine.values_mut().for_each(|v| v.retain(|(since, _)| now.since(*since) < keep));
        idle.count = idle.by_engine.values().map(Vec::len).sum();
    }

    /// Connections in use and idle.
    pub fn open(&self) -> (usize, usize) {
        let idle = lock(&self.idle);
        (idle.in_use, idle.count)
    }
}
