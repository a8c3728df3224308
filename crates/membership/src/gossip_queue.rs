//! Which members' updates are passed on with other datagrams, and how often: each change a multiple of the logarithm of the
//! fleet's size, the least sent first (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol", 2002, section 4.1). One entry a name, so the queue is bounded by the members.

use std::collections::{BTreeMap, BTreeSet};

/// The paper's multiple: enough for all but one in some thousands to hear of a change.
const RETRANSMIT_MULTIPLE: f64 = 3.0;

/// Names whose updates are to be passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GossipQueue {
    send_counts: BTreeMap<String, u32>,
    /// The same entries, the least sent first.
    order: BTreeSet<Entry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Entry {
    send_count: u32,
    name: String,
}

impl GossipQueue {
    /// Something changed about this member.
    pub fn enqueue(&mut self, name: &str) {
        self.remove(name);
        self.insert(Entry { send_count: 0, name: name.to_owned() });
    }

    /// Nothing more is to be passed on about this member.
    pub fn remove(&mut self, name: &str) {
        if let Some(send_count) = self.send_counts.remove(name) {
            self.order.remove(&Entry { send_count, name: name.to_owned() });
        }
    }

    fn insert(&mut self, entry: Entry) {
        self.send_counts.insert(entry.name.clone(), entry.send_count);
        self.order.insert(entry);
    }

    /// How many members' updates wait.
    pub fn len(&self) -> usize {
        self.send_counts.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.send_counts.is_empty()
    }

    /// Takes the next to pass on, the least sent first, for as long as `accept` takes them; what was sent often enough
    /// leaves the queue.
    pub fn take_next(&mut self, members: usize, mut accept: impl FnMut(&str) -> bool) {
        let max_sends = (RETRANSMIT_MULTIPLE * ((members + 1) as f64).log2()).ceil().max(1.0) as u32;
        let taken: Vec<Entry> = self.order.iter().take_while(|entry| accept(&entry.name)).cloned().collect();
        for entry in taken {
            self.remove(&entry.name);
            let send_count = entry.send_count + 1;
            if send_count < max_sends {
                self.insert(Entry { send_count, name: entry.name });
            }
        }
    }
}
