//! The periodic work: what attempts in flight show, the limits, silence, and overload.

use super::{Policy, TICK_INTERVAL};
use crate::cancellation::update_overdue_after;
use crate::class_state::ClassTable;
use crate::engine_record::EngineRecord;
use crate::engine_selection::capacity_pools;
use crate::event::{HealthEvidence, PolicyEvent};
use crate::time::{Duration, Timestamp};
use crate::types::EngineState;

/// How far over its part of what engines have a gateway's observed capacity may go.
const CAPACITY_OVER_TRAFFIC: f64 = 1.75;
/// The gateway is overloaded while this part of the ready engines is congested.
const OVERLOADED_FRACTION: f64 = 0.5;
/// Silent attempts of one engine that count in one tick.
const MAX_SILENT_PER_TICK: usize = 2;
/// How long a tick holds the keys of what was not seen to end at a draining engine: until after the next one.
const KEY_HOLD_TICKS: f64 = 2.0;
/// The class that stands for all where headroom does not matter.
const ANY_CLASS: usize = 0;

impl Policy {
    /// To be called each [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Timestamp) {
        self.hold_keys(now);
        self.review_in_flight(now);
        self.move_limits(now);
        self.judge_silence(now);
        self.review_endpoint_list(now);
        self.review_overload();
    }

    fn hold_keys(&mut self, now: Timestamp) {
        let engines = &self.engines;
        let is_draining = |engine| {
            let record: Option<&EngineRecord> = engines.get(&engine);
            record.is_some_and(|record| record.entry.state == EngineState::Draining)
        };
        self.key_order.hold(now + TICK_INTERVAL * KEY_HOLD_TICKS, is_draining);
        self.key_order.remove_idle_keys(now);
    }

    /// What is in flight past its objective is late before it answers: an overfull engine answers nothing at all.
    fn review_in_flight(&mut self, now: Timestamp) {
        let overdue_after = update_overdue_after(&self.capabilities);
        for record in self.requests.values() {
            let class = record.request.class;
            let objective = self.classes.settings(class).latency_objective_for(record.work);
            let threads = self.classes.threads(class);
            let off_estimate_after =
                self.classes.work_estimate(class).off_estimate_after(record.work, threads);
            for attempt in &record.in_flight {
                let Some(engine) = self.engines.get_mut(&attempt.engine) else { continue };
                // A predicted lateness is load too, unless so far off that the plan, not the engine, is bad.
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

    fn move_limits(&mut self, now: Timestamp) {
        let counts = |engine: &EngineRecord| engine.is_used() && !engine.outlier_detector.is_ejected();
        let pools = capacity_pools(&self.engines, &self.slow_start, ANY_CLASS, now, counts);
        let max_fraction = self.max_capacity_fraction();
        for engine in self.engines.values_mut() {
            let pool = pools.by_kind.get(&engine.entry.kind).unwrap_or(&pools.all);
            let threads = largest_request(&self.classes, engine);
            let saturated = engine.limit.is_saturated(threads, pool, 1.0);
            engine.limit.tick(self.classes.ranked(), &pools.all, saturated, max_fraction);
        }
    }

    /// Without this bound calm lets the observed capacities of all gateways grow to the whole engine, and the next surge
    /// overfills it.
    fn max_capacity_fraction(&self) -> f64 {
        if !self.traffic.is_known() {
            return 1.0;
        }
        (CAPACITY_OVER_TRAFFIC * self.traffic_fraction()).min(1.0)
    }

    /// Updates are due from what is in flight, and nothing at all has come from the engine.
    fn judge_silence(&mut self, now: Timestamp) {
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

    fn review_endpoint_list(&mut self, now: Timestamp) {
        match self.endpoint_list.take_expiry_change(self.capabilities.endpoint_list_lifetime, now) {
            Some(true) => self.events.push(PolicyEvent::EndpointListExpired),
            Some(false) => self.events.push(PolicyEvent::EndpointListCurrent),
            None => {}
        }
    }

    fn review_overload(&mut self) {
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

/// Threads of the largest request that may go to an engine.
fn largest_request(classes: &ClassTable, engine: &EngineRecord) -> f64 {
    let allowed = classes.ranked().iter().filter(|class| class.settings.allows_engine(&engine.entry));
    allowed.map(|class| class.settings.threads).fold(1.0, f64::max)
}
