//! Model check of the precedence and refutation rules: explores every order in which a few gateways suspect each other,
//! declare each other dead, refute, restart and gossip over a network that loses, duplicates and reorders messages.

use larchfall_membership::member_update::{MemberState, MemberStatus, refutation};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Rule that decides which claim supersedes another. The wrong rules show that the model detects violations.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// The rule of the crate.
    Correct,
    /// Wrong: the last received claim wins.
    LastReceived,
    /// Wrong: a dead member is alive again with its next incarnation.
    DeathIsNotFinal,
}

impl Rule {
    fn supersedes(self, new: MemberStatus, old: MemberStatus) -> bool {
        match self {
            Rule::Correct => new.supersedes(old),
            Rule::LastReceived => new != old,
            Rule::DeathIsNotFinal => {
                let key = |status: MemberStatus| (status.generation, status.incarnation, status.state);
                key(new) > key(old)
            }
        }
    }
}

/// Bounds of the explored state space.
#[derive(Clone, Debug)]
struct Bounds {
    gateways: usize,
    /// Highest incarnation of a gateway.
    max_incarnation: u32,
    /// Highest generation of a gateway.
    max_generation: u64,
    /// Maximum number of different messages in the network.
    max_in_flight: usize,
    rule: Rule,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    to: usize,
    about: usize,
    generation: u64,
    incarnation: u32,
    state: MemberState,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    /// Status of each member, by gateway: `tables[i][j]` is the status of `j` known to `i`.
    tables: Vec<Vec<Option<MemberStatus>>>,
    /// Sent messages. Each may be delivered any number of times, in any order, or never.
    network: BTreeSet<Message>,
    /// Highest status that each gateway had of each other gateway since its own last start, indexed like `tables`.
    highest: Vec<Vec<Option<MemberStatus>>>,
    violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum GatewayAction {
    Suspect { by: usize, member: usize },
    DeclareDead { by: usize, member: usize },
    Send { from: usize, to: usize, about: usize },
    Deliver { to: usize, about: usize, status: MemberStatus },
    Restart(usize),
}

impl FleetState {
    /// Applies a claim about gateway `j` to the table of gateway `i`, and records a violation if the table regresses.
    fn apply_claim(&mut self, i: usize, j: usize, status: MemberStatus, bounds: &Bounds) {
        if i == j {
            let own = self.tables[i][i].unwrap();
            // A claim about the gateway itself is refuted by the rule of the crate, regardless of `bounds.rule`.
            if let Some(next) = refutation(own, status) {
                self.tables[i][i] = Some(next);
            }
            return;
        }
        let before = self.tables[i][j];
        if before.is_none_or(|before| bounds.rule.supersedes(status, before))
            && !(before.is_none() && status.is_final())
        {
            self.tables[i][j] = Some(status);
        }
        let now = self.tables[i][j];
        let highest = self.highest[i][j];
        if let (Some(now), Some(highest)) = (now, highest)
            && now.generation == highest.generation
        {
            if highest.is_final() && !now.is_final() {
                self.violation = Some("a generation that ended is alive again");
            } else if !now.is_final() && now.incarnation < highest.incarnation {
                self.violation = Some("a claim replaced a newer incarnation");
            }
        }
        if now.is_some_and(|now| highest.is_none_or(|highest| now.supersedes(highest))) {
            self.highest[i][j] = now;
        }
    }

    /// Returns the state after all gateways gossiped their tables to all others until nothing changed, without further
    /// suspicions.
    fn converged(&self, bounds: &Bounds) -> FleetState {
        let mut fleet = self.clone();
        for _ in 0..20 {
            let before = fleet.tables.clone();
            for (i, k, j) in triples(bounds.gateways) {
                if let Some(status) = fleet.tables[i][j] {
                    fleet.apply_claim(k, j, status, bounds);
                }
            }
            if fleet.tables == before {
                return fleet;
            }
        }
        fleet.violation = Some("the tables never converge");
        fleet
    }

    /// Returns whether all gateways converge to the status that each member claims for itself, and all are live.
    fn converges_to_live(&self, bounds: &Bounds) -> bool {
        let converged = self.converged(bounds);
        let own_status = |j: usize| converged.tables[j][j];
        converged.violation.is_none()
            && triples(bounds.gateways).all(|(i, _, j)| {
                converged.tables[i][j] == own_status(j)
                    && own_status(j).is_some_and(|status| !status.is_final())
            })
    }
}

/// Returns all combinations `(i, k, j)` of gateway numbers with `i` different from `k`.
fn triples(n: usize) -> impl Iterator<Item = (usize, usize, usize)> {
    (0..n * n * n).map(move |t| (t / n / n, t / n % n, t % n)).filter(|(i, k, _)| i != k)
}

impl Model for Bounds {
    type State = FleetState;
    type Action = GatewayAction;

