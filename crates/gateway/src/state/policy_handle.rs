//! The policy in blocking style, and the only place that calls it: a request is admitted, routed, waits while there is
//! nothing to do, and each attempt's outcome is recorded; the timer thread calls `tick`.
//!
//! Calls are grouped by subject in the modules below. All of them work on `Decisions`, under one lock that is never
//! held across a wait, so that the policy, the endpoint list and the requests in flight always agree.

mod capacity;
mod engines;
mod in_flight;
mod observations;
mod requests;

use super::clock::Clock;
use super::engine_table::EngineTable;
use super::lock;
use super::timers::Timers;
use capacity::CapacityPlan;
use in_flight::InFlightRequests;
use larchfall_health_gossip::observations::Observations;
use larchfall_policy::event::PolicyEvent;
use larchfall_policy::policy::Policy;
use larchfall_policy::time::Timestamp;
use larchfall_quotas::demand::Arrivals;
use std::sync::{Arc, Mutex, MutexGuard};

pub use capacity::QuotaEngine;
pub use engines::{EndpointSummary, EngineStatus};
pub use in_flight::{AdmissionError, DisconnectAction};
pub use larchfall_policy::policy::TICK_INTERVAL;

/// The policy, and what belongs to its decisions.
pub struct PolicyHandle {
    decisions: Mutex<Decisions>,
    clock: Clock,
    timers: Arc<Timers>,
}

struct Decisions {
    policy: Policy,
    engines: EngineTable,
    in_flight: InFlightRequests,
    /// Requests that came so far, by request class and tenant.
    arrivals: Arrivals,
    capacity: CapacityPlan,
    /// What this gateway observed of engines, where members are told.
    observations: Option<Observations>,
}

impl PolicyHandle {
    /// A policy with no engines and no requests; at most `max_in_flight` requests are admitted at a time.
    pub fn new(policy: Policy, clock: Clock, max_in_flight: usize, timers: Arc<Timers>) -> PolicyHandle {
        let decisions = Decisions {
            policy,
            engines: EngineTable::default(),
            in_flight: InFlightRequests::new(max_in_flight),
            arrivals: Arrivals::default(),
            capacity: CapacityPlan::default(),
            observations: None,
        };
        PolicyHandle { decisions: Mutex::new(decisions), clock, timers }
    }

    fn lock(&self) -> MutexGuard<'_, Decisions> {
        lock(&self.decisions)
    }

    /// The periodic work; returns the engines that are to be asked for a load report.
    pub fn tick(&self) -> Vec<usize> {
        let mut decisions = self.lock();
        let now = self.clock.now();
        decisions.policy.tick(now);
        for engine in decisions.engines.gone() {
            let is_forgotten = decisions.policy.forget_engine(now, engine);
            if is_forgotten {
                decisions.engines.remove(engine);
            }
        }
        decisions.policy.draw_health_checks()
    }

    /// What the policy has to log since the last call.
    pub fn take_events(&self) -> Vec<PolicyEvent> {
        self.lock().policy.take_events()
    }

    /// From now on so many gateways share the engines.
    pub fn set_gateway_count(&self, gateways: usize) {
        self.lock().policy.set_gateway_count(gateways);
    }

    /// This gateway ends then.
    pub fn set_shutdown_deadline(&self, deadline: Timestamp) {
        self.lock().policy.set_shutdown_deadline(deadline);
    }
}
