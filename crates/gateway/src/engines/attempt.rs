//! One attempt: from its permit and its one call to an engine to its outcome.

use crate::engines::link::{Fault, Link, NoLink};
use crate::state::State;
use crate::state::engines::Home;
use crate::task::{Ended, Task};
use crate::wire::http::{self, Reply, Start};
use larchfall_policy::attempt_ledger::proves_end;
use larchfall_policy::interface::{
    AttemptEvidence, AttemptParameters, LastObservation, LoadReport, Outcome, ProgressUpdate, RoutingDecision,
};
use larchfall_policy::time::{Duration, Timestamp};
use slog::info;
use std::cell::Cell;
use std::sync::Arc;

/// An engine answers a call for news after 250 ms at the latest; a connection that takes longer than this
/// hangs, and another is opened: a result that is there waits meanwhile, and its engine looks slow.
pub(super) const NEWS_WITHIN: Duration = Duration::from_millis(350);
/// An engine gives up what was not asked for in 2 s. A call that was cut off may be held back there for 250 ms,
/// and ask all that time; the rest is for its own clock and the way there.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(2400);
/// One about to go takes no call, and was seen to hold what it has for 4.4 s after the last one, until it ended. How
/// long that takes is said nowhere: the lists had engines drain for 5.9 to 7.4 s, and what was not seen to end
/// may be at any of them (docs/incidents/mass-order.md).
pub const RUNS_ON: Duration = Duration::from_millis(8000);
pub(super) const PAUSE: Duration = Duration::from_millis(20);
/// Whoever waits until this gateway has heard its sockets goes on in the same moment as those who were heard.
const LOOK: Duration = Duration::from_millis(5);
/// Connections that one call may be tried on, as long as not a byte of it left.
const CONNECTIONS: usize = 2;
/// A attempt that finds all descriptors in use is better told so at once.
const PERMIT_WITHIN: Duration = Duration::from_millis(20);
/// Giving up must not hold up an answer.
pub(super) const GIVE_UP_WITHIN: Duration = Duration::from_millis(100);

/// Of which nothing left.
pub fn not_sent(outcome: Outcome) -> Ended {
    let seen = AttemptEvidence { last: LastObservation::NotSent, same_process: true };
    Ended { outcome, report: LoadReport::default(), seen, torn: false, unsettled: false }
}

/// What a look around between two calls found.
pub(super) enum Look {
    GoOn,
    CancelAttempt,
    TimedOut,
}

/// One attempt on its way.
pub struct Attempt<'a> {
    pub(super) state: &'a Arc<State>,
    pub(super) task: &'a Task,
    pub(super) b: usize,
    pub(super) number: u8,
    to: AttemptParameters,
    pub home: Home,
    pub sent: Timestamp,
    /// Whether this attempt still has its permit.
    has_permit: Cell<bool>,
    /// What is left to tell the engine on, where its time ran out before its end was known.
    left: Cell<Option<Link>>,
    /// When the engine may last have been asked for it: the end of the last such call.
    pub(super) asked: Cell<Timestamp>,
    /// Whether the process at the other end of the present connection is known to have this attempt.
    pub(super) same_process: Cell<bool>,
}

