//! Every order in which a few gateways suspect each other, declare each other dead, refute, restart and gossip, over a
//! network that loses, doubles and reorders.

use larchfall_membership::member_update::{MemberState, MemberStatus, refutation};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Which claim supersedes another: by the crate's rule, or by one that is wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    Correct,
    /// Whatever was heard last counts.
    LastHeard,
    /// A dead one is back with the next incarnation.
    DeathIsNotFinal,
}

impl Rule {
    fn supersedes(self, new: MemberStatus, old: MemberStatus) -> bool {
        match self {
            Rule::Correct => new.supersedes(old),
            Rule::LastHeard => new != old,
            Rule::DeathIsNotFinal => {
                let key = |status: MemberStatus| (status.generation, status.incarnation, status.state);
                key(new) > key(old)
            }
        }
    }
}

#[derive(Clone, Debug)]
struct Bounds {
    gateways: usize,
    incarnations: u32,
    generations: u64,
    in_flight: usize,
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
struct World {
    /// By gateway, of each.
    tables: Vec<Vec<Option<MemberStatus>>>,
    /// Delivered any number of times, in any order, or never.
    network: BTreeSet<Message>,
    /// The highest claim that each had of each since its own start.
    highest: Vec<Vec<Option<MemberStatus>>>,
    broken: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Act {
    Suspect { by: usize, member: usize },
    DeclareDead { by: usize, member: usize },
    Send { from: usize, to: usize, about: usize },
    Deliver { to: usize, about: usize, status: MemberStatus },
    Restart(usize),
}

impl World {
    /// `i` takes in what is claimed of `j`.
    fn believe(&mut self, i: usize, j: usize, status: MemberStatus, x: &Bounds) {
        if i == j {
            let own = self.tables[i][i].unwrap();
            // Claims of itself are refuted by the crate's own rule, whichever rule is used for others.
            if let Some(next) = refutation(own, status) {
                self.tables[i][i] = Some(next);
            }
            return;
        }
        let was = self.tables[i][j];
        if was.is_none_or(|was| x.rule.supersedes(status, was)) && !(was.is_none() && status.is_final()) {
            self.tables[i][j] = Some(status);
        }
        let now = self.tables[i][j];
        let highest = self.highest[i][j];
        if let (Some(now), Some(highest)) = (now, highest)
            && now.generation == highest.generation
        {
            if highest.is_final() && !now.is_final() {
                self.broken = Some("a dead generation is back");
            } else if !now.is_final() && now.incarnation < highest.incarnation {
                self.broken = Some("an old suspicion won over a newer incarnation");
            }
        }
        if now.is_some_and(|now| highest.is_none_or(|highest| now.supersedes(highest))) {
            self.highest[i][j] = now;
        }
    }

    /// All tell all until nothing changes; nobody suspects anybody any more.
    fn settled(&self, x: &Bounds) -> World {
        let mut world = self.clone();
        for _ in 0..20 {
            let before = world.tables.clone();
            for (i, k, j) in triples(x.gateways) {
                if let Some(status) = world.tables[i][j] {
                    world.believe(k, j, status, x);
                }
            }
            if world.tables == before {
                return world;
            }
        }
        world.broken = Some("they never agree");
        world
    }

