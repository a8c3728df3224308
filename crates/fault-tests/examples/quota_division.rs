//! One capacity divided among many gateways with uneven demand that moves: with even parts, with parts that a keeper hands
//! out, and by a divider that knows all at once. In one process, by seed.
//! cargo run --release -p larchfall-fault-tests --example quota_division [GATEWAYS ...]

use larchfall_policy::time::{Duration, Timestamp};
use larchfall_quotas::QuotaTerms;
use larchfall_quotas::allocator::Allocator;
use larchfall_quotas::fairness::jain_index;
use larchfall_quotas::held_quota::HeldQuota;
use larchfall_quotas::max_min::{Claim, divide};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

const STEP: Duration = Duration::from_millis(10);
/// How long shares last, and how often they are asked for: lost one in a hundred each way, and on the way up to so long.
const LENGTHS: [u64; 2] = [1000, 400];
const ASKS: f64 = 0.25;
const LOST: f64 = 0.01;
const WAY: u64 = 20_000;
/// The keeper begins, then all is steady; then one gateway comes to have half of all demand.
const BEGINS: u64 = 800;
const MOVES: u64 = 2_000;
const ENDS: u64 = 3_000;
const SEEDS: u64 = 5;

#[derive(Default)]
struct Shown {
    jain: f64,
    /// Of the whole, what was not used though somebody wanted it.
    unused: f64,
    /// Of all demand, what was pushed back.
    pushed_back: f64,
    steps: f64,
}

impl Shown {
    fn see(&mut self, demand: &[f64], parts: &[f64]) {
        let used = || demand.iter().zip(parts).map(|(d, p)| d.min(*p));
        let (all, sum) = (demand.iter().sum::<f64>(), used().sum::<f64>());
        self.jain += jain_index(used().zip(demand).map(|(u, d)| u / d));
        self.unused += all.min(1.0) - sum;
        self.pushed_back += (all - sum) / all;
        self.steps += 1.0;
    }

    fn row(&self) -> String {
        let mean = |n: f64| n / self.steps;
        format!("{:.3} | {:.3} | {:.3}", mean(self.jain), mean(self.unused), mean(self.pushed_back))
    }
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![10, 100, 300, 1000] } else { sizes };
    println!(
        "| fronts | demand | shares last, ms | division | Jain | unused | pushed back | follows a move, ms (half, nine tenths) | letters a front and second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for n in sizes {
        for (demand, length) in [(0.9, LENGTHS[0]), (1.2, LENGTHS[0]), (0.9, LENGTHS[1])] {
            let mut shown: [Shown; 3] = Default::default();
            let (mut follows, mut letters) = ([0.0; 2], 0.0);
            for seed in 0..SEEDS {
                let (moved, sent) = day(n, demand, Duration::from_millis(length), seed, &mut shown);
                letters += sent / SEEDS as f64;
                follows.iter_mut().zip(moved).for_each(|(all, ms)| *all += ms / SEEDS as f64);
            }
            let moved = format!("{:.0}, {:.0}", follows[0], follows[1]);
            for (how, shown, more) in [
                ("even", &shown[0], "| - | 0".to_owned()),
                ("handed out", &shown[1], format!("| {moved} | {letters:.1}")),
                ("all known", &shown[2], "| 0, 0 | -".to_owned()),
            ] {
                println!("| {n} | {demand} | {length} | {how} | {} {more} |", shown.row());
            }
        }
    }
}

/// Few want much, many little, in an order of chance.
fn wants(n: usize, all: f64, chance: &mut WyRand) -> Vec<f64> {
    let mut wants: Vec<f64> = (1..=n).map(|rank| 1.0 / rank as f64).collect();
    let sum: f64 = wants.iter().sum();
    wants.iter_mut().for_each(|want| *want *= all / sum);
    chance.shuffle(&mut wants);
    wants
}

