//! Ranks of the request classes by priority, and how fast the concurrency limits of each rank grow and shrink.

use crate::types::RequestClass;

/// AIMD parameters of one rank, and the priority sent to engines.
pub(crate) struct AimdProfile {
    /// Threads added to a limit per second without congestion.
    pub increase_threads_per_second: f64,
    /// Factor that multiplies a limit per second of congestion.
    pub decrease_factor: f64,
    /// Priority sent with each attempt. Engines serve attempts of higher priority first.
    pub wire_priority: u8,
}

/// Profiles by rank, the highest priority first. Lower ranks share the last profile.
pub(crate) const AIMD_BY_RANK: [AimdProfile; 3] = [
    AimdProfile { increase_threads_per_second: 1.5, decrease_factor: 0.8, wire_priority: 3 },
    AimdProfile { increase_threads_per_second: 1.0, decrease_factor: 0.6, wire_priority: 2 },
    AimdProfile { increase_threads_per_second: 0.5, decrease_factor: 0.4, wire_priority: 1 },
];

/// A request class with the profile of its rank.
pub(crate) struct RankedClass {
    pub settings: RequestClass,
    pub aimd: &'static AimdProfile,
}

/// Ranks the classes by decreasing priority weight, then by increasing latency objective. The classes are returned in
/// the order in which they were given.
pub(crate) fn rank(classes: Vec<RequestClass>) -> Vec<RankedClass> {
    let last_rank = AIMD_BY_RANK.len() - 1;
    let ranks: Vec<usize> = classes
        .iter()
        .map(|class| classes.iter().filter(|other| precedes(other, class)).count().min(last_rank))
        .collect();
    let ranked = classes.into_iter().zip(ranks);
    ranked.map(|(settings, rank)| RankedClass { settings, aimd: &AIMD_BY_RANK[rank] }).collect()
}

fn precedes(class: &RequestClass, other: &RequestClass) -> bool {
    class.priority_weight > other.priority_weight
        || (class.priority_weight == other.priority_weight
            && class.latency_objective < other.latency_objective)
}
