//! What is passed on with other datagrams, and how often: each change some times the logarithm of the fleet's size,
//! the least told first (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Class
//! Membership Protocol", 2002, section 4.1). One entry a name, so the queue is bounded by the members; what a letter
//! costs follows what goes into it, however many wait.

use std::collections::{BTreeMap, BTreeSet};

/// The paper's multiple: enough for all but one in some thousands to hear of it.
const TIMES: f64 = 3.0;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Rumours {
    told: BTreeMap<String, u32>,
    /// The same, the least told first.
    order: BTreeSet<(u32, String)>,
}

impl Rumours {
    /// Something new is claimed of this gateway.
    pub fn add(&mut self, name: &str) {
        self.drop(name);
        self.told.insert(name.to_owned(), 0);
        self.order.insert((0, name.to_owned()));
    }

    pub fn drop(&mut self, name: &str) {
        if let Some(times) = self.told.remove(name) {
            self.order.remove(&(times, name.to_owned()));
        }
    }

    pub fn len(&self) -> usize {
        self.told.len()
    }

    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// The next to pass on, the least told first, as many as `fits` takes; what was told often enough leaves.
    pub fn next(&mut self, members: usize, mut fits: impl FnMut(&str) -> bool) {
        let most = (TIMES * ((members + 1) as f64).log2()).ceil().max(1.0) as u32;
        let taken: Vec<(u32, String)> =
            self.order.iter().take_while(|(_, name)| fits(name)).cloned().collect();
        for (times, name) in taken {
            self.drop(&name);
            if times + 1 < most {
                self.told.insert(name.clone(), times + 1);
                self.order.insert((times + 1, name));
            }
        }
    }
}
