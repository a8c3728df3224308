//! When this front stood still: a paused machine or a starved core. What is read right after it has waited for
//! some of that time already.

use super::lock;
use larchfall_policy::time::{At, Span};
use std::sync::Mutex;

/// The timer comes by this often.
pub const TIMER_PERIOD: Span = Span::from_millis(20);
/// Longer than this between two marks is more than a late timer. A core that is shared stands still for some
/// tens of milliseconds, and what came meanwhile has lost as much of its time.
const STALL: Span = Span::from_millis(35);
/// Stalls close to each other count as one for this long.
const CHAIN: Span = Span::from_millis(2000);
/// Worth a line in the log.
const LONG: Span = Span::from_millis(250);
/// What the notice board told in a stall as long as this may be past its grace when the front wakes, and is read
/// within so much.
const DEAF: Span = Span::from_millis(1000);
const CATCH_UP: Span = Span::from_millis(60);
/// Where its connection did not outlast the stall, the board is heard on another one, within so much or it is not there.
const HEARD_WITHIN: Span = Span::from_millis(1000);
/// The worker looks for events of sockets only when nothing is ready to run. It has passed that point this lately, or
/// others are starved by those who always have something to say.
const EVENTS_WITHIN: Span = Span::from_millis(60);
/// What came meanwhile is read within this much after it.
const AFTERMATH: Span = Span::from_millis(200);

pub struct Stalls {
    marks: Mutex<Marks>,
}

struct Marks {
    last: At,
    /// When the worker last looked for events.
    looked: At,
    long: bool,
    /// When it last woke from a stall as long as that.
    woke: At,
    /// The last stall: from, until.
    stall: (At, At),
}

impl Stalls {
    pub fn start(now: At) -> Stalls {
        Stalls {
            marks: Mutex::new(Marks {
                last: now,
                looked: now,
                long: false,
                woke: At::default(),
                stall: (At::default(), At::default()),
            }),
        }
    }

    /// The timer came by; true when there was a long stall since the last time, whoever woke first from it.
    pub fn beat(&self, now: At) -> bool {
        self.mark(now);
        std::mem::take(&mut lock(&self.marks).long)
    }

    /// Something runs.
    fn mark(&self, now: At) {
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
    pub fn looked(&self, now: At) {
        lock(&self.marks).looked = now;
    }

    /// Whether the worker has looked for events since then.
    pub fn looked_since(&self, at: At) -> bool {
        lock(&self.marks).looked > at
    }

    /// Whether whoever could go on at once is to wait, so that the worker looks for the events of others.
    pub fn starves_events(&self, now: At) -> bool {
        now.since(lock(&self.marks).looked) > EVENTS_WITHIN
    }

    /// How long nothing may be sent yet: after a long stall the board, which was `heard` last then, is to be read first.
    pub fn deaf_for(&self, now: At, heard: At) -> Span {
        self.mark(now);
        let woke = lock(&self.marks).woke;
        let until = if heard > woke { CATCH_UP } else { HEARD_WITHIN };
        (woke + until).since(now)
    }

    /// The earliest time at which a reader that slept since then may have been sent what it reads now.
    pub fn may_be_from(&self, slept_since: At, now: At) -> At {
        self.mark(now);
        let (from, until) = lock(&self.marks).stall;
        let of_the_stall = slept_since <= until && now.since(until) < AFTERMATH;
        if of_the_stall { from.max(slept_since).min(now) } else { now }
    }
}
