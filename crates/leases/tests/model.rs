//! Model check of voters and two candidates for one role: messages lost, doubled, late and out of order, a voter whose
//! clock runs twice as fast, voters that restart with and without their memory.

use larchfall_leases::candidacy::{Candidacy, LeaseTerms};
use larchfall_leases::messages::{LeaseRequest, MemberId, Vote};
use larchfall_leases::quorum::VoterSet;
use larchfall_leases::voter::{Voter, VoterLimits};
use larchfall_leases::voter_record::VoterRecord;
use larchfall_policy::time::{Duration, Timestamp};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const LENGTH: Duration = Duration::from_millis(4);
const TICK: u64 = 1000;

#[derive(Clone)]
struct Leases {
    voters: usize,
    /// The broken variants: no wait at a start, no margin, tokens in memory alone.
    waits: bool,
    drift_margin: u32,
    remembers: bool,
    /// Tokens grow by clock as well.
    clock: bool,
    requests: u8,
    restarts: u8,
    ticks: u64,
    /// Messages that come twice.
    doubles: u8,
    /// Whether leases are released.
    releases: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Mail {
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
struct World {
    ticks: u64,
    voters: Vec<Voter>,
    candidates: Vec<Candidate>,
    mail: BTreeSet<Mail>,
    restarts: u8,
    doubles: u8,
    last_holding: Option<Holding>,
    /// A later holder had no higher token.
    token_fell: bool,
}

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
        mail: Mail,
        may_come_again: bool,
    },
    /// With or without a disk that kept the tokens; the clock has moved on all the same.
    Restart {
        voter: usize,
        with_record: bool,
    },
}

fn member(candidate: usize) -> MemberId {
    MemberId { name: format!("f{candidate}"), generation: 1 }
}

impl Leases {
    fn voter_set(&self) -> VoterSet {
        let name = |i| format!("e{i}");
        VoterSet { current: (0..self.voters).map(name).collect(), previous: None }
    }
    fn terms(&self) -> LeaseTerms {
        LeaseTerms { length: LENGTH, drift_margin_per_mille: self.drift_margin }
    }
    fn limits(&self) -> VoterLimits {
        VoterLimits { longest_lease: LENGTH, max_roles: 2, persistent: false }
    }
    fn true_time(&self, w: &World) -> Timestamp {
        Timestamp::from_micros(100_000 + w.ticks * TICK)
    }
    /// The first voter's clock runs twice as fast as all others.
    fn clock(&self, voter: usize, w: &World) -> Timestamp {
        Timestamp::from_micros(100_000 + w.ticks * TICK * if voter == 0 { 2 } else { 1 })
    }
    fn held_token(&self, candidate: usize, w: &World) -> Option<u64> {
        let candidacy = w.candidates[candidate].candidacy.as_ref()?;
        candidacy.is_held(&self.voter_set(), self.true_time(w)).then_some(candidacy.token)
    }
    fn request(&self, candidate: usize, w: &mut World) {
        let Some(token) = w.candidates[candidate].candidacy.as_ref().map(|c| c.token) else { return };
        let requested_at = self.true_time(w);
        w.candidates[candidate].requests += 1;
        let request = |voter| Mail::Request { candidate, voter, token, requested_at };
        w.mail.extend((0..self.voters).map(request));
    }
    fn deliver(&self, mail: Mail, w: &mut World) -> Option<()> {
        match mail {
            Mail::Request { candidate, voter, token, requested_at } => {
                let request = LeaseRequest { role: "d".into(), token, length_us: LENGTH.micros() };
                let now = self.clock(voter, w);
                let vote = w.voters[voter].on_request(&member(candidate), &request, 0, now)?;
                w.mail.insert(Mail::Vote { candidate, voter, vote, requested_at });
            }
            Mail::Release { candidate, voter, token } => {
                w.voters[voter].on_release(&member(candidate), "d", token);
            }
            Mail::Vote { candidate, voter, vote, requested_at } => {
                let asker = &mut w.candidates[candidate];
                asker.highest_token = asker.highest_token.max(vote.highest_token);
                let candidacy = asker.candidacy.as_mut().filter(|c| c.token == vote.token && vote.granted);
                if let Some(candidacy) = candidacy {
                    candidacy.record_grant(&format!("e{voter}"), requested_at, self.terms());
                }
                if let Some(token) = self.held_token(candidate, w) {
                    let fell = |last: Holding| last.candidate != candidate && last.token >= token;
                    w.token_fell |= w.last_holding.is_some_and(fell);
                    w.last_holding = Some(Holding { candidate, token });
                }
            }
        }
        Some(())
    }
    fn restart(&self, voter: usize, with_record: bool, w: &mut World) {
        w.restarts += 1;
        let now = self.clock(voter, w);
        // Highest of all that it may have granted: what a record kept before each answer holds.
        let requested = w.candidates.iter().filter_map(|c| c.candidacy.as_ref()).map(|c| c.token).max();
        let highest = requested.max(w.last_holding.map(|last| last.token)).unwrap_or_default();
        let highest_tokens = BTreeMap::from([("d".into(), highest)]);
        let record = VoterRecord { version: 1, longest_lease_us: 0, highest_tokens };
        let record = (with_record && self.remembers).then_some(&record);
        let wall_clock_us = if self.clock { now.micros() } else { 0 };
        let started_at = if self.waits { now } else { now - LENGTH };
        w.voters[voter] = Voter::new(self.limits(), record, wall_clock_us, started_at);
    }
}

