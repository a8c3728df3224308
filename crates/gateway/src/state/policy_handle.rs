//! Blocking interface to the policy, and the only caller of the policy. Request coroutines admit and route a request,
//! wait until its routing decision may change, and record the outcome of each attempt. The timer thread calls `tick`.
//!
//! The submodules group the calls by subject. All calls lock `PolicyState`, so that the policy, the endpoint list and
//! the requests in flight stay consistent. The lock is never held while a coroutine waits.

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
use larchfall_policy::request_ids::IdentityLimits;
use larchfall_policy::time::Timestamp;
use larchfall_quotas::demand::Arrivals;
use std::sync::{Arc, Mutex, MutexGuard};

pub use capacity::QuotaEngine;
pub use engines::{EndpointSummary, EngineStatus};
pub use in_flight::DisconnectAction;
pub use larchfall_policy::policy::TICK_INTERVAL;

/// Thread-safe handle to the policy and to the state that must stay consistent with the policy.
pub struct PolicyHandle {
    state: Mutex<PolicyState>,
    clock: Clock,
    timers: Arc<Timers>,
}

struct PolicyState {
    policy: Policy,
    engines: EngineTable,
    in_flight: InFlightRequests,
    /// Number of requests received so far, by request class and tenant.
    arrivals: Arrivals,
    capacity: CapacityPlan,
    /// Attempt outcomes that this gateway observed; `None` unless they are reported to members.
    observations: Option<Observations>,
}

impl PolicyHandle {
    /// Creates a handle without engines or requests.
    pub fn new(
        policy: Policy,
        identity_limits: IdentityLimits,
        clock: Clock,
        timers: Arc<Timers>,
    ) -> PolicyHandle {
        let state = PolicyState {
            policy,
            engines: EngineTable::default(),
            in_flight: InFlightRequests::new(identity_limits),
            arrivals: Arrivals::default(),
            capacity: CapacityPlan::default(),
            observations: None,
        };
        PolicyHandle { state: Mutex::new(state), clock, timers }
    }

    fn lock(&self) -> MutexGuard<'_, PolicyState> {
        lock(&self.state)
    }

    /// Runs the policy's periodic work and removes engines that are gone and no longer needed. Returns the indices of
    /// engines that are due for a load report.
    pub fn tick(&self) -> Vec<usize> {
        let mut state = self.lock();
        let now = self.clock.now();
        state.policy.tick(now);
        for engine in state.engines.gone() {
            let is_forgotten = state.policy.remove_engine(now, engine);
            if is_forgotten {
                state.engines.remove(engine);
            }
        }
        state.policy.draw_health_checks()
    }

    /// Takes the events that the policy has emitted for the log since the last call.
    pub fn take_events(&self) -> Vec<PolicyEvent> {
        self.lock().policy.take_events()
    }

    /// Sets the number of gateways that share the engines.
    pub fn set_gateway_count(&self, gateway_count: usize) {
        self.lock().policy.set_gateway_count(gateway_count);
    }

    /// Sets the time by which this gateway stops.
    pub fn set_shutdown_deadline(&self, deadline: Timestamp) {
        self.lock().policy.set_shutdown_deadline(deadline);
    }
}