    fn agrees(&self, x: &Bounds) -> bool {
        let settled = self.settled(x);
        let of = |j: usize| settled.tables[j][j];
        settled.broken.is_none()
            && triples(x.gateways)
                .all(|(i, _, j)| settled.tables[i][j] == of(j) && of(j).is_some_and(|c| !c.is_final()))
    }
}

fn triples(n: usize) -> impl Iterator<Item = (usize, usize, usize)> {
    (0..n * n * n).map(move |t| (t / n / n, t / n % n, t % n)).filter(|(i, k, _)| i != k)
}

impl Model for Bounds {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let known = vec![Some(MemberStatus::alive(0, 0)); self.gateways];
        let tables = vec![known; self.gateways];
        vec![World { highest: tables.clone(), tables, network: BTreeSet::new(), broken: None }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        if world.broken.is_some() {
            return;
        }
        let state = |i: usize, j: usize| world.tables[i][j].map(|status| status.state);
        for (i, k, j) in triples(self.gateways) {
            if j == k {
                match state(i, j) {
                    Some(MemberState::Alive) => acts.push(Act::Suspect { by: i, member: j }),
                    Some(MemberState::Suspected) => acts.push(Act::DeclareDead { by: i, member: j }),
                    _ => {}
                }
            }
            if world.network.len() < self.in_flight && world.tables[i][j].is_some() {
                acts.push(Act::Send { from: i, to: k, about: j });
            }
        }
        for Message { to, about, generation, incarnation, state } in world.network.iter().cloned() {
            let status = MemberStatus { generation, incarnation, state };
            acts.push(Act::Deliver { to, about, status });
        }
        acts.extend((0..self.gateways).map(Act::Restart));
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut next = world.clone();
        match act {
            Act::Suspect { by, member } => {
                let status = next.tables[by][member]?.with_state(MemberState::Suspected);
                next.believe(by, member, status, self);
            }
            Act::DeclareDead { by, member } => {
                let status = next.tables[by][member]?.with_state(MemberState::Dead);
                next.believe(by, member, status, self);
            }
            Act::Send { from, to, about } => {
                let MemberStatus { generation, incarnation, state } = next.tables[from][about]?;
                next.network.insert(Message { to, about, generation, incarnation, state });
            }
            Act::Deliver { to, about, status } => next.believe(to, about, status, self),
            Act::Restart(i) => {
                let generation = next.tables[i][i]?.generation + 1;
                next.tables[i] = vec![None; self.gateways];
                next.highest[i] = vec![None; self.gateways];
                next.tables[i][i] = Some(MemberStatus::alive(generation, 0));
            }
        }
        Some(next)
    }

    fn within_boundary(&self, world: &World) -> bool {
        world
            .tables
            .iter()
            .flatten()
            .flatten()
            .all(|c| c.generation <= self.generations && c.incarnation <= self.incarnations)
    }

    fn properties(&self) -> Vec<Property<Bounds>> {
        vec![
            Property::always("claims only grow", |_: &Bounds, w: &World| w.broken.is_none()),
            Property::always("all agree in the end", |x: &Bounds, w: &World| {
                w.broken.is_some() || w.agrees(x)
            }),
            // Else a network that carries nothing would pass.
            Property::sometimes("a live member was declared dead", |_: &Bounds, w: &World| {
                w.tables.iter().flatten().flatten().any(|c| c.state == MemberState::Dead)
            }),
        ]
    }
}

const THREE: Bounds =
    Bounds { gateways: 3, incarnations: 1, generations: 1, in_flight: 1, rule: Rule::Correct };

#[test]
fn two_to_four_gateways_in_every_order() {
    let two = Bounds { gateways: 2, incarnations: 2, generations: 2, in_flight: 2, ..THREE };
    let four = Bounds { gateways: 4, ..THREE };
    // (the gateways, steps, states at least)
    for (bounds, depth, least) in [(two, 12, 1_000), (THREE, 8, 10_000), (four, 5, 1_000)] {
        let (gateways, checker) =
            (bounds.gateways, bounds.checker().threads(4).target_max_depth(depth).spawn_bfs().join());
        let states = checker.unique_state_count();
        println!("{gateways} gateways: {states} states");
        checker.assert_properties();
        assert!(states > least, "{gateways} gateways: {states}");
    }
}

#[test]
fn wrong_rules_of_precedence_are_caught() {
    for rule in [Rule::LastHeard, Rule::DeathIsNotFinal] {
        let wrong = Bounds { gateways: 2, incarnations: 2, generations: 1, in_flight: 2, rule };
        let checker = wrong.checker().threads(4).target_max_depth(10).spawn_bfs().join();
        assert!(
            checker.discovery("claims only grow").is_some(),
            "{rule:?}: {}",
            checker.unique_state_count()
        );
    }
}
