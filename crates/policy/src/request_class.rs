//! Request classes ranked by priority: what each rank is given when limits grow and what it loses when they shrink.

use crate::types::RequestClass;

/// How the limits of one priority rank move, and the priority that engines are told.
pub(crate) struct AimdProfile {
    /// Threads added to a limit in a second without congestion.
    pub increase_threads_per_second: f64,
    /// Factor that a limit is multiplied by in a second with late answers.
    pub decrease_factor: f64,
    /// Priority sent with each attempt; engines serve the higher one first.
    pub wire_priority: u8,
}

/// Profiles by rank, the highest priority first; all ranks after the last one share it.
pub(crate) const AIMD_BY_RANK: [AimdProfile; 3] = [
    AimdProfile { increase_threads_per_second: 1.5, decrease_factor: 0.8, wire_priority: 3 },
    AimdProfile { increase_threads_per_second: 1.0, decrease_factor: 0.6, wire_priority: 2 },
    AimdProfile { increase_threads_per_second: 0.5, decrease_factor: 0.4, wire_priority: 1 },
];

/// A request class with its rank among all classes.
pub(crate) struct RankedClass {
    pub settings: RequestClass,
    pub aimd: &'static AimdProfile,
}

/// Ranks classes by priority weight, then by the shorter latency objective.
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
