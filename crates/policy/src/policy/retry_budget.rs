//! Rule 7: retries of this gateway within the retry budget of any window since its start. A request counts
//! from when it was taken, but only once an engine returned it to a client that still waits. Whether the rule
//! counts what is taken back, never waited for, turned away or errored nobody can tell, and no flood of it
//! may widen the retry budget. So a gateway has what is free and the share of what it serves, whatever else comes.

use crate::interface::RetryBudgetRule;
use crate::time::{Duration, Timestamp};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub struct RetryBudget {
    rule: Option<RetryBudgetRule>,
    /// When the requests that count were taken: they end in any order.
    taken: BinaryHeap<Reverse<Timestamp>>,
    /// When retries went out.
    pub further: VecDeque<Timestamp>,
}

impl RetryBudget {
    pub fn new(rule: Option<RetryBudgetRule>) -> RetryBudget {
        RetryBudget { rule, taken: BinaryHeap::new(), further: VecDeque::new() }
    }

    /// A request that was taken then has been returned to its client.
    pub fn returned(&mut self, taken: Timestamp, now: Timestamp) {
        self.taken.push(Reverse(taken));
        self.trim(now);
    }

    pub fn allows(&mut self, now: Timestamp) -> bool {
        let Some(rule) = self.trim(now) else { return true };
        (self.further.len() + 1) as f64 <= rule.free + rule.per_request * self.taken.len() as f64
    }

    fn trim(&mut self, now: Timestamp) -> Option<RetryBudgetRule> {
        let window = self.rule.as_ref().map_or(Duration::ZERO, |rule| rule.window);
        while self.taken.peek().is_some_and(|at| now.since(at.0) >= window) {
            self.taken.pop();
        }
        self.further.retain(|at| now.since(*at) < window);
        self.rule
    }
}