impl<'a> Attempt<'a> {
    /// `None` where the engine is no longer known.
    pub fn new(
        state: &'a Arc<State>,
        task: &'a Task,
        b: usize,
        number: u8,
        to: AttemptParameters,
    ) -> Option<Attempt<'a>> {
        let home = state.facade.home(to.engine)?;
        let (sent, has_permit, left) = (state.clock.now(), Cell::new(false), Cell::new(None));
        let (asked, same_process) = (Cell::new(sent), Cell::new(true));
        Some(Attempt { state, task, b, number, to, home, sent, has_permit, left, asked, same_process })
    }

    /// The time-out, or the end of this gateway when that comes first.
    pub(super) fn until(&self) -> Timestamp {
        let until = self.sent + self.to.time_out;
        self.state.ends().map_or(until, |ends| until.min(ends))
    }

    /// Without a permit nothing was sent, and that says nothing of the engine.
    pub fn make(&self) -> Ended {
        if !self.state.pool.acquire(self.to.priority, Some((&self.state.alarms, self.sent + PERMIT_WITHIN))) {
            return not_sent(Outcome::Moot);
        }
        self.has_permit.set(true);
        self.go()
    }

    /// Its time is up and its client has its answer, but its key waits for its end. It is told on the connection
    /// that there is, once the call held there comes back: an engine about to go takes no new one.
    pub fn settle(&self) -> AttemptEvidence {
        self.give_up(self.left.take(), NEWS_WITHIN + GIVE_UP_WITHIN, Outcome::TimedOut).seen
    }

    /// No byte left. What ran out of time before says nothing of the engine.
    fn not_sent(&self, why: NoLink) -> Ended {
        let out_of_time = why == NoLink::Silent && self.state.clock.now() >= self.until();
        not_sent(if out_of_time { Outcome::Moot } else { Outcome::ConnectFailed })
    }

    fn go(&self) -> Ended {
        for _ in 0..CONNECTIONS {
            let mut link = match self.link(self.until()) {
                Ok(link) => link,
                Err(why) => return self.not_sent(why),
            };
            if !self.may_begin() {
                self.done(Some(link));
                return not_sent(Outcome::Moot);
            }
            // A call of which nothing left is no attempt: a fresh connection may carry it.
            match self.call(&mut link, &self.start(), NEWS_WITHIN) {
                Err(Fault::Unsent) => {}
                reply => {
                    // What comes on the call's own connection is said by the process that has it, or turned it away.
                    self.same_process.set(true);
                    return self.follow(link, reply);
                }
            }
        }
        self.not_sent(NoLink::Silent)
    }

    /// Whether the call may go out now, asked right before each write of it: its client may have left while it waited
    /// for this connection, the list may have moved its engine (another process may have the address, of another kind,
    /// cold, or with nothing to do with the one that was picked), the window of a repeat may be over. A gateway that
    /// stood still, or has not looked at its sockets lately, hears first what came meanwhile.
    fn may_begin(&self) -> bool {
        let deaf = self.state.is_deaf();
        while self.state.hears_nothing() && self.state.clock.now() < self.until() {
            self.state.sleep(LOOK);
        }
        // Whatever was told while this gateway stood still may be past its grace.
        let fresh = !deaf && self.state.clock.now().since(self.sent) < self.state.pick_holds;
        let engine = (self.to.engine, self.home);
        self.state.clock.now() < self.until()
            && self.state.facade.may_begin(self.b, self.number, engine, fresh)
    }

    /// The call that starts its statement, with the time that its client has left now.
    fn start(&self) -> Vec<u8> {
        let start = Start {
            id: &self.task.id,
            class: &self.state.names.classes[self.task.class],
            patience: self.until().since(self.state.clock.now()),
            reference: self.task.reference.as_deref(),
            memory_mb: self.to.memory_mb,
            priority: self.to.priority,
            statement: &self.task.statement,
        };
        http::start(self.home.address, &start)
    }

    /// Asks for news until the end is known.
    fn follow(&self, link: Link, first: Result<Reply, Fault>) -> Ended {
        let mut link = Some(link);
        let mut news = first;
        let mut began = self.sent;
        let mut faults = 0;
        loop {
            match news {
                Ok(reply) if reply.status == 202 => {
                    self.same_process.set(true);
                    if let Some(note) = reply.note {
                        self.state.facade.note(self.b, self.number, note);
                    }
                    link = self.keep(link, reply.closes);
                    if reply.note.is_none() && self.state.clock.now().since(began) < PAUSE {
                        // Against an engine that has no news and does not hold the call back.
                        self.state.sleep(PAUSE);
                    }
                }
                Ok(reply) if reply.status == 200 && reply.pages.is_some() => {
                    return self.collect(link, reply);
                }
                Ok(reply) if reply.status == 500 || reply.is_declined() => {
                    let declined = reply.is_declined();
                    self.done(self.keep(link, reply.closes));
                    let outcome = if declined { Outcome::Full } else { Outcome::Errored };
                    // Where this is no answer to the call itself, whoever answers may not know it yet, or not be
                    // the process that has it.
                    let last = match (declined, faults) {
                        (true, _) => LastObservation::Declined,
                        (false, 0) => LastObservation::Ended,
                        (false, _) => LastObservation::Unknown,
                    };
                    return Ended { report: reply.report, ..self.end(last, outcome) };
                }
                // Its own time ran out, not the engine's: what is held there still comes on this connection.
                Err(Fault::Late)
                    if link.as_ref().is_some_and(Link::owes) && self.state.clock.now() >= self.until() => {}
                // Cut off, or an answer that no engine gives to this call: its end is asked for on another connection.
                Ok(_) | Err(_) => {
                    drop(link.take());
                    self.state.facade.note(self.b, self.number, ProgressUpdate::CutOff);
                    let pause = PAUSE.min(self.until().since(self.state.clock.now()));
                    faults += 1;
                    // A connection that was cut is asked after at once, and only then with rests between.
                    if pause > Duration::ZERO && faults > 1 {
                        self.state.sleep(pause);
                    }
                }
            }
            match self.look() {
                Look::GoOn => {}
                Look::CancelAttempt => return self.give_up(link, GIVE_UP_WITHIN, Outcome::Cancelled),
                Look::TimedOut if self.task.in_order => {
                    self.left.set(link);
                    return Ended { unsettled: true, ..not_sent(Outcome::TimedOut) };
                }
                // No other request hangs on its end, and the answer is due.
                Look::TimedOut => {
                    self.give_up_beside(link);
                    return self.end(LastObservation::Silent, Outcome::TimedOut);
                }
            }
            if link.is_none() {
                link = match self.link(self.until()) {
                    Ok(link) => Some(link),
                    // Whoever ran there is gone, and what it ran with it, unless it only takes no more in.
                    Err(NoLink::Refused) => return self.end(LastObservation::Refused, Outcome::Reset),
                    Err(NoLink::Silent) => {
                        news = Err(Fault::Late);
                        continue;
                    }
                };
            }
            let ask = http::page(self.home.address, &self.task.id, 0);
            began = self.state.clock.now();
            news = match &mut link {
                Some(link) => self.call(link, &ask, NEWS_WITHIN),
                None => Err(Fault::Late),
            };
        }
    }

    pub(super) fn look(&self) -> Look {
        if self.state.facade.left(self.b) == Some(true) {
            return Look::CancelAttempt;
        }
        if self.state.clock.now() >= self.until() {
            return Look::TimedOut;
        }
        match self.state.facade.pick(self.b) {
            RoutingDecision::CancelAttempt(number) if number == self.number => Look::CancelAttempt,
            _ => Look::GoOn,
        }
    }

    /// An end with what was last seen of it. What does not prove that nothing runs leaves a line.
    pub(super) fn end(&self, last: LastObservation, outcome: Outcome) -> Ended {
        let seen = AttemptEvidence { last, same_process: self.same_process.get() };
        if self.task.in_order && !proves_end(seen) {
            info!(self.state.log, "end of attempt not observed"; "last" => format!("{last:?}"), "id" => &self.task.id, "attempt" => self.number,
                "engine" => self.to.engine, "address" => self.home.address.to_string());
        }
        Ended { outcome, report: LoadReport::default(), seen, torn: false, unsettled: false }
    }

    /// Tells the engine to stop. A request in key order stays out until that is known, or until the engine
    /// must have forgotten it: the next of its key may not start beside it.
    pub(super) fn give_up(&self, mut link: Option<Link>, within: Duration, outcome: Outcome) -> Ended {
        let ask = http::give_up(self.home.address, &self.task.id);
        let began = self.state.clock.now();
        let called_off = outcome == Outcome::Cancelled;
        let mut until = began + if called_off && self.task.in_order { FORGOTTEN_AFTER } else { within };
        // A client that still waits is due its answer, whatever its key waits for.
        if self.state.facade.left(self.b).is_none() {
            until = until.min(self.until().max(began + within));
        }
        loop {
            if link.is_none() {
                link = match self.link(until) {
                    Ok(link) => Some(link),
                    Err(NoLink::Refused) => return self.end(LastObservation::Refused, outcome),
                    Err(NoLink::Silent) => None,
                };
            }
            if let Some(mut open) = link.take() {
                let by = until.min(self.state.clock.now() + NEWS_WITHIN);
                // Anything else does not say that it stops, and may be the answer to another call.
                if let Ok(reply) = open.call(&ask, &self.state.clock, by)
                    && reply.status == 204
                {
                    self.done(self.keep(Some(open), reply.closes));
                    return self.end(LastObservation::Stopped, outcome);
                }
            }
            let now = self.state.clock.now();
            if now >= until {
                return self.end(LastObservation::Silent, outcome);
            }
            self.state.sleep(PAUSE);
        }
    }

    /// Gives up on the permit of this attempt, which has its outcome already.
    pub(super) fn give_up_beside(&self, link: Option<Link>) {
        let ask = http::give_up(self.home.address, &self.task.id);
        let (state, e, home) = (self.state.clone(), self.to.engine, self.home);
        self.has_permit.set(false);
        may::go!(move || {
            let held = link.as_ref().is_some_and(Link::owes);
            let until = state.clock.now() + if held { NEWS_WITHIN } else { GIVE_UP_WITHIN };
            if let Some(mut link) = link.or_else(|| self::link(&state, e, home, until).ok())
                && matches!(link.call(&ask, &state.clock, until), Ok(reply) if !reply.closes)
            {
                state.pool.keep(e, link, state.clock.now());
            }
            state.pool.release();
        });
    }

    pub(super) fn call(&self, link: &mut Link, call: &[u8], within: Duration) -> Result<Reply, Fault> {
        let now = self.state.clock.now();
        let reply = link.call(call, &self.state.clock, self.until().min(now + within));
        self.asked.set(self.state.clock.now());
        reply
    }

    /// A connection of the pool, or a new one.
    pub(super) fn link(&self, until: Timestamp) -> Result<Link, NoLink> {
        self.same_process.set(false);
        link(self.state, self.to.engine, self.home, until)
    }

    /// Gives back what is left of a connection.
    pub(super) fn done(&self, link: Option<Link>) {
        if let Some(link) = link {
            self.state.pool.keep(self.to.engine, link, self.state.clock.now());
        }
    }

    /// Lets go of a connection that the engine ends, or on which more came than was asked for: the next reply
    /// read from it would be another one's.
    pub(super) fn keep(&self, link: Option<Link>, closes: bool) -> Option<Link> {
        link.filter(|link| !closes && link.is_quiet())
    }
}

