//! One capacity divided among many gateways with uneven demand that moves: in even parts, in quotas that an allocator grants,
//! and by a divider that knows everything at once. In one process, by seed.
//! cargo run --release -p larchfall-fault-tests --example quota_division [GATEWAYS ...]

use larchfall_policy::time::{Duration, Timestamp};
use larchfall_quotas::QuotaTerms;
use larchfall_quotas::allocator::Allocator;
use larchfall_quotas::fairness::jain_index;
use larchfall_quotas::held_quota::HeldQuota;
use larchfall_quotas::max_min::{Claim, divide};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::ops::Range;

const START: Timestamp = Timestamp::from_micros(1_000_000);
const STEP: Duration = Duration::from_millis(10);
/// Of a grant's length, the time from one request to the next.
const REQUEST_INTERVAL: f64 = 0.25;
/// Fraction of requests that is lost.
const LOSS: f64 = 0.01;
const DELAY_MICROS: Range<u64> = 1_000..20_000;
/// Steps until the allocator has begun and all is steady.
const WARM_UP_STEPS: u64 = 800;
/// At this step one gateway comes to have half of all demand.
const MOVE_STEP: u64 = 2_000;
const END_STEP: u64 = 3_000;
const SEEDS: u64 = 5;

/// What is measured.
#[derive(Clone, Copy)]
struct Case {
    gateways: usize,
    /// Demand of all gateways, as a fraction of the capacity.
    total_demand: f64,
    /// How long grants last.
    grant_length: Duration,
}

/// How good a division is, summed over steps.
#[derive(Clone, Copy, Default)]
struct Quality {
    jain: f64,
    /// Of the capacity, what was not used though a gateway wanted it.
    unused: f64,
    /// Of all demand, what was rejected.
    rejected: f64,
    steps: f64,
}

impl Quality {
    fn record(&mut self, demand: &[f64], quotas: &[f64]) {
        let used = || demand.iter().zip(quotas).map(|(demand, quota)| demand.min(*quota));
        let total_demand = demand.iter().sum::<f64>();
        let total_used = used().sum::<f64>();
        self.jain += jain_index(used().zip(demand).map(|(used, demand)| used / demand));
        self.unused += total_demand.min(1.0) - total_used;
        self.rejected += (total_demand - total_used) / total_demand;
        self.steps += 1.0;
    }

    fn columns(&self) -> String {
        let mean = |sum: f64| sum / self.steps;
        format!("{:.3} | {:.3} | {:.3}", mean(self.jain), mean(self.unused), mean(self.rejected))
    }
}

/// How fast quotas follow demand that moves, and what that costs; means over seeds.
#[derive(Default)]
struct Response {
    /// Until the gateway has half of what it is to have.
    half_ms: f64,
    /// Until it has nine tenths.
    most_ms: f64,
    messages_per_gateway_second: f64,
}

/// What all seeds of a case showed.
#[derive(Default)]
struct Shown {
    even: Quality,
    granted: Quality,
    all_known: Quality,
    response: Response,
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![10, 100, 300, 1000] } else { sizes };
    println!(
        "| gateways | demand | grants last, ms | division | Jain | unused | rejected | follows a move, ms (half, nine tenths) | messages a gateway and second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for gateways in sizes {
        for (total_demand, grant_ms) in [(0.9, 1000), (1.2, 1000), (0.9, 400)] {
            let grant_length = Duration::from_millis(grant_ms);
            let case = Case { gateways, total_demand, grant_length };
            let mut shown = Shown::default();
            (0..SEEDS).for_each(|seed| Run::start(case, seed).measure(&mut shown));
            let Response { half_ms, most_ms, messages_per_gateway_second } = shown.response;
            let row = format!("| {gateways} | {total_demand} | {grant_ms}");
            println!("{row} | even | {} | - | 0 |", shown.even.columns());
            println!(
                "{row} | granted | {} | {half_ms:.0}, {most_ms:.0} | {messages_per_gateway_second:.1} |",
                shown.granted.columns()
            );
            println!("{row} | all known | {} | 0, 0 | - |", shown.all_known.columns());
        }
    }
}

/// Few want much, many little, in a random order.
fn draw_demand(case: Case, random: &mut WyRand) -> Vec<f64> {
    let mut demand: Vec<f64> = (1..=case.gateways).map(|rank| 1.0 / rank as f64).collect();
    let sum: f64 = demand.iter().sum();
    demand.iter_mut().for_each(|demand| *demand *= case.total_demand / sum);
    random.shuffle(&mut demand);
    demand
}

#[derive(Clone, Copy)]
enum Payload {
    Request,
    Grant { fraction: f64 },
}

#[derive(Clone, Copy)]
struct Message {
    gateway: usize,
    requested_at: Timestamp,
    payload: Payload,
}

/// When a message arrives; those of one time arrive in the order in which they were sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Timestamp,
    number: u64,
}

/// The allocator and the gateways, for one seed.
struct Run {
    case: Case,
    terms: QuotaTerms,
    allocator: Allocator,
    quotas: Vec<HeldQuota>,
    demand: Vec<f64>,
    next_requests: Vec<Timestamp>,
    under_way: BTreeMap<Arrival, Message>,
    messages_sent: u64,
    random: WyRand,
    /// The gateway that comes to have half of all demand.
    busy: usize,
}

