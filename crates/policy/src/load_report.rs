//! What is known of the load that other gateways cause: engines' own load reports and how slow their answers are.
//!
//! Guards a gateway that is one of many against taking its own count of an engine's attempts for the engine's load.

use crate::time::{Duration, Timestamp};

/// Weight of one report in the running mean over all engines.
const MEAN_WEIGHT: f64 = 0.125;
/// How long a report counts, less as it ages.
const REPORT_LIFETIME: Duration = Duration::from_millis(1200);
/// What is left of the counts behind the traffic fraction after each further report.
const TRAFFIC_DECAY: f64 = 0.998;

/// What reports mostly say at all engines.
#[derive(Default)]
pub(crate) struct MeanLoad(f64);

impl MeanLoad {
    fn record(&mut self, load: f64) -> f64 {
        self.0 += (load - self.0) * MEAN_WEIGHT;
        self.0.max(1e-9)
    }
}

/// One engine's load, relative to what all engines mostly have.
#[derive(Default)]
pub(crate) struct RelativeLoad {
    factor: f64,
    reported_time: Timestamp,
}

impl RelativeLoad {
    /// Takes in a load of the engine. A fresh factor and the new one count half each.
    pub(crate) fn record(&mut self, load: f64, mean: &mut MeanLoad, now: Timestamp) {
        let mean = mean.record(load);
        let weight = if now.since(self.reported_time) < REPORT_LIFETIME { 0.5 } else { 1.0 };
        self.factor += (load / mean - self.factor) * weight;
        self.reported_time = now;
    }

    /// Load beyond the usual one in -1..=1, fading with the report's age.
    pub(crate) fn excess(&self) -> f64 {
        (self.factor - 1.0).clamp(-1.0, 1.0)
    }

    /// How much the last report still counts, in 0..=1.
    pub(crate) fn freshness(&self, now: Timestamp) -> f64 {
        (1.0 - now.since(self.reported_time) / REPORT_LIFETIME).max(0.0)
    }
}

/// This gateway's part of all traffic, by what engines report of the attempts that they hold.
#[derive(Default)]
pub(crate) struct TrafficFraction {
    own: f64,
    all: f64,
}

impl TrafficFraction {
    pub(crate) fn record(&mut self, own: f64, all: f64) {
        self.own = self.own * TRAFFIC_DECAY + own.min(all);
        self.all = self.all * TRAFFIC_DECAY + all;
    }

    /// Whether any engine has reported how much it holds.
    pub(crate) fn is_known(&self) -> bool {
        self.all > 0.0
    }

    /// An even part at least, more where engines report it.
    pub(crate) fn value(&self, gateways: usize) -> f64 {
        (self.own / self.all.max(1e-9)).max(1.0 / gateways as f64)
    }
}
