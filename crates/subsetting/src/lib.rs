//! Which engines a front uses: few, so that each engine is known to few fronts that know it well, chosen so that loads stay
//! even and little moves as either fleet grows and shrinks. Without input or output; all fronts that see the same lists work
//! out the same plan.

pub mod aperture;
pub mod plan;
pub mod rank;
pub mod survey;

use larchfall_policy::interface::{Engine, ServiceGroup};
use std::collections::BTreeSet;

/// An engine that is ready, by its id.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed {
    pub id: u32,
    pub told: Engine,
}

/// A front, as the plan knows it: a number of its own (a hash of its name, or its place), and its zone where that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Front {
    pub number: u64,
    pub zone: Option<usize>,
}

/// Which engines one service group may go to, or some groups alike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Need(BTreeSet<u32>);

impl Need {
    pub fn has(&self, id: u32) -> bool {
        self.0.contains(&id)
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// What must be found in every subset, the scarcest first: groups that may go to the same engines need the same.
pub fn needs(engines: &[Listed], groups: &[ServiceGroup]) -> Vec<Need> {
    let open = |group: &ServiceGroup| {
        Need(engines.iter().filter(|x| group.may_go_to(&x.told)).map(|x| x.id).collect())
    };
    let all: BTreeSet<Need> = groups.iter().map(open).filter(|need| !need.is_empty()).collect();
    let mut all: Vec<Need> = all.into_iter().collect();
    all.sort_by_key(Need::len);
    all
}
