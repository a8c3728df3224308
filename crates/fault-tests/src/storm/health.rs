//! How a fleet is, as its operators see it: each gateway is asked from outside whom it knows, who holds what, its parts and what
//! it makes of each engine. And what of that is not plain.

use crate::process::name;
use crate::storm::rows::{Row, What, row};
use crate::storm::setting::{Piece, Setting};
use larchfall_gateway::cluster::status_query::{Topic, ask};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// Whoever stands still or is gone says nothing, and is not waited for.
const WITHIN: Duration = Duration::from_millis(250);

/// The rows of one gateway; none where it did not answer in time.
pub type Rows = Option<Vec<Vec<String>>>;

/// What all gateways say, by place.
#[derive(Clone, Debug, Default)]
pub struct Views {
    pub members: Vec<Rows>,
    pub duties: Vec<Rows>,
    pub shares: Vec<Rows>,
    pub engines: Vec<Rows>,
}

/// Asks all at once.
fn of_all(gateways: &[SocketAddrV4], topic: Topic) -> Vec<Rows> {
    let (to, answers) = channel();
    for (i, gateway) in gateways.iter().copied().enumerate() {
        let to = to.clone();
        thread::spawn(move || to.send((i, ask(gateway, "toy", topic).ok())));
    }
    let (until, mut all) = (Instant::now() + WITHIN, vec![None; gateways.len()]);
    for _ in gateways {
        let left = until.saturating_duration_since(Instant::now());
        let Ok((i, rows)) = answers.recv_timeout(left) else { break };
        all[i] = rows;
    }
    all
}

impl Views {
    pub fn look(gateways: &[SocketAddrV4]) -> Views {
        Views {
            members: of_all(gateways, Topic::Members),
            duties: of_all(gateways, Topic::Leases),
            shares: of_all(gateways, Topic::Quotas),
            engines: of_all(gateways, Topic::Engines),
        }
    }

    fn rows(all: &[Rows]) -> impl Iterator<Item = (usize, &Vec<String>)> {
        all.iter().enumerate().flat_map(|(i, rows)| rows.iter().flatten().map(move |row| (i, row)))
    }

    /// By duty: the gateways that say that they hold it themselves.
    pub fn holders(&self) -> BTreeMap<&str, Vec<usize>> {
        let mut holders: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (i, row) in Views::rows(&self.duties) {
            let of_duty = holders.entry(&row[0]).or_default();
            of_duty.extend((row[1] == name(i)).then_some(i));
        }
        holders
    }

    /// By capacity: each gateway's part of it, and whether that was handed out.
    pub fn parts(&self) -> BTreeMap<&str, BTreeMap<usize, (f64, bool)>> {
        let mut parts: BTreeMap<&str, BTreeMap<usize, (f64, bool)>> = BTreeMap::new();
        for (i, row) in Views::rows(&self.shares) {
            let part = row[1].parse().unwrap_or_default();
            parts.entry(&row[0]).or_default().insert(i, (part, row[2] == "handed out"));
        }
        parts
    }

    /// Gateways and the engines that each has left out, of those that are ready.
    pub fn left_out(&self) -> Vec<(usize, &str)> {
        let out = |(_, row): &(usize, &Vec<String>)| row[1] == "ready" && row[2] == "left out";
        Views::rows(&self.engines).filter(out).map(|(i, row)| (i, &row[0][..])).collect()
    }

    pub fn rows_of(&self, at_ms: u64) -> Vec<Row> {
        let mut all = Vec::new();
        for (i, rows) in self.members.iter().enumerate() {
            let alive = rows.iter().flatten().filter(|row| row[1] == "alive").count();
            all.extend(rows.as_ref().map(|_| row(at_ms, What::Members, name(i), alive as f64)));
        }
        for (duty, holders) in self.holders() {
            let held =
                holders.into_iter().map(|i| row(at_ms, What::Holds, format!("{} {duty}", name(i)), 1.0));
            all.extend(held);
        }
        for (capacity, parts) in self.parts() {
            let part = parts
                .iter()
                .map(|(i, (part, _))| row(at_ms, What::Part, format!("{} {capacity}", name(*i)), *part));
            all.extend(part);
        }
        let mut out: BTreeMap<usize, usize> = BTreeMap::new();
        self.left_out().into_iter().for_each(|(i, _)| *out.entry(i).or_default() += 1);
        all.extend(out.into_iter().map(|(i, n)| row(at_ms, What::LeftOut, name(i), n as f64)));
        all
    }

    /// What is out is more than there is: of what a cold engine bears the whole, of threads and allowances half more, as the
    /// page on shares says. Two looks: what each gateway had in both is what all had at one time at least.
    pub fn beyond(&self, before: &Views) -> Vec<String> {
        let (now, then) = (self.parts(), before.parts());
        let sum = |capacity: &str, parts: &BTreeMap<usize, (f64, bool)>| -> f64 {
            let both = |(i, (part, _)): (&usize, &(f64, bool))| Some(part.min(then.get(capacity)?.get(i)?.0));
            parts.iter().filter_map(both).sum()
        };
        let whole = |capacity: &str| if capacity.starts_with("cold/") { 1.001 } else { 1.501 };
        now.iter()
            .map(|(capacity, parts)| (capacity, sum(capacity, parts)))
            .filter(|(capacity, sum)| *sum > whole(capacity))
            .map(|(capacity, sum)| format!("parts of {capacity} add up to {sum:.3}"))
            .collect()
    }

    /// What is not as it is in plain health, with engines of these ids ready. Empty where all is.
    pub fn missing(&self, setting: &Setting, ready: &[u32]) -> Vec<(&'static str, String)> {
        let mut missing = Vec::new();
        for (i, rows) in self.members.iter().enumerate() {
            let alive = rows.iter().flatten().filter(|row| row[1] == "alive").count();
            if alive != setting.gateways {
                missing.push(("members", format!("{} holds {alive} for alive", name(i))));
            }
        }
        let holders = self.holders();
        if holders.len() != setting.duties() {
            missing.push(("duties", format!("{} duties are known", holders.len())));
        }
        let not_one = holders.iter().filter(|(_, holders)| holders.len() != 1);
        missing.extend(not_one.map(|(duty, holders)| ("duties", format!("{duty} is held by {holders:?}"))));
        if setting.has(Piece::Shares) {
            let parts = self.parts();
            for id in ready {
                let (engine, capacity) = (format!("{id:08x}"), format!("threads/{id:08x}"));
                let uses = Views::rows(&self.engines).filter(|(_, row)| row[0] == engine && row[3] == "used");
                let handed = |i: &usize| {
                    let part = parts.get(&capacity[..]).and_then(|of| of.get(i));
                    part.is_some_and(|(_, handed)| *handed)
                };
                let without: Vec<usize> = uses.map(|(i, _)| i).filter(|i| !handed(i)).collect();
                if !without.is_empty() {
                    missing.push(("shares", format!("{capacity} is not handed out to {without:?}")));
                }
            }
        }
        let left_out = self.left_out();
        missing.extend(left_out.iter().map(|(i, e)| ("engines", format!("{} leaves {e} out", name(*i)))));
        if self.engines.iter().any(Option::is_none) {
            missing.push(("engines", "not all fronts say what they make of engines".to_owned()));
        }
        missing
    }
}
