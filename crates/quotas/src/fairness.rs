//! Measures of how fair a division is.

/// How fairly a capacity is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fairness {
    /// Gateways that have a quota.
    pub gateways: usize,
    /// The fraction of the whole that may be in use, reserved fractions among it.
    pub in_use: f64,
    /// Jain's index over gateways, of what each has for what it wants.
    pub jain_index: f64,
    /// How much better off a request is at the best gateway than at the worst; `None` where the worst has nothing.
    pub max_to_min_ratio: Option<f64>,
}

/// Jain's index of what each got for what it deserved (Jain, Chiu, Hawe: "A Quantitative Measure of Fairness and
/// Discrimination", 1984): 1 where all got the same fraction of it, 1 by their number where a single one got all.
pub fn jain_index(fractions: impl Iterator<Item = f64>) -> f64 {
    let mut count = 0.0;
    let mut sum = 0.0;
    let mut squares = 0.0;
    for fraction in fractions {
        count += 1.0;
        sum += fraction;
        squares += fraction * fraction;
    }
    if squares > 0.0 { sum * sum / (count * squares) } else { 1.0 }
}

/// The largest fraction by the smallest; `None` where the smallest is nothing.
pub fn max_to_min_ratio(fractions: impl Iterator<Item = f64>) -> Option<f64> {
    let mut least = f64::MAX;
    let mut most = 0.0_f64;
    for fraction in fractions {
        least = least.min(fraction);
        most = most.max(fraction);
    }
    (least > 0.0 && least <= most).then(|| most / least)
}
