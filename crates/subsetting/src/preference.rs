//! The order in which a gateway prefers engines: its own zone first, then by a hash of both (rendezvous hashing: Thaler,
//! Ravishankar: "Using Name-Based Mappings to Increase Hit Rates", 1998). An engine that comes or goes changes no other's
//! order.

use crate::{Gateway, ReadyEngine};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How much a gateway prefers an engine; the greatest first.
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

/// All engines, the most preferred first.
pub fn preference_order(gateway: Gateway, engines: &[ReadyEngine]) -> Vec<&ReadyEngine> {
    let mut order: Vec<&ReadyEngine> = engines.iter().collect();
    order.sort_by_cached_key(|ready| Reverse(preference(gateway, ready)));
    order
}
