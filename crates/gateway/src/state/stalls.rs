//! When this gateway stood still: a paused machine or a starved core. What is read right after it has waited for
//! some of that time already.

use super::lock;
use larchfall_policy::time::{Duration, Timestamp};
use std::sync::Mutex;

/// The timer comes by this often.
pub const TIMER_PERIOD: Duration = Duration::from_millis(20);
/// Longer than this between two marks is more than a late timer. A core that is shared stands still for some
/// tens of milliseconds, and what came meanwhile has lost as much of its time.
const STALL: Duration = Duration::from_millis(35);
/// Stalls close to each other count as one for this long.
const CHAIN: Duration = Duration::from_millis(2000);
/// Worth a line in the log.
const LONG: Duration = Duration::from_millis(250);
/// What the discovery service told in a stall as long as this may be past its grace when the gateway wakes, and is read
/// within so much.
const DEAF: Duration = Duration::from_millis(1000);
const CATCH_UP: Duration = Duration::from_millis(60);
/// Where its connection did not outlast the stall, the discovery service is heard on another one, within so much or it is not there.
const HEARD_WITHIN: Duration = Duration::from_millis(1000);
/// The worker looks for events of sockets only when nothing is ready to run. It has passed that point this lately, or
/// others are starved by those who always have something to say.
const EVENTS_WITHIN: Duration = Duration::from_millis(60);
/// What came meanwhile is read within this much after it.
const AFTERMATH: Duration = Duration::from_millis(200);

pub struct Stalls {
    marks: Mutex<Marks>,
}

struct Marks {
    last: Timestamp,
    /// When the worker last looked for events.
    looked: Timestamp,
    long: bool,
    /// When it last woke from a stall as long as that.
    woke: Timestamp,
    /// The last stall: from, until.
    stall: (Timestamp, Timestamp),
}

impl Stalls {
    pub fn start(now: Timestamp) -> Stalls {
        Stalls {
            marks: Mutex::new(Marks {
                last: now,
                looked: now,
                long: false,
                woke: Timestamp::default(),
                stall: (Timestamp::default(), Timestamp::default()),
            }),
        }
    }

    /// The timer came by; true when there was a long stall since the last time, whoever woke first from it.
    pub fn beat(&self, now: Timestamp) -> bool {
        self.mark(now);
        std::mem::take(&mut lock(&self.marks).long)
    }

    /// Something runs.
    fn mark(&self, now: Timestamp) {
        let mut marks = lock(&self.marks);
        let silence = now.since(marks.last);
        if silence > STALL {
            // A starved core stands still again and again: what came in the first of it may still be unread.
            let (from, until) = marks.stall;
            let goes_on = marks.last.since(until) < AFTERMATH && now.since(from) < CHAIN;
            marks.stall = (if goes_on { from } else { marks.last }, now);
        }
        if silence >= DEAF {
            marks.woke = now;
        }
        marks.last = now;
        marks.long |= silence > LONG;
    }

    /// The worker looked for events of sockets.
    pub fn looked(&self, now: Timestamp) {
        lock(&self.marks).looked = now;
    }

    /// Whether the worker has looked for events since then.
    pub fn looked_since(&self, at: Timestamp) -> bool {
        lock(&self.marks).looked > at
    }

    /// Whether whoever could go on at once is to wait, so that the worker looks for the events of others.
    pub fn starves_events(&self, now: Timestamp) -> bool {
        now.since(lock(&self.marks).looked) > EVENTS_WITHIN
    }

    /// How long nothing may be sent yet: after a long stall the discovery service, which was `heard` last then, is to be read first.
    pub fn deaf_for(&self, now: Timestamp, heard: Timestamp) -> Duration {
        self.mark(now);
        let woke = lock(&self.marks).woke;
        let until = if heard > woke { CATCH_UP } else { HEARD_WITHIN };
        (woke + until).since(now)
    }

    /// The earliest time at which a reader that slept since then may have been sent what it reads now.
    pub fn may_be_from(&self, slept_since: Timestamp, now: Timestamp) -> Timestamp {
        self.mark(now);
        let (from, until) = lock(&self.marks).stall;
        let of_the_stall = slept_since <= until && now.since(until) < AFTERMATH;
        if of_the_stall { from.max(slept_since).min(now) } else { now }
    }
}
