//! A request from admission to its final answer.

use crate::common::*;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{
    AfterAttempt, AttemptParameters, Capabilities, Outcome, PolicyConfig, ProgressUpdate, Request,
    RetryBudgetConfig, RoutingDecision, SlowStartConfig, Tenant, Topology,
};

#[test]
fn an_abandoned_request_leaves_with_its_key() {
    let mut config = PolicyConfig {
        capabilities: Capabilities {
            unobserved_attempt_lifetime: Some(Duration::from_millis(2_150)),
            ..typical_config().capabilities
        },
        ..typical_config()
    };
    config.classes[DATA_LOAD].in_order = true;
    let mut gateway = config.start(2);
    let keyed = Request { key: Some(9), ..request(DATA_LOAD) };
    let (first, decision) = gateway.admit(0, keyed.clone());
    assert!(sent_to(decision).is_some());
    let (second, _) = gateway.admit(1, keyed);
    gateway.policy.abandon(at_ms(10), first);
    for (time, turn) in [(20, false), (2_159, false), (2_160, true)] {
        assert_eq!(sent_to(gateway.policy.route(at_ms(time), second)).is_some(), turn, "{time} ms");
    }
}

#[test]
fn a_request_without_time_for_its_work_is_rejected_immediately() {
    // (class, work ms on one thread, time left ms, sent)
    for (class, work, left, sent) in [
        (LOOKUP, 200, 300, true),
        (LOOKUP, 200, 150, false),
        (REPORT, 4000, 1200, true),
        (REPORT, 4000, 900, false),
        (DATA_LOAD, 200, 90, false),
    ] {
        let one =
            Request { work_hint: Some(Duration::from_millis(work)), deadline: at_ms(left), ..request(class) };
        let (_, decision) = typical_config().start(2).admit(0, one);
        assert_eq!(sent_to(decision).is_some(), sent, "group {class}, {work} ms, {left} left: {decision:?}");
        assert!(sent || matches!(decision, RoutingDecision::Reject(Some(_))));
    }
}

#[test]
fn memory_grants_follow_reports_of_spilling() {
    for (spills, more) in [(true, true), (false, false)] {
        let mut gateway = typical_config().start(4);
        let grant = |decision| match decision {
            RoutingDecision::Send(AttemptParameters { memory_grant_mb: Some(mb), .. }) => mb,
            other => panic!("{other:?}"),
        };
        let (b, decision) = gateway.admit(0, request(LOOKUP));
        let before = grant(decision);
        if spills {
            gateway.policy.on_progress(at_ms(10), b, 0, ProgressUpdate::SpillsMb(50.0));
        }
        gateway.finish_attempt(20, b, 0, Outcome::Returned, 20);
        assert_eq!(grant(gateway.admit(30, request(LOOKUP)).1) > before, more);
    }
}

#[test]
fn a_tenant_beyond_its_quota_leaves_room_for_the_others() {
    let tenants = vec![Tenant { quota_rate: 2.0 }, Tenant { quota_rate: 100.0 }];
    let mut gateway = PolicyConfig { tenants, ..typical_config() }.start(1);
    let of = |tenant| Request { tenant: Some(tenant), ..request(LOOKUP) };
    let first = (0..40).filter(|_| sent_to(gateway.admit(0, of(0)).1).is_some()).count();
    let second = (0..40).filter(|_| sent_to(gateway.admit(0, of(1)).1).is_some()).count();
    assert!(first < 12 && second > 0, "{first} of the one, {second} of the other");
}

#[test]
fn legal_but_odd_settings_are_decided_on() {
    let odd: [fn(&mut PolicyConfig); 6] = [
        |r| r.topology = Topology::default(),
        |r| r.capabilities = Capabilities::default(),
        |r| r.slow_start = SlowStartConfig::default(),
        |r| r.retry_budget = Some(RetryBudgetConfig::default()),
        |r| r.tenants = vec![Tenant::default()],
        |r| {
            r.classes.iter_mut().for_each(|g| {
                (g.threads, g.priority_weight, g.latency_objective) = (0.0, 0.0, Duration::ZERO);
            });
        },
    ];
    for (i, change) in odd.iter().enumerate() {
        for engines in [0, 1] {
            let mut config = typical_config();
            change(&mut config);
            let mut gateway = config.start(engines);
            let (b, decision) = gateway.admit(
                0,
                Request { work_hint: None, memory_hint_mb: None, tenant: Some(0), ..request(REPORT) },
            );
            assert_eq!(sent_to(decision).is_some(), engines == 1, "case {i}");
            let more = (0..40).filter(|_| sent_to(gateway.admit(0, request(LOOKUP)).1).is_some()).count();
            assert!(more < 40, "case {i}: nothing binds");
            gateway.policy.tick(at_ms(250));
            if engines == 1 {
                assert_eq!(gateway.finish_attempt(300, b, 0, Outcome::Returned, 300), AfterAttempt::Finished);
            }
        }
    }
}

// Guards against work that outlasts a planned restart: it would be lost without an answer.
#[test]
fn requests_have_their_answer_before_the_gateway_ends() {
    // What became of its attempt, and the answer that ends it, with twenty seconds left of its own time.
    let cases = [(0, Outcome::TimedOut, true), (2, Outcome::TimedOut, false), (2, Outcome::Rejected, true)];
    for (class, outcome, harmless) in cases {
        let mut gateway = typical_config().start(2);
        let (b, decision) = gateway.admit(0, request(class));
        assert!(sent_to(decision).is_some());
        gateway.policy.set_shutdown_deadline(at_ms(3000));
        assert_eq!(gateway.policy.route(at_ms(2000), b), RoutingDecision::Wait);
        assert_eq!(gateway.finish_attempt(2990, b, 0, outcome, 2990), AfterAttempt::RouteAgain);
        let decision = gateway.policy.route(at_ms(2990), b);
        assert_eq!(matches!(decision, RoutingDecision::Reject(_)), harmless, "{outcome:?}: {decision:?}");
        assert!(harmless || decision == RoutingDecision::Fail, "{outcome:?}: {decision:?}");
    }
}
