//! Every order in which a few gateways suspect, bury, refute, start anew and tell each other, over a net that loses,
//! doubles and reorders.

use larchfall_membership::claim::{Claim, Standing, refuted};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// How claims are weighed: as the package does, or in a way that is wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Weighing {
    Sound,
    /// Whatever was heard last counts.
    LastWord,
    /// A dead one is back with the next incarnation.
    DeathIsNoEnd,
}

impl Weighing {
    fn beats(self, new: Claim, old: Claim) -> bool {
        match self {
            Weighing::Sound => new.beats(old),
            Weighing::LastWord => new != old,
            Weighing::DeathIsNoEnd => {
                let key = |c: Claim| (c.generation, c.incarnation, c.standing);
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
    on_the_way: usize,
    weighing: Weighing,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// By gateway, of each.
    tables: Vec<Vec<Option<Claim>>>,
    /// To whom, of whom, what: any number of times, in any order, or never.
    net: BTreeSet<(usize, usize, u64, u32, Standing)>,
    /// The strongest that each had of each since its own start.
    best: Vec<Vec<Option<Claim>>>,
    broken: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Act {
    Suspect(usize, usize),
    Bury(usize, usize),
    Tell(usize, usize, usize),
    Hear(usize, usize, Claim),
    Restart(usize),
}

impl World {
    /// `i` takes in what is claimed of `j`.
    fn believe(&mut self, i: usize, j: usize, claim: Claim, x: &Bounds) {
        if i == j {
            let mine = self.tables[i][i].unwrap();
            // Its own is refuted by the package's own rule, whichever way claims of others are weighed.
            if let Some(next) = refuted(mine, claim) {
                self.tables[i][i] = Some(next);
            }
            return;
        }
        let was = self.tables[i][j];
        if was.is_none_or(|was| x.weighing.beats(claim, was)) && !(was.is_none() && claim.is_final()) {
            self.tables[i][j] = Some(claim);
        }
        let (now, best) = (self.tables[i][j], self.best[i][j]);
        if let (Some(now), Some(best)) = (now, best)
            && now.generation == best.generation
        {
            if best.is_final() && !now.is_final() {
                self.broken = Some("a dead generation is back");
            } else if !now.is_final() && now.incarnation < best.incarnation {
                self.broken = Some("an old suspicion won over a newer incarnation");
            }
        }
        if now.is_some_and(|now| best.is_none_or(|best| now.beats(best))) {
            self.best[i][j] = now;
        }
    }

    /// All tell all until nothing changes; nobody suspects anybody any more.
    fn settled(&self, x: &Bounds) -> World {
        let mut world = self.clone();
        for _ in 0..20 {
            let before = world.tables.clone();
            for (i, k, j) in triples(x.gateways) {
                if let Some(claim) = world.tables[i][j] {
                    world.believe(k, j, claim, x);
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
        let known = vec![Some(Claim::alive(0, 0)); self.gateways];
        let tables = vec![known; self.gateways];
        vec![World { best: tables.clone(), tables, net: BTreeSet::new(), broken: None }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        if world.broken.is_some() {
            return;
        }
        let standing = |i: usize, j: usize| world.tables[i][j].map(|c| c.standing);
        for (i, k, j) in triples(self.gateways) {
            if j == k {
                match standing(i, j) {
                    Some(Standing::Alive) => acts.push(Act::Suspect(i, j)),
                    Some(Standing::Suspected) => acts.push(Act::Bury(i, j)),
                    _ => {}
                }
            }
            if world.net.len() < self.on_the_way && world.tables[i][j].is_some() {
                acts.push(Act::Tell(i, k, j));
            }
        }
        for (to, of, generation, incarnation, standing) in &world.net {
            let claim = Claim { generation: *generation, incarnation: *incarnation, standing: *standing };
            acts.push(Act::Hear(*to, *of, claim));
        }
        acts.extend((0..self.gateways).map(Act::Restart));
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut next = world.clone();
        match act {
            Act::Suspect(i, j) => {
                let claim = next.tables[i][j]?.with(Standing::Suspected);
                next.believe(i, j, claim, self);
            }
            Act::Bury(i, j) => {
                let claim = next.tables[i][j]?.with(Standing::Dead);
                next.believe(i, j, claim, self);
            }
            Act::Tell(i, k, j) => {
                let c = next.tables[i][j]?;
                next.net.insert((k, j, c.generation, c.incarnation, c.standing));
            }
            Act::Hear(to, of, claim) => next.believe(to, of, claim, self),
            Act::Restart(i) => {
                let generation = next.tables[i][i]?.generation + 1;
                next.tables[i] = vec![None; self.gateways];
                next.best[i] = vec![None; self.gateways];
                next.tables[i][i] = Some(Claim::alive(generation, 0));
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
            // Else a net that carries nothing would pass.
            Property::sometimes("a living one was held for dead", |_: &Bounds, w: &World| {
                w.tables.iter().flatten().flatten().any(|c| c.standing == Standing::Dead)
            }),
        ]
    }
}

const THREE: Bounds =
    Bounds { gateways: 3, incarnations: 1, generations: 1, on_the_way: 1, weighing: Weighing::Sound };

#[test]
fn two_to_four_gateways_in_every_order() {
    let two = Bounds { gateways: 2, incarnations: 2, generations: 2, on_the_way: 2, ..THREE };
    let four = Bounds { gateways: 4, ..THREE };
    // (the gateways, steps, states at least)
    for (bounds, depth, least) in [(two, 12, 1_000), (THREE, 8, 10_000), (four, 5, 1_000)] {
        let (gateways, checker) =
            (bounds.gateways, bounds.checker().threads(4).target_max_depth(depth).spawn_bfs().join());
        let states = checker.unique_state_count();
        println!("{gateways} fronts: {states} states");
        checker.assert_properties();
        assert!(states > least, "{gateways} fronts: {states}");
    }
}

#[test]
fn wrong_ways_to_weigh_claims_are_caught() {
    for weighing in [Weighing::LastWord, Weighing::DeathIsNoEnd] {
        let wrong = Bounds { gateways: 2, incarnations: 2, generations: 1, on_the_way: 2, weighing };
        let checker = wrong.checker().threads(4).target_max_depth(10).spawn_bfs().join();
        assert!(
            checker.discovery("claims only grow").is_some(),
            "{weighing:?}: {}",
            checker.unique_state_count()
        );
    }
}
