//! Tests of max-min division, fairness measures, capacity keys and demand.

use larchfall_policy::time::Duration;
use larchfall_policy::types::{Engine, Idempotency, RequestClass};
use larchfall_quotas::capacity::Capacity;
use larchfall_quotas::demand::{Arrivals, Demand};
use larchfall_quotas::fairness::{jain_index, max_to_min_ratio};
use larchfall_quotas::max_min::{Claim, divide};
use proptest::prelude::*;

fn claim(weight: f64, demand: f64, floor: f64) -> Claim {
    Claim { weight, demand, floor }
}

#[test]
fn shares_are_the_demand_or_a_common_multiple_of_the_weight() {
    let cases: [(f64, Vec<Claim>, &[f64]); 7] = [
        (1.0, vec![], &[]),
        (1.0, vec![claim(1.0, 9.0, 0.0), claim(1.0, 9.0, 0.0)], &[0.5, 0.5]),
        (1.0, vec![claim(1.0, 0.2, 0.0), claim(1.0, 9.0, 0.0)], &[0.2, 0.8]),
        (1.0, vec![claim(1.0, 9.0, 0.0), claim(3.0, 9.0, 0.0)], &[0.25, 0.75]),
        (1.0, vec![claim(0.0, 9.0, 0.1), claim(1.0, 9.0, 0.1)], &[0.1, 0.9]),
        (1.0, vec![claim(1.0, 9.0, 1.0), claim(1.0, 9.0, 3.0)], &[0.25, 0.75]),
        (1.0, vec![claim(1.0, 0.1, 0.0), claim(2.0, 0.3, 0.0)], &[0.1, 0.3]),
    ];
    for (whole, claims, expected) in cases {
        let shares = divide(whole, &claims);
        let is_equal =
            shares.len() == expected.len() && shares.iter().zip(expected).all(|(a, b)| (a - b).abs() < 1e-9);
        assert!(is_equal, "claims {claims:?}: shares {shares:?}, expected {expected:?}");
    }
}

proptest! {
    #[test]
    fn shares_add_up_to_the_whole_or_to_the_total_demand(
        claims in proptest::collection::vec((0.0..10.0_f64, 0.0..1.0_f64, 0.0..0.02_f64), 1..40),
    ) {
        let claims: Vec<Claim> =
            claims.into_iter().map(|(weight, demand, floor)| claim(weight, demand, floor)).collect();
        let shares = divide(1.0, &claims);
        let sum: f64 = shares.iter().sum();
        let total_demand: f64 =
            claims.iter().filter(|claim| claim.weight > 0.0).map(|claim| claim.demand.max(claim.floor)).sum();
        prop_assert!(sum <= 1.0 + 1e-9, "sum of shares is {}", sum);
        prop_assert!(sum >= total_demand.min(1.0) - 1e-6, "sum {}, total demand {}", sum, total_demand);
        for (share, claim) in shares.iter().zip(&claims) {
            prop_assert!(*share >= claim.floor - 1e-9 && *share <= claim.demand.max(claim.floor) + 1e-9);
        }
    }
}

#[test]
fn capacities_are_decoded_from_their_keys() {
    for capacity in
        [Capacity::SlowStart(0), Capacity::Threads(u32::MAX), Capacity::Tenant(7), Capacity::tenant("acme")]
    {
        assert_eq!(Capacity::from_key(capacity.key()), Some(capacity));
    }
    assert_eq!(Capacity::from_key(3 << 32), None);
    assert_ne!(Capacity::tenant("acme"), Capacity::tenant("arena"));
}

/// Demand decays with each observation, and the demand for an engine includes only the request classes that it may
/// serve.
#[test]
fn demand_counts_recent_arrivals_by_engine_and_tenant() {
    let class = |threads, kinds| RequestClass {
        priority_weight: 1.0,
        latency_objective: Duration::from_millis(1000),
        objective_stretch: 0.0,
        idempotency: Idempotency::Idempotent,
        in_order: false,
        threads,
        locks_data_set: false,
        waits_for_data_lock: false,
        allowed_zones: None,
        allowed_kinds: kinds,
    };
    let classes = [class(2.0, None), class(4.0, Some(vec![1]))];
    let engine = |kind| Engine { kind, ..Engine::default() };
    let mut demand = Demand::default();
    let mut arrivals = Arrivals::default();
    let mut observed = Vec::new();
    for requests in [10, 0, 0] {
        for _ in 0..requests {
            arrivals.count(0, Some(1));
            arrivals.count(1, None);
        }
        demand.observe(arrivals.clone());
        let engine_demand = |kind| demand.engine_demand(&engine(kind), &classes);
        observed.push(
            [engine_demand(0), engine_demand(1), demand.tenant_demand(0), demand.tenant_demand(1)]
                .map(|demand| (demand * 100.0).round()),
        );
    }
    assert_eq!(observed, [[2000., 6000., 5., 1000.], [1400., 4200., 5., 700.], [980., 2940., 5., 490.]]);
}

#[test]
fn fairness_index_is_one_for_equal_fractions() {
    let cases: [(&[f64], f64, Option<f64>); 5] = [
        (&[], 1.0, None),
        (&[0.3, 0.3, 0.3], 1.0, Some(1.0)),
        (&[1.0, 0.0, 0.0, 0.0], 0.25, None),
        (&[3.0, 1.0], 0.8, Some(3.0)),
        (&[0.0, 0.0], 1.0, None),
    ];
    for (fractions, expected_index, expected_ratio) in cases {
        assert!((jain_index(fractions.iter().copied()) - expected_index).abs() < 1e-9, "{fractions:?}");
        assert_eq!(max_to_min_ratio(fractions.iter().copied()), expected_ratio, "{fractions:?}");
    }
}
