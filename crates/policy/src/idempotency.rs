//! Rule 2: whether a further attempt of a request can have its effect a second time.

use crate::time::{Duration, Timestamp};
use crate::types::{Engine, Idempotency};

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun {
    pub engine: Engine,
    pub sent_time: Timestamp,
}

/// Whether an attempt may go to this engine now.
pub(crate) fn allows_attempt(
    idempotency: Idempotency,
    first_run: Option<PossibleRun>,
    engine: &Engine,
    now: Timestamp,
    clock_step: Duration,
) -> bool {
    let Some(first_run) = first_run else { return true };
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::IdempotentWithKey { scope, window } => {
            now.since(first_run.sent_time) + clock_step < window && scope.covers(&first_run.engine, engine)
        }
    }
}
