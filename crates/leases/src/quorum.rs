//! Which electors make a majority, and when one list of them may follow another. While electors are changed both lists
//! count, and a majority of each is needed (joint consensus: Ongaro, "Consensus: Bridging Theory and Practice", 2014,
//! section 4.3).

use std::collections::{BTreeMap, BTreeSet};

/// The names of electors, from the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Electors {
    pub now: BTreeSet<String>,
    /// Those before, while electors are being changed.
    pub before: Option<BTreeSet<String>>,
}

impl Electors {
    pub fn all(&self) -> BTreeSet<&String> {
        self.lists().flatten().collect()
    }

    pub fn has(&self, name: &str) -> bool {
        self.lists().any(|list| list.contains(name))
    }

    fn lists(&self) -> impl Iterator<Item = &BTreeSet<String>> {
        std::iter::once(&self.now).chain(&self.before)
    }

    /// Whether each majority of these meets each majority of those. Lists that differ in one name already have
    /// majorities that do not (of three, two each), so a list has to be shared.
    pub fn meets(&self, other: &Electors) -> bool {
        self.lists().any(|list| other.lists().any(|o| o == list))
    }

    /// The highest value that a majority of each list has reached; none where one has no majority.
    pub fn reached<T: Copy + Ord>(&self, votes: &BTreeMap<String, T>) -> Option<T> {
        let of = |list: &BTreeSet<String>| {
            let mut given: Vec<T> = list.iter().filter_map(|name| votes.get(name).copied()).collect();
            given.sort_unstable_by(|a, b| b.cmp(a));
            given.get(list.len() / 2).copied()
        };
        self.lists().map(of).try_fold(None, |least: Option<T>, of| {
            of.map(|of| Some(least.map_or(of, |least| least.min(of))))
        })?
    }
}
