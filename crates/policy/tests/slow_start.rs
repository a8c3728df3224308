//! Rule 4 summed over a whole fleet: each gateway decides alone, and an engine in slow start has a budget for all of
//! them together. Gateways here are the real decisions, each with a chance of its own; traffic is what hurts most.

#[allow(dead_code, reason = "other tests use the rest of it")]
mod common;

use common::*;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::*;
use nanorand::{Rng, WyRand};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::{iter, thread};

const SLOW_START: usize = 0;
const LIGHT: usize = LOOKUP;
const HEAVY: usize = REPORT;
/// The engine starts then, long after the gateways.
const STARTS: u64 = 20_000;
const LASTS: u64 = 5_500;
/// Between two requests where more comes than is sent on.
const STEP: u64 = 20;

/// What comes to one gateway and when.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    /// More than it can send on, from the moment on in which it hears of the engine.
    Dense,
    /// One a second at times of its own, then more than it can send on, everywhere at once.
    ThinThenSurge,
    /// Some tens a second.
    Even,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: usize,
    /// Work in ms of a light and of a heavy request, and how many of a hundred are heavy.
    work: (u64, u64, u64),
    traffic: Traffic,
    /// Gateways hear of the engine up to so much apart.
    listed_within: u64,
    /// So many of ten gateways are started anew in the middle.
    restarted: usize,
}

impl Case {
    fn config(&self) -> PolicyConfig {
        let mut config = typical_config();
        config.topology.gateway_count = self.gateways;
        config.topology.engine_kinds = vec![EngineKind { cores: 16.0, memory_mb: 16_000.0 }];
        config.classes.truncate(2);
        config.classes.iter_mut().for_each(|g| g.threads = 1.0);
        config
    }

    fn mean(&self) -> f64 {
        let (light, heavy, part) = self.work;
        (light * (100 - part) + heavy * part) as f64 / 100.0
    }

    /// The rule's budget and slack in requests of mean work, for a window that begins then.
    fn most(&self, config: &PolicyConfig, from: Timestamp) -> f64 {
        let slow_start = &config.slow_start;
        let budget_of = slow_start.overload_multiple
            * slow_start.warm_up_factor(Some(at_ms(STARTS)), from)
            * 16.0
            * slow_start.window.secs();
        let n = budget_of * 1000.0 / self.mean();
        n + if n < 30.0 { 3.0 * n.sqrt() + 3.0 } else { 2.0 * n.sqrt() + 2.0 }
    }

