//! Distribution of roles over gateways by rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
//! increase hit rates", 1998). Each gateway has a score for each role, a hash of both names, and the gateway with the
//! highest score is preferred as lease holder. When a gateway joins or leaves, only roles that this gateway is
//! preferred for move.

use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns a gateway's score for a role, from 0 to below 1. All gateways compute the same score.
fn score(role: &str, gateway: &str) -> f64 {
    // An f64 represents integers of up to 53 bits exactly.
    let bits = xxh3_64_with_seed(gateway.as_bytes(), xxh3_64_with_seed(role.as_bytes(), 0)) >> 11;
    bits as f64 / (1_u64 << 53) as f64
}

/// Returns the gateways ordered by descending score for the role.
pub fn preference_order<'a>(role: &str, gateways: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order: Vec<(Reverse<u64>, &str)> =
        gateways.map(|gateway| (Reverse(score(role, gateway).to_bits()), gateway)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, gateway)| gateway).collect()
}

/// Returns the gateway of `others` with the highest score for the role if that score exceeds the lease holder's score
/// by more than `margin`, otherwise `None`.
pub fn better_holder<'a>(
    role: &str,
    holder: &str,
    others: impl Iterator<Item = &'a str>,
    margin: f64,
) -> Option<&'a str> {
    let best = *preference_order(role, others).first()?;
    (score(role, best) > score(role, holder) + margin).then_some(best)
}
