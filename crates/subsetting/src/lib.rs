//! Subsetting: selects the engines that each gateway uses.
//!
//! Each gateway uses few engines, so that each engine serves few gateways, which observe the engine with many
//! requests. The subsets keep the load of the engines even, and change little when gateways or engines are added or
//! removed. All gateways with the same lists of gateways and engines compute the same plan. The crate does no I/O.

#![deny(missing_docs)]

pub mod aperture;
pub mod plan;
pub mod preference;
pub mod survey;

use larchfall_policy::types::{Engine, RequestClass};
use std::collections::BTreeSet;

/// An engine that is ready for requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadyEngine {
    /// The engine's id in the endpoint list.
    pub id: u32,
    /// Properties of the engine in the endpoint list.
    pub engine: Engine,
}

/// A gateway in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Gateway {
    /// Unique number of the gateway: a hash of its name, or its index.
    pub key: u64,
    /// Index of the gateway's zone, if known.
    pub zone: Option<usize>,
}

/// The ids of the engines that may serve a request class. Each subset must contain some of these engines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Requirement(BTreeSet<u32>);

impl Requirement {
    /// Whether the engine with this id may serve the request class.
    pub fn contains(&self, id: u32) -> bool {
        self.0.contains(&id)
    }

    /// Number of engines that may serve the request class.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no engine may serve the request class.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The requirements of all request classes, those with the fewest engines first. Classes with the same engines share a
/// requirement, and classes without engines have none.
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
