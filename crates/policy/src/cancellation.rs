//! Cancellation of attempts in flight, where finishing an attempt would cost more than a new attempt or none.
//!
//! Cancelled are attempts at silent ejected engines, attempts much slower than estimated because of a bad query plan
//! or a slow engine, and attempts that hold memory while they wait for a data lock.

use crate::engine_record::EngineRecord;
use crate::request_record::RequestRecord;
use crate::time::{Duration, Timestamp};
use crate::types::{Capabilities, Idempotency, RequestClass};
use std::collections::BTreeMap;

/// Number of progress update intervals without an update after which an attempt counts as silent.
const OVERDUE_INTERVALS: f64 = 1.6;

/// Time after the last progress update from which an attempt counts as silent; `None` if engines send no updates.
pub(crate) fn update_overdue_after(capabilities: &Capabilities) -> Option<Duration> {
    capabilities.progress_interval.map(|interval| interval * OVERDUE_INTERVALS)
}

/// Marks at most one attempt of a request as cancelled, and returns its number. Only idempotent requests are
/// cancelled.
pub(crate) fn cancel_one_attempt(
    record: &mut RequestRecord,
    class: &RequestClass,
    off_estimate_after: Duration,
    capabilities: &Capabilities,
    engines: &BTreeMap<usize, EngineRecord>,
    now: Timestamp,
) -> Option<u8> {
    if class.idempotency != Idempotency::Idempotent || !capabilities.can_cancel {
        return None;
    }
    let objective = class.latency_objective_for(record.work_estimate);
    // A request is cancelled for its pace only once: if the next attempt is as slow, the estimate was wrong, and
    // another cancellation would waste more work.
    let checks_pace = !record.cancelled_off_estimate;
    for attempt in record.in_flight.iter_mut().filter(|attempt| !attempt.cancelled) {
        let ejected = engines.get(&attempt.engine).is_some_and(|engine| engine.outlier_detector.is_ejected());
        let silent = attempt.is_silent(update_overdue_after(capabilities), now);
        let is_off_estimate =
            |predicted: Duration| predicted > off_estimate_after && predicted > class.latency_objective;
        let off_estimate = checks_pace && attempt.predicted_duration.is_some_and(is_off_estimate);
        // An attempt that waits for a data lock past its objective holds memory, and an engine short of memory swaps.
        let only_holds_memory = capabilities.swaps_when_out_of_memory
            && attempt.waited_for_lock
            && now.since(attempt.sent_time) > objective;
        if (ejected && silent) || off_estimate || only_holds_memory {
            attempt.cancelled = true;
            record.cancelled_off_estimate |= off_estimate;
            return Some(attempt.number);
        }
    }
    None
}