impl Model for Leases {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        // They started long ago.
        let voter = |_| Voter::new(self.limits(), None, 0, Timestamp::from_micros(1000));
        vec![World {
            ticks: 0,
            voters: (0..self.voters).map(voter).collect(),
            // Either may know more than the other when they begin.
            candidates: [0, 1]
                .map(|highest_token| Candidate { candidacy: None, highest_token, requests: 0 })
                .into(),
            mail: BTreeSet::new(),
            restarts: 0,
            doubles: 0,
            last_holding: None,
            token_fell: false,
        }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Step>) {
        if w.ticks < self.ticks {
            actions.push(Step::Tick);
        }
        for (i, candidate) in w.candidates.iter().enumerate() {
            match &candidate.candidacy {
                None if candidate.requests < self.requests => actions.push(Step::Campaign(i)),
                Some(_) => {
                    if self.releases {
                        actions.push(Step::Release(i));
                    }
                    if candidate.requests < self.requests {
                        actions.push(Step::Renew(i));
                    }
                }
                None => {}
            }
        }
        for mail in &w.mail {
            actions.push(Step::Deliver { mail: mail.clone(), may_come_again: false });
            if w.doubles < self.doubles && !matches!(mail, Mail::Vote { .. }) {
                actions.push(Step::Deliver { mail: mail.clone(), may_come_again: true });
            }
        }
        if w.restarts < self.restarts {
            let restart = |voter| [true, false].map(|with_record| Step::Restart { voter, with_record });
            actions.extend((0..self.voters).flat_map(restart));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Tick => w.ticks += 1,
            Step::Campaign(i) => {
                w.candidates[i].candidacy = Some(Candidacy::new(w.candidates[i].highest_token + 1));
                self.request(i, &mut w);
            }
            Step::Renew(i) => self.request(i, &mut w),
            Step::Release(i) => {
                let token = w.candidates[i].candidacy.take()?.token;
                w.candidates[i].highest_token = w.candidates[i].highest_token.max(token);
                let release = |voter| Mail::Release { candidate: i, voter, token };
                w.mail.extend((0..self.voters).map(release));
            }
            Step::Deliver { mail, may_come_again } => {
                if may_come_again {
                    w.doubles += 1;
                } else {
                    w.mail.remove(&mail);
                }
                self.deliver(mail, &mut w)?;
            }
            Step::Restart { voter, with_record } => self.restart(voter, with_record, &mut w),
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder", |m: &Leases, w: &World| {
                !(m.held_token(0, w).is_some() && m.held_token(1, w).is_some())
            }),
            Property::always("tokens grow", |_: &Leases, w: &World| !w.token_fell),
            Property::sometimes("both have held it", |_: &Leases, w: &World| {
                w.last_holding.is_some_and(|last| last.candidate == 1 && last.token > 1)
            }),
        ]
    }
}

fn correct() -> Leases {
    Leases {
        voters: 3,
        waits: true,
        drift_margin: 500,
        remembers: true,
        clock: true,
        requests: 1,
        restarts: 1,
        ticks: 4,
        doubles: 0,
        releases: false,
    }
}

#[test]
fn no_two_hold_one_role_and_tokens_grow_whatever_is_lost_doubled_late_or_restarted() {
    let worlds = [
        ("no restarts", Leases { restarts: 0, ticks: 3, ..correct() }),
        ("restarts", Leases { ticks: 3, ..correct() }),
        ("renewals", Leases { requests: 2, restarts: 0, ticks: 3, ..correct() }),
        (
            "released, doubled",
            Leases { releases: true, doubles: 1, requests: 2, restarts: 0, ticks: 1, ..correct() },
        ),
    ];
    for (name, model) in worlds {
        let checker = model.checker().threads(4).target_state_count(600_000).spawn_bfs().join();
        println!("{name}: {} states, depth {}", checker.unique_state_count(), checker.max_depth());
        for property in ["one holder", "tokens grow"] {
            assert!(checker.discovery(property).is_none(), "{name}: {:?}", checker.discovery(property));
        }
    }
}

/// What each part of it is for.
#[test]
fn without_the_wait_the_margin_or_memory_of_tokens_it_breaks() {
    let broken = [
        ("one holder", Leases { waits: false, clock: false, ticks: 0, ..correct() }),
        ("one holder", Leases { drift_margin: 0, restarts: 0, ticks: 2, ..correct() }),
        ("tokens grow", Leases { remembers: false, clock: false, waits: false, ticks: 0, ..correct() }),
    ];
    for (property, model) in broken {
        let checker = model.checker().threads(4).target_state_count(3_000_000).spawn_bfs().join();
        println!("{property}: {} states", checker.unique_state_count());
        assert!(checker.discovery(property).is_some(), "{property} holds after {}", checker.state_count());
    }
}
