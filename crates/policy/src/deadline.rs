//! Deadlines: the latest times at which a request can be answered and an attempt can end, so that the final answer of
//! every request is in time.

use crate::time::{Duration, Timestamp};

/// Clock steps between the latest time to answer and the deadline. A timer fires only at the next reading of the clock.
const ANSWER_MARGIN_STEPS: f64 = 3.0;
/// Clock steps between the timeout of an attempt and the deadline, so that the answer sent after the timeout is in time.
const ATTEMPT_MARGIN_STEPS: f64 = 2.0;

/// The latest time at which a request may be answered.
pub(crate) fn latest_answer_time(deadline: Timestamp, clock_step: Duration) -> Timestamp {
    deadline - clock_step * ANSWER_MARGIN_STEPS
}

/// Timeout of an attempt that starts now.
pub(crate) fn attempt_timeout(deadline: Timestamp, now: Timestamp, clock_step: Duration) -> Duration {
    deadline.since(now + clock_step * ATTEMPT_MARGIN_STEPS)
}
