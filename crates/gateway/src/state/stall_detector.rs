//! Detects times in which this process did not run: a paused machine or a starved core. What is read right after such
//! a stall may have waited unread for as long as the stall lasted.

use super::lock;
use larchfall_policy::time::{Duration, Timestamp};
use std::sync::Mutex;

/// How often the timer thread comes by.
pub const TIMER_PERIOD: Duration = Duration::from_millis(20);
/// A silence longer than this is a stall rather than a late timer.
const STALL_THRESHOLD: Duration = Duration::from_millis(35);
/// Stalls that follow each other count as one for up to this long.
const MAX_MERGED_STALL: Duration = Duration::from_millis(2000);
/// A stall longer than this is reported, for a line in the log.
const REPORTED_STALL: Duration = Duration::from_millis(250);
/// After a stall this long, discovery events that came meanwhile may be past their grace period when they are read.
const DISCOVERY_STALL: Duration = Duration::from_millis(1000);
/// Time in which such events are read once the discovery service was heard after the stall.
const DISCOVERY_CATCH_UP: Duration = Duration::from_millis(60);
/// Time in which the discovery service is heard after the stall, on a new connection if need be; else it is not there.
const DISCOVERY_RECONNECT: Duration = Duration::from_millis(1000);
/// The worker polls sockets for events only when no coroutine is ready to run. After this long without a poll, those
/// that are always ready have to pause.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// What came during a stall is read within this long after it.
const STALL_AFTERMATH: Duration = Duration::from_millis(200);

/// When this process last ran, last polled its sockets, and last stalled.
pub struct StallDetector {
    marks: Mutex<Marks>,
}

struct Marks {
    last_running: Timestamp,
    last_event_poll: Timestamp,
    has_unreported_stall: bool,
    /// The end of the last stall of at least `DISCOVERY_STALL`.
    last_discovery_stall_end: Timestamp,
    last_stall: Stall,
}

#[derive(Clone, Copy, Default)]
struct Stall {
    from: Timestamp,
    until: Timestamp,
}

impl Marks {
    /// The process runs at `now`: what lies between this and the last mark may have been a stall.
    fn record_running(&mut self, now: Timestamp) {
        let silence = now.since(self.last_running);
        if silence > STALL_THRESHOLD {
            // A starved core stalls again and again: what came in the first stall may still be unread.
            let last = self.last_stall;
            let is_continued = self.last_running.since(last.until) < STALL_AFTERMATH
                && now.since(last.from) < MAX_MERGED_STALL;
            let from = if is_continued { last.from } else { self.last_running };
            self.last_stall = Stall { from, until: now };
        }
        if silence >= DISCOVERY_STALL {
            self.last_discovery_stall_end = now;
        }
        self.last_running = now;
        self.has_unreported_stall |= silence > REPORTED_STALL;
    }
}

impl StallDetector {
    /// Starts with no stall seen.
    pub fn start(now: Timestamp) -> StallDetector {
        StallDetector {
            marks: Mutex::new(Marks {
                last_running: now,
                last_event_poll: now,
                has_unreported_stall: false,
                last_discovery_stall_end: Timestamp::default(),
                last_stall: Stall::default(),
            }),
        }
    }

    /// The timer thread came by; true when there was a long stall since the last time.
    pub fn record_timer_run(&self, now: Timestamp) -> bool {
        let mut marks = lock(&self.marks);
        marks.record_running(now);
        std::mem::take(&mut marks.has_unreported_stall)
    }

    /// The worker polled its sockets for events.
    pub fn record_event_poll(&self, now: Timestamp) {
        lock(&self.marks).last_event_poll = now;
    }

    /// Whether the worker has polled its sockets after this time.
    pub fn has_polled_since(&self, time: Timestamp) -> bool {
        lock(&self.marks).last_event_poll > time
    }

    /// Whether coroutines that could go on at once are to pause, so that the worker polls its sockets.
    pub fn is_event_poll_overdue(&self, now: Timestamp) -> bool {
        now.since(lock(&self.marks).last_event_poll) > EVENT_POLL_INTERVAL
    }

    /// How long nothing may be sent to engines yet: after a long stall the discovery service is to be read first, which
    /// was last heard at `discovery_heard`.
    pub fn discovery_catch_up(&self, now: Timestamp, discovery_heard: Timestamp) -> Duration {
        let mut marks = lock(&self.marks);
        marks.record_running(now);
        let stall_end = marks.last_discovery_stall_end;
        let time_to_read = if discovery_heard > stall_end { DISCOVERY_CATCH_UP } else { DISCOVERY_RECONNECT };
        (stall_end + time_to_read).since(now)
    }

    /// The earliest time at which something read at `now` may have been sent to a reader that has slept since
    /// `slept_since`.
    pub fn earliest_send_time(&self, slept_since: Timestamp, now: Timestamp) -> Timestamp {
        let mut marks = lock(&self.marks);
        marks.record_running(now);
        let stall = marks.last_stall;
        let was_sent_in_stall = slept_since <= stall.until && now.since(stall.until) < STALL_AFTERMATH;
        if was_sent_in_stall { stall.from.max(slept_since).min(now) } else { now }
    }
}
