//! Whether a gateway may hold duties at all: it needs engines within reach, a list that it knows freshly, and health of its
//! own. One that is slow itself does its duty late, and keeps others from doing it in time.

use larchfall_policy::time::Duration;

/// What is looked at by the operator's file; lines that are absent are not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lines {
    /// A list of engines older than this is stale.
    pub stale: Option<Duration>,
    /// From this score on (0 is well, 8 the worst) a gateway is ill, and well again at half of it: one that is just below
    /// would be ill again with the next late answer.
    pub ill: Option<u32>,
}

/// What a gateway sees of itself now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sight {
    /// Engines that its list names, and those among them that are ready.
    pub listed: usize,
    pub ready: usize,
    /// Since the discovery service last said anything.
    pub silence: Duration,
    pub health: u32,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Fitness {
    ill: bool,
}

impl Fitness {
    pub fn is_fit(&mut self, lines: Lines, sight: Sight) -> bool {
        let ill = |ill: u32| sight.health >= if self.ill { ill / 2 + 1 } else { ill };
        self.ill = lines.ill.is_some_and(ill);
        let reaches = sight.listed == 0 || sight.ready > 0;
        reaches && lines.stale.is_none_or(|stale| sight.silence <= stale) && !self.ill
    }
}
