//! Fairness measures for the division of a capacity among gateways.

/// Fairness of the current division of a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fairness {
    /// Number of gateways that have a quota.
    pub gateways: usize,
    /// Fraction of the whole capacity that may be in use, including reserved fractions.
    pub in_use: f64,
    /// Jain's fairness index of the gateways' granted fractions per weight: 1 is the fairest.
    pub jain_index: f64,
    /// Ratio of the largest to the smallest granted fraction per weight; `None` if the smallest is 0 or there are no
    /// gateways.
    pub max_to_min_ratio: Option<f64>,
}

/// Jain's fairness index (Jain, Chiu, Hawe: "A Quantitative Measure of Fairness and Discrimination", 1984) of
/// allocations relative to their claims. The index is 1 if all values are equal or there are none, and 1/n if one of
/// n values is positive and the others are 0.
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

/// Ratio of the largest to the smallest value; `None` if the smallest is 0 or there are no values.
pub fn max_to_min_ratio(fractions: impl Iterator<Item = f64>) -> Option<f64> {
    let mut min = f64::MAX;
    let mut max = 0.0_f64;
    for fraction in fractions {
        min = min.min(fraction);
        max = max.max(fraction);
    }
    (min > 0.0 && min <= max).then(|| max / min)
}