/// How long until the gateway that demand moves to has half and nine tenths of what it is to have; letters a gateway and second.
fn day(n: usize, all: f64, length: Duration, seed: u64, shown: &mut [Shown; 3]) -> ([f64; 2], f64) {
    let mut chance = WyRand::new_seed(seed);
    let terms = QuotaTerms {
        max_gateways: n,
        length,
        drift_margin_per_mille: 60,
        usage_window: Duration::ZERO,
        strict: false,
    };
    let from = Timestamp::from_micros(1_000_000);
    let mut keeper = Allocator::new(terms, from);
    let mut holders = vec![HeldQuota::new(terms); n];
    let mut demand = wants(n, all, &mut chance);
    let mut next: Vec<Timestamp> = (0..n).map(|_| from + length * ASKS * chance.generate::<f64>()).collect();
    // By when they come: asks (none granted yet) and answers.
    type Letter = (usize, Timestamp, Option<f64>);
    let mut under_way: BTreeMap<(Timestamp, u64), Letter> = BTreeMap::new();
    let (mut number, mut sent) = (0_u64, 0.0);
    let (mut half, mut most) = (None, None);
    let to = chance.generate_range(0..n);
    for step in 0..ENDS {
        let now = from + STEP * step as f64;
        if step == MOVES {
            let rest: f64 = demand.iter().sum::<f64>() - demand[to];
            demand.iter_mut().for_each(|want| *want *= all * 0.5 / rest);
            demand[to] = all * 0.5;
        }
        let mut post = |letter: Letter, chance: &mut WyRand| {
            (number, sent) = (number + 1, sent + 1.0);
            let comes = now + Duration::from_micros(chance.generate_range(1_000..WAY));
            if chance.generate::<f64>() >= LOST {
                under_way.insert((comes, number), letter);
            }
        };
        for (i, next) in next.iter_mut().enumerate().filter(|(_, next)| **next <= now) {
            *next = *next + length * ASKS;
            post((i, now, None), &mut chance);
        }
        let later = under_way.split_off(&(now + Duration::from_micros(1), 0));
        for (_, (i, asked, granted)) in std::mem::replace(&mut under_way, later) {
            match granted {
                Some(share) => drop(holders[i].on_grant(share, 1, asked, now)),
                None => {
                    if let Some(share) = keeper.allocate(&format!("{i:04}"), demand[i], 1.0, now) {
                        number += 1;
                        sent += 1.0;
                        let comes = now + Duration::from_micros(chance.generate_range(1_000..WAY));
                        under_way.insert((comes, number), (i, asked, Some(share)));
                    }
                }
            }
        }
        if step < BEGINS {
            continue;
        }
        let handed: Vec<f64> = holders.iter().map(|h| h.fraction(now)).collect();
        let asks: Vec<Claim> = demand
            .iter()
            .map(|d| Claim { weight: 1.0, demand: *d, floor: terms.reserved_fraction().min(*d) })
            .collect();
        for (shown, parts) in shown.iter_mut().zip([vec![1.0 / n as f64; n], handed, divide(1.0, &asks)]) {
            shown.see(&demand, &parts);
        }
        // What it is to have, floors of the others taken into account.
        let floor = terms.reserved_fraction();
        let wanted: Vec<Claim> = demand.iter().map(|d| Claim { weight: *d, demand: 1.0, floor }).collect();
        let due = divide(1.0, &wanted)[to];
        let ms = step.saturating_sub(MOVES) as f64 * STEP.secs() * 1000.0;
        let has = holders[to].fraction(now);
        half = half.or((step >= MOVES && has >= due * 0.5).then_some(ms));
        most = most.or((step >= MOVES && has >= due * 0.9).then_some(ms));
    }
    let never = (ENDS - MOVES) as f64 * STEP.secs() * 1000.0;
    let seconds = ENDS as f64 * STEP.secs();
    ([half.unwrap_or(never), most.unwrap_or(never)], sent / n as f64 / seconds)
}
