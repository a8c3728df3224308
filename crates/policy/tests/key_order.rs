//! Model of the key order and its attempt ledger: attempts of two requests of one ordering key never run at the same
//! time.
//!
//! The model has engine processes that run the attempts which reach them, connections that break and calls that arrive
//! late. Model checking covers every order of events for two requests, and property tests cover random longer ones.

use larchfall_policy::key_order::KeyOrder;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{AttemptEvidence, LastObservation};
use proptest::prelude::*;
use stateright::{Checker, Model, Property};

const KEY: u64 = 7;
/// Ticks without a poll after which an engine gives up an attempt.
const UNPOLLED_LIFETIME: u64 = 2;
/// Ticks for which an attempt without polls may run: a call on a broken connection may arrive one tick late, and one
/// more tick is for the gateway's own clock.
const EXPECTED_LIFETIME: u64 = UNPOLLED_LIFETIME + 2;
/// Ticks without a poll for which a process that no longer listens runs an attempt on.
const NOT_LISTENING_LIFETIME: u64 = EXPECTED_LIFETIME + 1;
/// How long the policy expects an attempt to run on without being observed. One tick is one microsecond.
const UNOBSERVED_LIFETIME: Duration = Duration::from_micros(NOT_LISTENING_LIFETIME + 2);

fn time_of(tick: u64) -> Timestamp {
    Timestamp::from_micros(1_000 + tick)
}

/// A connection to a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Connection {
    process: usize,
    /// Whether the process is known to have the attempt.
    same_process: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RequestState {
    NotAdmitted,
    Waiting,
    InFlight { engine: usize, connection: Option<Connection> },
    Finished,
}

/// An attempt that is on its way to a process, runs there or has ended there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RemoteAttempt {
    request: usize,
    process: usize,
    /// Tick in which the attempt was sent, arrived or was last polled.
    since: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    key_order: KeyOrder,
    now: u64,
    requests: Vec<(RequestState, u8)>,
    in_transit: Vec<RemoteAttempt>,
    running: Vec<RemoteAttempt>,
    ended: Vec<RemoteAttempt>,
    /// The process that listens at each engine's address, if any. A process that no longer listens still runs its
    /// attempts.
    listening: Vec<Option<usize>>,
    /// Number of processes started so far.
    processes: usize,
    /// Processes that the endpoint list names as draining. They do not listen, and may run their attempts until they
    /// are gone.
    draining: Vec<usize>,
    /// Number of connections broken so far.
    broken_connections: u8,
    /// The first violation of the key order.
    violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Admit(usize),
    /// Sends an attempt of a request to an engine.
    Send(usize, usize),
    /// An attempt in transit arrives.
    Arrive(usize),
    /// A running attempt ends at its engine.
    EndRun(usize),
    BreakConnection(usize),
    Poll(usize),
    Cancel(usize),
    /// The gateway gives up an attempt without a reply.
    GiveUp(usize),
    /// The gateway's task for a request panics.
    Panic(usize),
    /// A waiting request finishes without another attempt.
    FinishRequest(usize),
    /// The process of an engine stops listening without being listed as draining.
    StopListening(usize),
    /// The process of an engine stops listening and is listed as draining until `RemoveDraining`.
    Drain(usize),
    /// The process that has been draining longest is gone, with its attempts.
    RemoveDraining,
    /// A new process listens at an engine's address.
    ReplaceProcess(usize),
    Tick,
}

/// Rules by which the gateway decides that an attempt no longer runs. All but the current ones were in use earlier and
/// break the key order.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EndRules {
    Current,
    /// Every acknowledged cancellation (status 204) proves the end, whichever process sent the reply.
    TrustAnyProcess,
    /// A draining engine gives up attempts as soon as any other engine.
    DrainingLikeListening,
    /// A draining engine is gone within a fixed time.
    FixedDrainingTime,
}

#[derive(Clone, Copy, Debug)]
struct Bounds {
    requests: usize,
    engines: usize,
    ticks: u64,
    /// Maximum attempts of one request.
    attempts: u8,
    broken_connections: u8,
    processes: usize,
    end_rules: EndRules,
}

impl World {
    fn new(bounds: &Bounds) -> World {
        World {
            key_order: KeyOrder::new(
                Duration::ZERO,
                if bounds.end_rules == EndRules::DrainingLikeListening {
                    Duration::from_micros(EXPECTED_LIFETIME)
                } else {
                    UNOBSERVED_LIFETIME
                },
            ),
            now: 0,
            requests: vec![(RequestState::NotAdmitted, 0); bounds.requests],
            in_transit: Vec::new(),
            running: Vec::new(),
            ended: Vec::new(),
            listening: (0..bounds.engines).map(Some).collect(),
            processes: bounds.engines,
            draining: Vec::new(),
            broken_connections: 0,
            violation: None,
        }
    }

