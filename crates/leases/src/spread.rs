//! Which front a duty is best held by: the highest of the scores that a hash gives each (Thaler and Ravishankar, "Using
//! name-based mappings to increase hit rates", 1998), so a front that comes or goes moves only its own duties. A
//! holder stays unless another is better by a margin and both have been as they are for a time.

use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A front's score for a duty, from none to one; the same at all fronts.
fn score(duty: &str, front: &str) -> f64 {
    // The top bits alone fill a float's fraction.
    let bits = xxh3_64_with_seed(front.as_bytes(), xxh3_64_with_seed(duty.as_bytes(), 0)) >> 11;
    bits as f64 / (1_u64 << 53) as f64
}

/// The fronts in the order in which they should have it, the best first.
pub fn order<'a>(duty: &str, fronts: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order: Vec<(Reverse<u64>, &str)> =
        fronts.map(|front| (Reverse(score(duty, front).to_bits()), front)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, front)| front).collect()
}

/// The front that it should go to, where that is better than its holder by this margin.
pub fn better<'a>(
    duty: &str,
    holder: &str,
    others: impl Iterator<Item = &'a str>,
    margin: f64,
) -> Option<&'a str> {
    let best = *order(duty, others).first()?;
    (score(duty, best) > score(duty, holder) + margin).then_some(best)
}
