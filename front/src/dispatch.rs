//! A batch on its way: one coroutine each. It asks the facade where to go, speaks to that engine until the
//! dispatch has an outcome, and reports it, until the batch is over.

use crate::link::{Fault, Link, NoLink};
use crate::state::State;
use crate::state::clock::wait;
use crate::state::peer::Peer;
use crate::wire::http::{self, Reply, Start};
use crate::wire::rpc;
use larchfall::interface::{Answer, Dispatch, Next, Outcome, Place, Report};
use larchfall::time::{At, Span};
use slog::warn;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// An engine answers a call for news after 250 ms at the latest; a connection that takes longer than this
/// hangs, and another is opened well within the 2 s after which the engine gives the query up.
const NEWS_WITHIN: Span = Span::from_millis(700);
const FORGOTTEN_AFTER: Span = Span::from_millis(2000);
const PAUSE: Span = Span::from_millis(20);
/// Giving up must not hold up an answer.
const GIVE_UP_WITHIN: Span = Span::from_millis(100);
const GIVE_UP_LATE: Span = Span::from_millis(20);
/// Calls for one page before it counts as lost.
const PAGE_TRIES: usize = 3;
const MOST_PAGES: u32 = 64;

/// What a batch needs to be sent.
pub struct Task {
    pub message: u32,
    pub id: String,
    pub group: usize,
    pub in_order: bool,
    pub reference: Option<String>,
    pub statement: Vec<u8>,
}

/// Answers and lets go of the batch whatever happens to its coroutine.
struct Holder<'a> {
    state: &'a State,
    peer: &'a Peer,
    task: &'a Task,
    b: usize,
}

impl Drop for Holder<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Guards against a batch without an answer. What is out stays known to the module, so the index
            // is not used again.
            answer(self.state, self.peer, self.task, &rpc::Answer::Errored("internal error"));
            return;
        }
        self.state.facade.release(self.b);
    }
}

/// Runs a batch to its end, from the first place that was picked for it.
pub fn run(state: &Arc<State>, peer: &Arc<Peer>, task: &Task, b: usize, first: Place) {
    let _holder = Holder { state, peer, task, b };
    let mut place = first;
    let mut number = 0;
    loop {
        match place {
            Place::Send(to) => {
                let trip = Trip::new(state, task, b, number, to);
                let (outcome, rows, report) = trip.make();
                state.counters.outcome(task.group, outcome);
                let returned = outcome == Outcome::Returned;
                if returned {
                    answer(state, peer, task, &rpc::Answer::Returned(&rows));
                }
                let over = returned || state.facade.left(b).is_some();
                let took = state.clock.now().since(trip.sent);
                let told = Answer { outcome, took, over, work: None, report };
                if state.facade.report(b, number, &told) == Next::Over {
                    return;
                }
                number += 1;
            }
            Place::NotYet | Place::CallOff(_) => {
                state.facade.rest(b);
                if state.facade.left(b).is_some() {
                    return;
                }
            }
            Place::PushBack(wait) => return answer(state, peer, task, &rpc::Answer::PushedBack(wait)),
            Place::Error => return answer(state, peer, task, &rpc::Answer::Errored("given up")),
        }
        place = state.facade.pick(b);
    }
}

/// The one final answer, counted where somebody still waits for it.
pub fn answer(state: &State, peer: &Peer, task: &Task, answer: &rpc::Answer) {
    if peer.answer(task.message, answer) {
        state.counters.group(task.group, |c| match answer {
            rpc::Answer::Returned(_) => c.returned += 1,
            rpc::Answer::PushedBack(_) => c.pushed_back += 1,
            _ => c.errored += 1,
        });
    }
}

type Ended = (Outcome, Vec<u8>, Report);

fn ended(outcome: Outcome) -> Ended {
    (outcome, Vec::new(), Report::default())
}

/// What a look around between two calls found.
enum Look {
    GoOn,
    CallOff,
    TimedOut,
}

/// One dispatch.
struct Trip<'a> {
    state: &'a Arc<State>,
    task: &'a Task,
    b: usize,
    number: u8,
    to: Dispatch,
    address: SocketAddrV4,
    sent: At,
}

