//! Table tests of the distribution of roles, fencing, fitness and shared load reports.

use larchfall_leases::fencing::{Fenced, TokenFence};
use larchfall_leases::fitness::{Fitness, FitnessInputs, FitnessThresholds};
use larchfall_leases::load_sharing::{
    LoadReportSharing, LoadSharingSettings, SharedLoadReport, health_check_role, role_index,
};
use larchfall_leases::spread;
use larchfall_policy::time::{Duration, Timestamp};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The time `ms` milliseconds after the start of the clock.
fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

#[test]
fn a_token_is_rejected_after_a_newer_token_of_the_role() {
    let mut fence = TokenFence::default();
    for (role, token, admitted) in
        [("x", 5, true), ("x", 5, true), ("x", 7, true), ("x", 6, false), ("y", 1, true)]
    {
        assert_eq!(fence.admits(role, token), admitted, "token {token} of role {role}");
    }
    assert_eq!(fence.rejected, 1);
}

#[test]
fn only_roles_that_a_leaving_gateway_is_preferred_for_move() {
    let gateways: Vec<String> = (0..20).map(|i| format!("n{i}")).collect();
    let names = || gateways.iter().map(String::as_str);
    for i in 0..200 {
        let role = format!("d{i}");
        let first = spread::preference_order(&role, names())[0];
        let first_without_n3 = spread::preference_order(&role, names().filter(|n| *n != "n3"))[0];
        assert!(
            first == "n3" || first == first_without_n3,
            "{role} moves from {first} to {first_without_n3} although n3 leaves"
        );
        assert_eq!(spread::better_holder(&role, first, names(), 0.0), None, "{role}");
    }
}

#[test]
fn fresh_load_reports_of_the_newest_holder_are_accepted() {
    let settings = LoadSharingSettings { role_count: 2, check_interval: ms(100), max_report_age: ms(300) };
    let mut holder = LoadReportSharing::new(settings, at(0));
    let mut receiver = LoadReportSharing::new(settings, at(0));
    let engine = (0..).find(|e| role_index(*e, 2) == 1).unwrap();
    let report = SharedLoadReport { engine, age_us: 0, in_flight: Some(2.0), busy_fraction: None };
    holder.record_own_report(report, at(10));
    let sent = holder.take_unsent_reports(1, at(60));
    assert_eq!(sent, [SharedLoadReport { age_us: 50_000, ..report }]);
    assert_eq!(holder.take_unsent_reports(1, at(60)), [], "a report is sent twice");
    // (role, token, time in milliseconds, number of accepted reports or `None` if the message is rejected)
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
        let accepted_count = receiver.accept_reports(&reports, at(now)).map(|reports| reports.len());
        assert_eq!(accepted_count, accepted, "role {} under token {token} at {now} ms", reports.role);
    }
    assert!(!receiver.has_fresh_report(engine, at(9999)) && receiver.has_fresh_report(engine, at(5100)));
}

#[test]
fn a_gateway_is_fit_if_engines_are_ready_the_endpoint_list_is_fresh_and_the_gateway_is_healthy() {
    let both = FitnessThresholds { max_discovery_silence: Some(ms(1000)), unhealthy_score: Some(5) };
    let none = FitnessThresholds::default();
    let low_score = FitnessThresholds { unhealthy_score: Some(1), ..none };
    let inputs = |listed_engines, ready_engines, silence, health_score| FitnessInputs {
        listed_engines,
        ready_engines,
        discovery_silence: ms(silence),
        health_score,
    };
    // (thresholds, successive observations, each with whether the gateway is fit)
    let cases = [
        (
            none,
            vec![(inputs(0, 0, 0, 0), true), (inputs(2, 0, 0, 0), false), (inputs(2, 1, 99_999, 8), true)],
        ),
        (
            both,
            vec![(inputs(2, 2, 1000, 4), true), (inputs(2, 2, 1001, 4), false), (inputs(2, 2, 0, 4), true)],
        ),
        (both, vec![(inputs(2, 2, 0, 5), false), (inputs(2, 2, 0, 3), false), (inputs(2, 2, 0, 2), true)]),
        (both, vec![(inputs(2, 2, 0, 3), true), (inputs(2, 2, 0, 5), false), (inputs(2, 2, 0, 4), false)]),
        (low_score, vec![(inputs(1, 1, 0, 1), false), (inputs(1, 1, 0, 0), true)]),
    ];
    for (thresholds, observations) in cases {
        let mut fitness = Fitness::default();
        for (step, (inputs, is_fit)) in observations.into_iter().enumerate() {
            assert_eq!(fitness.update(thresholds, inputs), is_fit, "{thresholds:?}, step {step}: {inputs:?}");
        }
    }
}
