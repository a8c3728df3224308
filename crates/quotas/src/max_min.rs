//! Weighted max-min fair division by progressive filling (Bertsekas and Gallager, "Data Networks", 1992, section
//! 6.5.2). Each claim gets the lesser of its demand and its weight times a common multiple, but at least its floor.

/// A claim to a part of the whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Weight in the division; a claim without a positive weight gets only its floor.
    pub weight: f64,
    /// Maximum share, unless the floor is greater.
    pub demand: f64,
    /// Minimum share, unless the sum of all floors exceeds the whole.
    pub floor: f64,
}

/// Result of progressive filling, from which the share of each claim can be computed without the other claims.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FillLevel {
    /// The common multiple: each claim may get its weight times this value.
    multiple: f64,
    /// Factor that scales shares down if the sum of all floors exceeds the whole, else 1.
    scale: f64,
}

impl FillLevel {
    /// The share of this claim.
    pub fn share(self, claim: &Claim) -> f64 {
        (claim.weight.max(0.0) * self.multiple).min(claim.demand).max(claim.floor) * self.scale
    }
}

/// A multiple at which the slope of the sum of all shares changes: at `multiple`, one share starts to grow above its
/// floor or stops growing at its demand.
#[derive(Clone, Copy, Debug)]
struct Breakpoint {
    multiple: f64,
    slope_change: f64,
}

/// Computes the fill level at which the shares add up to the whole. The sum of the shares is a piecewise linear
/// function of the common multiple, so the function visits the breakpoints in ascending order until the sum would
/// exceed the whole.
pub fn fill_level<'a>(whole: f64, claims: impl Iterator<Item = &'a Claim>) -> FillLevel {
    let mut sum = 0.0;
    let mut breakpoints = Vec::new();
    for claim in claims {
        sum += claim.floor;
        if claim.weight > 0.0 && claim.demand > claim.floor {
            breakpoints.push(Breakpoint { multiple: claim.floor / claim.weight, slope_change: claim.weight });
            breakpoints
                .push(Breakpoint { multiple: claim.demand / claim.weight, slope_change: -claim.weight });
        }
    }
    if sum >= whole {
        return FillLevel { multiple: 0.0, scale: if sum > 0.0 { whole.max(0.0) / sum } else { 1.0 } };
    }
    breakpoints.sort_by(|a, b| a.multiple.total_cmp(&b.multiple));
    let mut multiple = 0.0;
    let mut slope = 0.0;
    for breakpoint in breakpoints {
        let next_sum = sum + slope * (breakpoint.multiple - multiple);
        if next_sum > whole {
            break;
        }
        sum = next_sum;
        multiple = breakpoint.multiple;
        slope += breakpoint.slope_change;
    }
    // Adding and subtracting weights leaves rounding errors, so a slope of at most 1e-12 counts as zero.
    let remainder = if slope > 1e-12 { (whole - sum) / slope } else { 0.0 };
    FillLevel { multiple: multiple + remainder, scale: 1.0 }
}

/// Divides the whole and returns the shares in the order of the claims. If the sum of all floors exceeds the whole,
/// each share is the scaled-down floor.
pub fn divide(whole: f64, claims: &[Claim]) -> Vec<f64> {
    let level = fill_level(whole, claims.iter());
    claims.iter().map(|claim| level.share(claim)).collect()
}
