//! Cancellation of attempts in flight: where a fresh attempt, or none, costs less than the rest of this one.
//!
//! Guards against engines that went silent, bad plans and slow engines, and attempts that only hold memory.

use crate::engine_record::EngineRecord;
use crate::request_record::RequestRecord;
use crate::time::{Duration, Timestamp};
use crate::types::{Capabilities, Idempotency, RequestClass};
use std::collections::BTreeMap;

/// An attempt should have brought a progress update by this many intervals.
const UPDATE_SLACK: f64 = 1.6;

/// How long after the last progress update an engine counts as silent; `None` where there are no updates.
pub(crate) fn update_overdue_after(capabilities: &Capabilities) -> Option<Duration> {
    capabilities.progress_interval.map(|interval| interval * UPDATE_SLACK)
}

/// Cancels at most one attempt of a request, and names it.
pub(crate) fn cancel_one(
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
    let objective = class.latency_objective_for(record.work);
    // Once: what is as slow elsewhere was estimated wrong, and cancelling it again only wastes more.
    let judges_pace = !record.went_off_estimate;
    for attempt in record.in_flight.iter_mut().filter(|attempt| !attempt.cancelled) {
        let ejected = engines.get(&attempt.engine).is_some_and(|engine| engine.outlier_detector.is_ejected());
        let silent = attempt.is_silent(update_overdue_after(capabilities), now);
        let is_off_estimate =
            |predicted: Duration| predicted > off_estimate_after && predicted > class.latency_objective;
        let off_estimate = judges_pace && attempt.predicted_duration.is_some_and(is_off_estimate);
        // Behind a lock past its objective it only keeps memory that an engine in need of it swaps for.
        let only_holds_memory = capabilities.swaps_when_out_of_memory
            && attempt.waited_for_lock
            && now.since(attempt.sent_time) > objective;
        if (ejected && silent) || off_estimate || only_holds_memory {
            attempt.cancelled = true;
            record.went_off_estimate |= off_estimate;
            return Some(attempt.number);
        }
    }
    None
}
