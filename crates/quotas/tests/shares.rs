//! Division as a table; keepers and gateways under what may come between them, by seed.

use larchfall_policy::interface::{Engine, Idempotency, RequestClass};
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_quotas::Terms;
use larchfall_quotas::capacity::Capacity;
use larchfall_quotas::demand::{Came, Demand};
use larchfall_quotas::divide::{Ask, divide};
use larchfall_quotas::fair;
use larchfall_quotas::holder::Holder;
use larchfall_quotas::keeper::Keeper;
use larchfall_quotas::shares::{Asking, Settings, Shares};
use nanorand::{Rng, WyRand};
use proptest::prelude::*;

fn ask(weight: f64, demand: f64, floor: f64) -> Ask {
    Ask { weight, demand, floor }
}

#[test]
fn each_gets_what_it_asks_for_or_an_equal_multiple_of_its_weight() {
    let cases: [(f64, Vec<Ask>, &[f64]); 7] = [
        (1.0, vec![], &[]),
        (1.0, vec![ask(1.0, 9.0, 0.0), ask(1.0, 9.0, 0.0)], &[0.5, 0.5]),
        (1.0, vec![ask(1.0, 0.2, 0.0), ask(1.0, 9.0, 0.0)], &[0.2, 0.8]),
        (1.0, vec![ask(1.0, 9.0, 0.0), ask(3.0, 9.0, 0.0)], &[0.25, 0.75]),
        (1.0, vec![ask(0.0, 9.0, 0.1), ask(1.0, 9.0, 0.1)], &[0.1, 0.9]),
        (1.0, vec![ask(1.0, 9.0, 1.0), ask(1.0, 9.0, 3.0)], &[0.25, 0.75]),
        (1.0, vec![ask(1.0, 0.1, 0.0), ask(2.0, 0.3, 0.0)], &[0.1, 0.3]),
    ];
    for (whole, asks, shares) in cases {
        let got = divide(whole, &asks);
        let same = got.len() == shares.len() && got.iter().zip(shares).all(|(a, b)| (a - b).abs() < 1e-9);
        assert!(same, "{asks:?}: {got:?}");
    }
}

proptest! {
    #[test]
    fn a_division_gives_out_the_whole_or_all_that_is_asked_for_and_never_more(
        asks in proptest::collection::vec((0.0..10.0_f64, 0.0..1.0_f64, 0.0..0.02_f64), 1..40),
    ) {
        let asks: Vec<Ask> = asks.into_iter().map(|(weight, demand, floor)| ask(weight, demand, floor)).collect();
        let shares = divide(1.0, &asks);
        let sum: f64 = shares.iter().sum();
        let useful: f64 = asks.iter().filter(|a| a.weight > 0.0).map(|a| a.demand.max(a.floor)).sum();
        prop_assert!(sum <= 1.0 + 1e-9, "{}", sum);
        prop_assert!(sum >= useful.min(1.0) - 1e-6, "{} of {}", sum, useful);
        for (share, ask) in shares.iter().zip(&asks) {
            prop_assert!(*share >= ask.floor - 1e-9 && *share <= ask.demand.max(ask.floor) + 1e-9);
        }
    }
}

const LENGTH: Duration = Duration::from_millis(1000);
const WINDOW: Duration = Duration::from_millis(400);
/// The same in steps of ten milliseconds, as the slowest clock has it.
const STEPS: usize = 38;

fn terms(gateways: usize) -> Terms {
    Terms { gateways, length: LENGTH, margin: 60, window: WINDOW, strict: true }
}

