//! Whether a gateway may hold roles at all: it needs reachable engines, a fresh endpoint list and health of its own. One
//! that is slow itself would do its work late, and keep others from doing it in time.

use larchfall_policy::time::Duration;

/// What is checked, by the operator's file; what is `None` is not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FitnessThresholds {
    /// Longest silence of discovery before the endpoint list counts as stale.
    pub max_discovery_silence: Option<Duration>,
    /// From this health score on (0 is healthy, 8 the worst) a gateway is unhealthy, and healthy again at half of it: a
    /// gateway just below the threshold would be unhealthy again with the next late answer.
    pub unhealthy_score: Option<u32>,
}

/// What a gateway observes of itself now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FitnessInputs {
    /// Engines in the endpoint list.
    pub listed_engines: usize,
    /// Those of them that are ready.
    pub ready_engines: usize,
    /// Time since discovery last said anything.
    pub discovery_silence: Duration,
    /// This gateway's own health score from membership.
    pub health_score: u32,
}

/// Remembers whether the gateway was unhealthy, for the hysteresis.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fitness {
    unhealthy: bool,
}

impl Fitness {
    /// Whether the gateway is fit to hold roles now.
    pub fn update(&mut self, thresholds: FitnessThresholds, inputs: FitnessInputs) -> bool {
        self.unhealthy = thresholds.unhealthy_score.is_some_and(|score| {
            let threshold = if self.unhealthy { score / 2 + 1 } else { score };
            inputs.health_score >= threshold
        });
        let reaches_engines = inputs.listed_engines == 0 || inputs.ready_engines > 0;
        let is_fresh = thresholds.max_discovery_silence.is_none_or(|max| inputs.discovery_silence <= max);
        reaches_engines && is_fresh && !self.unhealthy
    }
}
