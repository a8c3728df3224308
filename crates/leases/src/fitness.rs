//! Fitness of a gateway to hold roles. A fit gateway reaches at least one engine, has a fresh endpoint list and is
//! healthy itself. A slow gateway would do the work of a role late and keep other gateways from doing the work in time.

use larchfall_policy::time::Duration;

/// Thresholds from the operator's configuration file. A threshold of `None` disables its check.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FitnessThresholds {
    /// Longest time without a message from discovery before the endpoint list counts as stale.
    pub max_discovery_silence: Option<Duration>,
    /// A gateway becomes unhealthy when its health score (0 is healthy, 8 the worst) reaches this threshold, and
    /// healthy again when the score falls to half of the threshold. Without this hysteresis, a gateway just below the
    /// threshold would become unhealthy again with the next late answer.
    pub unhealthy_score: Option<u32>,
}

/// Current observations of a gateway about its own state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FitnessInputs {
    /// Number of engines in the endpoint list.
    pub listed_engines: usize,
    /// Number of listed engines that are ready.
    pub ready_engines: usize,
    /// Time since the last message from discovery.
    pub discovery_silence: Duration,
    /// Health score of this gateway from membership, from 0 (healthy) to 8 (worst).
    pub health_score: u32,
}

/// Fitness check with hysteresis of the health score.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fitness {
    is_unhealthy: bool,
}

impl Fitness {
    /// Updates the health state and returns whether the gateway is fit to hold roles.
    pub fn update(&mut self, thresholds: FitnessThresholds, inputs: FitnessInputs) -> bool {
        self.is_unhealthy = thresholds.unhealthy_score.is_some_and(|score| {
            let threshold = if self.is_unhealthy { score / 2 + 1 } else { score };
            inputs.health_score >= threshold
        });
        let reaches_engines = inputs.listed_engines == 0 || inputs.ready_engines > 0;
        let has_fresh_list =
            thresholds.max_discovery_silence.is_none_or(|max| inputs.discovery_silence <= max);
        reaches_engines && has_fresh_list && !self.is_unhealthy
    }
}
