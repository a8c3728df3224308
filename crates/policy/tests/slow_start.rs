//! All gateways together stay within the budget of an engine in slow start, although each gateway
//! decides alone.
//!
//! Each simulated gateway runs the real policy with a seed of its own, under the traffic patterns that come
//! closest to exceeding the budget.

#[allow(dead_code, reason = "other test files use the remaining helpers")]
mod common;

use common::*;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::*;
use nanorand::{Rng, WyRand};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::{iter, thread};

/// Index of the engine in slow start.
const ENGINE: usize = 0;
/// Class of the requests with little work.
const LIGHT: usize = LOOKUP;
/// Class of the requests with much work.
const HEAVY: usize = REPORT;
/// Start time of the engine in ms, long after the start of the gateways.
const ENGINE_START_MS: u64 = 20_000;
/// Length of the simulated traffic in ms.
const TRAFFIC_MS: u64 = 5_500;
/// Time in ms between two requests of a gateway with dense traffic.
const STEP_MS: u64 = 20;

/// The requests that arrive at one gateway.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    /// More requests than the gateway may send to the engine, from the time at which it learns of the engine.
    Dense,
    /// One request per second, at a different time in each gateway, then dense traffic at all gateways at
    /// once.
    SparseThenSurge,
    /// About 25 requests per second.
    Even,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: usize,
    /// Work in ms of a light request, work in ms of a heavy request, and percentage of heavy requests.
    work: (u64, u64, u64),
    traffic: Traffic,
    /// Gateways learn of the engine at random times within this many ms after its start.
    discovery_spread_ms: u64,
    /// Mean number of gateways out of ten that restart in the middle of the traffic.
    restarted_of_ten: usize,
}

impl Case {
    fn config(&self) -> PolicyConfig {
        let mut config = typical_config();
        config.topology.gateway_count = self.gateways;
        config.topology.engine_kinds = vec![EngineKind { cores: 16.0, memory_mb: 16_000.0 }];
        config.classes.truncate(2);
        config.classes.iter_mut().for_each(|class| class.threads = 1.0);
        config
    }

    fn mean_work_ms(&self) -> f64 {
        let (light, heavy, heavy_percent) = self.work;
        (light * (100 - heavy_percent) + heavy * heavy_percent) as f64 / 100.0
    }

    /// Budget of the engine plus its slack, in requests of mean work, for a window that starts at `from`.
    fn max_requests(&self, config: &PolicyConfig, from: Timestamp) -> f64 {
        let slow_start = &config.slow_start;
        let budget_secs = slow_start.overload_multiple
            * slow_start.warm_up_factor(Some(at_ms(ENGINE_START_MS)), from)
            * 16.0
            * slow_start.window.secs();
        let budget = budget_secs * 1000.0 / self.mean_work_ms();
        budget + if budget < 30.0 { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 }
    }

    /// Simulates all gateways. Returns the time in ms and the work, in requests of mean work, of each request
    /// that was sent to the engine, in order of time.
    fn simulate(&self, seed: u64) -> Vec<(u64, f64)> {
        let mut random = WyRand::new_seed(seed);
        let mut sent = Vec::new();
        for gateway_index in 0..self.gateways {
            let discovered_ms = ENGINE_START_MS + random.generate_range(0..=self.discovery_spread_ms);
            let restart_ms = ENGINE_START_MS + TRAFFIC_MS / 2;
            let restarts = random.generate_range(0..10_usize) < self.restarted_of_ten;
            let sparse_ms = random.generate_range(0..1000_u64);
            for (from, until, process_start_ms) in [
                (discovered_ms, if restarts { restart_ms } else { ENGINE_START_MS + TRAFFIC_MS }, 0),
                (restart_ms, ENGINE_START_MS + TRAFFIC_MS, restart_ms),
            ] {
                if process_start_ms > 0 && !restarts {
                    continue;
                }
                let mut config = self.config();
                config.topology.gateway_index = gateway_index;
                let mut gateway = config.start(0);
                // The first update of any engine, here of one that is gone, sets the time at which this
                // gateway joined.
                gateway.policy.update_engine(
                    at_ms(process_start_ms),
                    9,
                    Engine { state: EngineState::Gone, ..ready_engine() },
                );
                self.learn_demand(&mut gateway, process_start_ms);
                gateway.policy.update_engine(
                    at_ms(from),
                    ENGINE,
                    Engine { start_time: Some(at_ms(ENGINE_START_MS)), ..ready_engine() },
                );
                for time in (from..until).step_by(STEP_MS as usize) {
                    let arrives = match self.traffic {
                        Traffic::Dense => true,
                        Traffic::Even => random.generate_range(0..2_u32) == 0,
                        Traffic::SparseThenSurge => {
                            time >= ENGINE_START_MS + 3_000 || time % 1000 / STEP_MS == sparse_ms / STEP_MS
                        }
                    };
                    if arrives {
                        let heavy = random.generate_range(0..100) < self.work.2;
                        sent.extend(
                            self.send_one(&mut gateway, time, heavy)
                                .map(|work| (time, work / self.mean_work_ms())),
                        );
                    }
                }
            }
        }
        sent.sort_by_key(|(time, _)| *time);
        sent
    }

