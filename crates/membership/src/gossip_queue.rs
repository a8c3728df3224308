//! Selects the member updates that are piggybacked on outgoing datagrams. Each change is sent a number of times that grows
//! with the logarithm of the fleet size, least-sent first (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", 2002, section 4.1). The queue holds at most one entry per member
//! name, so the number of members bounds its length.

use std::collections::{BTreeMap, BTreeSet};

/// Factor on log2 of the fleet size, from the SWIM paper. With this factor all but about one in several thousand members
/// receive a change.
const RETRANSMIT_FACTOR: f64 = 3.0;

/// Names of members whose updates are waiting to be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GossipQueue {
    send_counts: BTreeMap<String, u32>,
    /// Entries of `send_counts`, sorted by send count and then by name.
    order: BTreeSet<Entry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Entry {
    send_count: u32,
    name: String,
}

impl GossipQueue {
    /// Adds a member after a change, or resets the send count if the member is already queued.
    pub fn enqueue(&mut self, name: &str) {
        self.remove(name);
        self.insert(Entry { send_count: 0, name: name.to_owned() });
    }

    /// Removes a member if present.
    pub fn remove(&mut self, name: &str) {
        if let Some(send_count) = self.send_counts.remove(name) {
            self.order.remove(&Entry { send_count, name: name.to_owned() });
        }
    }

    fn insert(&mut self, entry: Entry) {
        self.send_counts.insert(entry.name.clone(), entry.send_count);
        self.order.insert(entry);
    }

    /// Returns the number of queued members.
    pub fn len(&self) -> usize {
        self.send_counts.len()
    }

    /// Returns whether no member is queued.
    pub fn is_empty(&self) -> bool {
        self.send_counts.is_empty()
    }

    /// Offers the queued names to `accept`, least-sent first, until `accept` returns `false`. Counts each accepted name as
    /// sent and removes the names that reached the maximum number of sends for a fleet of `members`.
    pub fn take_batch(&mut self, members: usize, mut accept: impl FnMut(&str) -> bool) {
        let max_sends = (RETRANSMIT_FACTOR * ((members + 1) as f64).log2()).ceil().max(1.0) as u32;
        let accepted: Vec<Entry> =
            self.order.iter().take_while(|entry| accept(&entry.name)).cloned().collect();
        for entry in accepted {
            self.remove(&entry.name);
            let send_count = entry.send_count + 1;
            if send_count < max_sends {
                self.insert(Entry { send_count, name: entry.name });
            }
        }
    }
}
