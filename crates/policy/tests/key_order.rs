//! The ledger of a key against a simple model of engines that run what reached them until it is known not to:
//! every order of two requests by model checking, longer ones by chance.

use larchfall_policy::key_order::KeyOrder;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{AttemptEvidence, LastObservation};
use proptest::prelude::*;
use stateright::{Checker, Model, Property};

const KEY: u64 = 7;
/// In ticks: an engine gives up what it was not asked for in this long; a call that was cut off comes in within
/// one more, and the gateway reckons with another for its own clock.
const ENGINE_FORGETS: u64 = 2;
const EXPECTED_LIFETIME: u64 = ENGINE_FORGETS + 2;
/// One that takes no connection any more runs on what it has for so long after it was last asked.
const DRAINING_LIFETIME: u64 = EXPECTED_LIFETIME + 1;
/// What the gateway reckons with.
const UNOBSERVED_LIFETIME: Duration = Duration::from_micros(DRAINING_LIFETIME + 2);

fn time_of(tick: u64) -> Timestamp {
    Timestamp::from_micros(1_000 + tick)
}

/// A connection and whether the process there has spoken of the attempt as its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Connection {
    process: usize,
    same_process: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RequestState {
    NotAdmitted,
    Waiting,
    InFlight { engine: usize, connection: Option<Connection> },
    Finished,
}

/// An attempt at a process, on its way there or running.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RemoteAttempt {
    request: usize,
    process: usize,
    since: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    key_order: KeyOrder,
    now: u64,
    requests: Vec<(RequestState, u8)>,
    flying: Vec<RemoteAttempt>,
    running: Vec<RemoteAttempt>,
    ended: Vec<RemoteAttempt>,
    /// By address: the process that listens there, if any. One that listens no more runs on what it has.
    listens: Vec<Option<usize>>,
    processes: usize,
    /// Those that the list calls about to go: they listen no more, and may run on what they have until they are gone.
    drains: Vec<usize>,
    cuts: u8,
    broken: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Admit(usize),
    Send(usize, usize),
    Arrive(usize),
    Finish(usize),
    Cut(usize),
    Ask(usize),
    Stop(usize),
    Abandon(usize),
    Panic(usize),
    Leave(usize),
    Close(usize),
    /// It takes no more in, the list says so, and it is gone only with `Gone`.
    Drain(usize),
    Gone,
    Replace(usize),
    Tick,
}

/// How the gateway reads what is said: with care, or as it did before there was a ledger, when every 204 was an end, or
/// when an engine about to go was held to forget like any other, or to be gone within a fixed time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reading {
    Careful,
    Trusting,
    Forgotten,
    FixedTime,
}

#[derive(Clone, Copy, Debug)]
struct Bounds {
    requests: usize,
    engines: usize,
    ticks: u64,
    tries: u8,
    cuts: u8,
    processes: usize,
    reading: Reading,
}

impl World {
    fn new(x: &Bounds) -> World {
        World {
            key_order: KeyOrder::new(
                Duration::ZERO,
                if x.reading == Reading::Forgotten {
                    Duration::from_micros(EXPECTED_LIFETIME)
                } else {
                    UNOBSERVED_LIFETIME
                },
            ),
            now: 0,
            requests: vec![(RequestState::NotAdmitted, 0); x.requests],
            flying: Vec::new(),
            running: Vec::new(),
            ended: Vec::new(),
            listens: (0..x.engines).map(Some).collect(),
            processes: x.engines,
            drains: Vec::new(),
            cuts: 0,
            broken: None,
        }
    }

    fn on_its_way(&self, b: usize) -> bool {
        let connection = |process| matches!(&self.requests[b].0, RequestState::InFlight { connection: Some(l), .. } if l.process == process);
        self.flying.iter().any(|f| f.request == b && connection(f.process))
    }

