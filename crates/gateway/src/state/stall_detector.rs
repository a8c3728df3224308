//! Detects stalls, that is, periods in which this process did not run because the machine was paused or the CPU core
//! was busy with other processes. Data that is read right after a stall may have arrived at any time during the stall.

use super::lock;
use larchfall_policy::time::{Duration, Timestamp};
use std::sync::Mutex;

/// Maximum time between two runs of the timer thread.
pub const TIMER_PERIOD: Duration = Duration::from_millis(20);
/// Gap between two recorded runs above which the gap counts as a stall rather than as a late timer.
const STALL_THRESHOLD: Duration = Duration::from_millis(35);
/// Maximum length of a stall that is merged from several stalls in close succession.
const MAX_MERGED_STALL: Duration = Duration::from_millis(2000);
/// Length of a stall above which the stall is reported in the log.
const REPORTED_STALL: Duration = Duration::from_millis(250);
/// Minimum length of a stall after which attempts wait for the discovery service. Watch events that arrived during such
/// a stall may be past their grace period when they are read.
const DISCOVERY_STALL: Duration = Duration::from_millis(1000);
/// Time to read the pending watch events after the first message from the discovery service that follows a stall.
const DISCOVERY_CATCH_UP: Duration = Duration::from_millis(60);
/// Maximum time to wait for a message from the discovery service after a stall, which includes the time for a new
/// connection. After this time the service counts as unavailable.
const DISCOVERY_RECONNECT: Duration = Duration::from_millis(1000);
/// Time without an event poll after which coroutines that are always ready have to pause. The worker polls the sockets
/// for events only when no coroutine is ready to run.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Time after a stall within which all data that arrived during the stall is read.
const STALL_RECOVERY: Duration = Duration::from_millis(200);

/// Tracks when this process last ran, last polled its sockets, and last stalled.
pub struct StallDetector {
    history: Mutex<RunHistory>,
}

struct RunHistory {
    last_running: Timestamp,
    last_event_poll: Timestamp,
    has_unreported_stall: bool,
    /// End of the last stall of at least `DISCOVERY_STALL`.
    last_discovery_stall_end: Timestamp,
    /// The last stall, merged with earlier stalls that it closely followed.
    last_stall: Stall,
}

#[derive(Clone, Copy, Default)]
struct Stall {
    from: Timestamp,
    until: Timestamp,
}

impl RunHistory {
    /// Records that the process runs at `now`, and detects whether it stalled since the previous call.
    fn record_running(&mut self, now: Timestamp) {
        let gap = now.since(self.last_running);
        if gap > STALL_THRESHOLD {
            // On an overloaded core, stalls follow each other closely. Data that arrived during the first stall may
            // still be unread after the next, so such stalls are merged.
            let last = self.last_stall;
            let is_continued = self.last_running.since(last.until) < STALL_RECOVERY
                && now.since(last.from) < MAX_MERGED_STALL;
            let from = if is_continued { last.from } else { self.last_running };
            self.last_stall = Stall { from, until: now };
        }
        if gap >= DISCOVERY_STALL {
            self.last_discovery_stall_end = now;
        }
        self.last_running = now;
        self.has_unreported_stall |= gap > REPORTED_STALL;
    }
}

impl StallDetector {
    /// Creates a detector that has recorded no stall.
    pub fn start(now: Timestamp) -> StallDetector {
        StallDetector {
            history: Mutex::new(RunHistory {
                last_running: now,
                last_event_poll: now,
                has_unreported_stall: false,
                last_discovery_stall_end: Timestamp::default(),
                last_stall: Stall::default(),
            }),
        }
    }

    /// Records a run of the timer thread. Returns whether the process stalled for longer than `REPORTED_STALL` since
    /// the previous call.
    pub fn record_timer_run(&self, now: Timestamp) -> bool {
        let mut history = lock(&self.history);
        history.record_running(now);
        std::mem::take(&mut history.has_unreported_stall)
    }

    /// Records that the worker polled the sockets for events.
    pub fn record_event_poll(&self, now: Timestamp) {
        lock(&self.history).last_event_poll = now;
    }

    /// Returns whether the worker has polled the sockets for events after `time`.
    pub fn has_polled_since(&self, time: Timestamp) -> bool {
        lock(&self.history).last_event_poll > time
    }

    /// Returns whether coroutines that are ready to run should pause, so that the worker polls the sockets for events.
    pub fn is_event_poll_overdue(&self, now: Timestamp) -> bool {
        now.since(lock(&self.history).last_event_poll) > EVENT_POLL_INTERVAL
    }

    /// Returns how long attempts must still wait after a long stall, so that pending watch events are read first. Zero
    /// means that attempts may start. `last_contact` is the time of the last message from the discovery service.
    pub fn discovery_catch_up(&self, now: Timestamp, last_contact: Timestamp) -> Duration {
        let mut history = lock(&self.history);
        history.record_running(now);
        let stall_end = history.last_discovery_stall_end;
        let time_to_read = if last_contact > stall_end { DISCOVERY_CATCH_UP } else { DISCOVERY_RECONNECT };
        (stall_end + time_to_read).since(now)
    }

    /// Returns the earliest time at which data that is read at `now` may have been sent. The reader has been blocked in
    /// its read since `blocked_since`, so earlier data would have been read before.
    pub fn earliest_send_time(&self, blocked_since: Timestamp, now: Timestamp) -> Timestamp {
        let mut history = lock(&self.history);
        history.record_running(now);
        let stall = history.last_stall;
        let may_be_sent_in_stall = blocked_since <= stall.until && now.since(stall.until) < STALL_RECOVERY;
        if may_be_sent_in_stall { stall.from.max(blocked_since).min(now) } else { now }
    }
}
