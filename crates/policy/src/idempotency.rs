//! Idempotency: whether another attempt of a request could repeat the request's effect.

use crate::time::{Duration, Timestamp};
use crate::types::{Engine, Idempotency};

/// The earliest attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun {
    /// The engine's endpoint list entry when the attempt ended: its zone and cell limit the deduplication scope.
    pub engine: Engine,
    pub sent_time: Timestamp,
}

/// Whether an attempt may be sent to `engine` now. The deduplication window is taken to end one `clock_resolution`
/// early, since the clock may be behind by that much.
pub(crate) fn allows_attempt(
    idempotency: Idempotency,
    first_possible_run: Option<PossibleRun>,
    engine: &Engine,
    now: Timestamp,
    clock_resolution: Duration,
) -> bool {
    let Some(first_possible_run) = first_possible_run else { return true };
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::IdempotentWithKey { scope, window } => {
            now.since(first_possible_run.sent_time) + clock_resolution < window
                && scope.covers(&first_possible_run.engine, engine)
        }
    }
}
