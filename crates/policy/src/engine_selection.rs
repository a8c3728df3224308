//! Engine selection: the ready engine with most headroom of the request's class, among those that the rules leave open.

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

/// Threads of headroom that a cached data set is worth, and an engine in this gateway's own zone.
const CACHED_DATA_SET_WORTH: f64 = 2.0;
const SAME_ZONE_WORTH: f64 = 1.0;
/// Threads of headroom that an idle connection is worth where a new one costs a whole request.
const IDLE_CONNECTION_WORTH: f64 = 10.0;
/// Threads of headroom for each second that a probe is overdue: thin traffic must not leave the engine out.
const OVERDUE_PROBE_WORTH: f64 = 1.0;
/// Threads of headroom that put an engine behind all others.
const LAST_RESORT_PENALTY: f64 = 1e6;
/// Scores closer to each other than this are a tie.
const TIE: f64 = 1e-9;

/// One request that looks for an engine.
pub(crate) struct EngineSelection<'a> {
    pub record: &'a RequestRecord,
    pub class: &'a RequestClass,
    pub capabilities: &'a Capabilities,
    pub topology: &'a Topology,
    pub slow_start: SlowStartAdmission<'a>,
    pub now: Timestamp,
}

/// Which engines the request can reach, and whether ejections among them count.
struct Reach {
    /// Engines outside of the subset count too.
    beyond_subset: bool,
    trusts_ejections: bool,
}

