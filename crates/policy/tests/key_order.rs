//! The key_order of a key against a plain world of engines that run what came to them until it is known not to:
//! every order of two requests by model checking, longer ones by chance.

use larchfall_policy::attempt_ledger::proves_end;
use larchfall_policy::key_order::KeyOrder;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{AttemptEvidence, LastObservation};
use proptest::prelude::*;
use stateright::{Checker, Model, Property};

const KEY: u64 = 7;
/// In ticks: an engine gives up what it was not asked for in this long; a call that was cut off comes in within
/// one more, and the gateway reckons with another for its own clock.
const FORGETS: u64 = 2;
const RECKONED: u64 = FORGETS + 2;
/// One that takes no connection any more runs on what it has for so long after it was last asked.
const RUNS_ON: u64 = RECKONED + 1;
/// What the gateway reckons with.
const LETS_GO: Duration = Duration::from_micros(RUNS_ON + 2);

fn at(tick: u64) -> Timestamp {
    Timestamp::from_micros(1_000 + tick)
}

/// A connection and whether the process there has spoken of the attempt as its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Link {
    process: usize,
    same_process: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Is {
    Outside,
    Waits,
    Out { engine: usize, link: Option<Link> },
    Over,
}

/// A attempt at a process, on its way there or running.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct There {
    request: usize,
    process: usize,
    since: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    key_order: KeyOrder,
    now: u64,
    requests: Vec<(Is, u8)>,
    flying: Vec<There>,
    running: Vec<There>,
    ended: Vec<There>,
    /// By address: the process that listens there, if any. One that listens no more runs on what it has.
    listens: Vec<Option<usize>>,
    processes: usize,
    /// Those that the list calls about to go: they listen no more, and may run on what they have until they are gone.
    drains: Vec<usize>,
    cuts: u8,
    broken: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Act {
    Take(usize),
    Send(usize, usize),
    Arrive(usize),
    Finish(usize),
    Cut(usize),
    Ask(usize),
    Stop(usize),
    GiveUp(usize),
    Panic(usize),
    Leave(usize),
    Close(usize),
    /// It takes no more in, the list says so, and it is gone only with `Gone`.
    Drain(usize),
    Gone,
    Replace(usize),
    Tick,
}

