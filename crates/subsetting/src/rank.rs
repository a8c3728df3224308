//! The order in which a front would like engines: its own zone first, then by a hash of both (rendezvous hashing: Thaler,
//! Ravishankar: "Using Name-Based Mappings to Increase Hit Rates", 1998). One that comes or goes changes no other's place.

use crate::{Front, Listed};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How much a front would like an engine; the greatest first.
pub fn weight(front: Front, engine: &Listed) -> (bool, u64) {
    let near = front.zone.is_some_and(|zone| zone == engine.told.zone);
    (near, xxh3_64_with_seed(&engine.id.to_le_bytes(), front.number))
}

/// All engines, the best liked first.
pub fn order(front: Front, engines: &[Listed]) -> Vec<&Listed> {
    let mut order: Vec<((bool, u64), &Listed)> = engines.iter().map(|x| (weight(front, x), x)).collect();
    order.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    order.into_iter().map(|(_, x)| x).collect()
}