    fn may(&self, act: Action, x: &Bounds) -> bool {
        let is = |b: usize| &self.requests[b].0;
        let out = |b: usize| matches!(is(b), RequestState::InFlight { .. });
        match act {
            Action::Admit(b) => {
                *is(b) == RequestState::NotAdmitted && (b == 0 || *is(b - 1) != RequestState::NotAdmitted)
            }
            Action::Send(b, e) => {
                *is(b) == RequestState::Waiting
                    && self.requests[b].1 < x.tries
                    && self.listens[e].is_some()
                    && self.key_order.is_next(KEY, b, time_of(self.now))
            }
            Action::Arrive(i) => i < self.flying.len(),
            Action::Finish(i) => i < self.running.len(),
            Action::Cut(b) => {
                matches!(is(b), RequestState::InFlight { connection: Some(_), .. }) && self.cuts < x.cuts
            }
            Action::Ask(b) | Action::Stop(b) => out(b) && !self.on_its_way(b),
            Action::Abandon(b) | Action::Panic(b) => out(b),
            Action::Leave(b) => *is(b) == RequestState::Waiting,
            Action::Close(e) | Action::Drain(e) => self.listens[e].is_some(),
            Action::Gone => !self.drains.is_empty(),
            Action::Replace(e) => self.listens[e].is_none() && self.processes < x.processes,
            Action::Tick => self.now < x.ticks && !(0..x.requests).any(|b| self.on_its_way(b)),
        }
    }

    fn all(x: &Bounds) -> Vec<Action> {
        let mut acts = vec![Action::Tick];
        for b in 0..x.requests {
            acts.extend([
                Action::Admit(b),
                Action::Arrive(b),
                Action::Finish(b),
                Action::Cut(b),
                Action::Ask(b),
            ]);
            acts.extend([Action::Stop(b), Action::Abandon(b), Action::Panic(b), Action::Leave(b)]);
            acts.extend((0..x.engines).map(|e| Action::Send(b, e)));
        }
        acts.extend((0..x.engines).flat_map(|e| [Action::Close(e), Action::Drain(e), Action::Replace(e)]));
        acts.push(Action::Gone);
        acts
    }

    fn act(&mut self, act: Action, x: &Bounds) {
        match act {
            Action::Admit(b) => {
                self.requests[b].0 = RequestState::Waiting;
                self.key_order.admit(KEY, b);
            }
            Action::Send(b, e) => {
                if self.requests[..b].iter().any(|(is, _)| *is != RequestState::Finished) {
                    self.broken = Some("sent while an earlier one is not over");
                }
                let process = self.listens[e].unwrap();
                self.key_order.on_attempt_started(KEY, b, self.requests[b].1, process);
                self.flying.push(RemoteAttempt { request: b, process, since: self.now });
                let connection = Some(Connection { process, same_process: true });
                self.requests[b].0 = RequestState::InFlight { engine: e, connection };
            }
            Action::Arrive(i) => {
                let call = self.flying.remove(i);
                if self.running.iter().any(|r| r.request != call.request) {
                    self.broken = Some("two of a key run together");
                }
                self.running.push(RemoteAttempt { since: self.now, ..call });
            }
            Action::Finish(i) => self.ended.push(self.running.remove(i)),
            Action::Cut(b) => {
                self.cuts += 1;
                if let RequestState::InFlight { connection, .. } = &mut self.requests[b].0 {
                    *connection = None;
                }
            }
            Action::Ask(b) | Action::Stop(b) => self.call(b, act == Action::Stop(b), x),
            Action::Abandon(b) => self.end(b, LastObservation::Silent, x),
            Action::Panic(b) => {
                self.end(b, LastObservation::Lost, x);
                self.leave(b);
            }
            Action::Leave(b) => self.leave(b),
            Action::Close(e) => self.listens[e] = None,
            Action::Drain(e) => self.drains.extend(self.listens[e].take()),
            Action::Gone => {
                let gone = self.drains.remove(0);
                self.running.retain(|r| r.process != gone);
            }
            Action::Replace(e) => {
                self.listens[e] = Some(self.processes);
                self.processes += 1;
            }
            Action::Tick => self.tick(x),
        }
    }

