//! Engine selection: among the engines that are eligible for a request, the one with the highest score. The
//! score is the headroom of the request's class in threads, plus bonuses and minus penalties in the same
//! unit.

use crate::capacity_pool::{CapacityPool, CapacityPools};
use crate::engine_record::EngineRecord;
use crate::idempotency;
use crate::outlier_detection::is_ejection_trusted;
use crate::request_record::RequestRecord;
use crate::slow_start::SlowStartAdmission;
use crate::time::Timestamp;
use crate::types::{Capabilities, Idempotency, RequestClass, SlowStartConfig, Topology};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

/// Score bonus, in threads, of an engine that is expected to have the request's data set in its caches.
const CACHED_DATA_SET_BONUS: f64 = 2.0;
/// Score bonus, in threads, of an engine in the gateway's own zone.
const SAME_ZONE_BONUS: f64 = 1.0;
/// Score bonus, in threads, of an engine with an idle connection if a new connection costs as much as a whole
/// request. The bonus scales with the configured connection cost.
const IDLE_CONNECTION_BONUS: f64 = 10.0;
/// Score bonus, in threads, for each second that a probe of an ejected engine is overdue. Without the bonus
/// an ejected engine might get no probe at a low request rate.
const OVERDUE_PROBE_BONUS_PER_SECOND: f64 = 1.0;
/// Score penalty, in threads, that ranks an engine below all engines without the penalty.
const LAST_RESORT_PENALTY: f64 = 1e6;
/// Largest difference, in threads, between two scores that count as equal.
const TIE_TOLERANCE: f64 = 1e-9;

/// The inputs for selecting an engine for one request.
pub(crate) struct EngineSelection<'a> {
    pub record: &'a RequestRecord,
    pub class: &'a RequestClass,
    pub capabilities: &'a Capabilities,
    pub topology: &'a Topology,
    pub slow_start: SlowStartAdmission<'a>,
    pub now: Timestamp,
}

/// The rules that decide which engines are candidates for the request.
struct CandidateRules {
    /// Whether engines outside of this gateway's subset are candidates too.
    include_outside_subset: bool,
    /// Whether ejected engines get probes only. Ejections are ignored if too many of the candidates are
    /// ejected.
    trust_ejections: bool,
}

