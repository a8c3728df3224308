//! Which engines a gateway uses: few, so that each engine is known to few gateways that know it well, chosen so that loads stay
//! even and little moves as either fleet grows and shrinks. Without input or output; all gateways that see the same lists work
//! out the same plan.

pub mod aperture;
pub mod plan;
pub mod rank;
pub mod survey;

use larchfall_policy::interface::{Engine, RequestClass};
use std::collections::BTreeSet;

/// An engine that is ready, by its id.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed {
    pub id: u32,
    pub told: Engine,
}

/// A gateway, as the plan knows it: a number of its own (a hash of its name, or its place), and its zone where that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Gateway {
    pub number: u64,
    pub zone: Option<usize>,
}

/// Which engines one request class may go to, or some classes alike.
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

/// What must be found in every subset, the scarcest first: classes that may go to the same engines need the same.
pub fn needs(engines: &[Listed], classes: &[RequestClass]) -> Vec<Need> {
    let open = |class: &RequestClass| {
        Need(engines.iter().filter(|x| class.allows_engine(&x.told)).map(|x| x.id).collect())
    };
    let all: BTreeSet<Need> = classes.iter().map(open).filter(|need| !need.is_empty()).collect();
    let mut all: Vec<Need> = all.into_iter().collect();
    all.sort_by_key(Need::len);
    all
}
