//! Rule 1: times that keep a request's one final answer before its deadline.

use crate::time::{Duration, Timestamp};

/// Readings of the clock between the last moment to answer and the deadline: an own timer fires on the next reading.
const ANSWER_MARGIN_STEPS: f64 = 3.0;
/// Likewise between the end of an attempt and the deadline, so that the answer it still calls for is in time.
const ATTEMPT_MARGIN_STEPS: f64 = 2.0;

/// The last moment at which a request may still be answered.
pub(crate) fn last_answer_time(deadline: Timestamp, clock_step: Duration) -> Timestamp {
    deadline - clock_step * ANSWER_MARGIN_STEPS
}

/// How long an attempt that starts now may take.
pub(crate) fn attempt_timeout(deadline: Timestamp, now: Timestamp, clock_step: Duration) -> Duration {
    deadline.since(now + clock_step * ATTEMPT_MARGIN_STEPS)
}
