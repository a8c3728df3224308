//! Periodic work: late attempts in flight, concurrency limits, silent engines, endpoint list expiry and overload.

use super::{Policy, TICK_INTERVAL};
use crate::cancellation::update_overdue_after;
use crate::class_state::ClassTable;
use crate::engine_record::EngineRecord;
use crate::engine_selection::capacity_pools;
use crate::event::{HealthEvidence, PolicyEvent};
use crate::time::{Duration, Timestamp};
use crate::types::EngineState;

/// Maximum ratio of the observed capacity of an engine, as a fraction of its whole capacity, to this gateway's
/// fraction of all traffic.
const CAPACITY_TO_TRAFFIC_RATIO: f64 = 1.75;
/// Fraction of the ready engines that must be congested for the gateway to count as overloaded.
const OVERLOADED_FRACTION: f64 = 0.5;
/// Maximum number of silent attempts of one engine that count as failures in one tick.
const MAX_SILENT_PER_TICK: usize = 2;
/// Ticks for which each tick keeps an ordering key blocked by an attempt at a draining engine whose end is unproven.
/// More than one, so that the key stays blocked until the next tick extends the time.
const KEY_HOLD_TICKS: f64 = 2.0;
/// Class that `capacity_pools` is called with where the headroom is not used, which alone depends on the class.
const ANY_CLASS: usize = 0;

impl Policy {
    /// Does the periodic work. The caller calls it every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Timestamp) {
        self.extend_key_holds(now);
        self.record_overdue_attempts(now);
        self.update_limits(now);
        self.record_silent_engines(now);
        self.report_endpoint_list_change(now);
        self.update_overload();
    }

    fn extend_key_holds(&mut self, now: Timestamp) {
        let engines = &self.engines;
        let is_draining = |engine| {
            let record: Option<&EngineRecord> = engines.get(&engine);
            record.is_some_and(|record| record.entry.state == EngineState::Draining)
        };
        self.key_order.extend_unproven(now + TICK_INTERVAL * KEY_HOLD_TICKS, is_draining);
        self.key_order.remove_idle_keys(now);
    }

    /// Records attempts in flight that are past their latency objective as late before they are answered, since an
    /// overloaded engine may answer nothing at all. Also counts the overdue progress updates of each engine.
    fn record_overdue_attempts(&mut self, now: Timestamp) {
        let overdue_after = update_overdue_after(&self.capabilities);
        for record in self.requests.values() {
            let class = record.request.class;
            let objective = self.classes.settings(class).latency_objective_for(record.work_estimate);
            let threads = self.classes.threads(class);
            let off_estimate_after =
                self.classes.work_estimate(class).off_estimate_after(record.work_estimate, threads);
            for attempt in &record.in_flight {
                let Some(engine) = self.engines.get_mut(&attempt.engine) else { continue };
                // A prediction past the objective shows load too. A prediction far beyond the estimate is ignored: it
                // shows a bad query plan rather than a slow engine.
                let predicted =
                    attempt.predicted_duration.filter(|predicted| *predicted < off_estimate_after);
                let duration = now.since(attempt.sent_time).max(predicted.unwrap_or_default());
                if duration > objective && !attempt.waited_for_lock && !attempt.connection_lost {
                    engine.limit.signal.record_overdue_attempt();
                }
                let heard_time = engine.heard_time.max(attempt.heard_time);
                let is_overdue = |overdue: Duration| now.since(heard_time) > overdue;
                if overdue_after.is_some_and(is_overdue) && !attempt.cancelled {
                    engine.overdue_updates += 1;
                }
            }
        }
    }

    fn update_limits(&mut self, now: Timestamp) {
        let is_pooled = |engine: &EngineRecord| engine.is_used() && !engine.outlier_detector.is_ejected();
        let pools = capacity_pools(&self.engines, &self.slow_start, ANY_CLASS, now, is_pooled);
        let max_fraction = self.max_capacity_fraction();
        for engine in self.engines.values_mut() {
            let pool = pools.by_kind.get(&engine.entry.kind).unwrap_or(&pools.all);
            let threads = largest_allowed_threads(&self.classes, engine);
            let saturated = engine.limit.is_saturated(threads, pool, 1.0);
            engine.limit.tick(self.classes.ranked(), &pools.all, saturated, max_fraction);
        }
    }

    /// Maximum observed capacity of an engine at this gateway, as a fraction of the engine's capacity. Without this
    /// bound, in times of little load every gateway's observed capacity would grow to the whole engine, and the next
    /// surge would overload the engine.
    fn max_capacity_fraction(&self) -> f64 {
        if !self.traffic.is_known() {
            return 1.0;
        }
        (CAPACITY_TO_TRAFFIC_RATIO * self.traffic_fraction()).min(1.0)
    }

    /// Counts attempts with overdue progress updates as failures, where their engine sent nothing at all in that time.
    fn record_silent_engines(&mut self, now: Timestamp) {
        let mut ejected = Vec::new();
        for (index, engine) in &mut self.engines {
            let silent = std::mem::take(&mut engine.overdue_updates).min(MAX_SILENT_PER_TICK);
            for _ in 0..silent {
                if engine.outlier_detector.is_ejected() {
                    break;
                }
                if engine.outlier_detector.record(true, &mut self.failure_baseline, now).is_some() {
                    ejected.push(*index);
                }
            }
        }
        let event = |engine| PolicyEvent::EngineEjected { engine, evidence: HealthEvidence::Silence };
        self.events.extend(ejected.into_iter().map(event));
    }

    fn report_endpoint_list_change(&mut self, now: Timestamp) {
        match self.endpoint_list.take_expiry_change(self.capabilities.endpoint_list_lifetime, now) {
            Some(true) => self.events.push(PolicyEvent::EndpointListExpired),
            Some(false) => self.events.push(PolicyEvent::EndpointListCurrent),
            None => {}
        }
    }

    fn update_overload(&mut self) {
        let used = || self.engines.values().filter(|engine| engine.is_used());
        let ready = used().count();
        let congested = used().filter(|engine| engine.limit.signal.is_congested()).count();
        let overloaded = ready > 0 && congested as f64 >= ready as f64 * OVERLOADED_FRACTION;
        if overloaded == self.overloaded {
            return;
        }
        self.overloaded = overloaded;
        self.events.push(if overloaded {
            PolicyEvent::OverloadStarted { congested, ready }
        } else {
            PolicyEvent::OverloadEnded { congested, ready }
        });
    }
}

/// Threads of the largest request class that is allowed at an engine; at least one.
fn largest_allowed_threads(classes: &ClassTable, engine: &EngineRecord) -> f64 {
    let allowed = classes.ranked().iter().filter(|class| class.settings.allows_engine(&engine.entry));
    allowed.map(|class| class.settings.threads).fold(1.0, f64::max)
}
