//! Maps the simulator's request ids to the dense indices by which the policy refers to requests, and schedules when
//! each request is routed again.

use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeSet, HashMap};

struct RequestSlot {
    id: u32,
    /// Attempts that were started and have not ended.
    in_flight: usize,
    /// Whether the client has its answer or has disconnected. Attempts can still be in flight.
    finished: bool,
    /// When the request is routed again; `None` when no time is scheduled.
    next_route_time: Option<Timestamp>,
}

/// The gateway's requests. The index of a released request is reused.
#[derive(Default)]
pub(crate) struct RequestTable {
    slots: Vec<RequestSlot>,
    free_slots: Vec<usize>,
    index_by_id: HashMap<u32, usize>,
    /// The scheduled time and the index of every request that is to be routed again.
    route_schedule: BTreeSet<(Timestamp, usize)>,
}

impl RequestTable {
    /// Adds a request and returns its index; `None` when its id is already in use.
    pub(crate) fn insert(&mut self, id: u32) -> Option<usize> {
        let new_slot = RequestSlot { id, in_flight: 0, finished: false, next_route_time: None };
        let index = match self.free_slots.pop() {
            Some(index) => {
                self.slots[index] = new_slot;
                index
            }
            None => {
                self.slots.push(new_slot);
                self.slots.len() - 1
            }
        };
        self.index_by_id.insert(id, index).is_none().then_some(index)
    }

    pub(crate) fn index_of(&self, id: u32) -> Option<usize> {
        self.index_by_id.get(&id).copied()
    }

    pub(crate) fn id(&self, index: usize) -> u32 {
        self.slots[index].id
    }

    pub(crate) fn is_finished(&self, index: usize) -> bool {
        self.slots[index].finished
    }

    pub(crate) fn mark_finished(&mut self, index: usize) {
        self.slots[index].finished = true;
    }

    pub(crate) fn count_attempt_started(&mut self, index: usize) {
        self.slots[index].in_flight += 1;
    }

    pub(crate) fn count_attempt_finished(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        slot.in_flight = slot.in_flight.saturating_sub(1);
    }

    /// Sets when a request is routed again, in place of the time that was scheduled before.
    pub(crate) fn schedule_route(&mut self, index: usize, time: Timestamp) {
        if let Some(previous) = self.slots[index].next_route_time.replace(time) {
            self.route_schedule.remove(&(previous, index));
        }
        self.route_schedule.insert((time, index));
    }

    /// The earliest time at which a request is to be routed again.
    pub(crate) fn earliest_route_time(&self) -> Option<Timestamp> {
        self.route_schedule.first().map(|(time, _)| *time)
    }

    /// Removes and returns the requests that are to be routed at `now` or earlier, ordered by scheduled time.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<usize> {
        let later = self.route_schedule.split_off(&(now + Duration::from_micros(1), 0));
        let due = std::mem::replace(&mut self.route_schedule, later);
        let due: Vec<usize> = due.into_iter().map(|(_, index)| index).collect();
        for &index in &due {
            self.slots[index].next_route_time = None;
        }
        due
    }

    /// Cancels the scheduled routing of a request, and frees its index if it is finished and has no attempt in flight.
    pub(crate) fn release(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        if let Some(time) = slot.next_route_time.take() {
            self.route_schedule.remove(&(time, index));
        }
        if slot.finished && slot.in_flight == 0 {
            self.index_by_id.remove(&slot.id);
            self.free_slots.push(index);
        }
    }
}
