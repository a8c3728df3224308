//! Requests from their admission to their final answer.

use crate::common::*;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{
    AfterAttempt, AttemptParameters, Capabilities, Outcome, PolicyConfig, ProgressUpdate, Request,
    RetryBudgetConfig, RoutingDecision, SlowStartConfig, Tenant, Topology,
};

#[test]
fn the_key_of_an_abandoned_request_is_free_after_the_unobserved_lifetime() {
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
    for (time_ms, sent) in [(20, false), (2_159, false), (2_160, true)] {
        assert_eq!(sent_to(gateway.policy.route(at_ms(time_ms), second)).is_some(), sent, "{time_ms} ms");
    }
}

#[test]
fn a_request_without_time_for_its_work_is_rejected_immediately() {
    // (class, work in ms of one thread, remaining time in ms, whether the request is sent)
    for (class, work_ms, remaining_ms, sent) in [
        (LOOKUP, 200, 300, true),
        (LOOKUP, 200, 150, false),
        (REPORT, 4000, 1200, true),
        (REPORT, 4000, 900, false),
        (DATA_LOAD, 200, 90, false),
    ] {
        let request = Request {
            work_hint: Some(Duration::from_millis(work_ms)),
            deadline: at_ms(remaining_ms),
            ..request(class)
        };
        let (_, decision) = typical_config().start(2).admit(0, request);
        let case = format!("class {class}, {work_ms} ms of work, {remaining_ms} ms remaining: {decision:?}");
        assert_eq!(sent_to(decision).is_some(), sent, "{case}");
        assert!(sent || matches!(decision, RoutingDecision::Reject(Some(_))), "{case}");
    }
}

#[test]
fn memory_grants_grow_after_an_attempt_spilled() {
    for (spills, grows) in [(true, true), (false, false)] {
        let mut gateway = typical_config().start(4);
        let grant = |decision| match decision {
            RoutingDecision::Send(AttemptParameters { memory_grant_mb: Some(mb), .. }) => mb,
            other => panic!("{other:?}"),
        };
        let (index, decision) = gateway.admit(0, request(LOOKUP));
        let before = grant(decision);
        if spills {
            gateway.policy.on_progress(at_ms(10), index, 0, ProgressUpdate::SpillsMb(50.0));
        }
        gateway.finish_attempt(20, index, 0, Outcome::Returned, 20);
        assert_eq!(grant(gateway.admit(30, request(LOOKUP)).1) > before, grows, "spills: {spills}");
    }
}

#[test]
fn a_tenant_beyond_its_quota_leaves_room_for_the_others() {
    let tenants = vec![Tenant { quota_rate: 2.0 }, Tenant { quota_rate: 100.0 }];
    let mut gateway = PolicyConfig { tenants, ..typical_config() }.start(1);
    let lookup_of = |tenant| Request { tenant: Some(tenant), ..request(LOOKUP) };
    let first = (0..40).filter(|_| sent_to(gateway.admit(0, lookup_of(0)).1).is_some()).count();
    let second = (0..40).filter(|_| sent_to(gateway.admit(0, lookup_of(1)).1).is_some()).count();
    assert!(first < 12 && second > 0, "{first} requests of the first tenant sent, {second} of the second");
}

#[test]
fn zero_and_default_settings_still_give_decisions() {
    let changes: [fn(&mut PolicyConfig); 6] = [
        |config| config.topology = Topology::default(),
        |config| config.capabilities = Capabilities::default(),
        |config| config.slow_start = SlowStartConfig::default(),
        |config| config.retry_budget = Some(RetryBudgetConfig::default()),
        |config| config.tenants = vec![Tenant::default()],
        |config| {
            config.classes.iter_mut().for_each(|class| {
                (class.threads, class.priority_weight, class.latency_objective) = (0.0, 0.0, Duration::ZERO);
            });
        },
    ];
    for (case, change) in changes.iter().enumerate() {
        for engines in [0, 1] {
            let mut config = typical_config();
            change(&mut config);
            let mut gateway = config.start(engines);
            let (index, decision) = gateway.admit(
                0,
                Request { work_hint: None, memory_hint_mb: None, tenant: Some(0), ..request(REPORT) },
            );
            assert_eq!(sent_to(decision).is_some(), engines == 1, "case {case}, {engines} engines");
            let sent = (0..40).filter(|_| sent_to(gateway.admit(0, request(LOOKUP)).1).is_some()).count();
            assert!(sent < 40, "case {case}, {engines} engines: no limit applied");
            gateway.policy.tick(at_ms(250));
            if engines == 1 {
                assert_eq!(
                    gateway.finish_attempt(300, index, 0, Outcome::Returned, 300),
                    AfterAttempt::Finished
                );
            }
        }
    }
}

