//! Rule 7: retries of this gateway stay within a budget in any window since its start.
//!
//! A request counts from when it was admitted, but only once an engine returned it to a client that still waits: no flood
//! of requests that are cancelled, rejected or failed may widen the budget.

use crate::time::{Duration, Timestamp};
use crate::types::RetryBudgetConfig;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Retries and the requests that pay for them, within the rule's window.
pub(crate) struct RetryBudget {
    rule: Option<RetryBudgetConfig>,
    /// When the requests that count were admitted: they end in any order.
    admitted: BinaryHeap<Reverse<Timestamp>>,
    retries: VecDeque<Timestamp>,
}

impl RetryBudget {
    pub(crate) fn new(rule: Option<RetryBudgetConfig>) -> RetryBudget {
        RetryBudget { rule, admitted: BinaryHeap::new(), retries: VecDeque::new() }
    }

    /// A request that was admitted then has been returned to its client.
    pub(crate) fn record_returned(&mut self, admitted_time: Timestamp, now: Timestamp) {
        self.admitted.push(Reverse(admitted_time));
        self.remove_expired(now);
    }

    pub(crate) fn record_retry(&mut self, now: Timestamp) {
        self.retries.push_back(now);
    }

    /// Whether one more retry lies within the budget; without a rule any does.
    pub(crate) fn allows_retry(&mut self, now: Timestamp) -> bool {
        self.remove_expired(now);
        let Some(rule) = self.rule else { return true };
        (self.retries.len() + 1) as f64
            <= rule.free_retries + rule.retries_per_request * self.admitted.len() as f64
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let window = self.rule.map_or(Duration::ZERO, |rule| rule.window);
        while self.admitted.peek().is_some_and(|admitted| now.since(admitted.0) >= window) {
            self.admitted.pop();
        }
        self.retries.retain(|retry| now.since(*retry) < window);
    }
}
