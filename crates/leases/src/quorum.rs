//! Sets of voters, their majorities, and the rule for replacing one set of voters by another.
//!
//! While the voters are being changed, both the new and the previous list are in force and a majority of each is
//! required (joint consensus: Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 4.3).

use std::collections::{BTreeMap, BTreeSet};

/// Names of the voters, from the operator's configuration file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterSet {
    /// Names of the current voters.
    pub current: BTreeSet<String>,
    /// Names of the previous voters while the voters are being changed, otherwise `None`.
    pub previous: Option<BTreeSet<String>>,
}

impl VoterSet {
    /// Returns the names of all voters, current and previous.
    pub fn all(&self) -> BTreeSet<&String> {
        self.lists().flatten().collect()
    }

    /// Returns whether `name` is a current or previous voter.
    pub fn contains(&self, name: &str) -> bool {
        self.lists().any(|list| list.contains(name))
    }

    fn lists(&self) -> impl Iterator<Item = &BTreeSet<String>> {
        std::iter::once(&self.current).chain(&self.previous)
    }

    /// Returns whether every majority of this set has a voter in common with every majority of the other set. Two lists
    /// that differ in a single name can already have disjoint majorities (two of three voters each), so both sets must
    /// contain the same list.
    pub fn majorities_intersect(&self, other: &VoterSet) -> bool {
        self.lists().any(|list| other.lists().any(|other_list| other_list == list))
    }

    /// Returns the highest value that a majority of each list has reached. `values` has one value for each voter that
    /// answered. Returns `None` if less than a majority of a list has a value.
    pub fn majority_value<T: Copy + Ord>(&self, values: &BTreeMap<String, T>) -> Option<T> {
        let majority_value_of = |list: &BTreeSet<String>| {
            let mut descending: Vec<T> = list.iter().filter_map(|name| values.get(name).copied()).collect();
            descending.sort_unstable_by(|a, b| b.cmp(a));
            descending.get(list.len() / 2).copied()
        };
        self.lists().map(majority_value_of).collect::<Option<Vec<T>>>()?.into_iter().min()
    }
}
