//! Which gateway a role is best held by: the one with the highest score by a hash of role and gateway (rendezvous hashing:
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998), so that a gateway that joins or
//! leaves moves only its own roles.

use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A gateway's score for a role, in 0..1; the same at all gateways.
fn score(role: &str, gateway: &str) -> f64 {
    // The top 53 bits fill a float's fraction.
    let bits = xxh3_64_with_seed(gateway.as_bytes(), xxh3_64_with_seed(role.as_bytes(), 0)) >> 11;
    bits as f64 / (1_u64 << 53) as f64
}

/// The gateways in order of preference for the role, the best first.
pub fn preference_order<'a>(role: &str, gateways: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order: Vec<(Reverse<u64>, &str)> =
        gateways.map(|gateway| (Reverse(score(role, gateway).to_bits()), gateway)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, gateway)| gateway).collect()
}

/// The best of `others`, where its score is above the holder's by more than `margin`.
pub fn better_holder<'a>(
    role: &str,
    holder: &str,
    others: impl Iterator<Item = &'a str>,
    margin: f64,
) -> Option<&'a str> {
    let best = *preference_order(role, others).first()?;
    (score(role, best) > score(role, holder) + margin).then_some(best)
}