/// Gateways that ask one keeper at a time; some see it and some do not, some are dead, clocks run three in a hundred off,
/// answers come late, and the keeper changes hands whenever its lease may have ended. What all use at any time, those
/// that nobody sees among them, is within the whole.
#[test]
fn what_is_used_never_adds_up_to_more_than_the_whole() {
    for seed in 0..60 {
        let mut chance = WyRand::new_seed(seed);
        let n = chance.generate_range(2..30_usize);
        let rates: Vec<f64> = (0..n).map(|_| 0.97 + 0.06 * chance.generate::<f64>()).collect();
        let clock = |at: u64, i: usize| Timestamp::from_micros(((at + 10_000_000) as f64 * rates[i]) as u64);
        let mut holders = vec![Holder::new(terms(n)); n];
        let (mut me, mut token) = (0, 1);
        let mut keeper = Keeper::new(terms(n), clock(0, me));
        let mut seen = vec![true; n];
        let mut late: Vec<(u64, usize, f64, u64, Timestamp)> = Vec::new();
        let mut most: f64 = 0.0;
        let mut lately: Vec<std::collections::VecDeque<f64>> = vec![Default::default(); n];
        for step in 0..1500_u64 {
            let at = step * 10_000;
            let i = chance.generate_range(0..n);
            if seen[i] {
                let asked = clock(at, i);
                let weight = if i % 3 == 0 { 9.0 } else { chance.generate::<f64>() };
                if let Some(share) = keeper.ask(&format!("{i}"), weight, 1.0, clock(at, me)) {
                    let arrives = at + chance.generate_range(0..1_200_000_u64);
                    late.push((arrives, i, share, token, asked));
                }
            }
            for (_, i, share, token, asked) in late.extract_if(.., |(arrives, ..)| *arrives <= at) {
                holders[i].granted(share, token, asked, clock(at, i));
            }
            match chance.generate_range(0..200_u32) {
                0 => seen.iter_mut().for_each(|seen| *seen = chance.generate::<f64>() < 0.6),
                1 => {
                    // Another has the duty now; the one before hands nothing out any more.
                    (me, token) = (chance.generate_range(0..n), token + 1);
                    keeper = Keeper::new(terms(n), clock(at, me));
                }
                _ => {}
            }
            // Within any window each may have used the most that it had in it.
            for (i, lately) in lately.iter_mut().enumerate() {
                lately.push_back(holders[i].part(clock(at, i)));
                lately.drain(..lately.len().saturating_sub(STEPS));
            }
            let used: f64 = lately.iter().map(|l| l.iter().copied().fold(0.0, f64::max)).sum();
            assert!(used <= 1.0 + 1e-6, "seed {seed}, step {step}: {used} of the whole");
            most = most.max(used);
        }
        assert!(most > 0.55, "seed {seed}: never more than {most} was used");
    }
}

/// Shares follow what gateways take, and grow by steps; those that are gone leave what they had but for the careful part.
#[test]
fn busy_gateways_get_more_and_what_the_dead_had_is_handed_on() {
    let n = 12;
    let mut keeper = Keeper::new(terms(n), Timestamp::default());
    let mut now = Timestamp::default() + LENGTH + WINDOW;
    let mut shares = vec![0.0; n];
    let mut turn = |keeper: &mut Keeper, up: usize, shares: &mut Vec<f64>| {
        for _ in 0..30 {
            now = now + LENGTH * 0.25;
            for (i, share) in shares.iter_mut().enumerate().take(up) {
                let weight = if i == 0 { 5.0 } else { 1.0 };
                *share = keeper.ask(&format!("{i}"), weight, 1.0, now).unwrap();
            }
        }
        shares[..up].iter().sum::<f64>()
    };
    let all = turn(&mut keeper, n, &mut shares);
    assert!(all > 0.99, "{all}");
    assert!(shares[0] > 4.0 * shares[1], "{shares:?}");
    let five = turn(&mut keeper, 5, &mut shares);
    // Half of it is for whoever is not seen; of the other half and their own parts those five have all.
    let careful = terms(n).careful();
    assert!((five - (1.0 - 7.0 * careful)).abs() < 0.01, "{five}");
    assert_eq!(keeper.gateways(), 5);
}

/// A gateway whose clock runs slow by half of the margin, a keeper whose clock runs fast by as much.
#[test]
fn a_share_ends_at_its_gateway_before_it_ends_at_its_keeper() {
    let terms = terms(3);
    let mut holder = Holder::new(terms);
    let asked = Timestamp::from_micros(5_000_000);
    assert!(holder.granted(0.4, 7, asked, asked));
    for true_ms in 0..1200_u64 {
        let here = asked + Duration::from_micros((true_ms as f64 * 1000.0 * 0.97) as u64);
        let over_there = true_ms as f64 * 1.03 >= LENGTH.secs() * 1000.0;
        assert!(!(over_there && holder.has_share(here)), "at {true_ms} ms");
    }
    // An older keeper's answer and one that comes too late are none.
    assert!(!holder.granted(0.9, 6, asked + LENGTH, asked + LENGTH));
    assert!(!holder.granted(0.9, 8, asked, asked + LENGTH));
    assert_eq!(holder.part(asked + LENGTH), terms.careful());
}

