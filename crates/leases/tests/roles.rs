//! Spread of roles, fencing, fitness and shared load reports, as tables.

use larchfall_leases::fencing::{Fenced, TokenFence};
use larchfall_leases::fitness::{Fitness, FitnessInputs, FitnessThresholds};
use larchfall_leases::load_sharing::{
    LoadReportSharing, LoadSharingSettings, SharedLoadReport, health_check_role, role_index,
};
use larchfall_leases::spread;
use larchfall_policy::time::{Duration, Timestamp};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn at(n: u64) -> Timestamp {
    Timestamp::from_micros(n * 1000)
}

#[test]
fn an_older_token_is_rejected_once_a_newer_was_seen() {
    let mut fence = TokenFence::default();
    for (role, token, admitted) in
        [("x", 5, true), ("x", 5, true), ("x", 7, true), ("x", 6, false), ("y", 1, true)]
    {
        assert_eq!(fence.admits(role, token), admitted, "{role} {token}");
    }
    assert_eq!(fence.rejected, 1);
}

#[test]
fn a_gateway_that_leaves_moves_only_what_it_was_first_for() {
    let gateways: Vec<String> = (0..20).map(|i| format!("n{i}")).collect();
    let names = || gateways.iter().map(String::as_str);
    for i in 0..200 {
        let role = format!("d{i}");
        let first = spread::preference_order(&role, names())[0];
        let without = spread::preference_order(&role, names().filter(|n| *n != "n3"))[0];
        assert!(first == "n3" || first == without, "{role} moved from {first} to {without}");
        assert_eq!(spread::better_holder(&role, first, names(), 0.0), None);
    }
}

#[test]
fn load_reports_are_accepted_from_the_newest_holder_while_they_are_fresh() {
    let settings = LoadSharingSettings { role_count: 2, check_interval: ms(100), max_report_age: ms(300) };
    let mut holder = LoadReportSharing::new(settings, at(0));
    let mut other = LoadReportSharing::new(settings, at(0));
    let engine = (0..).find(|e| role_index(*e, 2) == 1).unwrap();
    let report = SharedLoadReport { engine, age_us: 0, in_flight: Some(2.0), busy_fraction: None };
    holder.record_own_report(report, at(10));
    let sent = holder.take_unsent_reports(1, at(60));
    assert_eq!(sent, [SharedLoadReport { age_us: 50_000, ..report }]);
    assert_eq!(holder.take_unsent_reports(1, at(60)), [], "sent once");
    // (role, token, when, reports accepted; none: rejected)
    let cases = [
        (health_check_role(1), 5, 70, Some(1)),
        (health_check_role(1), 5, 70, Some(0)),
        (health_check_role(1), 4, 100, None),
        (health_check_role(0), 9, 100, Some(0)),
        (health_check_role(7), 9, 100, None),
        (health_check_role(1), 6, 5000, Some(1)),
    ];
    for (role, token, now, accepted) in cases {
        let reports = Fenced { role, token, content: sent.clone() };
        let news = other.accept_reports(&reports, at(now)).map(|reports| reports.len());
        assert_eq!(news, accepted, "{} {token} at {now}", reports.role);
    }
    assert!(!other.has_fresh_report(engine, at(9999)) && other.has_fresh_report(engine, at(5100)));
}

#[test]
fn a_gateway_is_fit_with_engines_a_fresh_list_and_health_of_its_own() {
    let all = FitnessThresholds { max_discovery_silence: Some(ms(1000)), unhealthy_score: Some(5) };
    let none = FitnessThresholds::default();
    let low_score = FitnessThresholds { unhealthy_score: Some(1), ..none };
    let inputs = |listed_engines, ready_engines, silence, health_score| FitnessInputs {
        listed_engines,
        ready_engines,
        discovery_silence: ms(silence),
        health_score,
    };
    // (thresholds, what is observed one after the other, whether it is fit then)
    let cases = [
        (
            none,
            vec![(inputs(0, 0, 0, 0), true), (inputs(2, 0, 0, 0), false), (inputs(2, 1, 99_999, 8), true)],
        ),
        (
            all,
            vec![(inputs(2, 2, 1000, 4), true), (inputs(2, 2, 1001, 4), false), (inputs(2, 2, 0, 4), true)],
        ),
        (all, vec![(inputs(2, 2, 0, 5), false), (inputs(2, 2, 0, 3), false), (inputs(2, 2, 0, 2), true)]),
        (all, vec![(inputs(2, 2, 0, 3), true), (inputs(2, 2, 0, 5), false), (inputs(2, 2, 0, 4), false)]),
        (low_score, vec![(inputs(1, 1, 0, 1), false), (inputs(1, 1, 0, 0), true)]),
    ];
    for (thresholds, observed) in cases {
        let mut fitness = Fitness::default();
        for (n, (inputs, fit)) in observed.into_iter().enumerate() {
            assert_eq!(fitness.update(thresholds, inputs), fit, "{thresholds:?} {n}: {inputs:?}");
        }
    }
}
