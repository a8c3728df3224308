//! Rule 7: further dispatches of this front within the ration of any window since its start. A batch counts
//! from when it was taken, but only once an engine returned it to a client that still waits. Whether the rule
//! counts what is taken back, never waited for, turned away or errored nobody can tell, and no flood of it
//! may widen the ration. So a front has what is free and the share of what it serves, whatever else comes.

use crate::interface::RationRule;
use crate::time::{At, Span};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub struct Ration {
    rule: Option<RationRule>,
    /// When the batches that count were taken: they end in any order.
    taken: BinaryHeap<Reverse<At>>,
    /// When further dispatches went out.
    pub further: VecDeque<At>,
}

impl Ration {
    pub fn new(rule: Option<RationRule>) -> Ration {
        Ration { rule, taken: BinaryHeap::new(), further: VecDeque::new() }
    }

    /// A batch that was taken then has been returned to its client.
    pub fn returned(&mut self, taken: At, now: At) {
        self.taken.push(Reverse(taken));
        self.trim(now);
    }

    pub fn allows(&mut self, now: At) -> bool {
        let Some(rule) = self.trim(now) else { return true };
        (self.further.len() + 1) as f64 <= rule.free + rule.per_batch * self.taken.len() as f64
    }

    fn trim(&mut self, now: At) -> Option<RationRule> {
        let window = self.rule.as_ref().map_or(Span::ZERO, |rule| rule.window);
        while self.taken.peek().is_some_and(|at| now.since(at.0) >= window) {
            self.taken.pop();
        }
        self.further.retain(|at| now.since(*at) < window);
        self.rule
    }
}
