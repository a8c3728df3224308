//! Which gateway a duty is best held by: the highest of the scores that a hash gives each (Thaler and Ravishankar, "Using
//! name-based mappings to increase hit rates", 1998), so a gateway that comes or goes moves only its own duties. A
//! holder stays unless another is better by a margin and both have been as they are for a time.

use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A gateway's score for a duty, from none to one; the same at all gateways.
fn score(duty: &str, gateway: &str) -> f64 {
    // The top bits alone fill a float's fraction.
    let bits = xxh3_64_with_seed(gateway.as_bytes(), xxh3_64_with_seed(duty.as_bytes(), 0)) >> 11;
    bits as f64 / (1_u64 << 53) as f64
}

/// The gateways in the order in which they should have it, the best first.
pub fn order<'a>(duty: &str, gateways: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order: Vec<(Reverse<u64>, &str)> =
        gateways.map(|gateway| (Reverse(score(duty, gateway).to_bits()), gateway)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, gateway)| gateway).collect()
}

/// The gateway that it should go to, where that is better than its holder by this margin.
pub fn better<'a>(
    duty: &str,
    holder: &str,
    others: impl Iterator<Item = &'a str>,
    margin: f64,
) -> Option<&'a str> {
    let best = *order(duty, others).first()?;
    (score(duty, best) > score(duty, holder) + margin).then_some(best)
}
