//! Deadlines: the latest times at which a request can be answered and an attempt can end, so that the final answer of
//! every request is in time.

use crate::time::{Duration, Timestamp};

/// Time between the latest time to answer and the deadline, in multiples of the clock resolution. A timer fires only
/// at the next reading of the clock.
const ANSWER_MARGIN_STEPS: f64 = 3.0;
/// Time between the timeout of an attempt and the deadline, in multiples of the clock resolution, so that the answer
/// sent after the timeout is in time.
const ATTEMPT_MARGIN_STEPS: f64 = 2.0;

/// The latest time at which a request may be answered.
pub(crate) fn latest_answer_time(deadline: Timestamp, clock_resolution: Duration) -> Timestamp {
    deadline - clock_resolution * ANSWER_MARGIN_STEPS
}

/// Timeout of an attempt that starts now.
pub(crate) fn attempt_timeout(deadline: Timestamp, now: Timestamp, clock_resolution: Duration) -> Duration {
    deadline.since(now + clock_resolution * ATTEMPT_MARGIN_STEPS)
}
