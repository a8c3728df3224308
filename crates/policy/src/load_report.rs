//! Estimates of the load that other gateways cause, from load reports of engines and from how much slower
//! than their work answers arrive.
//!
//! With many gateways the attempts that one gateway has in flight at an engine say almost nothing about the
//! load of that engine, so the gateway must not take its own count for the load.

use crate::time::{Duration, Timestamp};

/// Weight of one report in the running mean over all engines.
const MEAN_WEIGHT: f64 = 0.125;
/// Age at which a load report no longer counts. Its weight falls linearly until then.
const REPORT_LIFETIME: Duration = Duration::from_millis(1200);
/// Factor on the sums behind the traffic fraction at each further report.
const TRAFFIC_DECAY_PER_REPORT: f64 = 0.998;

/// Running mean of one measure of load over all engines.
#[derive(Default)]
pub(crate) struct MeanLoad(f64);

impl MeanLoad {
    /// Adds a load and returns the new mean, which is always positive.
    fn record(&mut self, load: f64) -> f64 {
        self.0 += (load - self.0) * MEAN_WEIGHT;
        self.0.max(1e-9)
    }
}

/// The load of one engine relative to the mean load of all engines.
#[derive(Default)]
pub(crate) struct RelativeLoad {
    /// Ratio of the engine's load to the mean load.
    ratio: f64,
    reported_time: Timestamp,
}

impl RelativeLoad {
    /// Records a load of the engine. The new ratio is averaged with the previous one if that is younger than
    /// [`REPORT_LIFETIME`], and replaces it otherwise.
    pub(crate) fn record(&mut self, load: f64, mean: &mut MeanLoad, now: Timestamp) {
        let mean = mean.record(load);
        let weight = if now.since(self.reported_time) < REPORT_LIFETIME { 0.5 } else { 1.0 };
        self.ratio += (load / mean - self.ratio) * weight;
        self.reported_time = now;
    }

    /// Load beyond the mean as a fraction of the mean, in -1..=1. The age of the last report is not included;
    /// see [`RelativeLoad::freshness`].
    pub(crate) fn excess(&self) -> f64 {
        (self.ratio - 1.0).clamp(-1.0, 1.0)
    }

    /// Weight of the last report by its age, in 0..=1.
    pub(crate) fn freshness(&self, now: Timestamp) -> f64 {
        (1.0 - now.since(self.reported_time) / REPORT_LIFETIME).max(0.0)
    }
}

/// This gateway's fraction of all traffic, from the engines' reports of their attempts in flight.
#[derive(Default)]
pub(crate) struct TrafficFraction {
    /// Decayed sum of this gateway's attempts in flight at the reporting engines.
    own_attempts: f64,
    /// Decayed sum of the attempts in flight that the engines reported.
    all_attempts: f64,
}

impl TrafficFraction {
    /// Records a load report of an engine with `all` attempts in flight, of which this gateway counts `own`.
    pub(crate) fn record(&mut self, own: f64, all: f64) {
        self.own_attempts = self.own_attempts * TRAFFIC_DECAY_PER_REPORT + own.min(all);
        self.all_attempts = self.all_attempts * TRAFFIC_DECAY_PER_REPORT + all;
    }

    /// Whether any engine has reported its attempts in flight.
    pub(crate) fn is_known(&self) -> bool {
        self.all_attempts > 0.0
    }

    /// The fraction of traffic by the reports, and at least an even part among `gateways` gateways.
    pub(crate) fn value(&self, gateways: usize) -> f64 {
        (self.own_attempts / self.all_attempts.max(1e-9)).max(1.0 / gateways as f64)
    }
}
