//! Requests by their ids, as the small indices that decisions use, and when each is to be routed again.

use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeSet, HashMap};

struct RequestSlot {
    id: u32,
    in_flight: usize,
    finished: bool,
    next_check: Option<Timestamp>,
}

#[derive(Default)]
pub(crate) struct RequestTable {
    slots: Vec<RequestSlot>,
    free_slots: Vec<usize>,
    by_id: HashMap<u32, usize>,
    /// Time and index of each next check.
    checks: BTreeSet<(Timestamp, usize)>,
}

impl RequestTable {
    /// An index for a new request; `None` where its id is in use already.
    pub(crate) fn insert(&mut self, id: u32) -> Option<usize> {
        let slot = RequestSlot { id, in_flight: 0, finished: false, next_check: None };
        let index = match self.free_slots.pop() {
            Some(index) => {
                self.slots[index] = slot;
                index
            }
            None => {
                self.slots.push(slot);
                self.slots.len() - 1
            }
        };
        self.by_id.insert(id, index).is_none().then_some(index)
    }

    pub(crate) fn index_of(&self, id: u32) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub(crate) fn id(&self, index: usize) -> u32 {
        self.slots[index].id
    }

    pub(crate) fn is_finished(&self, index: usize) -> bool {
        self.slots[index].finished
    }

    pub(crate) fn finish(&mut self, index: usize) {
        self.slots[index].finished = true;
    }

    pub(crate) fn attempt_started(&mut self, index: usize) {
        self.slots[index].in_flight += 1;
    }

    pub(crate) fn attempt_finished(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        slot.in_flight = slot.in_flight.saturating_sub(1);
    }

    /// Sets when a request is to be routed again.
    pub(crate) fn set_check(&mut self, index: usize, time: Timestamp) {
        if let Some(before) = self.slots[index].next_check.replace(time) {
            self.checks.remove(&(before, index));
        }
        self.checks.insert((time, index));
    }

    /// The time of the first check.
    pub(crate) fn first_check(&self) -> Option<Timestamp> {
        self.checks.first().map(|(time, _)| *time)
    }

    /// Takes the requests whose check is due, in the order of their checks.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<usize> {
        let later = self.checks.split_off(&(now + Duration::from_micros(1), 0));
        let due = std::mem::replace(&mut self.checks, later);
        let due: Vec<usize> = due.into_iter().map(|(_, index)| index).collect();
        for &index in &due {
            self.slots[index].next_check = None;
        }
        due
    }

    /// Drops a request's check, and the request once it is finished and nothing of it is in flight.
    pub(crate) fn release(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        if let Some(time) = slot.next_check.take() {
            self.checks.remove(&(time, index));
        }
        if slot.finished && slot.in_flight == 0 {
            self.by_id.remove(&slot.id);
            self.free_slots.push(index);
        }
    }
}
