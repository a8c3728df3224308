//! The duty of probing: its holder asks engines for their load and tells all gateways, with its token; they take what is
//! fresh instead of asking themselves, and ask again on their own once it grows old. Engines are shared out over a
//! few such duties by a hash of their id, so that one holder does not ask all.

use crate::permit::{Fence, Harmless, Stamped};
use larchfall_policy::time::{Duration, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// An engine's load as its probe told it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    pub engine: u64,
    /// How old it was when it was sent.
    pub age_us: u32,
    pub in_hand: Option<f32>,
    pub busy: Option<f32>,
}

/// A question to an engine for its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    pub engine: usize,
}

impl Harmless for Probe {
    const LATE_COSTS: &'static str = "one more question to the engine, which changes nothing there";
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How many duties share the engines.
    pub duties: usize,
    /// The holder asks each of its engines this often.
    pub every: Duration,
    /// Older readings count for nothing, and a gateway asks by itself.
    pub fresh: Duration,
}

pub fn duty(number: usize) -> String {
    format!("probing:{number}")
}

/// The duty of keeping what engines bear, likewise shared out.
pub fn keeper(number: usize) -> String {
    format!("keeper:{number}")
}

/// Which of so many duties an engine belongs to.
pub fn duty_of(engine: u64, duties: usize) -> usize {
    (xxh3_64(&engine.to_le_bytes()) % duties.max(1) as u64) as usize
}

pub struct Probing {
    settings: Settings,
    fence: Fence,
    /// By engine: when it was read, here or by a holder that told.
    read: BTreeMap<u64, Timestamp>,
    /// Read here under a duty and not yet told.
    to_tell: BTreeMap<usize, Vec<(Reading, Timestamp)>>,
    next: Timestamp,
}

/// More engines than this are asked by each gateway itself.
const MOST: usize = 4096;

impl Probing {
    pub fn new(settings: Settings, now: Timestamp) -> Probing {
        let (read, to_tell) = (BTreeMap::new(), BTreeMap::new());
        Probing { settings, fence: Fence::default(), read, to_tell, next: now }
    }

    pub fn duties(&self) -> usize {
        self.settings.duties
    }

    pub fn due(&self) -> Timestamp {
        self.next
    }

    /// Whether it is time for the holders to ask; at most once a period, however late.
    pub fn begins(&mut self, now: Timestamp) -> bool {
        let begins = now >= self.next;
        if begins {
            self.next = now + self.settings.every;
            let fresh = self.settings.fresh;
            self.read.retain(|_, at| now.since(*at) < fresh);
        }
        begins
    }

    /// Whether this gateway need not ask: somebody did lately, and told.
    pub fn is_fresh(&self, engine: u64, now: Timestamp) -> bool {
        self.read.get(&engine).is_some_and(|at| now.since(*at) < self.settings.fresh)
    }

    /// How old what is known of these engines is in the mean, and how many of them nothing fresh is known of.
    pub fn ages(&self, engines: impl Iterator<Item = u64>, now: Timestamp) -> (Duration, usize) {
        let (mut sum, mut known, mut unknown) = (Duration::ZERO, 0, 0);
        for engine in engines {
            match self.read.get(&engine).map(|at| now.since(*at)).filter(|age| *age < self.settings.fresh) {
                Some(age) => (sum, known) = (sum + age, known + 1),
                None => unknown += 1,
            }
        }
        (sum * (1.0 / f64::from(known.max(1))), unknown)
    }

    /// This gateway has read it under its duty.
    pub fn read(&mut self, reading: Reading, now: Timestamp) {
        if self.read.len() < MOST || self.read.contains_key(&reading.engine) {
            self.read.insert(reading.engine, now);
            let told = self.to_tell.entry(duty_of(reading.engine, self.settings.duties)).or_default();
            told.retain(|(other, _)| other.engine != reading.engine);
            told.push((reading, now));
        }
    }

    /// What is to be told of one duty's engines, with its age.
    pub fn to_tell(&mut self, duty: usize, now: Timestamp) -> Vec<Reading> {
        let read = self.to_tell.remove(&duty).unwrap_or_default();
        let aged = |(reading, at): (Reading, Timestamp)| Reading {
            age_us: now.since(at).micros() as u32,
            ..reading
        };
        read.into_iter().map(aged).collect()
    }

    /// Readings that a holder told; `None` where its token is older than one that was seen, or it tells of engines that
    /// are not its duty's.
    pub fn hear<'a>(&mut self, told: &'a Stamped<Vec<Reading>>, now: Timestamp) -> Option<Vec<&'a Reading>> {
        let number = (0..self.settings.duties).find(|n| duty(*n) == told.duty)?;
        if !self.fence.admits(&told.duty, told.token) {
            return None;
        }
        let (duties, fresh) = (self.settings.duties, self.settings.fresh);
        let mut taken = Vec::new();
        for reading in &told.action {
            let at = now - Duration::from_micros(u64::from(reading.age_us));
            let known = self.read.get(&reading.engine).is_some_and(|known| *known >= at);
            let room = self.read.len() < MOST || self.read.contains_key(&reading.engine);
            if duty_of(reading.engine, duties) == number && now.since(at) < fresh && !known && room {
                self.read.insert(reading.engine, at);
                taken.push(reading);
            }
        }
        Some(taken)
    }

    pub fn refused(&self) -> u64 {
        self.fence.refused
    }
}
