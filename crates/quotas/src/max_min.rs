//! Weighted max-min fair division: each gets its demand or an equal multiple of its weight, whichever is less, and its
//! floor at least (progressive filling: Bertsekas and Gallager, "Data Networks", 1992, section 6.5.2).

/// One claim on the whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Without a weight above zero it gets its floor.
    pub weight: f64,
    /// More than this is of no use to it.
    pub demand: f64,
    /// It gets at least this, unless floors alone are more than the whole.
    pub floor: f64,
}

/// How far the whole goes. With it the share of each claim can be computed by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FillLevel {
    /// The multiple of its weight that each may have.
    multiple: f64,
    /// What is left of each share where floors alone are more than the whole, else 1.
    scale: f64,
}

impl FillLevel {
    /// The share of one claim.
    pub fn share(self, claim: &Claim) -> f64 {
        (claim.weight.max(0.0) * self.multiple).min(claim.demand).max(claim.floor) * self.scale
    }
}

/// Where the sum of all shares, as the level rises, begins or ends to grow with one of them.
#[derive(Clone, Copy, Debug)]
struct Bend {
    level: f64,
    slope_change: f64,
}

/// The level at which all shares together are the whole. Their sum grows with the level in straight lines, between bends
/// at which one of them leaves its floor or reaches its demand: one walk along them, in their order.
pub fn fill_level<'a>(whole: f64, claims: impl Iterator<Item = &'a Claim>) -> FillLevel {
    let mut sum = 0.0;
    let mut bends = Vec::new();
    for claim in claims {
        sum += claim.floor;
        if claim.weight > 0.0 && claim.demand > claim.floor {
            bends.push(Bend { level: claim.floor / claim.weight, slope_change: claim.weight });
            bends.push(Bend { level: claim.demand / claim.weight, slope_change: -claim.weight });
        }
    }
    if sum >= whole {
        return FillLevel { multiple: 0.0, scale: if sum > 0.0 { whole.max(0.0) / sum } else { 1.0 } };
    }
    bends.sort_by(|a, b| a.level.total_cmp(&b.level));
    let mut level = 0.0;
    let mut slope = 0.0;
    for bend in bends {
        let sum_at_bend = sum + slope * (bend.level - level);
        if sum_at_bend > whole {
            break;
        }
        sum = sum_at_bend;
        level = bend.level;
        slope += bend.slope_change;
    }
    // Weights that were added and taken away again leave a rounding error: that is no slope.
    let rest = if slope > 1e-12 { (whole - sum) / slope } else { 0.0 };
    FillLevel { multiple: level + rest, scale: 1.0 }
}

/// The shares of a whole, in the order of the claims. Where floors alone are more than the whole they are scaled down.
pub fn divide(whole: f64, claims: &[Claim]) -> Vec<f64> {
    let level = fill_level(whole, claims.iter());
    claims.iter().map(|claim| level.share(claim)).collect()
}