/// What is asked for of whom, by which weight, and what comes of it: one that keeps, one that has other terms, one that
/// hears of a newer keeper, an engine that is cold no more.
#[test]
fn gateways_ask_the_keeper_of_each_capacity_and_use_what_it_hands_out() {
    let (strict, soft) = (terms(4), Terms { strict: false, window: Duration::ZERO, ..terms(4) });
    let settings = Settings { strict, soft, keepers: 2, most: 10 };
    let (mut here, mut keeper) =
        (Shares::new(settings, Timestamp::default()), Shares::new(settings, Timestamp::default()));
    let all = [Capacity::SlowStart(4), Capacity::Threads(5), Capacity::Tenant(7)];
    let wanted = |demand: &Demand| all.map(|what| (what, demand.of_tenant(0))).to_vec();
    let came = |n: u64| Came { classes: vec![], tenants: vec![n] };
    let keeper_of = |key: u64| key as usize % 2;
    let at = |ms: u64| Timestamp::from_micros(ms * 1000);
    let by = here.terms();
    let mut last = Vec::new();
    for turn in 0..12 {
        let now = at(1 + turn * 250);
        last = here.asks(|| came(turn * 10), wanted, keeper_of, now);
        let again = here.asks(|| came(turn * 10), wanted, keeper_of, now);
        assert_eq!(again, [], "once a quarter of a share's length");
        if turn == 0 {
            let parts: Vec<f64> = here.parts(now).map(|(_, part, _)| part).collect();
            assert_eq!(parts, [0.125, 0.25, 0.25], "what it uses by itself");
        }
        for asking in &last {
            let handed = keeper.answer(7, ("here", by), &asking.wants, now);
            here.granted(asking.round, 7, &handed, now);
        }
    }
    let keys = |asking: &Asking| asking.wants.iter().map(|(key, _)| *key).collect::<Vec<_>>();
    let asked: Vec<(usize, Vec<u64>)> = last.iter().map(|a| (a.keeper, keys(a))).collect();
    assert_eq!(asked, [(0, vec![all[0].key()]), (1, vec![all[1].key(), all[2].key()])]);
    assert!(last[0].wants[0].1 > 10.0, "{last:?}");
    let now = at(2751);
    assert_eq!((here.parts(now).filter(|(.., has)| *has).count(), keeper.kept(now).count()), (3, 3));
    assert!(here.parts(now).all(|(_, part, _)| part > 2.0 * terms(4).careful()));
    // Another file's terms, a keeper that only began, an answer to a round that nobody asked in.
    let wants = [(all[0].key(), 1.0)];
    assert_eq!(keeper.answer(7, ("there", (5, by.1)), &wants, now), []);
    assert_eq!(keeper.answer(8, ("here", by), &wants, now), []);
    assert_eq!(here.granted(999, 9, &[(all[0].key(), 0.9)], now), 0);
    here.asks(|| came(0), |_| vec![(all[1], 1.0)], keeper_of, at(9000));
    assert_eq!(here.parts(at(9000)).collect::<Vec<_>>(), [(all[1].key(), 0.25, false)]);
}

#[test]
fn capacities_come_back_from_their_numbers() {
    for what in
        [Capacity::SlowStart(0), Capacity::Threads(u32::MAX), Capacity::Tenant(7), Capacity::tenant("acme")]
    {
        assert_eq!(Capacity::of(what.key()), Some(what));
    }
    assert_eq!(Capacity::of(3 << 32), None);
    assert_ne!(Capacity::tenant("acme"), Capacity::tenant("arena"));
}

