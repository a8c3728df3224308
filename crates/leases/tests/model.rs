//! Model check of voters and two candidates for one role. The model contains messages that are lost, duplicated,
//! delayed and reordered, a voter whose clock runs twice as fast, and voters that restart with and without their
//! record.

use larchfall_leases::candidacy::{Candidacy, LeaseTerms};
use larchfall_leases::messages::{LeaseRequest, MemberId, Vote};
use larchfall_leases::quorum::VoterSet;
use larchfall_leases::voter::{Voter, VoterLimits};
use larchfall_leases::voter_record::VoterRecord;
use larchfall_policy::time::{Duration, Timestamp};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const LEASE_LENGTH: Duration = Duration::from_millis(4);
const TICK_MICROS: u64 = 1000;

/// The model: limits of the state space, and the protections of the protocol, which can be disabled.
#[derive(Clone)]
struct LeaseModel {
    voters: usize,
    /// Whether a voter stays silent after its start.
    silent_after_start: bool,
    /// Drift margin of the candidates, in thousandths.
    drift_margin_per_mille: u32,
    /// Whether a voter that keeps its disk over a restart gets its record back.
    uses_record: bool,
    /// Whether a restarted voter grants only tokens above its wall clock.
    uses_wall_clock: bool,
    /// Maximum number of request rounds of each candidate.
    max_requests: u8,
    max_restarts: u8,
    max_ticks: u64,
    /// Maximum number of messages that are delivered more than once.
    max_duplicates: u8,
    /// Whether candidates release leases.
    releases: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { candidate: usize, voter: usize, token: u64, requested_at: Timestamp },
    Vote { candidate: usize, voter: usize, vote: Vote, requested_at: Timestamp },
    Release { candidate: usize, voter: usize, token: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Candidate {
    candidacy: Option<Candidacy>,
    highest_token: u64,
    requests: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    ticks: u64,
    voters: Vec<Voter>,
    candidates: Vec<Candidate>,
    /// Messages in flight.
    messages: BTreeSet<Message>,
    restarts: u8,
    duplicates: u8,
    last_holding: Option<Holding>,
    /// Whether a lease holder had a token that wasn't above the token of the other candidate's earlier lease.
    violates_token_order: bool,
}

/// A lease that a candidate held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Holding {
    candidate: usize,
    token: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    Campaign(usize),
    Renew(usize),
    Release(usize),
    Deliver {
        message: Message,
        /// Whether a copy of the message stays in flight.
        is_duplicated: bool,
    },
    Restart {
        voter: usize,
        /// Whether the disk has kept the voter record. The clock keeps running over a restart in either case.
        with_record: bool,
    },
}

fn member(candidate: usize) -> MemberId {
    MemberId { name: format!("f{candidate}"), generation: 1 }
}

impl LeaseModel {
    fn voter_set(&self) -> VoterSet {
        let name = |i| format!("e{i}");
        VoterSet { current: (0..self.voters).map(name).collect(), previous: None }
    }
    fn terms(&self) -> LeaseTerms {
        LeaseTerms { length: LEASE_LENGTH, drift_margin_per_mille: self.drift_margin_per_mille }
    }
    fn limits(&self) -> VoterLimits {
        VoterLimits { longest_lease: LEASE_LENGTH, max_roles: 2, persistent: false }
    }
    fn candidate_time(&self, state: &ModelState) -> Timestamp {
        Timestamp::from_micros(100_000 + state.ticks * TICK_MICROS)
    }
    /// The clock of the first voter runs twice as fast as all other clocks.
    fn voter_time(&self, voter: usize, state: &ModelState) -> Timestamp {
        Timestamp::from_micros(100_000 + state.ticks * TICK_MICROS * if voter == 0 { 2 } else { 1 })
    }
    fn held_token(&self, candidate: usize, state: &ModelState) -> Option<u64> {
        let candidacy = state.candidates[candidate].candidacy.as_ref()?;
        candidacy.is_held(&self.voter_set(), self.candidate_time(state)).then_some(candidacy.token)
    }
    fn send_requests(&self, candidate: usize, state: &mut ModelState) {
        let Some(token) = state.candidates[candidate].candidacy.as_ref().map(|c| c.token) else { return };
        let requested_at = self.candidate_time(state);
        state.candidates[candidate].requests += 1;
        let request = |voter| Message::Request { candidate, voter, token, requested_at };
        state.messages.extend((0..self.voters).map(request));
    }
    fn deliver(&self, message: Message, state: &mut ModelState) -> Option<()> {
        match message {
            Message::Request { candidate, voter, token, requested_at } => {
                let request = LeaseRequest { role: "d".into(), token, length_us: LEASE_LENGTH.micros() };
                let now = self.voter_time(voter, state);
                let vote = state.voters[voter].on_request(&member(candidate), &request, 0, now)?;
                state.messages.insert(Message::Vote { candidate, voter, vote, requested_at });
            }
            Message::Release { candidate, voter, token } => {
                state.voters[voter].on_release(&member(candidate), "d", token);
            }
            Message::Vote { candidate, voter, vote, requested_at } => {
                let requester = &mut state.candidates[candidate];
                requester.highest_token = requester.highest_token.max(vote.highest_token);
                let candidacy =
                    requester.candidacy.as_mut().filter(|c| c.token == vote.token && vote.granted);
                if let Some(candidacy) = candidacy {
                    candidacy.record_grant(&format!("e{voter}"), requested_at, self.terms());
                }
                if let Some(token) = self.held_token(candidate, state) {
                    let is_not_below = |last: Holding| last.candidate != candidate && last.token >= token;
                    state.violates_token_order |= state.last_holding.is_some_and(is_not_below);
                    state.last_holding = Some(Holding { candidate, token });
                }
            }
        }
        Some(())
    }
    fn restart(&self, voter: usize, with_record: bool, state: &mut ModelState) {
        state.restarts += 1;
        let now = self.voter_time(voter, state);
        // A record that is written before each vote contains the highest token that the voter may have granted.
        let highest_requested =
            state.candidates.iter().filter_map(|c| c.candidacy.as_ref()).map(|c| c.token).max();
        let highest_token =
            highest_requested.max(state.last_holding.map(|last| last.token)).unwrap_or_default();
        let highest_tokens = BTreeMap::from([("d".into(), highest_token)]);
        let record = VoterRecord { version: 1, longest_lease_us: 0, highest_tokens };
        let record = (with_record && self.uses_record).then_some(&record);
        let wall_clock_us = if self.uses_wall_clock { now.micros() } else { 0 };
        let started_at = if self.silent_after_start { now } else { now - LEASE_LENGTH };
        state.voters[voter] = Voter::new(self.limits(), record, wall_clock_us, started_at);
    }
}

impl Model for LeaseModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        // The voters started long ago, so that they are no longer silent.
        let to_voter = |_| Voter::new(self.limits(), None, 0, Timestamp::from_micros(1000));
        vec![ModelState {
            ticks: 0,
            voters: (0..self.voters).map(to_voter).collect(),
            // The candidates know different tokens at first.
            candidates: [0, 1]
                .map(|highest_token| Candidate { candidacy: None, highest_token, requests: 0 })
                .into(),
            messages: BTreeSet::new(),
            restarts: 0,
            duplicates: 0,
            last_holding: None,
            violates_token_order: false,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Step>) {
        if state.ticks < self.max_ticks {
            actions.push(Step::Tick);
        }
        for (i, candidate) in state.candidates.iter().enumerate() {
            match &candidate.candidacy {
                None if candidate.requests < self.max_requests => actions.push(Step::Campaign(i)),
                Some(_) => {
                    if self.releases {
                        actions.push(Step::Release(i));
                    }
                    if candidate.requests < self.max_requests {
                        actions.push(Step::Renew(i));
                    }
                }
                None => {}
            }
        }
        for message in &state.messages {
            actions.push(Step::Deliver { message: message.clone(), is_duplicated: false });
            if state.duplicates < self.max_duplicates && !matches!(message, Message::Vote { .. }) {
                actions.push(Step::Deliver { message: message.clone(), is_duplicated: true });
            }
        }
        if state.restarts < self.max_restarts {
            let restart = |voter| [true, false].map(|with_record| Step::Restart { voter, with_record });
            actions.extend((0..self.voters).flat_map(restart));
        }
    }

    fn next_state(&self, previous: &ModelState, step: Step) -> Option<ModelState> {
        let mut state = previous.clone();
        match step {
            Step::Tick => state.ticks += 1,
            Step::Campaign(i) => {
                state.candidates[i].candidacy = Some(Candidacy::new(state.candidates[i].highest_token + 1));
                self.send_requests(i, &mut state);
            }
            Step::Renew(i) => self.send_requests(i, &mut state),
            Step::Release(i) => {
                let token = state.candidates[i].candidacy.take()?.token;
                state.candidates[i].highest_token = state.candidates[i].highest_token.max(token);
                let release = |voter| Message::Release { candidate: i, voter, token };
                state.messages.extend((0..self.voters).map(release));
            }
            Step::Deliver { message, is_duplicated } => {
                if is_duplicated {
                    state.duplicates += 1;
                } else {
                    state.messages.remove(&message);
                }
                self.deliver(message, &mut state)?;
            }
            Step::Restart { voter, with_record } => self.restart(voter, with_record, &mut state),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one holder", |model: &LeaseModel, state: &ModelState| {
                !(model.held_token(0, state).is_some() && model.held_token(1, state).is_some())
            }),
            Property::always("tokens increase", |_: &LeaseModel, state: &ModelState| {
                !state.violates_token_order
            }),
            Property::sometimes(
                "both candidates have held the role",
                |_: &LeaseModel, state: &ModelState| {
                    state.last_holding.is_some_and(|last| last.candidate == 1 && last.token > 1)
                },
            ),
        ]
    }
}