    fn init_states(&self) -> Vec<FleetState> {
        let known = vec![Some(MemberStatus::alive(0, 0)); self.gateways];
        let tables = vec![known; self.gateways];
        vec![FleetState { highest: tables.clone(), tables, network: BTreeSet::new(), violation: None }]
    }

    fn actions(&self, fleet: &FleetState, actions: &mut Vec<GatewayAction>) {
        if fleet.violation.is_some() {
            return;
        }
        let state = |i: usize, j: usize| fleet.tables[i][j].map(|status| status.state);
        for (i, k, j) in triples(self.gateways) {
            if j == k {
                match state(i, j) {
                    Some(MemberState::Alive) => actions.push(GatewayAction::Suspect { by: i, member: j }),
                    Some(MemberState::Suspected) => {
                        actions.push(GatewayAction::DeclareDead { by: i, member: j });
                    }
                    _ => {}
                }
            }
            if fleet.network.len() < self.max_in_flight && fleet.tables[i][j].is_some() {
                actions.push(GatewayAction::Send { from: i, to: k, about: j });
            }
        }
        for Message { to, about, generation, incarnation, state } in fleet.network.iter().cloned() {
            let status = MemberStatus { generation, incarnation, state };
            actions.push(GatewayAction::Deliver { to, about, status });
        }
        actions.extend((0..self.gateways).map(GatewayAction::Restart));
    }

    fn next_state(&self, fleet: &FleetState, action: GatewayAction) -> Option<FleetState> {
        let mut next = fleet.clone();
        match action {
            GatewayAction::Suspect { by, member } => {
                let status = next.tables[by][member]?.with_state(MemberState::Suspected);
                next.apply_claim(by, member, status, self);
            }
            GatewayAction::DeclareDead { by, member } => {
                let status = next.tables[by][member]?.with_state(MemberState::Dead);
                next.apply_claim(by, member, status, self);
            }
            GatewayAction::Send { from, to, about } => {
                let MemberStatus { generation, incarnation, state } = next.tables[from][about]?;
                next.network.insert(Message { to, about, generation, incarnation, state });
            }
            GatewayAction::Deliver { to, about, status } => next.apply_claim(to, about, status, self),
            GatewayAction::Restart(i) => {
                let generation = next.tables[i][i]?.generation + 1;
                next.tables[i] = vec![None; self.gateways];
                next.highest[i] = vec![None; self.gateways];
                next.tables[i][i] = Some(MemberStatus::alive(generation, 0));
            }
        }
        Some(next)
    }

    fn within_boundary(&self, fleet: &FleetState) -> bool {
        fleet.tables.iter().flatten().flatten().all(|status| {
            status.generation <= self.max_generation && status.incarnation <= self.max_incarnation
        })
    }

    fn properties(&self) -> Vec<Property<Bounds>> {
        vec![
            Property::always("no claim regresses", |_: &Bounds, fleet: &FleetState| {
                fleet.violation.is_none()
            }),
            Property::always("all gateways converge", |bounds: &Bounds, fleet: &FleetState| {
                fleet.violation.is_some() || fleet.converges_to_live(bounds)
            }),
            // Without this property, a model whose network delivers no messages would pass.
            Property::sometimes("a live member was declared dead", |_: &Bounds, fleet: &FleetState| {
                fleet.tables.iter().flatten().flatten().any(|status| status.state == MemberState::Dead)
            }),
        ]
    }
}

const THREE_GATEWAYS: Bounds =
    Bounds { gateways: 3, max_incarnation: 1, max_generation: 1, max_in_flight: 1, rule: Rule::Correct };

#[test]
fn two_to_four_gateways_converge_in_every_order_of_actions() {
    let two =
        Bounds { gateways: 2, max_incarnation: 2, max_generation: 2, max_in_flight: 2, ..THREE_GATEWAYS };
    let four = Bounds { gateways: 4, ..THREE_GATEWAYS };
    // (bounds, maximum depth, lower bound of the number of explored states)
    for (bounds, depth, min_states) in [(two, 12, 1_000), (THREE_GATEWAYS, 8, 10_000), (four, 5, 1_000)] {
        let (gateways, checker) =
            (bounds.gateways, bounds.checker().threads(4).target_max_depth(depth).spawn_bfs().join());
        let states = checker.unique_state_count();
        println!("{gateways} gateways: {states} states");
        checker.assert_properties();
        assert!(states > min_states, "{gateways} gateways: {states} states explored");
    }
}

#[test]
fn wrong_precedence_rules_are_detected() {
    for rule in [Rule::LastReceived, Rule::DeathIsNotFinal] {
        let bounds = Bounds { gateways: 2, max_incarnation: 2, max_generation: 1, max_in_flight: 2, rule };
        let checker = bounds.checker().threads(4).target_max_depth(10).spawn_bfs().join();
        assert!(
            checker.discovery("no claim regresses").is_some(),
            "{rule:?} not detected in {} states",
            checker.unique_state_count()
        );
    }
}
