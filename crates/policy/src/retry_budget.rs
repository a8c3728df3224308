//! Retry budget: in any time window, the retries of this gateway stay within a fixed number plus a number per request.
//!
//! A request adds to the budget at the time of its admission, but only once its result was returned to a client that
//! still waited. Requests that are cancelled, rejected or failed add nothing, so that a flood of them cannot raise the
//! budget.

use crate::time::{Duration, Timestamp};
use crate::types::RetryBudgetConfig;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Recent retries and returned requests, within the window of the budget.
pub(crate) struct RetryBudget {
    config: Option<RetryBudgetConfig>,
    /// Admission times of returned requests, the earliest first. A heap, since requests are returned in any order.
    admitted: BinaryHeap<Reverse<Timestamp>>,
    retries: VecDeque<Timestamp>,
}

impl RetryBudget {
    pub(crate) fn new(config: Option<RetryBudgetConfig>) -> RetryBudget {
        RetryBudget { config, admitted: BinaryHeap::new(), retries: VecDeque::new() }
    }

    /// Records that the result of a request was returned to its client.
    pub(crate) fn record_returned(&mut self, admitted_time: Timestamp, now: Timestamp) {
        self.admitted.push(Reverse(admitted_time));
        self.remove_expired(now);
    }

    pub(crate) fn record_retry(&mut self, now: Timestamp) {
        self.retries.push_back(now);
    }

    /// Whether one more retry is within the budget. Without a configured budget, retries are unlimited.
    pub(crate) fn allows_retry(&mut self, now: Timestamp) -> bool {
        self.remove_expired(now);
        let Some(config) = self.config else { return true };
        (self.retries.len() + 1) as f64
            <= config.free_retries + config.retries_per_request * self.admitted.len() as f64
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let window = self.config.map_or(Duration::ZERO, |config| config.window);
        while self.admitted.peek().is_some_and(|admitted| now.since(admitted.0) >= window) {
            self.admitted.pop();
        }
        self.retries.retain(|retry| now.since(*retry) < window);
    }
}
