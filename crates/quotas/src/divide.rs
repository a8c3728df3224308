//! Weighted max-min division: each gets what it asks for or an equal multiple of its weight, whichever is less, and its
//! floor at least (progressive filling: Bertsekas and Gallager, "Data Networks", 1992, section 6.5.2).

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// None that is not above zero counts: it gets its floor.
    pub weight: f64,
    /// More than this is of no use to it.
    pub demand: f64,
    pub floor: f64,
}

/// How far a whole goes: the multiple of its weight that each may have, and the part of its floor where floors alone are
/// more than the whole. Whoever knows it can tell each one's share by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Level {
    multiple: f64,
    cut: f64,
}

impl Level {
    pub fn share(self, ask: &Ask) -> f64 {
        (ask.weight.max(0.0) * self.multiple).min(ask.demand).max(ask.floor) * self.cut
    }
}

/// What all get together grows with the level in straight lines, between bends at which one of them leaves its floor or
/// has all that it asks for: one walk along them, in their order.
pub fn level<'a>(whole: f64, asks: impl Iterator<Item = &'a Ask>) -> Level {
    let (mut sum, mut bends) = (0.0, Vec::new());
    for ask in asks {
        sum += ask.floor;
        if ask.weight > 0.0 && ask.demand > ask.floor {
            bends.extend([(ask.floor / ask.weight, ask.weight), (ask.demand / ask.weight, -ask.weight)]);
        }
    }
    if sum >= whole {
        return Level { multiple: 0.0, cut: if sum > 0.0 { whole.max(0.0) / sum } else { 1.0 } };
    }
    bends.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let (mut at, mut grows) = (0.0, 0.0);
    for (bend, by) in bends {
        let then = sum + grows * (bend - at);
        if then > whole {
            break;
        }
        (sum, at, grows) = (then, bend, grows + by);
    }
    // Sums of many weights taken away again leave a grain: that is no slope.
    let rest = if grows > 1e-12 { (whole - sum) / grows } else { 0.0 };
    Level { multiple: at + rest, cut: 1.0 }
}

/// The shares of a whole, in the order of the asks. Where floors alone are more than the whole they are cut alike.
pub fn divide(whole: f64, asks: &[Ask]) -> Vec<f64> {
    let level = level(whole, asks.iter());
    asks.iter().map(|ask| level.share(ask)).collect()
}