    fn request(&self, time: u64, heavy: bool) -> Request {
        let (class, work) = if heavy { (HEAVY, self.work.1) } else { (LIGHT, self.work.0) };
        Request {
            work_hint: Some(Duration::from_millis(work)),
            deadline: at_ms(time + 60_000),
            ..request(class)
        }
    }

    /// Admits 100 requests before any engine is ready, so that the gateway learns the mean work and the
    /// demand of each class.
    fn learn_demand(&self, gateway: &mut TestGateway, time: u64) {
        for number in 0..100 {
            let (index, decision) = gateway.admit(time, self.request(time, number < self.work.2));
            assert_eq!(sent_to(decision), None);
            gateway.policy.on_client_disconnected(index);
        }
    }

    /// Admits one request and returns its work in ms if it was sent to the engine. The answer returns at
    /// once, so that only slow start limits the requests.
    fn send_one(&self, gateway: &mut TestGateway, time: u64, heavy: bool) -> Option<f64> {
        let request = self.request(time, heavy);
        let work = request.work_hint.unwrap();
        let (index, decision) = gateway.admit(time, request);
        sent_to(decision)?;
        gateway.finish_attempt(time, index, 0, Outcome::Returned, 1);
        Some(work.secs() * 1000.0)
    }

    /// Simulates all gateways and returns the largest ratio, over all windows, of the work sent to the budget
    /// plus slack.
    fn max_budget_use(&self, seed: u64) -> f64 {
        let (config, sent) = (self.config(), self.simulate(seed));
        let window_ms = config.slow_start.window.micros() / 1000;
        let (mut max_use, mut first, mut sum) = (0.0_f64, 0, 0.0);
        for (time, work) in &sent {
            sum += work;
            while sent[first].0 + window_ms < *time {
                sum -= sent[first].1;
                first += 1;
            }
            max_use = max_use.max(sum / self.max_requests(&config, at_ms(sent[first].0)));
        }
        max_use
    }
}

#[test]
fn all_gateways_together_stay_within_the_budget_of_an_engine_in_slow_start() {
    let uniform = |work_ms| (work_ms, work_ms, 0);
    let mut cases = Vec::new();
    for gateways in [1, 5, 30, 300] {
        // The budget fits hundreds of requests, tens, a few, or no request at all.
        for work in
            [uniform(150), uniform(300), uniform(1_500), uniform(10_000), (150, 1_500, 10), (100, 4_000, 3)]
        {
            for traffic in [Traffic::Dense, Traffic::SparseThenSurge, Traffic::Even] {
                cases.push(Case { gateways, work, traffic, discovery_spread_ms: 0, restarted_of_ten: 0 });
            }
            let traffic = Traffic::Dense;
            cases.push(Case { gateways, work, traffic, discovery_spread_ms: 2_500, restarted_of_ten: 0 });
            cases.push(Case { gateways, work, traffic, discovery_spread_ms: 0, restarted_of_ten: 7 });
        }
    }
    let excesses = |case: &Case| {
        let exceeded =
            (1..=2).map(|seed| (seed, case.max_budget_use(seed))).filter(|(_, budget_use)| *budget_use > 1.0);
        exceeded
            .map(|(seed, budget_use)| format!("{case:?} seed {seed}: {budget_use:.2} of budget plus slack"))
            .collect::<Vec<_>>()
    };
    let next_case = AtomicUsize::new(0);
    let run_cases = || {
        iter::from_fn(|| cases.get(next_case.fetch_add(1, Relaxed))).flat_map(excesses).collect::<Vec<_>>()
    };
    let threads = thread::available_parallelism().map_or(1, usize::from);
    let over_budget: Vec<String> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(run_cases)).collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap()).collect()
    });
    assert!(over_budget.is_empty(), "{over_budget:#?}");
}

/// Guards against a policy that stays within the budget by sending almost no requests.
#[test]
fn gateways_use_the_slow_start_budget() {
    for gateways in [1, 5, 30, 300] {
        let case = Case {
            gateways,
            work: (300, 300, 0),
            traffic: Traffic::Even,
            discovery_spread_ms: 0,
            restarted_of_ten: 0,
        };
        let budget_use = case.max_budget_use(1);
        assert!(budget_use > 0.25, "{gateways} gateways: {budget_use:.2} of budget plus slack");
    }
}
