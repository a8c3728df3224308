//! The order in which a gateway prefers engines: engines in the gateway's zone come first, and engines are then
//! ordered by a hash of gateway and engine (rendezvous hashing; Thaler, Ravishankar: "Using Name-Based Mappings to
//! Increase Hit Rates", 1998). Adding or removing an engine doesn't change the order of the other engines.

use crate::{Gateway, ReadyEngine};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Sort key of an engine for a gateway; a greater preference comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    same_zone: bool,
    score: u64,
}

fn preference(gateway: Gateway, ready: &ReadyEngine) -> Preference {
    Preference {
        same_zone: gateway.zone.is_some_and(|zone| zone == ready.engine.zone),
        score: xxh3_64_with_seed(&ready.id.to_le_bytes(), gateway.key),
    }
}

/// All engines, starting with the engine that the gateway prefers most.
pub fn preference_order(gateway: Gateway, engines: &[ReadyEngine]) -> Vec<&ReadyEngine> {
    let mut order: Vec<&ReadyEngine> = engines.iter().collect();
    order.sort_by_cached_key(|ready| Reverse(preference(gateway, ready)));
    order
}
