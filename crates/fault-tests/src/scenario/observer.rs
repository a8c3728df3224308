//! Looks at a cluster while a scenario runs, and waits for it to be healthy after the last fault.

use crate::scenario::cluster_view::{Aspect, ClusterView};
use crate::scenario::config::{Feature, ScenarioConfig};
use crate::scenario::engines::ListedEngines;
use crate::scenario::records::Record;
use crate::sync::lock;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const OBSERVATION_INTERVAL: Duration = Duration::from_millis(400);
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// When a run began; times in its report count from then.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    /// The beginning.
    pub began: Instant,
}

impl RunClock {
    /// Milliseconds from the beginning.
    pub fn ms(self, at: Instant) -> u64 {
        at.saturating_duration_since(self.began).as_millis() as u64
    }
}

/// How one aspect of the cluster recovered from the last fault.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// The aspect.
    pub aspect: Aspect,
    /// After which time it was healthy first, or what was wrong with it in the end.
    pub result: Result<Duration, String>,
}

/// What was seen while faults happened.
#[derive(Debug, Default)]
pub struct Observations {
    /// Rows of the report.
    pub records: Vec<Record>,
    /// Quotas that add up to more than there is.
    pub violations: Vec<String>,
}

/// Asks the gateways of a cluster what they see.
pub struct Observer<'a> {
    /// The scenario.
    pub config: &'a ScenarioConfig,
    /// Where gateways answer.
    pub gateways: Vec<SocketAddrV4>,
    /// The run's clock.
    pub clock: RunClock,
}

impl Observer<'_> {
    /// Looks again and again until it is stopped.
    pub fn watch(&self, stop: &AtomicBool) -> Observations {
        let mut observations = Observations::default();
        let mut before = ClusterView::default();
        while !stop.load(Ordering::Relaxed) {
            let view = ClusterView::observe(&self.gateways);
            observations.records.extend(view.records(self.clock.ms(Instant::now())));
            if self.config.has(Feature::Quotas) {
                observations.violations.extend(view.oversubscribed(&before));
            }
            before = view;
            thread::sleep(OBSERVATION_INTERVAL);
        }
        observations
    }

    /// Waits until everything is healthy at once, or the limit is reached.
    pub fn wait_for_recovery(&self, engines: &Mutex<ListedEngines>) -> Vec<Recovery> {
        let began = Instant::now();
        let limit = Duration::from_millis(self.config.recovery_limit_ms);
        let mut first_healthy: BTreeMap<Aspect, Duration> = BTreeMap::new();
        loop {
            let ready = lock(engines).ready_ids();
            let unhealthy = ClusterView::observe(&self.gateways).unhealthy(self.config, &ready);
            let elapsed = began.elapsed();
            let problem = |aspect: Aspect| {
                unhealthy.iter().find(|found| found.aspect == aspect).map(|found| found.detail.clone())
            };
            for aspect in Aspect::ALL.into_iter().filter(|aspect| problem(*aspect).is_none()) {
                first_healthy.entry(aspect).or_insert(elapsed);
            }
            if unhealthy.is_empty() || elapsed > limit {
                let recovery = |aspect: Aspect| {
                    let after = first_healthy.get(&aspect).copied().unwrap_or_default();
                    Recovery { aspect, result: problem(aspect).map_or(Ok(after), Err) }
                };
                return Aspect::ALL.map(recovery).into();
            }
            thread::sleep(RECOVERY_POLL_INTERVAL);
        }
    }
}