/// What came is counted whatever became of it, fades, and only by classes that may go to an engine.
#[test]
fn demand_is_what_came_lately_for_an_engine_and_a_tenant() {
    let class = |threads, kinds| RequestClass {
        priority_weight: 1.0,
        latency_objective: LENGTH,
        objective_stretch: 0.0,
        effect: Idempotency::Idempotent,
        in_order: false,
        threads,
        locks_data_set: false,
        waits_for_data_lock: false,
        zones: None,
        kinds,
    };
    let classes = [class(2.0, None), class(4.0, Some(vec![1]))];
    let engine = |kind| Engine { kind, ..Engine::default() };
    let mut demand = Demand::default();
    let (mut came, mut seen) = (Came::default(), Vec::new());
    for requests in [10, 0, 0] {
        for _ in 0..requests {
            came.add(0, Some(1));
            came.add(1, None);
        }
        demand.look(came.clone());
        let of = |kind| demand.of_engine(&engine(kind), &classes);
        seen.push([of(0), of(1), demand.of_tenant(0), demand.of_tenant(1)].map(|w| (w * 100.0).round()));
    }
    assert_eq!(seen, [[2000., 6000., 5., 1000.], [1400., 4200., 5., 700.], [980., 2940., 5., 490.]]);
}

#[test]
fn fairness_is_one_where_all_get_the_same_part_of_what_they_deserve() {
    let cases: [(&[f64], f64, Option<f64>); 5] = [
        (&[], 1.0, None),
        (&[0.3, 0.3, 0.3], 1.0, Some(1.0)),
        (&[1.0, 0.0, 0.0, 0.0], 0.25, None),
        (&[3.0, 1.0], 0.8, Some(3.0)),
        (&[0.0, 0.0], 1.0, None),
    ];
    for (parts, jain, factor) in cases {
        assert!((fair::jain(parts.iter().copied()) - jain).abs() < 1e-9, "{parts:?}");
        assert_eq!(fair::factor(parts.iter().copied()), factor, "{parts:?}");
    }
}

/// A gateway that asks for everything always, an endless weight among what it says: others keep their floors, and nothing it
/// says takes from what others have before that has run out.
#[test]
fn a_greedy_gateway_leaves_all_others_their_floor() {
    let n = 12;
    let mut keeper = Keeper::new(terms(n), Timestamp::default());
    let mut now = Timestamp::default() + LENGTH + WINDOW;
    let mut least = 1.0_f64;
    for turn in 0..60 {
        now = now + LENGTH * 0.25;
        let greedy = [1e300, f64::INFINITY, f64::NAN, 1e9][turn % 4];
        keeper.ask("greedy", greedy, f64::INFINITY, now);
        for i in 1..n {
            least = least.min(keeper.ask(&format!("{i}"), 1.0, 1.0, now).unwrap());
        }
    }
    assert!(least >= terms(n).careful() - 1e-12, "{least}");
    let mut got = 0.0;
    for _ in 0..12 {
        now = now + LENGTH * 0.25;
        got = keeper.ask("greedy", 1e9, 1.0, now).unwrap();
    }
    assert!(got > 0.4, "{got}");
}

/// Of what is not strict, those without a share use even parts: with any split of the fleet into those that have shares and
/// those that have none, never more than half beyond the whole.
#[test]
fn soft_shares_go_no_more_than_half_beyond_the_whole() {
    for n in [2, 5, 12, 300] {
        let soft = Terms { strict: false, window: Duration::ZERO, ..terms(n) };
        for with in 1..=n {
            let mut keeper = Keeper::new(soft, Timestamp::default());
            let mut now = Timestamp::default() + LENGTH;
            let mut out = vec![0.0; with];
            for _ in 0..16 {
                now = now + LENGTH * 0.25;
                for (i, share) in out.iter_mut().enumerate() {
                    *share = keeper.ask(&format!("{i}"), if i == 0 { 99.0 } else { 1.0 }, 1.0, now).unwrap();
                }
                if n == 300 && with % 60 != 1 {
                    break;
                }
            }
            let all = out.iter().sum::<f64>() + soft.alone() * (n - with) as f64;
            assert!(all <= 1.5 + 1e-9, "{with} of {n}: {all}");
        }
    }
}