    /// Everything sent to the engine by all gateways: when, and how much in requests of mean work.
    fn play(&self, seed: u64) -> Vec<(u64, f64)> {
        let mut chance = WyRand::new_seed(seed);
        let mut sent = Vec::new();
        for gateway_index in 0..self.gateways {
            let listed = STARTS + chance.generate_range(0..=self.listed_within);
            let restarts = STARTS + LASTS / 2;
            let anew = chance.generate_range(0..10_usize) < self.restarted;
            let thin = chance.generate_range(0..1000_u64);
            for (from, until, born) in [
                (listed, if anew { restarts } else { STARTS + LASTS }, 0),
                (restarts, STARTS + LASTS, restarts),
            ] {
                if born > 0 && !anew {
                    continue;
                }
                let mut config = self.config();
                config.topology.gateway_index = gateway_index;
                let mut gateway = config.start(0);
                // What it hears first is when it starts.
                gateway.policy.update_engine(
                    at_ms(born),
                    9,
                    Engine { state: EngineState::Gone, ..ready_engine() },
                );
                self.learn(&mut gateway, born);
                gateway.policy.update_engine(
                    at_ms(from),
                    SLOW_START,
                    Engine { start_time: Some(at_ms(STARTS)), ..ready_engine() },
                );
                for time in (from..until).step_by(STEP as usize) {
                    let comes = match self.traffic {
                        Traffic::Dense => true,
                        Traffic::Even => chance.generate_range(0..2_u32) == 0,
                        Traffic::ThinThenSurge => time >= STARTS + 3_000 || time % 1000 / STEP == thin / STEP,
                    };
                    if comes {
                        let heavy = chance.generate_range(0..100) < self.work.2;
                        sent.extend(
                            self.one(&mut gateway, time, heavy).map(|work| (time, work / self.mean())),
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

    /// The gateway knows the usual work of each class, and how often each is asked for.
    fn learn(&self, gateway: &mut TestGateway, time: u64) {
        for n in 0..100 {
            let (b, decision) = gateway.admit(time, self.request(time, n < self.work.2));
            assert_eq!(sent_to(decision), None);
            gateway.policy.on_client_disconnected(b);
        }
    }

    /// The work in ms that goes out; it comes back at once, so that only the rule holds anything back.
    fn one(&self, gateway: &mut TestGateway, time: u64, heavy: bool) -> Option<f64> {
        let request = self.request(time, heavy);
        let work = request.work_hint.unwrap();
        let (b, decision) = gateway.admit(time, request);
        sent_to(decision)?;
        gateway.finish_attempt(time, b, 0, Outcome::Returned, 1);
        Some(work.secs() * 1000.0)
    }

    /// The window that comes nearest to the rule's budget with its slack, as a part of it.
    fn worst(&self, seed: u64) -> f64 {
        let (config, sent) = (self.config(), self.play(seed));
        let window = config.slow_start.window.micros() / 1000;
        let (mut worst, mut from, mut sum) = (0.0_f64, 0, 0.0);
        for (time, work) in &sent {
            sum += work;
            while sent[from].0 + window < *time {
                sum -= sent[from].1;
                from += 1;
            }
            worst = worst.max(sum / self.most(&config, at_ms(sent[from].0)));
        }
        worst
    }
}

#[test]
fn all_gateways_together_stay_within_the_budget_of_an_engine_in_slow_start() {
    let one = |work| (work, work, 0);
    let mut cases = Vec::new();
    for gateways in [1, 5, 30, 300] {
        // Some hundred requests, some tens, a few, and none that fits.
        for work in [one(150), one(300), one(1_500), one(10_000), (150, 1_500, 10), (100, 4_000, 3)] {
            for traffic in [Traffic::Dense, Traffic::ThinThenSurge, Traffic::Even] {
                cases.push(Case { gateways, work, traffic, listed_within: 0, restarted: 0 });
            }
            let traffic = Traffic::Dense;
            cases.push(Case { gateways, work, traffic, listed_within: 2_500, restarted: 0 });
            cases.push(Case { gateways, work, traffic, listed_within: 0, restarted: 7 });
        }
    }
    let played = |case: &Case| {
        let worst = (1..=2).map(|seed| (seed, case.worst(seed))).filter(|(_, worst)| *worst > 1.0);
        worst
            .map(|(seed, worst)| format!("{case:?} seed {seed}: {worst:.2} of the budget"))
            .collect::<Vec<_>>()
    };
    let next = AtomicUsize::new(0);
    let play =
        || iter::from_fn(|| cases.get(next.fetch_add(1, Relaxed))).flat_map(played).collect::<Vec<_>>();
    let threads = thread::available_parallelism().map_or(1, usize::from);
    let over: Vec<String> = thread::scope(|scope| {
        let all: Vec<_> = (0..threads).map(|_| scope.spawn(play)).collect();
        all.into_iter().flat_map(|played| played.join().unwrap()).collect()
    });
    assert!(over.is_empty(), "{over:#?}");
}

/// Guards against a budget that is kept by sending nothing.
#[test]
fn an_engine_in_slow_start_is_used() {
    for gateways in [1, 5, 30, 300] {
        let case =
            Case { gateways, work: (300, 300, 0), traffic: Traffic::Even, listed_within: 0, restarted: 0 };
        let worst = case.worst(1);
        assert!(worst > 0.25, "{gateways} gateways: {worst:.2} of the budget");
    }
}
