//! Slow start: how much work an engine that started lately is sent.
//!
//! Guards against an engine that is overfed before its caches are warm, by all gateways together: each stays within its
//! part of the budget, and what is larger than that part goes out by slots that only some gateways hold at a time.

use crate::time::{Duration, Timestamp};
use crate::types::{Engine, SlowStartConfig, Topology};
use std::collections::VecDeque;

/// Part of its budget that a gateway spends: estimates of work scatter.
const BUDGET_SPENT: f64 = 0.85;
/// Part of an engine's cores that counts as its capacity.
const CORE_UTILIZATION: f64 = 0.85;
/// Length of a slot, in parts of the policy's window.
const SLOT_FRACTION: f64 = 0.25;
/// Part of all gateways by which slots advance; with the golden ratio the holders of the last few lie evenly apart.
const SLOT_STEP: f64 = 0.618_033_988_75;
/// Parts of the stated slack that slots may use beyond the budget: where all requests go by slots, and where some fit the
/// parts of the gateways.
const SLACK_WITHOUT_FRACTIONS: f64 = 0.75;
const SLACK_WITH_FRACTIONS: f64 = 0.5;
/// Requests of a budget below which the engine allows the larger slack.
const FEW_REQUESTS: f64 = 30.0;

/// How many requests of a class arrived lately, and the usual work of one in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassDemand {
    pub requests: f64,
    pub work: f64,
}

#[derive(Debug)]
struct SentWork {
    time: Timestamp,
    work: f64,
}

/// What this gateway sent to one engine while that was in slow start.
#[derive(Default)]
pub(crate) struct SentWorkWindow {
    sent: VecDeque<SentWork>,
}

impl SentWorkWindow {
    pub(crate) fn record(&mut self, work: f64, now: Timestamp) {
        self.sent.push_back(SentWork { time: now, work });
    }

    fn admits(&mut self, window: Duration, budget: f64, work: f64, holds_slot: bool, now: Timestamp) -> bool {
        self.sent.retain(|sent| now.since(sent.time) <= window);
        let spent: f64 = self.sent.iter().map(|sent| sent.work).sum();
        spent + work <= budget * BUDGET_SPENT || (spent <= 0.0 && holds_slot)
    }
}

/// What one gateway knows when it decides on a request to an engine in slow start.
pub(crate) struct SlowStartAdmission<'a> {
    pub config: &'a SlowStartConfig,
    pub topology: &'a Topology,
    pub class_demand: &'a [ClassDemand],
    /// The request's class within the mix.
    pub class: usize,
    /// When this gateway first heard of an engine.
    pub joined_time: Timestamp,
    pub now: Timestamp,
}

impl SlowStartAdmission<'_> {
    /// Whether the request may go there. `assigned_fraction` is this gateway's part, where an allocator hands parts out.
    pub(crate) fn admits(
        &self,
        engine: &Engine,
        ledger: &mut SentWorkWindow,
        assigned_fraction: Option<f64>,
    ) -> bool {
        let warm_up_factor = self.config.warm_up_factor(engine.start_time, self.now);
        let window = self.config.window;
        let cores = self.topology.cores(engine);
        let budget =
            self.config.overload_multiple * warm_up_factor * cores * CORE_UTILIZATION * window.secs();
        if warm_up_factor >= 1.0 || budget <= 0.0 {
            return true;
        }
        let fraction = assigned_fraction.unwrap_or(1.0 / self.topology.gateway_count as f64);
        // A process before this one may have sent there what it does not know of.
        let unknown = engine.start_time < Some(self.joined_time) && self.now.since(self.joined_time) < window;
        let own_budget = budget * fraction;
        let holds_slot = self.holds_slot(engine, budget, own_budget, fraction);
        !unknown
            && ledger.admits(window, own_budget, self.class_demand[self.class].work, holds_slot, self.now)
    }

    fn holds_slot(&self, engine: &Engine, budget: f64, own_budget: f64, fraction: f64) -> bool {
        let gateways = self.topology.gateway_count as f64;
        let window = self.config.window;
        let holders_per_window =
            self.class_demand[self.class].requests * slot_holders(budget, own_budget, self.class_demand);
        let age = engine.start_time.map_or(Duration::ZERO, |started| self.now.since(started));
        let slot = (age / (window * SLOT_FRACTION)).floor();
        let holders_per_slot = holders_per_window * SLOT_FRACTION * fraction * gateways;
        let holders = ((slot + 1.0) * holders_per_slot).floor() - (slot * holders_per_slot).floor();
        let offset = slot * (SLOT_STEP * gateways).round();
        (self.topology.gateway_index as f64 + offset) % gateways < holders
    }
}

/// Gateways that hold a slot in the policy's window, for each request of the mix: what goes by slots stays
/// within what the parts of the gateways leave of the budget, and a part of the slack.
fn slot_holders(budget: f64, own_budget: f64, mix: &[ClassDemand]) -> f64 {
    let (by_slot, by_fraction): (Vec<ClassDemand>, Vec<ClassDemand>) =
        mix.iter().partition(|class| class.work > own_budget * BUDGET_SPENT);
    let all_requests = mix.iter().map(|class| class.requests).sum::<f64>();
    let mean_work = total_work(mix) / all_requests;
    let requests = budget / mean_work;
    let slack =
        if requests < FEW_REQUESTS { 3.0 * requests.sqrt() + 3.0 } else { 2.0 * requests.sqrt() + 2.0 };
    let (left_of_budget, slack_fraction) = if by_fraction.is_empty() {
        (budget, SLACK_WITHOUT_FRACTIONS)
    } else {
        (budget * (1.0 - BUDGET_SPENT), SLACK_WITH_FRACTIONS)
    };
    let left = left_of_budget + slack * mean_work * slack_fraction;
    left / total_work(&by_slot).max(1e-9) / (1.0 + SLOT_FRACTION)
}

fn total_work(mix: &[ClassDemand]) -> f64 {
    mix.iter().map(|class| class.requests * class.work).sum()
}
