//! The order in which a gateway would like engines: its own zone first, then by a hash of both (rendezvous hashing: Thaler,
//! Ravishankar: "Using Name-Based Mappings to Increase Hit Rates", 1998). One that comes or goes changes no other's place.

use crate::{Gateway, Listed};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How much a gateway would like an engine; the greatest first.
pub fn weight(gateway: Gateway, engine: &Listed) -> (bool, u64) {
    let near = gateway.zone.is_some_and(|zone| zone == engine.told.zone);
    (near, xxh3_64_with_seed(&engine.id.to_le_bytes(), gateway.number))
}

/// All engines, the best liked first.
pub fn order(gateway: Gateway, engines: &[Listed]) -> Vec<&Listed> {
    let mut order: Vec<((bool, u64), &Listed)> = engines.iter().map(|x| (weight(gateway, x), x)).collect();
    order.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    order.into_iter().map(|(_, x)| x).collect()
}