    fn is_in_transit(&self, request: usize) -> bool {
        let has_connection = |process| {
            matches!(
                &self.requests[request].0,
                RequestState::InFlight { connection: Some(open), .. } if open.process == process
            )
        };
        self.in_transit.iter().any(|attempt| attempt.request == request && has_connection(attempt.process))
    }

    fn is_enabled(&self, action: Action, bounds: &Bounds) -> bool {
        let state = |request: usize| &self.requests[request].0;
        let in_flight = |request: usize| matches!(state(request), RequestState::InFlight { .. });
        match action {
            Action::Admit(request) => {
                *state(request) == RequestState::NotAdmitted
                    && (request == 0 || *state(request - 1) != RequestState::NotAdmitted)
            }
            Action::Send(request, engine) => {
                *state(request) == RequestState::Waiting
                    && self.requests[request].1 < bounds.attempts
                    && self.listening[engine].is_some()
                    && self.key_order.is_next(KEY, request, time_of(self.now))
            }
            Action::Arrive(i) => i < self.in_transit.len(),
            Action::EndRun(i) => i < self.running.len(),
            Action::BreakConnection(request) => {
                matches!(state(request), RequestState::InFlight { connection: Some(_), .. })
                    && self.broken_connections < bounds.broken_connections
            }
            Action::Poll(request) | Action::Cancel(request) => {
                in_flight(request) && !self.is_in_transit(request)
            }
            Action::GiveUp(request) | Action::Panic(request) => in_flight(request),
            Action::FinishRequest(request) => *state(request) == RequestState::Waiting,
            Action::StopListening(engine) | Action::Drain(engine) => self.listening[engine].is_some(),
            Action::RemoveDraining => !self.draining.is_empty(),
            Action::ReplaceProcess(engine) => {
                self.listening[engine].is_none() && self.processes < bounds.processes
            }
            Action::Tick => {
                self.now < bounds.ticks && !(0..bounds.requests).any(|request| self.is_in_transit(request))
            }
        }
    }

    fn all_actions(bounds: &Bounds) -> Vec<Action> {
        let mut actions = vec![Action::Tick];
        for request in 0..bounds.requests {
            actions.extend([
                Action::Admit(request),
                Action::Arrive(request),
                Action::EndRun(request),
                Action::BreakConnection(request),
                Action::Poll(request),
            ]);
            actions.extend([
                Action::Cancel(request),
                Action::GiveUp(request),
                Action::Panic(request),
                Action::FinishRequest(request),
            ]);
            actions.extend((0..bounds.engines).map(|engine| Action::Send(request, engine)));
        }
        actions.extend((0..bounds.engines).flat_map(|engine| {
            [Action::StopListening(engine), Action::Drain(engine), Action::ReplaceProcess(engine)]
        }));
        actions.push(Action::RemoveDraining);
        actions
    }

    fn apply(&mut self, action: Action, bounds: &Bounds) {
        match action {
            Action::Admit(request) => {
                self.requests[request].0 = RequestState::Waiting;
                self.key_order.admit(KEY, request);
            }
            Action::Send(request, engine) => {
                if self.requests[..request].iter().any(|(state, _)| *state != RequestState::Finished) {
                    self.violation = Some("a request was sent before an earlier one finished");
                }
                let process = self.listening[engine].unwrap();
                self.key_order.on_attempt_started(KEY, request, self.requests[request].1, process);
                self.in_transit.push(RemoteAttempt { request, process, since: self.now });
                let connection = Some(Connection { process, same_process: true });
                self.requests[request].0 = RequestState::InFlight { engine, connection };
            }
            Action::Arrive(i) => {
                let attempt = self.in_transit.remove(i);
                if self.running.iter().any(|running| running.request != attempt.request) {
                    self.violation = Some("attempts of two requests of one key run at the same time");
                }
                self.running.push(RemoteAttempt { since: self.now, ..attempt });
            }
            Action::EndRun(i) => self.ended.push(self.running.remove(i)),
            Action::BreakConnection(request) => {
                self.broken_connections += 1;
                if let RequestState::InFlight { connection, .. } = &mut self.requests[request].0 {
                    *connection = None;
                }
            }
            Action::Poll(request) | Action::Cancel(request) => {
                self.call_engine(request, action == Action::Cancel(request), bounds);
            }
            Action::GiveUp(request) => self.end_attempt(request, LastObservation::Silent, bounds),
            Action::Panic(request) => {
                self.end_attempt(request, LastObservation::Lost, bounds);
                self.finish_request(request);
            }
            Action::FinishRequest(request) => self.finish_request(request),
            Action::StopListening(engine) => self.listening[engine] = None,
            Action::Drain(engine) => self.draining.extend(self.listening[engine].take()),
            Action::RemoveDraining => {
                let gone = self.draining.remove(0);
                self.running.retain(|attempt| attempt.process != gone);
            }
            Action::ReplaceProcess(engine) => {
                self.listening[engine] = Some(self.processes);
                self.processes += 1;
            }
            Action::Tick => self.tick(bounds),
        }
    }

