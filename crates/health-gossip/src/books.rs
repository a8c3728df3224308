//! What others told, by gateway: each gateway is the only writer of its own page, a page is of one process of that gateway, and of
//! two words for one engine the later letter's counts. What comes twice, late or out of order changes nothing.

use crate::{Counts, Process};
use larchfall_policy::time::Timestamp;
use std::collections::BTreeMap;

/// Of one engine, by one gateway: the counts of its latest letter that named it, and what of them was weighed already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Line {
    number: u64,
    counts: Counts,
    weighed: Counts,
    heard: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Page {
    generation: u64,
    zone: String,
    lines: BTreeMap<Process, Line>,
}

/// What is new of one engine by one gateway since it was last taken.
#[derive(Clone, Debug, PartialEq)]
pub struct New {
    pub gateway: String,
    pub zone: String,
    pub heard: Timestamp,
    /// New by itself, and all that the gateway ever told of it.
    pub counts: Counts,
    pub ever: Counts,
}

/// What all others together told of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    pub gateways: usize,
    pub answered: u32,
    pub failed: u32,
    /// The newest word.
    pub heard: Option<Timestamp>,
}

/// Bounded by gateways and engines: more are not noted.
#[derive(Clone, Debug)]
pub struct Books {
    gateways: usize,
    engines: usize,
    pages: BTreeMap<String, Page>,
}

impl Books {
    pub fn new(gateways: usize, engines: usize) -> Books {
        Books { gateways, engines, pages: BTreeMap::new() }
    }

    /// A letter of a gateway about what it saw itself.
    pub fn hear(
        &mut self,
        (gateway, generation, zone): (&str, u64, &str),
        number: u64,
        told: &[(Process, Counts)],
        now: Timestamp,
    ) {
        if !self.pages.contains_key(gateway) && self.pages.len() >= self.gateways {
            return;
        }
        let fresh = || Page { generation, zone: zone.to_owned(), lines: BTreeMap::new() };
        let page = self.pages.entry(gateway.to_owned()).or_insert_with(fresh);
        if generation < page.generation {
            return;
        }
        if generation > page.generation {
            // Another process of that gateway counts from nothing.
            *page = fresh();
        }
        let first = page.lines.is_empty();
        for (process, counts) in told {
            let full = page.lines.len() >= self.engines;
            match page.lines.get_mut(process) {
                Some(line) if number > line.number => {
                    (line.number, line.counts, line.heard) = (number, *counts, now);
                }
                Some(_) => {}
                None if full => {}
                // What it saw before this gateway first heard of it may be of long ago: that is no news.
                None => {
                    let weighed = if first { *counts } else { Counts::default() };
                    page.lines.insert(*process, Line { number, counts: *counts, weighed, heard: now });
                }
            }
        }
    }

    /// Whoever is no member any more, and engines that are gone, leave memory.
    pub fn keep(&mut self, lives: impl Fn(&str, u64) -> bool, is_there: impl Fn(Process) -> bool) {
        self.pages.retain(|gateway, page| lives(gateway, page.generation));
        for page in self.pages.values_mut() {
            page.lines.retain(|process, _| is_there(*process));
        }
    }

    /// By engine: what is new since the last time, each once.
    pub fn take(&mut self) -> BTreeMap<Process, Vec<New>> {
        let mut new: BTreeMap<Process, Vec<New>> = BTreeMap::new();
        for (gateway, page) in &mut self.pages {
            for (process, line) in &mut page.lines {
                let counts = line.counts.since(line.weighed);
                line.weighed = line.counts;
                if !counts.is_none() {
                    new.entry(*process).or_default().push(New {
                        gateway: gateway.clone(),
                        zone: page.zone.clone(),
                        heard: line.heard,
                        counts,
                        ever: line.counts,
                    });
                }
            }
        }
        new
    }

    pub fn told(&self, of: Process) -> Told {
        let lines = self.pages.values().filter_map(|page| page.lines.get(&of));
        lines.filter(|line| line.counts.all() > 0).fold(Told::default(), |all, line| Told {
            gateways: all.gateways + 1,
            answered: all.answered.saturating_add(line.counts.answered),
            failed: all.failed.saturating_add(line.counts.failed),
            heard: all.heard.max(Some(line.heard)),
        })
    }

    /// Of all engines that a gateway ever told of: how many it finds mostly failing, and how many there are.
    pub fn sees_failing(&self, gateway: &str) -> (usize, usize) {
        let lines = self.pages.get(gateway).into_iter().flat_map(|page| page.lines.values());
        lines.fold((0, 0), |(failing, all), line| {
            (failing + usize::from(line.counts.is_failing()), all + usize::from(line.counts.all() > 0))
        })
    }
}