// Guards against requests that outlast a planned restart and would be lost without an answer.
#[test]
fn requests_are_answered_before_the_shutdown_deadline() {
    // (class, outcome of the attempt, whether the request is rejected rather than failed). The request's own deadline
    // is 20 s away.
    let cases = [
        (LOOKUP, Outcome::TimedOut, true),
        (DATA_LOAD, Outcome::TimedOut, false),
        (DATA_LOAD, Outcome::Rejected, true),
    ];
    for (class, outcome, rejected) in cases {
        let mut gateway = typical_config().start(2);
        let (index, decision) = gateway.admit(0, request(class));
        assert!(sent_to(decision).is_some());
        gateway.policy.set_shutdown_deadline(at_ms(3000));
        assert_eq!(gateway.policy.route(at_ms(2000), index), RoutingDecision::Wait);
        assert_eq!(gateway.finish_attempt(2990, index, 0, outcome, 2990), AfterAttempt::RouteAgain);
        let decision = gateway.policy.route(at_ms(2990), index);
        assert_eq!(matches!(decision, RoutingDecision::Reject(_)), rejected, "{outcome:?}: {decision:?}");
        assert!(rejected || decision == RoutingDecision::Fail, "{outcome:?}: {decision:?}");
    }
}

/// Guards against attempts for a client that has closed its connections: what waits for its key ends instead, and does
/// not hold up the requests behind it.
#[test]
fn no_attempt_begins_for_a_client_that_has_left_unless_it_comes_back() {
    // (absent from, present again from, routed at, sent)
    for (absent_ms, present_ms, routed_ms, sent) in [
        (100, None, 149, true),
        (100, None, 150, false),
        (100, Some(120), 150, true),
        (100, Some(180), 190, true),
    ] {
        let mut config = typical_config();
        config.classes[DATA_LOAD].in_order = true;
        let mut gateway = config.start(1);
        let keyed = Request { key: Some(9), ..request(DATA_LOAD) };
        let (first, _) = gateway.admit(0, keyed.clone());
        let (second, decision) = gateway.admit(1, keyed.clone());
        assert_eq!(decision, RoutingDecision::Wait);
        let (third, _) = gateway.admit(2, keyed);
        gateway.policy.set_client_present(at_ms(absent_ms), second, false);
        if let Some(present_ms) = present_ms {
            gateway.policy.set_client_present(at_ms(present_ms), second, true);
        }
        assert_eq!(gateway.policy.route(at_ms(routed_ms), second), RoutingDecision::Wait, "before its turn");
        gateway.finish_attempt(routed_ms, first, 0, Outcome::Returned, 10);
        let decision = gateway.policy.route(at_ms(routed_ms), second);
        let case = format!("absent from {absent_ms}, present from {present_ms:?}, routed at {routed_ms}");
        assert_eq!(sent_to(decision).is_some(), sent, "{case}: {decision:?}");
        if sent {
            assert!(gateway.policy.may_start_attempt(at_ms(routed_ms), second, 0), "{case}");
            gateway.policy.set_client_present(at_ms(routed_ms), second, false);
            assert!(!gateway.policy.may_start_attempt(at_ms(routed_ms + 50), second, 0), "{case}");
        } else {
            assert!(matches!(decision, RoutingDecision::Reject(_)), "{case}: {decision:?}");
            assert!(sent_to(gateway.policy.route(at_ms(routed_ms), third)).is_some(), "{case}");
        }
    }
}
