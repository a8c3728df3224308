//! Draws scripts from a seed.

use super::{DiskBehavior, FaultKind, FaultScript, FaultWeights, Step, TimedStep};
use nanorand::{Rng, WyRand};
use std::ops::Range;
use std::time::Duration;

/// Seconds by which a Unix clock can be off.
const CLOCK_JUMPS_SECONDS: [i64; 4] = [-86_400, -5, 3, 3_600];
const DISK_FAULTS: [DiskBehavior; 4] =
    [DiskBehavior::Full, DiskBehavior::ReadOnly, DiskBehavior::LosesWrites, DiskBehavior::Slow];
const ENGINE_DELAY_MS: u64 = 40;
/// What stalled on its way arrives late. Gateways count on that being within 8 s (docs/gateway.md).
const ENGINE_STALL_MS: Range<u64> = 500..4_000;

/// What a script is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct ScriptBounds {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines.
    pub engines: usize,
    /// From the first step to the last.
    pub duration: Duration,
    /// Mean time from one fault to the next.
    pub mean_interval: Duration,
}

/// What a fault can concern; each kind of fault uses some of it.
struct Target {
    gateway: usize,
    other_gateway: usize,
    engine: usize,
}

struct Drawer {
    random: WyRand,
    /// When the fault begins that is drawn now.
    at_ms: u64,
    end_ms: u64,
    steps: Vec<TimedStep>,
}

/// Draws a kind by weight; none if all weights are zero.
fn draw_kind(weights: &FaultWeights, random: &mut WyRand) -> Option<FaultKind> {
    let total: u32 = weights.values().sum();
    let mut left = (total > 0).then(|| random.generate_range(0..total))?;
    for (kind, weight) in weights {
        if left < *weight {
            return Some(*kind);
        }
        left -= weight;
    }
    None
}

impl FaultScript {
    /// Draws a script in which gateways that are suspended run again, and all that is broken is healed by the end.
    pub fn draw(seed: u64, bounds: ScriptBounds, weights: &FaultWeights) -> FaultScript {
        let interval_ms = bounds.mean_interval.as_millis() as u64;
        let end_ms = bounds.duration.as_millis() as u64;
        let mut drawer = Drawer { random: WyRand::new_seed(seed), at_ms: 0, end_ms, steps: Vec::new() };
        loop {
            drawer.at_ms += drawer.random.generate_range(interval_ms / 2..=interval_ms * 3 / 2);
            if drawer.at_ms >= end_ms {
                break;
            }
            let target = Target {
                gateway: drawer.random.generate_range(0..bounds.gateways),
                other_gateway: drawer.random.generate_range(0..bounds.gateways),
                engine: drawer.random.generate_range(0..bounds.engines.max(1)),
            };
            let Some(kind) = draw_kind(weights, &mut drawer.random) else { break };
            let step = drawer.draw_step(kind, &target);
            let at_ms = drawer.at_ms;
            drawer.steps.push(TimedStep { at_ms, step });
        }
        let mut steps = drawer.steps;
        for step in [Step::Heal, Step::EnginesHeal, Step::DiscoveriesHeal] {
            steps.push(TimedStep { at_ms: end_ms, step });
        }
        steps.sort_by_key(|timed| timed.at_ms);
        FaultScript { seed, steps }
    }
}

impl Drawer {
    /// Adds the step that ends the fault that is drawn now.
    fn ends_after(&mut self, after_ms: Range<u64>, step: Step) {
        let at_ms = (self.at_ms + self.random.generate_range(after_ms)).min(self.end_ms);
        self.steps.push(TimedStep { at_ms, step });
    }

    /// The step that begins a fault; one that ends it is added.
    fn draw_step(&mut self, kind: FaultKind, target: &Target) -> Step {
        let Target { gateway, other_gateway, engine } = *target;
        match kind {
            FaultKind::Restart => Step::Restart { gateway },
            FaultKind::Suspend => {
                self.ends_after(100..1_500, Step::Resume { gateway });
                Step::Suspend { gateway }
            }
            FaultKind::Replace => Step::Replace { gateway },
            FaultKind::Isolate => Step::Isolate { gateway },
            FaultKind::CutLink => Step::CutLink { from: gateway, to: other_gateway },
            FaultKind::Partition => Step::Partition { number: self.random.generate_range(2..=3) },
            FaultKind::Degrade => Step::Degrade { loss: 0.4, duplication: 0.3, max_delay_ms: 300 },
            FaultKind::EngineCut => Step::EngineCut { gateway, engine },
            FaultKind::EngineStall => {
                self.ends_after(ENGINE_STALL_MS, Step::EnginesHeal);
                Step::EngineStall { gateway, engine }
            }
            FaultKind::EngineSlow => Step::EngineSlow { gateway, engine, ms: ENGINE_DELAY_MS },
            FaultKind::EnginesHeal => Step::EnginesHeal,
            FaultKind::DiscoveryCut => Step::DiscoveryCut { gateway },
            FaultKind::DiscoveryStall => Step::DiscoveryStall { gateway },
            FaultKind::DiscoveriesHeal => Step::DiscoveriesHeal,
            FaultKind::Heal => Step::Heal,
            FaultKind::LoadSurge => {
                self.ends_after(500..3_000, Step::Load { times: 1 });
                Step::Load { times: self.random.generate_range(2..=4) }
            }
            FaultKind::ClockJump => {
                self.ends_after(500..4_000, Step::Clock { gateway, seconds: 0 });
                let jump = self.random.generate_range(0..CLOCK_JUMPS_SECONDS.len());
                Step::Clock { gateway, seconds: CLOCK_JUMPS_SECONDS[jump] }
            }
            FaultKind::Disk => {
                self.ends_after(500..4_000, Step::Disk { gateway, behavior: DiskBehavior::Healthy });
                let fault = self.random.generate_range(0..DISK_FAULTS.len());
                Step::Disk { gateway, behavior: DISK_FAULTS[fault] }
            }
            FaultKind::CorruptConfig => {
                self.ends_after(200..1_500, Step::RestoreConfig { gateway });
                Step::CorruptConfig { gateway }
            }
        }
    }
}
