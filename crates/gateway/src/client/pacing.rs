//! Pauses of a connection whose input or output never ends, so that others are served beside it.

use crate::state::State;
use larchfall_policy::time::Duration;

/// How long a coroutine sleeps to let others run.
const SLEEP: Duration = Duration::from_millis(5);

/// Counts what a connection's coroutine does without waiting. The worker polls the sockets only while no coroutine is
/// ready to run: a connection that always has data to transfer would starve all others.
pub(super) struct Pacer {
    max_rounds: usize,
    /// Rounds since the coroutine last slept or waited.
    rounds: usize,
}

impl Pacer {
    /// The coroutine sleeps after `max_rounds` rounds without a wait.
    pub(super) fn new(max_rounds: usize) -> Pacer {
        Pacer { max_rounds, rounds: 0 }
    }

    /// Records that the coroutine waits for its socket.
    pub(super) fn record_wait(&mut self) {
        self.rounds = 0;
    }

    /// Yields to other coroutines after a round. Sleeps after `max_rounds` rounds, or when the sockets were not polled for
    /// too long.
    pub(super) fn end_round(&mut self, state: &State) {
        self.rounds += 1;
        if self.rounds < self.max_rounds {
            // Other coroutines may have become ready during this round.
            may::coroutine::yield_now();
        }
        while self.rounds >= self.max_rounds || state.stall_detector.is_event_poll_overdue(state.clock.now())
        {
            self.rounds = 0;
            state.sleep(SLEEP);
        }
    }
}