    fn tick(&mut self, x: &Bounds) {
        self.now += 1;
        let now = self.now;
        self.flying.retain(|f| now - f.since <= 1);
        let listens = &self.listens;
        let held = |r: &RemoteAttempt| {
            if listens.contains(&Some(r.process)) { ENGINE_FORGETS } else { DRAINING_LIFETIME }
        };
        let drains = &self.drains;
        self.running.retain(|r| drains.contains(&r.process) || now - r.since <= held(r));
        if x.reading != Reading::FixedTime {
            self.key_order.extend_unproven(time_of(now + 2), |process| drains.contains(&process));
        }
        self.key_order.remove_idle_keys(time_of(now));
    }

    /// A call for news or to stop, on the connection there is or on a new one.
    fn call(&mut self, b: usize, stop: bool, x: &Bounds) {
        let now = self.now;
        let RequestState::InFlight { engine, connection } = &mut self.requests[b].0 else { return };
        if connection.is_none() {
            *connection = self.listens[*engine].map(|process| Connection { process, same_process: false });
        }
        let Some(l) = connection else { return self.end(b, LastObservation::Refused, x) };
        let here = |t: &RemoteAttempt| t.request == b && t.process == l.process;
        if stop {
            self.running.retain(|r| !here(r));
            return self.end(b, LastObservation::Stopped, x);
        }
        if let Some(run) = self.running.iter_mut().find(|r| here(r)) {
            (run.since, l.same_process) = (now, true);
        } else if self.ended.iter().any(here) {
            l.same_process = true;
            self.end(b, LastObservation::Ended, x);
            self.leave(b);
        } else {
            self.end(b, LastObservation::Unknown, x);
        }
    }

    fn end(&mut self, b: usize, last: LastObservation, x: &Bounds) {
        let RequestState::InFlight { connection, .. } = &self.requests[b].0 else { return };
        let trusted = x.reading == Reading::Trusting && last == LastObservation::Stopped;
        let same = trusted || connection.as_ref().is_some_and(|l| l.same_process);
        let seen = AttemptEvidence { last, same_process: same };
        let number = self.requests[b].1;
        self.key_order.on_attempt_finished(KEY, b, number, seen, false, time_of(self.now));
        self.requests[b] = (RequestState::Waiting, number + 1);
    }

    fn leave(&mut self, b: usize) {
        self.requests[b].0 = RequestState::Finished;
        self.key_order.remove_request(KEY, b);
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self)]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Action>) {
        acts.extend(World::all(self).into_iter().filter(|a| world.broken.is_none() && world.may(*a, self)));
    }

    fn next_state(&self, world: &World, act: Action) -> Option<World> {
        let mut next = world.clone();
        next.act(act, self);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Bounds>> {
        vec![
            Property::always("rule 5", |_: &Bounds, w: &World| w.broken.is_none()),
            // Otherwise an order that lets nobody go would pass.
            Property::sometimes("both end", |_: &Bounds, w: &World| {
                w.requests.iter().all(|(is, _)| *is == RequestState::Finished) && w.ended.len() == 2
            }),
        ]
    }
}

const TWO: Bounds =
    Bounds { requests: 2, engines: 1, ticks: 8, tries: 1, cuts: 1, processes: 2, reading: Reading::Careful };

#[test]
fn two_requests_of_a_key_one_engine_replaced_and_one_cut_in_every_order() {
    let checker = TWO.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
}

#[test]
fn readings_of_before_are_found_to_break_the_rule() {
    for reading in [Reading::Trusting, Reading::Forgotten, Reading::FixedTime] {
        let checker = Bounds { reading, ..TWO }.checker().threads(4).spawn_bfs().join();
        let states = checker.unique_state_count();
        assert!(checker.discovery("rule 5").is_some(), "{reading:?}: {states} states");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_order_of_sends_ends_cuts_and_changes_keeps_the_rule(draws in prop::collection::vec(any::<u16>(), 1..200)) {
        let x = Bounds { requests: 5, engines: 2, ticks: 60, tries: 3, cuts: 9, processes: 9, ..TWO };
        let mut world = World::new(&x);
        for draw in draws {
            let acts: Vec<_> = World::all(&x).into_iter().filter(|a| world.may(*a, &x)).collect();
            let Some(act) = acts.get(usize::from(draw) % acts.len().max(1)) else { break };
            world.act(*act, &x);
            prop_assert_eq!(world.broken, None, "after {:?}", act);
        }
    }
}