impl EngineSelection<'_> {
    pub(crate) fn select(
        &self,
        engines: &mut BTreeMap<usize, EngineRecord>,
        random: &mut WyRand,
    ) -> Option<usize> {
        let reach = self.reach(engines);
        let pools = self.pools(engines, &reach);
        let no_pool = CapacityPool::default();
        let mut best = BestEngine::default();
        for (&index, engine) in engines.iter_mut().filter(|(_, engine)| self.is_in_reach(engine, &reach)) {
            let pool = pools.by_kind.get(&engine.entry.kind).unwrap_or(&no_pool);
            let ejected = reach.trusts_ejections && engine.outlier_detector.is_ejected();
            if self.is_eligible(engine, ejected, pool) {
                best.offer(index, self.score(index, engine, ejected, pool), random);
            }
        }
        best.engine
    }

    /// What may have run is looked for where it ran, and a subset with nothing ready for the class is none. Saturated
    /// engines count among the healthy ones: what they have no room for must not spill onto an unhealthy one.
    fn reach(&self, engines: &BTreeMap<usize, EngineRecord>) -> Reach {
        let used = engines.values().any(|engine| self.is_open(engine) && !engine.outside_subset);
        let beyond_subset = self.record.first_run.is_some() || !used;
        let mut reach = Reach { beyond_subset, trusts_ejections: false };
        let in_reach = || engines.values().filter(|engine| self.is_in_reach(engine, &reach));
        let ejected = in_reach().filter(|engine| engine.outlier_detector.is_ejected()).count();
        reach.trusts_ejections = is_ejection_trusted(in_reach().count(), ejected);
        reach
    }

    fn is_open(&self, engine: &EngineRecord) -> bool {
        engine.is_ready() && self.class.allows_engine(&engine.entry)
    }

    fn is_in_reach(&self, engine: &EngineRecord, reach: &Reach) -> bool {
        self.is_open(engine) && (reach.beyond_subset || !engine.outside_subset)
    }

    fn pools(&self, engines: &BTreeMap<usize, EngineRecord>, reach: &Reach) -> CapacityPools {
        let counts = |engine: &EngineRecord| {
            self.is_in_reach(engine, reach)
                && !(reach.trusts_ejections && engine.outlier_detector.is_ejected())
        };
        capacity_pools(engines, self.slow_start.config, self.record.request.class, self.now, counts)
    }

    fn is_eligible(&self, engine: &mut EngineRecord, ejected: bool, pool: &CapacityPool) -> bool {
        // A probe is a request that may run again.
        let may_probe = self.class.idempotency == Idempotency::Idempotent && !engine.awaits_probe_slot;
        if ejected && !(may_probe && engine.outlier_detector.is_probe_due(self.now)) {
            return false;
        }
        let class = self.record.request.class;
        if !engine.limit.admits(class, self.class.threads, self.record.within_quota, pool) {
            return false;
        }
        let first_run = self.record.first_run;
        if !idempotency::allows_attempt(
            self.class.idempotency,
            first_run,
            &engine.entry,
            self.now,
            self.capabilities.clock_resolution,
        ) {
            return false;
        }
        self.slow_start.admits(&engine.entry, &mut engine.sent_in_slow_start, engine.slow_start_fraction)
    }

    /// Headroom in threads, with what speaks for and against the engine besides.
    fn score(&self, index: usize, engine: &EngineRecord, ejected: bool, pool: &CapacityPool) -> f64 {
        let request = &self.record.request;
        // Of two kinds the one whose pool is less full: a class bound to one kind leaves the other idle.
        let spare_fraction = pool.spare_fraction() * engine.limit.peer_load_fraction();
        let has_idle_connection =
            engine.has_idle_connection(self.capabilities.idle_connection_lifetime, self.now);
        let cached =
            if engine.cached_data_sets.contains(request.data_set) { CACHED_DATA_SET_WORTH } else { 0.0 };
        let same_zone = if engine.entry.zone == self.topology.zone { SAME_ZONE_WORTH } else { 0.0 };
        let idle_connection =
            if has_idle_connection { IDLE_CONNECTION_WORTH * self.capabilities.connection_cost } else { 0.0 };
        let probe_overdue = if ejected {
            engine.outlier_detector.probe_overdue(self.now).secs() * OVERDUE_PROBE_WORTH
        } else {
            0.0
        };
        let penalty = if self.is_last_resort(index, engine) { LAST_RESORT_PENALTY } else { 0.0 };
        engine.limit.headroom(request.class) - engine.peer_excess_threads(self.now)
            + spare_fraction * engine.limit.capacity()
            + cached
            + same_zone
            + idle_connection
            + probe_overdue
            - penalty
    }

    /// Behind a lock the request would wait whatever the headroom, and where its last attempt ended it was not served.
    fn is_last_resort(&self, index: usize, engine: &EngineRecord) -> bool {
        let needs_lock = self.class.waits_for_data_lock || self.class.locks_data_set;
        needs_lock && engine.data_set_locks.is_held(self.record.request.data_set, self.now)
            || self.record.last_engine == Some(index)
    }
}

/// What the engines that count show together, for one class.
pub(crate) fn capacity_pools(
    engines: &BTreeMap<usize, EngineRecord>,
    slow_start: &SlowStartConfig,
    class: usize,
    now: Timestamp,
    counts: impl Fn(&EngineRecord) -> bool,
) -> CapacityPools {
    let mut pools = CapacityPools::default();
    for engine in engines.values().filter(|engine| counts(engine)) {
        let warm_up_factor = slow_start.warm_up_factor(engine.entry.start_time, now);
        pools.add(engine.entry.kind, &engine.limit, class, warm_up_factor);
    }
    pools
}

/// The engine with the highest score so far. Ties go by lot, each of those with the highest score alike.
#[derive(Default)]
struct BestEngine {
    engine: Option<usize>,
    score: f64,
    ties: u64,
}

impl BestEngine {
    fn offer(&mut self, engine: usize, score: f64, random: &mut WyRand) {
        let lead = if self.engine.is_some() { score - self.score } else { 1.0 };
        let leads = lead > TIE;
        let is_tie = !leads && lead >= -TIE;
        if leads {
            self.ties = 0;
        } else if is_tie {
            self.ties += 1;
        }
        if leads || is_tie && random.generate_range(0..=self.ties) == 0 {
            self.engine = Some(engine);
            self.score = score;
        }
    }
}
