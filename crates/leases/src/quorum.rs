//! Which voters make a majority, and when one list of voters may follow another.
//!
//! While voters are changed both lists count, and a majority of each is needed (joint consensus: Ongaro, "Consensus:
//! Bridging Theory and Practice", 2014, section 4.3).

use std::collections::{BTreeMap, BTreeSet};

/// The names of voters, from the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterSet {
    /// The list in force.
    pub current: BTreeSet<String>,
    /// The list before it, while voters are being changed.
    pub previous: Option<BTreeSet<String>>,
}

impl VoterSet {
    /// Voters of both lists.
    pub fn all(&self) -> BTreeSet<&String> {
        self.lists().flatten().collect()
    }

    /// Whether `name` is a voter in either list.
    pub fn contains(&self, name: &str) -> bool {
        self.lists().any(|list| list.contains(name))
    }

    fn lists(&self) -> impl Iterator<Item = &BTreeSet<String>> {
        std::iter::once(&self.current).chain(&self.previous)
    }

    /// Whether every majority of one set meets every majority of the other. Lists that differ in one name already have
    /// majorities that do not (of three, two each), so the sets have to share a list.
    pub fn majorities_intersect(&self, other: &VoterSet) -> bool {
        self.lists().any(|list| other.lists().any(|other_list| other_list == list))
    }

    /// The highest value that a majority of each list has reached; `None` where a list has no majority.
    pub fn majority_value<T: Copy + Ord>(&self, values: &BTreeMap<String, T>) -> Option<T> {
        let majority_of = |list: &BTreeSet<String>| {
            let mut reached: Vec<T> = list.iter().filter_map(|name| values.get(name).copied()).collect();
            reached.sort_unstable_by(|a, b| b.cmp(a));
            reached.get(list.len() / 2).copied()
        };
        self.lists().map(majority_of).collect::<Option<Vec<T>>>()?.into_iter().min()
    }
}