/// How the gateway reads what is said: with care, or as it did before the key_order, when every 204 was an end, or
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
                if x.reading == Reading::Forgotten { Duration::from_micros(RECKONED) } else { LETS_GO },
            ),
            now: 0,
            requests: vec![(Is::Outside, 0); x.requests],
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
        let link =
            |process| matches!(&self.requests[b].0, Is::Out { link: Some(l), .. } if l.process == process);
        self.flying.iter().any(|f| f.request == b && link(f.process))
    }

    fn may(&self, act: Act, x: &Bounds) -> bool {
        let is = |b: usize| &self.requests[b].0;
        let out = |b: usize| matches!(is(b), Is::Out { .. });
        match act {
            Act::Take(b) => *is(b) == Is::Outside && (b == 0 || *is(b - 1) != Is::Outside),
            Act::Send(b, e) => {
                *is(b) == Is::Waits
                    && self.requests[b].1 < x.tries
                    && self.listens[e].is_some()
                    && self.key_order.is_next(KEY, b, at(self.now))
            }
            Act::Arrive(i) => i < self.flying.len(),
            Act::Finish(i) => i < self.running.len(),
            Act::Cut(b) => matches!(is(b), Is::Out { link: Some(_), .. }) && self.cuts < x.cuts,
            Act::Ask(b) | Act::Stop(b) => out(b) && !self.on_its_way(b),
            Act::GiveUp(b) | Act::Panic(b) => out(b),
            Act::Leave(b) => *is(b) == Is::Waits,
            Act::Close(e) | Act::Drain(e) => self.listens[e].is_some(),
            Act::Gone => !self.drains.is_empty(),
            Act::Replace(e) => self.listens[e].is_none() && self.processes < x.processes,
            Act::Tick => self.now < x.ticks && !(0..x.requests).any(|b| self.on_its_way(b)),
        }
    }

    fn all(x: &Bounds) -> Vec<Act> {
        let mut acts = vec![Act::Tick];
        for b in 0..x.requests {
            acts.extend([Act::Take(b), Act::Arrive(b), Act::Finish(b), Act::Cut(b), Act::Ask(b)]);
            acts.extend([Act::Stop(b), Act::GiveUp(b), Act::Panic(b), Act::Leave(b)]);
            acts.extend((0..x.engines).map(|e| Act::Send(b, e)));
        }
        acts.extend((0..x.engines).flat_map(|e| [Act::Close(e), Act::Drain(e), Act::Replace(e)]));
        acts.push(Act::Gone);
        acts
    }

    fn act(&mut self, act: Act, x: &Bounds) {
        match act {
            Act::Take(b) => {
                self.requests[b].0 = Is::Waits;
                self.key_order.admit(KEY, b);
            }
            Act::Send(b, e) => {
                if self.requests[..b].iter().any(|(is, _)| *is != Is::Over) {
                    self.broken = Some("sent while an earlier one is not over");
                }
                let process = self.listens[e].unwrap();
                self.key_order.on_attempt_started(KEY, b, self.requests[b].1, process);
                self.flying.push(There { request: b, process, since: self.now });
                let link = Some(Link { process, same_process: true });
                self.requests[b].0 = Is::Out { engine: e, link };
            }
            Act::Arrive(i) => {
                let call = self.flying.remove(i);
                if self.running.iter().any(|r| r.request != call.request) {
                    self.broken = Some("two of a key run at once");
                }
                self.running.push(There { since: self.now, ..call });
            }
            Act::Finish(i) => self.ended.push(self.running.remove(i)),
            Act::Cut(b) => {
                self.cuts += 1;
                if let Is::Out { link, .. } = &mut self.requests[b].0 {
                    *link = None;
                }
            }
            Act::Ask(b) | Act::Stop(b) => self.call(b, act == Act::Stop(b), x),
            Act::GiveUp(b) => self.end(b, LastObservation::Silent, x),
            Act::Panic(b) => {
                self.end(b, LastObservation::Lost, x);
                self.leave(b);
            }
            Act::Leave(b) => self.leave(b),
            Act::Close(e) => self.listens[e] = None,
            Act::Drain(e) => self.drains.extend(self.listens[e].take()),
            Act::Gone => {
                let gone = self.drains.remove(0);
                self.running.retain(|r| r.process != gone);
            }
            Act::Replace(e) => {
                self.listens[e] = Some(self.processes);
                self.processes += 1;
            }
            Act::Tick => {
                self.now += 1;
                let now = self.now;
                self.flying.retain(|f| now - f.since <= 1);
                let listens = &self.listens;
                let held = |r: &There| if listens.contains(&Some(r.process)) { FORGETS } else { RUNS_ON };
                let drains = &self.drains;
                self.running.retain(|r| drains.contains(&r.process) || now - r.since <= held(r));
                if x.reading != Reading::FixedTime {
                    self.key_order.hold(at(now + 2), |process| drains.contains(&process));
                }
                self.key_order.remove_idle_keys(at(now));
            }
        }
    }

    /// A call for news or to stop, on the connection there is or on a new one.
    fn call(&mut self, b: usize, stop: bool, x: &Bounds) {
        let now = self.now;
        let Is::Out { engine, link } = &mut self.requests[b].0 else { return };
        if link.is_none() {
            *link = self.listens[*engine].map(|process| Link { process, same_process: false });
        }
        let Some(l) = link else { return self.end(b, LastObservation::Refused, x) };
        let here = |t: &There| t.request == b && t.process == l.process;
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
        let Is::Out { link, .. } = &self.requests[b].0 else { return };
        let trusted = x.reading == Reading::Trusting && last == LastObservation::Stopped;
        let same = trusted || link.as_ref().is_some_and(|l| l.same_process);
        let seen = AttemptEvidence { last, same_process: same };
        let number = self.requests[b].1;
        self.key_order.on_attempt_finished(KEY, b, number, seen, false, at(self.now));
        self.requests[b] = (Is::Waits, number + 1);
    }

    fn leave(&mut self, b: usize) {
        self.requests[b].0 = Is::Over;
        self.key_order.remove(KEY, b);
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self)]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        acts.extend(World::all(self).into_iter().filter(|a| world.broken.is_none() && world.may(*a, self)));
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut next = world.clone();
        next.act(act, self);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Bounds>> {
        vec![
            Property::always("rule 5", |_: &Bounds, w: &World| w.broken.is_none()),
            // Else an key_order that lets nobody go would pass.
            Property::sometimes("both end", |_: &Bounds, w: &World| {
                w.requests.iter().all(|(is, _)| *is == Is::Over) && w.ended.len() == 2
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

#[test]
fn each_way_to_end_proves_what_the_table_says() {
    use LastObservation::*;
    let over = [
        (NotSent, true),
        (NotSent, false),
        (Declined, true),
        (Ended, true),
        (Stopped, true),
        (Unknown, true),
    ];
    for last in [NotSent, Declined, Ended, Stopped, Unknown, Refused, Silent, Lost] {
        for same in [true, false] {
            let proof = proves_end(AttemptEvidence { last, same_process: same });
            assert_eq!(proof, over.contains(&(last, same)), "{last:?} {same}");
        }
    }
}

#[test]
fn an_index_that_serves_again_is_not_taken_for_the_one_before() {
    let mut key_order = KeyOrder::new(Duration::ZERO, LETS_GO);
    key_order.admit(KEY, 0);
    key_order.on_attempt_started(KEY, 0, 0, 0);
    key_order.on_attempt_finished(
        KEY,
        0,
        0,
        AttemptEvidence { last: LastObservation::Lost, same_process: false },
        false,
        at(0),
    );
    key_order.remove(KEY, 0);
    key_order.admit(KEY, 0);
    let over = RUNS_ON + 2;
    assert!(!key_order.is_next(KEY, 0, at(over - 1)), "what may run is another batch's");
    assert!(key_order.is_next(KEY, 0, at(over)));
    key_order.remove(KEY, 0);
    key_order.remove_idle_keys(at(over));
    assert_eq!(key_order, KeyOrder::new(Duration::ZERO, LETS_GO), "nothing is left of the key");
}

#[test]
fn a_key_rests_after_all_that_was_not_the_engines_own_end() {
    use LastObservation::*;
    const QUIET: u64 = 300_000;
    // (what was seen, whether the outcome itself asks for a rest, whether the key rests)
    let cases = [
        (Ended, false, false),
        (Declined, false, false),
        (NotSent, false, false),
        (Stopped, false, true),
        (Unknown, false, true),
        (Ended, true, true),
    ];
    for (last, unsure, rests) in cases {
        let mut key_order = KeyOrder::new(Duration::from_micros(QUIET), LETS_GO);
        key_order.admit(KEY, 0);
        key_order.on_attempt_started(KEY, 0, 0, 0);
        key_order.on_attempt_finished(KEY, 0, 0, AttemptEvidence { last, same_process: true }, unsure, at(0));
        key_order.remove(KEY, 0);
        key_order.admit(KEY, 1);
        assert_eq!(key_order.is_next(KEY, 1, at(QUIET - 1)), !rests, "{last:?} {unsure}");
        assert!(key_order.is_next(KEY, 1, at(QUIET)), "{last:?} {unsure}");
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