    fn tick(&mut self, bounds: &Bounds) {
        self.now += 1;
        let now = self.now;
        self.in_transit.retain(|attempt| now - attempt.since <= 1);
        let listening = &self.listening;
        let lifetime = |attempt: &RemoteAttempt| {
            if listening.contains(&Some(attempt.process)) {
                UNPOLLED_LIFETIME
            } else {
                NOT_LISTENING_LIFETIME
            }
        };
        let draining = &self.draining;
        self.running.retain(|attempt| {
            draining.contains(&attempt.process) || now - attempt.since <= lifetime(attempt)
        });
        if bounds.end_rules != EndRules::FixedDrainingTime {
            self.key_order.extend_unproven(time_of(now + 2), |process| draining.contains(&process));
        }
        self.key_order.remove_idle_keys(time_of(now));
    }

    /// Polls or cancels an attempt, on its open connection or a new one.
    fn call_engine(&mut self, request: usize, cancel: bool, bounds: &Bounds) {
        let now = self.now;
        let RequestState::InFlight { engine, connection } = &mut self.requests[request].0 else { return };
        if connection.is_none() {
            *connection = self.listening[*engine].map(|process| Connection { process, same_process: false });
        }
        let Some(open) = connection else {
            return self.end_attempt(request, LastObservation::Refused, bounds);
        };
        let is_attempt =
            |attempt: &RemoteAttempt| attempt.request == request && attempt.process == open.process;
        if cancel {
            self.running.retain(|attempt| !is_attempt(attempt));
            return self.end_attempt(request, LastObservation::Stopped, bounds);
        }
        if let Some(attempt) = self.running.iter_mut().find(|attempt| is_attempt(attempt)) {
            (attempt.since, open.same_process) = (now, true);
        } else if self.ended.iter().any(is_attempt) {
            open.same_process = true;
            self.end_attempt(request, LastObservation::Ended, bounds);
            self.finish_request(request);
        } else {
            self.end_attempt(request, LastObservation::Unknown, bounds);
        }
    }

    fn end_attempt(&mut self, request: usize, last: LastObservation, bounds: &Bounds) {
        let RequestState::InFlight { connection, .. } = &self.requests[request].0 else { return };
        let trusts_reply = bounds.end_rules == EndRules::TrustAnyProcess && last == LastObservation::Stopped;
        let same_process = trusts_reply || connection.as_ref().is_some_and(|open| open.same_process);
        let evidence = AttemptEvidence { last, same_process };
        let number = self.requests[request].1;
        self.key_order.on_attempt_finished(KEY, request, number, evidence, false, time_of(self.now));
        self.requests[request] = (RequestState::Waiting, number + 1);
    }

    fn finish_request(&mut self, request: usize) {
        self.requests[request].0 = RequestState::Finished;
        self.key_order.remove_request(KEY, request);
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self)]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        actions.extend(
            World::all_actions(self)
                .into_iter()
                .filter(|action| world.violation.is_none() && world.is_enabled(*action, self)),
        );
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        next.apply(action, self);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Bounds>> {
        vec![
            Property::always("key order", |_: &Bounds, world: &World| world.violation.is_none()),
            // Guards against a key order that blocks every request, which would satisfy the first property.
            Property::sometimes("both requests end", |_: &Bounds, world: &World| {
                world.requests.iter().all(|(state, _)| *state == RequestState::Finished)
                    && world.ended.len() == 2
            }),
        ]
    }
}

const TWO_REQUESTS: Bounds = Bounds {
    requests: 2,
    engines: 1,
    ticks: 8,
    attempts: 1,
    broken_connections: 1,
    processes: 2,
    end_rules: EndRules::Current,
};

#[test]
fn two_requests_keep_the_key_order_with_a_replaced_process_and_a_broken_connection() {
    let checker = TWO_REQUESTS.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "only {} states checked", checker.unique_state_count());
}

#[test]
fn earlier_end_rules_break_the_key_order() {
    for end_rules in [EndRules::TrustAnyProcess, EndRules::DrainingLikeListening, EndRules::FixedDrainingTime]
    {
        let checker = Bounds { end_rules, ..TWO_REQUESTS }.checker().threads(4).spawn_bfs().join();
        let states = checker.unique_state_count();
        assert!(checker.discovery("key order").is_some(), "{end_rules:?}: no violation in {states} states");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_events_keep_the_key_order(draws in prop::collection::vec(any::<u16>(), 1..200)) {
        let bounds = Bounds {
            requests: 5,
            engines: 2,
            ticks: 60,
            attempts: 3,
            broken_connections: 9,
            processes: 9,
            ..TWO_REQUESTS
        };
        let mut world = World::new(&bounds);
        for draw in draws {
            let actions: Vec<_> = World::all_actions(&bounds)
                .into_iter()
                .filter(|action| world.is_enabled(*action, &bounds))
                .collect();
            let Some(action) = actions.get(usize::from(draw) % actions.len().max(1)) else { break };
            world.apply(*action, &bounds);
            prop_assert_eq!(world.violation, None, "after {:?}", action);
        }
    }
}
