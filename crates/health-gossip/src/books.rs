//! What others told, by front: each front is the only writer of its own page, a page is of one process of that front, and of
//! two words for one engine the later letter's counts. What comes twice, late or out of order changes nothing.

use crate::{Counts, Process};
use larchfall_policy::time::At;
use std::collections::BTreeMap;

/// Of one engine, by one front: the counts of its latest letter that named it, and what of them was weighed already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Line {
    number: u64,
    counts: Counts,
    weighed: Counts,
    heard: At,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Page {
    generation: u64,
    zone: String,
    lines: BTreeMap<Process, Line>,
}

/// What is new of one engine by one front since it was last taken.
#[derive(Clone, Debug, PartialEq)]
pub struct New {
    pub front: String,
    pub zone: String,
    pub heard: At,
    /// New by itself, and all that the front ever told of it.
    pub counts: Counts,
    pub ever: Counts,
}

/// What all others together told of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    pub fronts: usize,
    pub answered: u32,
    pub failed: u32,
    /// The newest word.
    pub heard: Option<At>,
}

/// Bounded by fronts and engines: more are not noted.
#[derive(Clone, Debug)]
pub struct Books {
    fronts: usize,
    engines: usize,
    pages: BTreeMap<String, Page>,
}

impl Books {
    pub fn new(fronts: usize, engines: usize) -> Books {
        Books { fronts, engines, pages: BTreeMap::new() }
    }

    /// A letter of a front about what it saw itself.
    pub fn hear(
        &mut self,
        (front, generation, zone): (&str, u64, &str),
        number: u64,
        told: &[(Process, Counts)],
        now: At,
    ) {
        if !self.pages.contains_key(front) && self.pages.len() >= self.fronts {
            return;
        }
        let fresh = || Page { generation, zone: zone.to_owned(), lines: BTreeMap::new() };
        let page = self.pages.entry(front.to_owned()).or_insert_with(fresh);
        if generation < page.generation {
            return;
        }
        if generation > page.generation {
            // Another process of that front counts from nothing.
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
                // What it saw before this front first heard of it may be of long ago: that is no news.
                None => {
                    let weighed = if first { *counts } else { Counts::default() };
                    page.lines.insert(*process, Line { number, counts: *counts, weighed, heard: now });
                }
            }
        }
    }

    /// Whoever is no member any more, and engines that are gone, leave memory.
    pub fn keep(&mut self, lives: impl Fn(&str, u64) -> bool, is_there: impl Fn(Process) -> bool) {
        self.pages.retain(|front, page| lives(front, page.generation));
        for page in self.pages.values_mut() {
            page.lines.retain(|process, _| is_there(*process));
        }
    }

    /// By engine: what is new since the last time, each once.
    pub fn take(&mut self) -> BTreeMap<Process, Vec<New>> {
        let mut new: BTreeMap<Process, Vec<New>> = BTreeMap::new();
        for (front, page) in &mut self.pages {
            for (process, line) in &mut page.lines {
                let counts = line.counts.since(line.weighed);
                line.weighed = line.counts;
                if !counts.is_none() {
                    new.entry(*process).or_default().push(New {
                        front: front.clone(),
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
            fronts: all.fronts + 1,
            answered: all.answered.saturating_add(line.counts.answered),
            failed: all.failed.saturating_add(line.counts.failed),
            heard: all.heard.max(Some(line.heard)),
        })
    }

    /// Of all engines that a front ever told of: how many it finds mostly failing, and how many there are.
    pub fn sees_failing(&self, front: &str) -> (usize, usize) {
        let lines = self.pages.get(front).into_iter().flat_map(|page| page.lines.values());
        lines.fold((0, 0), |(failing, all), line| {
            (failing + usize::from(line.counts.is_failing()), all + usize::from(line.counts.all() > 0))
        })
    }
}