impl Run {
    fn start(case: Case, seed: u64) -> Run {
        let mut random = WyRand::new_seed(seed);
        let terms = QuotaTerms {
            max_gateways: case.gateways,
            lifetime: case.grant_length,
            drift_margin_per_mille: 60,
            usage_window: Duration::ZERO,
            strict: false,
        };
        let demand = draw_demand(case, &mut random);
        let first_request = |_| START + case.grant_length * REQUEST_INTERVAL * random.generate::<f64>();
        let next_requests = (0..case.gateways).map(first_request).collect();
        let busy = random.generate_range(0..case.gateways);
        Run {
            case,
            terms,
            allocator: Allocator::new(terms, START),
            quotas: vec![HeldQuota::new(terms); case.gateways],
            demand,
            next_requests,
            under_way: BTreeMap::new(),
            messages_sent: 0,
            random,
            busy,
        }
    }

    fn measure(mut self, shown: &mut Shown) {
        let mut half_ms = None;
        let mut most_ms = None;
        for step in 0..END_STEP {
            let now = START + STEP * step as f64;
            if step == MOVE_STEP {
                self.move_demand();
            }
            self.send_requests(now);
            self.deliver(now);
            if step < WARM_UP_STEPS {
                continue;
            }
            self.record_quality(now, shown);
            if step >= MOVE_STEP {
                let since_move_ms = (step - MOVE_STEP) as f64 * STEP.secs() * 1000.0;
                let has = self.quotas[self.busy].fraction(now);
                let due = self.due_to_busy();
                half_ms = half_ms.or((has >= due * 0.5).then_some(since_move_ms));
                most_ms = most_ms.or((has >= due * 0.9).then_some(since_move_ms));
            }
        }
        let never_ms = (END_STEP - MOVE_STEP) as f64 * STEP.secs() * 1000.0;
        let gateway_seconds = self.case.gateways as f64 * END_STEP as f64 * STEP.secs();
        let response = &mut shown.response;
        response.half_ms += half_ms.unwrap_or(never_ms) / SEEDS as f64;
        response.most_ms += most_ms.unwrap_or(never_ms) / SEEDS as f64;
        response.messages_per_gateway_second += self.messages_sent as f64 / gateway_seconds / SEEDS as f64;
    }

    fn move_demand(&mut self) {
        let half = self.case.total_demand * 0.5;
        let others: f64 = self.demand.iter().sum::<f64>() - self.demand[self.busy];
        self.demand.iter_mut().for_each(|demand| *demand *= half / others);
        self.demand[self.busy] = half;
    }

    fn send_requests(&mut self, now: Timestamp) {
        for gateway in 0..self.case.gateways {
            if self.next_requests[gateway] <= now {
                self.next_requests[gateway] =
                    self.next_requests[gateway] + self.case.grant_length * REQUEST_INTERVAL;
                let arrival = self.draw_arrival(now);
                if self.random.generate::<f64>() >= LOSS {
                    let request = Message { gateway, requested_at: now, payload: Payload::Request };
                    self.under_way.insert(arrival, request);
                }
            }
        }
    }

    fn draw_arrival(&mut self, now: Timestamp) -> Arrival {
        self.messages_sent += 1;
        let delay = Duration::from_micros(self.random.generate_range(DELAY_MICROS));
        Arrival { at: now + delay, number: self.messages_sent }
    }

    fn deliver(&mut self, now: Timestamp) {
        let later = Arrival { at: now + Duration::from_micros(1), number: 0 };
        let still_under_way = self.under_way.split_off(&later);
        for message in std::mem::replace(&mut self.under_way, still_under_way).into_values() {
            let Message { gateway, requested_at, payload } = message;
            match payload {
                Payload::Grant { fraction } => {
                    self.quotas[gateway].on_grant(fraction, 1, requested_at, now);
                }
                Payload::Request => {
                    let name = format!("{gateway:04}");
                    let granted = self.allocator.allocate(&name, self.demand[gateway], 1.0, now);
                    if let Some(fraction) = granted {
                        let arrival = self.draw_arrival(now);
                        self.under_way
                            .insert(arrival, Message { payload: Payload::Grant { fraction }, ..message });
                    }
                }
            }
        }
    }

    fn record_quality(&self, now: Timestamp, shown: &mut Shown) {
        let even = vec![1.0 / self.case.gateways as f64; self.case.gateways];
        let granted: Vec<f64> = self.quotas.iter().map(|quota| quota.fraction(now)).collect();
        let reserved = self.terms.reserved_fraction();
        let claim = |demand: &f64| Claim { weight: 1.0, demand: *demand, floor: reserved.min(*demand) };
        let claims: Vec<Claim> = self.demand.iter().map(claim).collect();
        shown.even.record(&self.demand, &even);
        shown.granted.record(&self.demand, &granted);
        shown.all_known.record(&self.demand, &divide(1.0, &claims));
    }

    /// What the busy gateway is to have, with the floors of the others taken into account.
    fn due_to_busy(&self) -> f64 {
        let floor = self.terms.reserved_fraction();
        let claim = |demand: &f64| Claim { weight: *demand, demand: 1.0, floor };
        let claims: Vec<Claim> = self.demand.iter().map(claim).collect();
        divide(1.0, &claims)[self.busy]
    }
}
