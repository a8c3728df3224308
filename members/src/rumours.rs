//! What is passed on with other datagrams, and how often: each change some times the logarithm of the fleet's size,
//! the least told first (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002, section 4.1). One entry a name, so the queue is bounded by the members.

use std::collections::BTreeMap;

/// The paper's multiple: enough for all but one in some thousands to hear of it.
const TIMES: f64 = 3.0;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Rumours {
    told: BTreeMap<String, u32>,
}

impl Rumours {
    /// Something new is claimed of this front.
    pub fn add(&mut self, name: &str) {
        self.told.insert(name.to_owned(), 0);
    }

    pub fn drop(&mut self, name: &str) {
        self.told.remove(name);
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
        let mut order: Vec<(u32, String)> = self.told.iter().map(|(name, n)| (*n, name.clone())).collect();
        order.sort();
        for (_, name) in order {
            if !fits(&name) {
                break;
            }
            if let Some(n) = self.told.get_mut(&name) {
                *n += 1;
                if *n >= most {
                    self.told.remove(&name);
                }
            }
        }
    }
}
