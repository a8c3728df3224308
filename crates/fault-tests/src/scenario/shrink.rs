//! Takes faults out of a script for as long as the rest still fails: delta debugging (Zeller and Hildebrandt, "Simplifying
//! and Isolating Failure-Inducing Input", 2002) over faults, each of which goes with the step that ends it. No I/O: whether a
//! script fails is the caller's to say.

use crate::fault_script::{DiskBehavior, FaultScript, Step, TimedStep};
use std::collections::BTreeSet;

/// A fault that one step begins and a later one ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PairedFault {
    Suspended { gateway: usize },
    EnginesStalled,
    ConfigCorrupted { gateway: usize },
    LoadSurge,
    ClockOff { gateway: usize },
    DiskFault { gateway: usize },
}

enum Phase {
    Begins(PairedFault),
    Ends(PairedFault),
}

impl Phase {
    fn of(step: &Step) -> Option<Phase> {
        let phase = |fault, begins| if begins { Phase::Begins(fault) } else { Phase::Ends(fault) };
        Some(match *step {
            Step::Suspend { gateway } => Phase::Begins(PairedFault::Suspended { gateway }),
            Step::Resume { gateway } => Phase::Ends(PairedFault::Suspended { gateway }),
            // A stall that never ends is another fault: what is under way arrives later than gateways count on.
            Step::EngineStall { .. } => Phase::Begins(PairedFault::EnginesStalled),
            Step::EnginesHeal => Phase::Ends(PairedFault::EnginesStalled),
            Step::CorruptConfig { gateway } => Phase::Begins(PairedFault::ConfigCorrupted { gateway }),
            Step::RestoreConfig { gateway } => Phase::Ends(PairedFault::ConfigCorrupted { gateway }),
            Step::Load { times } => phase(PairedFault::LoadSurge, times > 1),
            Step::Clock { gateway, seconds } => phase(PairedFault::ClockOff { gateway }, seconds != 0),
            Step::Disk { gateway, behavior } => {
                phase(PairedFault::DiskFault { gateway }, behavior != DiskBehavior::Healthy)
            }
            _ => return None,
        })
    }

    fn is_end_of(&self, fault: PairedFault) -> bool {
        matches!(self, Phase::Ends(ended) if *ended == fault)
    }
}

fn heals(step: &Step) -> bool {
    matches!(step, Step::Heal | Step::EnginesHeal | Step::DiscoveriesHeal)
}

/// The faults of a script, each as the places of its steps. The heals at the end of a script belong to none, so they stay.
pub fn faults(script: &FaultScript) -> Vec<Vec<usize>> {
    let end_ms = script.steps.iter().map(|timed| timed.at_ms).max().unwrap_or(0);
    let mut taken = BTreeSet::new();
    let mut faults = Vec::new();
    for (place, TimedStep { at_ms, step }) in script.steps.iter().enumerate() {
        if taken.contains(&place) || (heals(step) && *at_ms == end_ms) {
            continue;
        }
        let mut fault = vec![place];
        if let Some(Phase::Begins(begun)) = Phase::of(step) {
            let ends_it = |later: &usize| {
                let phase = Phase::of(&script.steps[*later].step);
                !taken.contains(later) && phase.is_some_and(|phase| phase.is_end_of(begun))
            };
            fault.extend((place + 1..script.steps.len()).find(ends_it));
        }
        taken.extend(fault.iter().copied());
        faults.push(fault);
    }
    faults
}

/// The script with these of its faults only, by their places among `faults`.
fn with_faults(script: &FaultScript, faults: &[Vec<usize>], kept: &[usize]) -> FaultScript {
    let of_faults: BTreeSet<usize> = faults.iter().flatten().copied().collect();
    let of_kept: BTreeSet<usize> = kept.iter().flat_map(|fault| &faults[*fault]).copied().collect();
    let stays = |place: &usize| of_kept.contains(place) || !of_faults.contains(place);
    let steps = (0..script.steps.len()).filter(stays).map(|place| script.steps[place].clone());
    FaultScript { seed: script.seed, steps: steps.collect() }
}

/// A script that still fails, with fewer faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Shrunk {
    /// The script.
    pub script: FaultScript,
    /// How many scripts were tried.
    pub tries: usize,
}

/// Shrinks a script that fails; stops after this many tries.
pub fn shrink(script: &FaultScript, max_tries: usize, mut fails: impl FnMut(&FaultScript) -> bool) -> Shrunk {
    let faults = faults(script);
    let mut kept: Vec<usize> = (0..faults.len()).collect();
    let mut parts = 2;
    let mut tries = 0;
    while kept.len() > 1 && tries < max_tries {
        let part_size = kept.len().div_ceil(parts);
        let mut failing_rest = None;
        for start in (0..kept.len()).step_by(part_size) {
            if tries >= max_tries {
                break;
            }
            let part_end = (start + part_size).min(kept.len());
            let rest = [&kept[..start], &kept[part_end..]].concat();
            tries += 1;
            if fails(&with_faults(script, &faults, &rest)) {
                failing_rest = Some(rest);
                break;
            }
        }
        match failing_rest {
            Some(rest) => {
                kept = rest;
                parts = (parts - 1).max(2);
            }
            None if part_size == 1 => break,
            None => parts = (parts * 2).min(kept.len()),
        }
    }
    Shrunk { script: with_faults(script, &faults, &kept), tries }
}
