//! Subsetting: which engines a gateway uses.
//!
//! Few, so that each engine is known to few gateways that know it well, and chosen so that loads stay even and little moves
//! as either fleet grows and shrinks. The crate does no I/O; all gateways that see the same lists compute the same plan.

#![deny(missing_docs)]

pub mod aperture;
pub mod plan;
pub mod preference;
pub mod survey;

use larchfall_policy::types::{Engine, RequestClass};
use std::collections::BTreeSet;

/// An engine that is ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadyEngine {
    /// Its id in the endpoint list.
    pub id: u32,
    /// What the endpoint list says of it.
    pub engine: Engine,
}

/// A gateway, as the plan knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Gateway {
    /// A number of its own: a hash of its name, or its index.
    pub key: u64,
    /// Its zone, where that is known.
    pub zone: Option<usize>,
}

/// The engines that a request class may go to. Every subset needs some of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Requirement(BTreeSet<u32>);

impl Requirement {
    /// Whether the engine with this id is one of them.
    pub fn contains(&self, id: u32) -> bool {
        self.0.contains(&id)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The requirements of all classes, the scarcest first; classes that may go to the same engines share one.
pub fn requirements(engines: &[ReadyEngine], classes: &[RequestClass]) -> Vec<Requirement> {
    let allowed = |class: &RequestClass| {
        let engines = engines.iter().filter(|ready| class.allows_engine(&ready.engine));
        Requirement(engines.map(|ready| ready.id).collect())
    };
    let distinct: BTreeSet<Requirement> =
        classes.iter().map(allowed).filter(|requirement| !requirement.is_empty()).collect();
    let mut requirements: Vec<Requirement> = distinct.into_iter().collect();
    requirements.sort_by_key(Requirement::len);
    requirements
}
