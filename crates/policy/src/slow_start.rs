//! Slow start: limits the work that is sent to an engine that started recently.
//!
//! Prevents all gateways together from overloading an engine before its caches are warm. The engine has a
//! budget of work per window, and each gateway stays within its fraction of that budget. A request that is
//! larger than the gateway's fraction is sent in a slow-start slot, which only some of the gateways hold at a
//! time.

use crate::time::{Duration, Timestamp};
use crate::types::{Engine, SlowStartConfig, Topology};
use std::collections::VecDeque;

/// Fraction of its budget that a gateway spends. The rest covers errors of the work estimates.
const SPENDABLE_FRACTION: f64 = 0.85;
/// Fraction of an engine's cores that counts as its capacity.
const CORE_UTILIZATION: f64 = 0.85;
/// Length of a slow-start slot as a fraction of the window.
const SLOT_FRACTION: f64 = 0.25;
/// The first holder of a slot moves by this fraction of all gateways from one slot to the next. With the
/// golden ratio the holders of the last few slots are spread evenly over the gateways.
const SLOT_STEP: f64 = 0.618_033_988_75;
/// Fraction of the engine's slack that slots may use beyond the budget, if all requests are sent in slots.
const SLACK_FRACTION_SLOTS_ONLY: f64 = 0.75;
/// Fraction of the engine's slack that slots may use beyond the budget, if some requests fit into the budget
/// of one gateway.
const SLACK_FRACTION_MIXED: f64 = 0.5;
/// Below this budget, in requests of mean work, the engine tolerates the larger slack.
const SMALL_BUDGET_REQUESTS: f64 = 30.0;

/// The recent demand of one request class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassDemand {
    /// Number of recent requests, decayed.
    pub requests: f64,
    /// Mean work of a request, in seconds of one thread.
    pub work_secs: f64,
}

#[derive(Debug)]
struct SentWork {
    time: Timestamp,
    /// Work in seconds of one thread.
    work_secs: f64,
}

/// The work that this gateway sent to one engine during slow start.
#[derive(Default)]
pub(crate) struct SentWorkWindow {
    /// Sent requests, oldest first. Requests older than the window are removed at the next admission.
    sent: VecDeque<SentWork>,
}

impl SentWorkWindow {
    pub(crate) fn record(&mut self, work_secs: f64, now: Timestamp) {
        self.sent.push_back(SentWork { time: now, work_secs });
    }

    /// Whether `work_secs` more fits into `budget`. A gateway that holds a slot may also send one request of
    /// any size if it has sent nothing else within the window.
    fn admits(
        &mut self,
        window: Duration,
        budget: f64,
        work_secs: f64,
        holds_slot: bool,
        now: Timestamp,
    ) -> bool {
        self.sent.retain(|sent| now.since(sent.time) <= window);
        let spent: f64 = self.sent.iter().map(|sent| sent.work_secs).sum();
        spent + work_secs <= budget * SPENDABLE_FRACTION || (spent <= 0.0 && holds_slot)
    }
}

/// The inputs for deciding whether a request may be sent to an engine in slow start.
pub(crate) struct SlowStartAdmission<'a> {
    pub config: &'a SlowStartConfig,
    pub topology: &'a Topology,
    /// Recent demand by request class.
    pub class_demand: &'a [ClassDemand],
    /// Index of the request's class.
    pub class: usize,
    /// Time at which this gateway first learned of any engine.
    pub joined_time: Timestamp,
    pub now: Timestamp,
}

impl SlowStartAdmission<'_> {
    /// Whether the request may be sent to `engine`. `assigned_fraction` is this gateway's fraction of the
    /// engine's budget, or `None` if no quota allocator assigns fractions and the budget is divided evenly.
    pub(crate) fn admits(
        &self,
        engine: &Engine,
        sent_work: &mut SentWorkWindow,
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
        // If the engine started before this gateway process joined, a previous process of this gateway may
        // have sent work to the engine within the window.
        let may_have_unknown_work =
            engine.start_time < Some(self.joined_time) && self.now.since(self.joined_time) < window;
        let own_budget = budget * fraction;
        let holds_slot = self.holds_slot(engine, budget, own_budget, fraction);
        !may_have_unknown_work
            && sent_work.admits(
                window,
                own_budget,
                self.class_demand[self.class].work_secs,
                holds_slot,
                self.now,
            )
    }

    /// Whether this gateway holds the engine's current slow-start slot for requests of the class. Each
    /// gateway decides alone, from the engine's start time, the gateway's own index and the demand that the
    /// gateway has seen.
    fn holds_slot(&self, engine: &Engine, budget: f64, own_budget: f64, fraction: f64) -> bool {
        let gateways = self.topology.gateway_count as f64;
        let window = self.config.window;
        let holders_per_window =
            self.class_demand[self.class].requests * slot_holders(budget, own_budget, self.class_demand);
        let age = engine.start_time.map_or(Duration::ZERO, |start_time| self.now.since(start_time));
        let slot = (age / (window * SLOT_FRACTION)).floor();
        let holders_per_slot = holders_per_window * SLOT_FRACTION * fraction * gateways;
        let holders = ((slot + 1.0) * holders_per_slot).floor() - (slot * holders_per_slot).floor();
        let offset = slot * (SLOT_STEP * gateways).round();
        (self.topology.gateway_index as f64 + offset) % gateways < holders
    }
}

/// Number of gateways that hold a slot within one window, per recent request. The work sent in slots stays
/// within the part of the budget that the gateways' own budgets leave over, plus a fraction of the slack.
fn slot_holders(budget: f64, own_budget: f64, class_demand: &[ClassDemand]) -> f64 {
    let (by_slot, within_own_budget): (Vec<ClassDemand>, Vec<ClassDemand>) =
        class_demand.iter().partition(|class| class.work_secs > own_budget * SPENDABLE_FRACTION);
    let total_requests = class_demand.iter().map(|class| class.requests).sum::<f64>();
    let mean_work_secs = total_work_secs(class_demand) / total_requests;
    let budget_requests = budget / mean_work_secs;
    // An engine tolerates this many requests of mean work beyond its budget.
    let slack_requests = if budget_requests < SMALL_BUDGET_REQUESTS {
        3.0 * budget_requests.sqrt() + 3.0
    } else {
        2.0 * budget_requests.sqrt() + 2.0
    };
    let (slot_budget, slack_fraction) = if within_own_budget.is_empty() {
        (budget, SLACK_FRACTION_SLOTS_ONLY)
    } else {
        (budget * (1.0 - SPENDABLE_FRACTION), SLACK_FRACTION_MIXED)
    };
    let available_secs = slot_budget + slack_requests * mean_work_secs * slack_fraction;
    available_secs / total_work_secs(&by_slot).max(1e-9) / (1.0 + SLOT_FRACTION)
}

/// Work of all recent requests, in seconds of one thread.
fn total_work_secs(class_demand: &[ClassDemand]) -> f64 {
    class_demand.iter().map(|class| class.requests * class.work_secs).sum()
}
