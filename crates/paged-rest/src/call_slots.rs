//! Slots of calls that wait for pages. A call that finds all slots taken queues for one. Slots are granted in the order in
//! which calls asked for them, so that statements are admitted in the order in which they came.

use std::collections::VecDeque;

/// Slots, and the callers that queue for one.
#[derive(Clone, Debug)]
pub struct CallSlots<C> {
    max: usize,
    taken: usize,
    queue: VecDeque<C>,
}

impl<C: Clone + PartialEq> CallSlots<C> {
    /// Makes `max` free slots.
    pub fn new(max: usize) -> CallSlots<C> {
        CallSlots { max, taken: 0, queue: VecDeque::new() }
    }

    /// Asks for a slot. Returns whether the caller has one now; otherwise the caller queues, and asks again when it is
    /// woken.
    pub fn acquire(&mut self, caller: &C) -> bool {
        let is_next = self.queue.front().is_none_or(|next| next == caller);
        if is_next && self.taken < self.max {
            self.queue.pop_front();
            self.taken += 1;
            return true;
        }
        if !self.queue.contains(caller) {
            self.queue.push_back(caller.clone());
        }
        false
    }

    /// Gives a slot back. Returns the caller to wake, if any.
    pub fn release(&mut self) -> Option<C> {
        self.taken -= 1;
        self.next_caller()
    }

    /// Takes a caller out of the queue. Returns the caller to wake, if any.
    pub fn leave(&mut self, caller: &C) -> Option<C> {
        self.queue.retain(|other| other != caller);
        self.next_caller()
    }

    /// The caller that would be granted a slot now.
    pub fn next_caller(&self) -> Option<C> {
        self.queue.front().filter(|_| self.taken < self.max).cloned()
    }
}