impl<'a> Trip<'a> {
    fn new(state: &'a Arc<State>, task: &'a Task, b: usize, number: u8, to: Dispatch) -> Trip<'a> {
        let address = state.facade.address(to.engine);
        Trip { state, task, b, number, to, address, sent: state.clock.now() }
    }

    /// The time-out, or the end of this front when that comes first.
    fn until(&self) -> At {
        let until = self.sent + self.to.time_out;
        self.state.ends().map_or(until, |ends| until.min(ends))
    }

    fn make(&self) -> Ended {
        let mut link = match self.link(self.until()) {
            Ok(link) => link,
            Err(_) => return ended(Outcome::ConnectFailed),
        };
        let call = http::start(
            self.address,
            &Start {
                id: &self.task.id,
                group: &self.state.names.groups[self.task.group],
                patience: self.until().since(self.state.clock.now()),
                reference: self.task.reference.as_deref(),
                memory_mb: self.to.memory_mb,
                priority: self.to.priority,
                statement: &self.task.statement,
            },
        );
        let mut reply = self.call(&mut link, &call);
        // A call of which nothing left is no dispatch: a fresh connection may carry it.
        if reply == Err(Fault::Unsent) {
            self.done(link, None);
            link = match self.link(self.until()) {
                Ok(link) => link,
                Err(_) => return ended(Outcome::ConnectFailed),
            };
            reply = self.call(&mut link, &call);
            if reply == Err(Fault::Unsent) {
                self.done(link, None);
                return ended(Outcome::ConnectFailed);
            }
        }
        self.follow(link, reply)
    }

    /// Asks for news until the end is known.
    fn follow(&self, link: Link, first: Result<Reply, Fault>) -> Ended {
        let mut link = Some(link);
        let mut news = first;
        loop {
            match news {
                Ok(reply) if reply.status == 202 => {
                    if let Some(note) = reply.note {
                        self.state.facade.note(self.b, self.number, note);
                    }
                    link = self.keep(link, reply.closes);
                }
                Ok(reply) if reply.status == 200 => return self.collect(link, reply),
                Ok(reply) => {
                    let declined = reply.declined && matches!(reply.status, 503 | 504);
                    self.keep(link, reply.closes).into_iter().for_each(|l| self.done(l, Some(())));
                    let outcome = if declined { Outcome::Full } else { Outcome::Errored };
                    return (outcome, Vec::new(), reply.report);
                }
                Err(_) => {
                    link.take().into_iter().for_each(|l| self.done(l, None));
                    may::coroutine::sleep(wait(PAUSE));
                }
            }
            match self.look() {
                Look::GoOn => {}
                Look::CallOff => return self.give_up(link, GIVE_UP_WITHIN, Outcome::CalledOff),
                Look::TimedOut => return self.give_up(link, GIVE_UP_LATE, Outcome::TimedOut),
            }
            if link.is_none() {
                link = match self.link(self.until()) {
                    Ok(link) => Some(link),
                    // Whoever ran there is gone, and what it ran with it.
                    Err(NoLink::Refused) => return ended(Outcome::Reset),
                    Err(NoLink::Silent) => {
                        news = Err(Fault::Late);
                        continue;
                    }
                };
            }
            let ask = http::page(self.address, &self.task.id, 0);
            news = match &mut link {
                Some(link) => self.call(link, &ask),
                None => Err(Fault::Late),
            };
        }
    }

    fn look(&self) -> Look {
        if self.state.facade.left(self.b) == Some(true) {
            return Look::CallOff;
        }
        if self.state.clock.now() >= self.until() {
            return Look::TimedOut;
        }
        match self.state.facade.pick(self.b) {
            Place::CallOff(number) if number == self.number => Look::CallOff,
            _ => Look::GoOn,
        }
    }

    /// All pages of a result, in order; a page that is lost makes the dispatch errored, never a short answer.
    fn collect(&self, mut link: Option<Link>, first: Reply) -> Ended {
        let report = first.report;
        let pages = first.pages.unwrap_or(1);
        if pages > MOST_PAGES {
            warn!(self.state.log, "result of {} pages is passed over", pages);
            link.take().into_iter().for_each(|l| self.done(l, None));
            return (Outcome::Errored, Vec::new(), report);
        }
        link = self.keep(link, first.closes);
        let mut rows = first.body;
        for number in 1..pages {
            match self.page(&mut link, number) {
                Some(page) => rows.extend_from_slice(&page),
                None => {
                    link.take().into_iter().for_each(|l| self.done(l, None));
                    let late = self.state.clock.now() >= self.until();
                    let outcome = if late { Outcome::TimedOut } else { Outcome::Errored };
                    return (outcome, Vec::new(), report);
                }
            }
        }
        link.take().into_iter().for_each(|l| self.done(l, Some(())));
        (Outcome::Returned, rows, report)
    }

    fn page(&self, link: &mut Option<Link>, number: u32) -> Option<Vec<u8>> {
        let ask = http::page(self.address, &self.task.id, number);
        for _ in 0..PAGE_TRIES {
            if link.is_none() {
                *link = self.link(self.until()).ok();
            }
            let Some(open) = link else { continue };
            match self.call(open, &ask) {
                Ok(reply) if reply.status == 200 && reply.page == Some(number) => {
                    *link = self.keep(link.take(), reply.closes);
                    return Some(reply.body);
                }
                Ok(_) => return None,
                Err(_) => link.take().into_iter().for_each(|l| self.done(l, None)),
            }
        }
        None
    }

    /// Tells the engine to stop. A batch in key order stays out until that is known, or until the engine
    /// must have forgotten it: the next of its key may not start beside it.
    fn give_up(&self, mut link: Option<Link>, within: Span, outcome: Outcome) -> Ended {
        let ask = http::give_up(self.address, &self.task.id);
        let began = self.state.clock.now();
        let called_off = outcome == Outcome::CalledOff;
        let until = began + if called_off && self.task.in_order { FORGOTTEN_AFTER } else { within };
        loop {
            if link.is_none() {
                link = match self.link(until) {
                    Ok(link) => Some(link),
                    Err(NoLink::Refused) => return ended(outcome),
                    Err(NoLink::Silent) => None,
                };
            }
            if let Some(mut open) = link.take() {
                let by = until.min(self.state.clock.now() + NEWS_WITHIN);
                let reply = open.call(&ask, &self.state.clock, by);
                let good = matches!(&reply, Ok(r) if !r.closes);
                self.done(open, good.then_some(()));
                if reply.is_ok() {
                    return ended(outcome);
                }
            }
            if self.state.clock.now() >= until {
                return ended(outcome);
            }
            may::coroutine::sleep(wait(PAUSE));
        }
    }

    fn call(&self, link: &mut Link, call: &[u8]) -> Result<Reply, Fault> {
        let now = self.state.clock.now();
        link.call(call, &self.state.clock, self.until().min(now + NEWS_WITHIN))
    }

    /// A connection of the pool, or a new one.
    fn link(&self, until: At) -> Result<Link, NoLink> {
        link(self.state, self.to.engine, self.address, until)
    }

    fn done(&self, link: Link, good: Option<()>) {
        self.state.pool.exit(self.to.engine, good.map(|()| link), self.state.clock.now());
    }

    /// Lets go of a connection that the engine ends.
    fn keep(&self, link: Option<Link>, closes: bool) -> Option<Link> {
        if closes {
            link.into_iter().for_each(|l| self.done(l, None));
            return None;
        }
        link
    }
}

fn link(state: &State, e: usize, address: SocketAddrV4, until: At) -> Result<Link, NoLink> {
    let by = until.min(state.clock.now() + state.connect_within);
    if !state.pool.enter(state.clock.left(by)) {
        return Err(NoLink::Silent);
    }
    let now = state.clock.now();
    if let Some(link) = state.pool.idle(e, now) {
        return Ok(link);
    }
    let (in_use, idle) = state.pool.open();
    state.counters.rest(|c| c.most_links = c.most_links.max(in_use + idle));
    Link::open(address, state.clock.left(by)).inspect_err(|_| state.pool.exit(e, None, now))
}

/// Asks an engine for its load report.
pub fn probe(state: &State, e: usize) {
    state.counters.rest(|c| c.probes += 1);
    let address = state.facade.address(e);
    let until = state.clock.now() + state.connect_within;
    let mut report = Report::default();
    if let Ok(mut link) = link(state, e, address, until) {
        let reply = link.call(&http::stats(address), &state.clock, until);
        let good = matches!(&reply, Ok(r) if !r.closes);
        report = reply.map(|r| r.report).unwrap_or_default();
        state.pool.exit(e, good.then_some(link), state.clock.now());
    }
    state.facade.probed(e, report);
}