/// The model with all protections of the protocol enabled.
fn correct() -> LeaseModel {
    LeaseModel {
        voters: 3,
        silent_after_start: true,
        drift_margin_per_mille: 500,
        uses_record: true,
        uses_wall_clock: true,
        max_requests: 1,
        max_restarts: 1,
        max_ticks: 4,
        max_duplicates: 0,
        releases: false,
    }
}

#[test]
fn one_holder_and_increasing_tokens_despite_lost_duplicated_or_late_messages_and_restarts() {
    let cases = [
        ("no restarts", LeaseModel { max_restarts: 0, max_ticks: 3, ..correct() }),
        ("restarts", LeaseModel { max_ticks: 3, ..correct() }),
        ("renewals", LeaseModel { max_requests: 2, max_restarts: 0, max_ticks: 3, ..correct() }),
        (
            "releases and duplicates",
            LeaseModel {
                releases: true,
                max_duplicates: 1,
                max_requests: 2,
                max_restarts: 0,
                max_ticks: 1,
                ..correct()
            },
        ),
    ];
    for (name, model) in cases {
        let checker = model.checker().threads(4).target_state_count(600_000).spawn_bfs().join();
        println!("{name}: {} states, depth {}", checker.unique_state_count(), checker.max_depth());
        for property in ["at most one holder", "tokens increase"] {
            assert!(checker.discovery(property).is_none(), "{name}: {:?}", checker.discovery(property));
        }
    }
}

/// Each protection of the protocol is necessary: the model check finds a violation if the protection is disabled.
#[test]
fn without_silence_drift_margin_or_recorded_tokens_a_property_is_violated() {
    let broken_models = [
        (
            "at most one holder",
            LeaseModel { silent_after_start: false, uses_wall_clock: false, max_ticks: 0, ..correct() },
        ),
        (
            "at most one holder",
            LeaseModel { drift_margin_per_mille: 0, max_restarts: 0, max_ticks: 2, ..correct() },
        ),
        (
            "tokens increase",
            LeaseModel {
                uses_record: false,
                uses_wall_clock: false,
                silent_after_start: false,
                max_ticks: 0,
                ..correct()
            },
        ),
    ];
    for (property, model) in broken_models {
        let checker = model.checker().threads(4).target_state_count(3_000_000).spawn_bfs().join();
        println!("{property}: {} states", checker.unique_state_count());
        assert!(
            checker.discovery(property).is_some(),
            "no violation of {property:?} found in {} states",
            checker.state_count()
        );
    }
}