/// The permit goes with the attempt.
impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if self.has_permit.get() {
            self.state.pool.release();
        }
    }
}

/// An idle connection to an engine, or a new one; only for who holds a permit.
fn link(state: &State, e: usize, home: Home, until: Timestamp) -> Result<Link, NoLink> {
    while let Some((link, rested)) = state.pool.idle(e, home, state.clock.now()) {
        // A wait that is shorter than most answers; a new connection costs its engine work, and may not come up.
        state.sleep(rested.since(state.clock.now()));
        if link.is_quiet() {
            return Ok(link);
        }
    }
    let (permits, idle) = state.pool.open();
    state.counters.rest(|c| c.most_links = c.most_links.max(permits + idle));
    Link::open(home, state.clock.left(until.min(state.clock.now() + state.connect_within)))
}

/// Asks an engine for its load report; attempts come first.
pub fn probe(state: &State, e: usize) -> Option<LoadReport> {
    let home = state.facade.home(e).filter(|_| state.pool.acquire(0, None))?;
    state.counters.rest(|c| c.probes += 1);
    let until = state.clock.now() + state.connect_within;
    let mut told = None;
    if let Ok(mut link) = link(state, e, home, until)
        && let Ok(reply) = link.call(&http::stats(home.address), &state.clock, until)
    {
        if !reply.closes {
            state.pool.keep(e, link, state.clock.now());
        }
        state.facade.probed(e, home, reply.report);
        told = Some(reply.report);
    }
    state.pool.release();
    told
}