impl EngineSelection<'_> {
    /// Returns the index of the selected engine, or `None` if no engine is eligible.
    pub(crate) fn select(
        &self,
        engines: &mut BTreeMap<usize, EngineRecord>,
        random: &mut WyRand,
    ) -> Option<usize> {
        let rules = self.candidate_rules(engines);
        let pools = self.pools(engines, &rules);
        let empty_pool = CapacityPool::default();
        let mut best = BestEngine::default();
        for (&index, engine) in engines.iter_mut().filter(|(_, engine)| self.is_candidate(engine, &rules)) {
            let pool = pools.by_kind.get(&engine.entry.kind).unwrap_or(&empty_pool);
            let ejected = rules.trust_ejections && engine.outlier_detector.is_ejected();
            if self.is_eligible(engine, ejected, pool) {
                best.consider(index, self.score(index, engine, ejected, pool), random);
            }
        }
        best.engine
    }

    /// Engines outside of the subset are candidates if the subset has no ready engine for the class, or if
    /// the request may have run already: a repeat may be allowed only within the deduplication scope of that
    /// run. Saturated engines count as candidates that are not ejected, since requests beyond their capacity
    /// must not overflow to an ejected engine.
    fn candidate_rules(&self, engines: &BTreeMap<usize, EngineRecord>) -> CandidateRules {
        let subset_has_engine =
            engines.values().any(|engine| self.accepts_class(engine) && !engine.outside_subset);
        let include_outside_subset = self.record.first_possible_run.is_some() || !subset_has_engine;
        let mut rules = CandidateRules { include_outside_subset, trust_ejections: false };
        let candidates = || engines.values().filter(|engine| self.is_candidate(engine, &rules));
        let ejected = candidates().filter(|engine| engine.outlier_detector.is_ejected()).count();
        rules.trust_ejections = is_ejection_trusted(candidates().count(), ejected);
        rules
    }

    /// Whether the engine is ready and the request's class may run at it.
    fn accepts_class(&self, engine: &EngineRecord) -> bool {
        engine.is_ready() && self.class.allows_engine(&engine.entry)
    }

    fn is_candidate(&self, engine: &EngineRecord, rules: &CandidateRules) -> bool {
        self.accepts_class(engine) && (rules.include_outside_subset || !engine.outside_subset)
    }

    /// Capacity pools over the candidates that are not ejected.
    fn pools(&self, engines: &BTreeMap<usize, EngineRecord>, rules: &CandidateRules) -> CapacityPools {
        let is_included = |engine: &EngineRecord| {
            self.is_candidate(engine, rules)
                && !(rules.trust_ejections && engine.outlier_detector.is_ejected())
        };
        capacity_pools(engines, self.slow_start.config, self.record.request.class, self.now, is_included)
    }

    /// Whether the request may be sent to the engine now: by ejection, concurrency limits, idempotency and
    /// slow start.
    fn is_eligible(&self, engine: &mut EngineRecord, ejected: bool, pool: &CapacityPool) -> bool {
        // Only an idempotent request may be sent as a probe, since a probe may fail and need a retry.
        let may_probe = self.class.idempotency == Idempotency::Idempotent && !engine.awaits_probe_slot;
        if ejected && !(may_probe && engine.outlier_detector.is_probe_due(self.now)) {
            return false;
        }
        let class = self.record.request.class;
        if !engine.limit.admits(class, self.class.threads, self.record.within_quota, pool) {
            return false;
        }
        let first_possible_run = self.record.first_possible_run;
        if !idempotency::allows_attempt(
            self.class.idempotency,
            first_possible_run,
            &engine.entry,
            self.now,
            self.capabilities.clock_resolution,
        ) {
            return false;
        }
        self.slow_start.admits(&engine.entry, &mut engine.sent_in_slow_start, engine.slow_start_fraction)
    }

    /// The engine's score in threads.
    fn score(&self, index: usize, engine: &EngineRecord, ejected: bool, pool: &CapacityPool) -> f64 {
        let request = &self.record.request;
        // Prefers the engine kind whose pool is less used: a class that is restricted to one kind fills that
        // kind and leaves the other kinds idle.
        let spare_fraction = pool.spare_fraction() * engine.limit.peer_load_fraction();
        let has_idle_connection =
            engine.has_idle_connection(self.capabilities.idle_connection_lifetime, self.now);
        let cached_data_set =
            if engine.cached_data_sets.contains(request.data_set) { CACHED_DATA_SET_BONUS } else { 0.0 };
        let same_zone = if engine.entry.zone == self.topology.zone { SAME_ZONE_BONUS } else { 0.0 };
        let idle_connection =
            if has_idle_connection { IDLE_CONNECTION_BONUS * self.capabilities.connection_cost } else { 0.0 };
        let overdue_probe = if ejected {
            engine.outlier_detector.probe_overdue(self.now).secs() * OVERDUE_PROBE_BONUS_PER_SECOND
        } else {
            0.0
        };
        let penalty = if self.is_last_resort(index, engine) { LAST_RESORT_PENALTY } else { 0.0 };
        engine.limit.headroom(request.class) - engine.peer_excess_threads(self.now)
            + spare_fraction * engine.limit.capacity()
            + cached_data_set
            + same_zone
            + idle_connection
            + overdue_probe
            - penalty
    }

    /// Whether the request's data set is locked at the engine, where the request would wait despite any
    /// headroom, or the request's last attempt ended at the engine without an answer for the client.
    fn is_last_resort(&self, index: usize, engine: &EngineRecord) -> bool {
        let needs_lock = self.class.waits_for_data_lock || self.class.locks_data_set;
        needs_lock && engine.data_set_locks.is_held(self.record.request.data_set, self.now)
            || self.record.last_engine == Some(index)
    }
}

/// Sums the limits of the engines for which `is_included` holds into capacity pools. `class` is the request
/// class whose headroom the pools sum up.
pub(crate) fn capacity_pools(
    engines: &BTreeMap<usize, EngineRecord>,
    slow_start: &SlowStartConfig,
    class: usize,
    now: Timestamp,
    is_included: impl Fn(&EngineRecord) -> bool,
) -> CapacityPools {
    let mut pools = CapacityPools::default();
    for engine in engines.values().filter(|engine| is_included(engine)) {
        let warm_up_factor = slow_start.warm_up_factor(engine.entry.start_time, now);
        pools.add(engine.entry.kind, &engine.limit, class, warm_up_factor);
    }
    pools
}

/// The engine with the highest score so far. Among engines with equal scores one is drawn uniformly at
/// random.
#[derive(Default)]
struct BestEngine {
    engine: Option<usize>,
    score: f64,
    /// Number of engines with the highest score, beyond the first one.
    ties: u64,
}

impl BestEngine {
    fn consider(&mut self, engine: usize, score: f64, random: &mut WyRand) {
        let lead = if self.engine.is_some() { score - self.score } else { 1.0 };
        let is_better = lead > TIE_TOLERANCE;
        let is_tie = !is_better && lead >= -TIE_TOLERANCE;
        if is_better {
            self.ties = 0;
        } else if is_tie {
            self.ties += 1;
        }
        if is_better || is_tie && random.generate_range(0..=self.ties) == 0 {
            self.engine = Some(engine);
            self.score = score;
        }
    }
}
