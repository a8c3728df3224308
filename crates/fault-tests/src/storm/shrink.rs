//! Takes faults out of a script for as long as what is left still fails: delta debugging (Zeller and Hildebrandt, "Simplifying
//! and Isolating Failure-Inducing Input", 2002) over faults, each of which goes with what ends it. Without input or output:
//! whether a script fails is the caller's to say.

use crate::script::{Script, Step, Timed};
use std::collections::BTreeSet;

/// Steps that only end what came before.
fn ends(step: &Step) -> bool {
    matches!(step, Step::Heal | Step::EnginesHeal | Step::DiscoveriesHeal)
}

/// What a step begins that a later one ends, by a word that both have.
fn pair(step: &Step) -> Option<(&'static str, usize, bool)> {
    Some(match step {
        Step::Stop { gateway } => ("stop", *gateway, true),
        Step::Wake { gateway } => ("stop", *gateway, false),
        // One that is never healed is another fault: what is under way then comes in later than gateways count on.
        Step::EngineStalls { .. } => ("engines", 0, true),
        Step::EnginesHeal => ("engines", 0, false),
        Step::Spoil { gateway } => ("spoil", *gateway, true),
        Step::Mend { gateway } => ("spoil", *gateway, false),
        Step::Load { times } => ("load", 0, *times > 1),
        Step::Clock { gateway, seconds } => ("clock", *gateway, *seconds != 0),
        Step::Disk { gateway, does } => ("disk", *gateway, *does != crate::script::Does::Sound),
        _ => return None,
    })
}

/// The faults of a script, each as the places of its steps. Heals at the end of a script stay, so they are in none.
pub fn faults(script: &Script) -> Vec<Vec<usize>> {
    let last = script.steps.iter().map(|timed| timed.at_ms).max().unwrap_or(0);
    let mut taken = BTreeSet::new();
    let mut faults = Vec::new();
    for (i, Timed { at_ms, step }) in script.steps.iter().enumerate() {
        if taken.contains(&i) || (ends(step) && *at_ms == last) {
            continue;
        }
        let mut fault = vec![i];
        if let Some((word, of, true)) = pair(step) {
            let end = |(j, t): &(usize, &Timed)| {
                *j > i && !taken.contains(j) && pair(&t.step) == Some((word, of, false))
            };
            fault.extend(script.steps.iter().enumerate().find(end).map(|(j, _)| j));
        }
        taken.extend(fault.iter().copied());
        faults.push(fault);
    }
    faults
}

fn only(script: &Script, all: &[Vec<usize>], kept: &[usize]) -> Script {
    let of_faults: BTreeSet<usize> = all.iter().flatten().copied().collect();
    let stay: BTreeSet<usize> = kept.iter().flat_map(|f| &all[*f]).copied().collect();
    let steps = script.steps.iter().enumerate().filter(|(i, _)| stay.contains(i) || !of_faults.contains(i));
    Script { seed: script.seed, steps: steps.map(|(_, timed)| timed.clone()).collect() }
}

/// A script that still fails, with fewer faults, and how often `fails` was asked. It stops after `most` times.
pub fn shrink(script: &Script, most: usize, mut fails: impl FnMut(&Script) -> bool) -> (Script, usize) {
    let all = faults(script);
    let mut kept: Vec<usize> = (0..all.len()).collect();
    let (mut parts, mut asked) = (2, 0);
    while kept.len() > 1 && asked < most {
        let size = kept.len().div_ceil(parts);
        let mut less = None;
        for from in (0..kept.len()).step_by(size) {
            if asked >= most {
                break;
            }
            let rest: Vec<usize> = kept
                .iter()
                .enumerate()
                .filter(|(i, _)| *i < from || *i >= from + size)
                .map(|(_, f)| *f)
                .collect();
            asked += 1;
            if fails(&only(script, &all, &rest)) {
                less = Some(rest);
                break;
            }
        }
        match less {
            Some(rest) => (kept, parts) = (rest, (parts - 1).max(2)),
            None if size == 1 => break,
            None => parts = (parts * 2).min(kept.len()),
        }
    }
    (only(script, &all, &kept), asked)
}
