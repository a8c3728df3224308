//! Rules that every decision keeps: deadlines, idempotency, usable engines, slow start, key order and the retry
//! budget.

use crate::common::*;
use larchfall_policy::event::PolicyEvent;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{
    AfterAttempt, AttemptEvidence, AttemptResult, DeduplicationScope, Engine, EngineState, Idempotency,
    LastObservation, Outcome, PolicyConfig, Request, RetryBudgetConfig, RoutingDecision,
};

#[test]
fn every_attempt_times_out_before_the_deadline() {
    // (admission in ms, deadline in ms, whether the request is sent)
    for (time_ms, deadline_ms, sent) in
        [(0, 1000, true), (0, 20, true), (0, 15, false), (0, 5, false), (100, 50, false)]
    {
        let mut gateway = typical_config().start(2);
        let (_, decision) = gateway
            .admit(time_ms, Request { deadline: at_ms(deadline_ms), work_hint: None, ..request(LOOKUP) });
        match decision {
            RoutingDecision::Send(parameters) => {
                let end = at_ms(time_ms) + parameters.timeout;
                assert!(
                    sent && end + Duration::from_millis(5) < at_ms(deadline_ms),
                    "admitted at {time_ms} ms, deadline {deadline_ms} ms: {decision:?}"
                );
            }
            other => assert!(
                !sent && matches!(other, RoutingDecision::Reject(Some(_))),
                "admitted at {time_ms} ms, deadline {deadline_ms} ms: {other:?}"
            ),
        }
    }
}

#[test]
fn a_request_waiting_for_its_key_is_routed_again_before_its_deadline() {
    // (routed at ms, deadline in ms, next routing in ms): after the check interval, or at the latest time to answer
    for (time_ms, deadline_ms, next_ms) in [(0, 1000, 20), (0, 30, 15), (970, 1000, 985)] {
        let mut config = typical_config();
        config.classes[DATA_LOAD].in_order = true;
        let mut gateway = config.start(1);
        gateway.admit(0, Request { key: Some(1), work_hint: None, ..request(DATA_LOAD) });
        let waiting =
            Request { key: Some(1), deadline: at_ms(deadline_ms), work_hint: None, ..request(DATA_LOAD) };
        let (index, decision) = gateway.admit(time_ms, waiting);
        assert_eq!(
            (decision, gateway.policy.next_route_time(at_ms(time_ms), index)),
            (RoutingDecision::Wait, at_ms(next_ms))
        );
        assert!(matches!(gateway.policy.route(at_ms(deadline_ms - 15), index), RoutingDecision::Reject(_)));
    }
}

#[test]
fn a_request_that_may_have_run_is_repeated_only_where_idempotent() {
    let with_key = |scope| Idempotency::IdempotentWithKey { scope, window: Duration::from_millis(3000) };
    let cases = [
        // (idempotency, outcome, time of the outcome in ms, whether it is retried, whether it is otherwise rejected)
        (Idempotency::Idempotent, Outcome::Reset, 100, true, true),
        (Idempotency::Idempotent, Outcome::Rejected, 100, true, true),
        (Idempotency::NonIdempotent, Outcome::Rejected, 100, true, true),
        (Idempotency::NonIdempotent, Outcome::ConnectFailed, 100, true, true),
        (Idempotency::NonIdempotent, Outcome::Errored, 100, false, false),
        (Idempotency::NonIdempotent, Outcome::Reset, 100, false, false),
        (Idempotency::NonIdempotent, Outcome::TimedOut, 100, false, false),
        (Idempotency::NonIdempotent, Outcome::Cancelled, 100, false, false),
        (with_key(DeduplicationScope::All), Outcome::Reset, 100, true, true),
        (with_key(DeduplicationScope::All), Outcome::Reset, 3000, false, true),
        (with_key(DeduplicationScope::Zone), Outcome::Reset, 100, false, false),
        (with_key(DeduplicationScope::Cell), Outcome::Reset, 100, false, false),
        (with_key(DeduplicationScope::Cell), Outcome::ConnectFailed, 100, true, true),
    ];
    for (idempotency, outcome, time_ms, retried, rejected) in cases {
        let mut config = typical_config();
        config.classes[DATA_LOAD].idempotency = idempotency;
        let mut gateway = config.start(1);
        let (index, decision) = gateway.admit(0, request(DATA_LOAD));
        assert_eq!(sent_to(decision), Some(0));
        gateway.policy.update_engine(at_ms(1), 0, Engine { state: EngineState::Gone, ..ready_engine() });
        gateway.policy.update_engine(at_ms(1), 1, Engine { zone: 1, cell: 1, ..ready_engine() });
        assert_eq!(gateway.finish_attempt(time_ms, index, 0, outcome, time_ms), AfterAttempt::RouteAgain);
        let decision = gateway.policy.route(at_ms(time_ms), index);
        assert_eq!(
            sent_to(decision).is_some(),
            retried,
            "{idempotency:?} {outcome:?}, {time_ms} ms: {decision:?}"
        );
        if !retried {
            assert_eq!(
                matches!(decision, RoutingDecision::Reject(_)),
                rejected,
                "{idempotency:?} {outcome:?}: {decision:?}"
            );
        }
    }
}

/// Guards against two attempts of a request at the same time where only one is allowed: an outcome at the gateway does
/// not prove that the attempt ended at its engine.
#[test]
fn no_retry_while_an_attempt_may_run_where_only_a_single_attempt_is_allowed() {
    let evidence = |last, same_process| AttemptEvidence { last, same_process };
    let cases = [
        // (single attempt, evidence on the first attempt, whether the request is retried)
        (false, evidence(LastObservation::Silent, true), true),
        (true, evidence(LastObservation::Silent, true), false),
        (true, evidence(LastObservation::Refused, true), false),
        (true, evidence(LastObservation::Stopped, false), false),
        (true, evidence(LastObservation::Stopped, true), true),
        (true, evidence(LastObservation::Ended, true), true),
        (true, evidence(LastObservation::NotSent, false), true),
    ];
    for (single_attempt, evidence, retried) in cases {
        let mut config = typical_config();
        config.capabilities.forbids_hedging = single_attempt;
        let mut gateway = config.start(3);
        let (index, decision) = gateway.admit(0, request(LOOKUP));
        assert!(sent_to(decision).is_some());
        let result = AttemptResult {
            request_finished: false,
            ..AttemptResult::from_outcome(Outcome::Cancelled, evidence)
        };
        assert_eq!(
            gateway.policy.on_attempt_finished(at_ms(100), index, 0, &result),
            AfterAttempt::RouteAgain
        );
        let decision = gateway.policy.route(at_ms(100), index);
        assert_eq!(
            sent_to(decision).is_some(),
            retried,
            "single attempt: {single_attempt}, {evidence:?}: {decision:?}"
        );
        assert!(retried || matches!(decision, RoutingDecision::Reject(_)), "{decision:?}");
    }
}

#[test]
fn only_ready_engines_that_the_class_allows_are_used() {
    let gone = Engine { state: EngineState::Gone, ..ready_engine() };
    let draining = Engine { state: EngineState::Draining, ..ready_engine() };
    let (kind_1, zone_1) = (Engine { kind: 1, ..ready_engine() }, Engine { zone: 1, ..ready_engine() });
    let cases = [
        // (engines, kinds and zones that the class allows, engine that the request is sent to)
        (vec![gone, ready_engine()], None, None, Some(1)),
        (vec![draining, gone], None, None, None),
        (vec![], None, None, None),
        (vec![ready_engine(), kind_1], Some(vec![1]), None, Some(1)),
        (vec![ready_engine(), Engine { state: EngineState::Draining, ..kind_1 }], Some(vec![1]), None, None),
        (vec![ready_engine(), zone_1], None, Some(vec![1]), Some(1)),
        (vec![ready_engine(), zone_1], Some(vec![1]), Some(vec![1]), None),
    ];
    for (case, (engines, kinds, zones, expected)) in cases.into_iter().enumerate() {
        let mut config = typical_config();
        (config.classes[REPORT].allowed_kinds, config.classes[REPORT].allowed_zones) = (kinds, zones);
        let mut gateway = config.start(0);
        for (i, engine) in engines.into_iter().enumerate() {
            gateway.policy.update_engine(at_ms(0), i, engine);
        }
        assert_eq!(sent_to(gateway.admit(0, request(REPORT)).1), expected, "case {case}");
    }
}

#[test]
fn nothing_is_sent_while_the_endpoint_list_is_expired() {
    let lifetime_9s = Some(Duration::from_millis(9_000));
    // (lifetime of the list, confirmations in ms, admission in ms, whether the request is sent, events of the tick)
    let cases = [
        (None, &[][..], 60_000, true, &[][..]),
        (lifetime_9s, &[0][..], 8_999, true, &[]),
        (lifetime_9s, &[0][..], 9_000, false, &[PolicyEvent::EndpointListExpired][..]),
        (lifetime_9s, &[0, 5_000][..], 13_999, true, &[]),
        (lifetime_9s, &[5_000, 0][..], 13_999, true, &[]),
        (lifetime_9s, &[0, 10_000][..], 10_001, true, &[]),
    ];
    for (lifetime, confirmed, time_ms, sent, events) in cases {
        let mut config = typical_config();
        config.capabilities.endpoint_list_lifetime = lifetime;
        let mut gateway = config.start(2);
        confirmed.iter().for_each(|time_ms| gateway.policy.confirm_endpoint_list(at_ms(*time_ms)));
        let lookup = Request { deadline: at_ms(90_000), ..request(LOOKUP) };
        let (_, decision) = gateway.admit(time_ms, lookup.clone());
        assert_eq!(
            sent_to(decision).is_some(),
            sent,
            "lifetime {lifetime:?}, confirmed at {confirmed:?}, {time_ms} ms: {decision:?}"
        );
        assert!(sent || matches!(decision, RoutingDecision::Reject(Some(_))), "{decision:?}");
        gateway.policy.tick(at_ms(time_ms));
        assert_eq!(gateway.policy.take_events(), events);
        gateway.policy.confirm_endpoint_list(at_ms(time_ms));
        assert!(
            sent_to(gateway.admit(time_ms, lookup).1).is_some(),
            "not sent although the list was confirmed again"
        );
    }
}

#[test]
fn all_gateways_together_stay_within_the_slow_start_budget_of_an_engine() {
    // (gateways, age of the engine in ms, work per request in ms, minimum and maximum of requests that all gateways
    // send at once). Requests beyond a gateway's fraction of the budget are sent by slots, so that only the sum is
    // bounded.
    let cases = [
        (1, 500, 1000, 1, 7),
        (4, 500, 1000, 1, 4),
        (8, 500, 4000, 0, 2),
        (4, 14_000, 1000, 12, 24),
        (1, 16_000, 1000, 99, 100),
    ];
    for (gateways, age_ms, work_ms, min_sent, max_sent) in cases {
        let mut sent = 0;
        for gateway_index in 0..gateways {
            let mut config = typical_config();
            (config.topology.gateway_count, config.topology.gateway_index) = (gateways, gateway_index);
            let mut gateway = config.start(0);
            // The gateway learns of engines before this one starts. A gateway that starts later does not know what was
            // sent to the engine before.
            gateway.policy.update_engine(at_ms(0), 9, Engine { state: EngineState::Gone, ..ready_engine() });
            gateway.policy.update_engine(
                at_ms(20_000),
                0,
                Engine { start_time: Some(at_ms(20_000 - age_ms)), ..ready_engine() },
            );
            let lookup = Request {
                work_hint: Some(Duration::from_millis(work_ms)),
                deadline: at_ms(60_000),
                ..request(LOOKUP)
            };
            for i in 0..100 {
                // Each request returns in time, so that only slow start rejects any.
                let (index, decision) = gateway.admit(20_000 + i, lookup.clone());
                if sent_to(decision).is_some() {
                    sent += 1;
                    gateway.finish_attempt(20_000 + i, index, 0, Outcome::Returned, work_ms);
                }
            }
        }
        assert!((min_sent..=max_sent).contains(&sent), "{gateways} gateways, age {age_ms} ms: {sent} sent");
    }
}

#[test]
fn the_first_requests_of_a_gateway_stay_within_the_slow_start_budget() {
    // (work hint in ms, maximum of requests that an engine gets at its start). The latency objective has room for 1 s
    // of work per request.
    for (work_ms, max_sent) in [(None, 7), (Some(1000), 7)] {
        let mut gateway = typical_config().start(0);
        gateway.policy.update_engine(at_ms(0), 0, Engine { start_time: Some(at_ms(0)), ..ready_engine() });
        let lookup = Request { work_hint: work_ms.map(Duration::from_millis), ..request(LOOKUP) };
        let sent = (0..12).filter(|_| sent_to(gateway.admit(0, lookup.clone()).1).is_some()).count();
        assert!((1..=max_sent).contains(&sent), "work hint {work_ms:?} ms: {sent} sent");
    }
}

#[test]
fn requests_of_one_key_are_sent_in_order_after_a_cooldown() {
    // (outcome of the first request, whether its client disconnected, whether the second request waits for the
    // cooldown)
    for (outcome, disconnected, cools_down) in [
        (Outcome::Returned, false, false),
        (Outcome::TimedOut, true, true),
        (Outcome::Cancelled, true, true),
        (Outcome::Reset, true, true),
        (Outcome::Errored, true, false),
    ] {
        let mut config = PolicyConfig { key_cooldown: Duration::from_millis(300), ..typical_config() };
        config.classes[DATA_LOAD].in_order = true;
        let mut gateway = config.start(3);
        let keyed = |key| Request { key: Some(key), ..request(DATA_LOAD) };
        let (first, decision) = gateway.admit(0, keyed(9));
        assert!(sent_to(decision).is_some());
        let (second, decision) = gateway.admit(1, keyed(9));
        assert_eq!(decision, RoutingDecision::Wait);
        assert!(sent_to(gateway.admit(1, keyed(8)).1).is_some(), "a request of another key was not sent");
        let unordered = Request { key: Some(9), ..request(LOOKUP) };
        assert!(
            sent_to(gateway.admit(1, unordered).1).is_some(),
            "a request of a class without order was not sent"
        );
        if disconnected {
            gateway.policy.on_client_disconnected(first);
            assert_eq!(
                gateway.policy.route(at_ms(60), second),
                RoutingDecision::Wait,
                "an attempt of the first request is still in flight"
            );
        }
        gateway.finish_attempt(100, first, 0, outcome, 100);
        assert_eq!(sent_to(gateway.policy.route(at_ms(110), second)).is_none(), cools_down, "{outcome:?}");
        assert!(
            !cools_down || sent_to(gateway.policy.route(at_ms(401), second)).is_some(),
            "{outcome:?}: not sent after the cooldown"
        );
    }
}

#[test]
fn retries_stay_within_the_budget() {
    // (free retries, retries per request, returned requests, outcome of 200 disconnected requests, expected retries)
    for (free, per_request, returned, flood, expected) in [
        (0.0, 0.0, 10, None, 0),
        (2.0, 0.0, 10, None, 2),
        (2.0, 0.1, 20, None, 4),
        (0.0, 0.1, 9, None, 0),
        (2.0, 0.1, 20, Some(Outcome::Cancelled), 4),
        (2.0, 0.1, 20, Some(Outcome::Errored), 4),
        (2.0, 0.1, 20, Some(Outcome::Returned), 4),
        (2.0, 0.1, 0, Some(Outcome::Cancelled), 2),
    ] {
        let rule = RetryBudgetConfig {
            window: Duration::from_millis(10_000),
            free_retries: free,
            retries_per_request: per_request,
        };
        let config = PolicyConfig { retry_budget: Some(rule), ..typical_config() };
        let mut gateway = config.start(4);
        for _ in 0..returned {
            let index = gateway.admit(0, request(LOOKUP)).0;
            gateway.finish_attempt(5, index, 0, Outcome::Returned, 5);
        }
        // Requests of disconnected clients must not add to the retry budget, whatever their outcome.
        for outcome in (0..200).filter_map(|_| flood) {
            let index = gateway.admit(6, request(LOOKUP)).0;
            gateway.policy.on_client_disconnected(index);
            gateway.finish_attempt(7, index, 0, outcome, 1);
        }
        let mut retries = 0;
        for _ in 0..10 {
            let index = gateway.admit(9, request(LOOKUP)).0;
            gateway.finish_attempt(10, index, 0, Outcome::Rejected, 1);
            retries += usize::from(sent_to(gateway.policy.route(at_ms(10), index)).is_some());
        }
        assert_eq!(
            retries, expected,
            "{free} free, {per_request} per request, {returned} returned, flood {flood:?}"
        );
    }
}

#[test]
fn a_returned_request_adds_to_the_budget_from_its_admission() {
    let rule = RetryBudgetConfig {
        window: Duration::from_millis(1_000),
        free_retries: 0.0,
        retries_per_request: 1.0,
    };
    let mut gateway = PolicyConfig { retry_budget: Some(rule), ..typical_config() }.start(4);
    // The long request ends after the short one, which was admitted later.
    let (long, _) = gateway.admit(0, request(LOOKUP));
    let (short, _) = gateway.admit(500, request(LOOKUP));
    gateway.finish_attempt(600, short, 0, Outcome::Returned, 100);
    gateway.finish_attempt(900, long, 0, Outcome::Returned, 900);
    let mut assert_retried = |time_ms, expected| {
        let (index, _) = gateway.admit(time_ms, request(LOOKUP));
        gateway.finish_attempt(time_ms, index, 0, Outcome::Rejected, 1);
        assert_eq!(sent_to(gateway.policy.route(at_ms(time_ms), index)).is_some(), expected, "{time_ms} ms");
    };
    assert_retried(999, true);
    assert_retried(1_100, false);
    assert_retried(1_600, false);
}

#[test]
fn a_rejection_by_another_process_does_not_prove_that_the_attempt_never_ran() {
    for (same_process, decision) in
        [(true, RoutingDecision::Reject(Some(Duration::from_millis(500)))), (false, RoutingDecision::Fail)]
    {
        let mut gateway =
            PolicyConfig { retry_budget: Some(RetryBudgetConfig::default()), ..typical_config() }.start(1);
        let (index, _) = gateway.admit(0, request(DATA_LOAD));
        let evidence = AttemptEvidence { last: LastObservation::Declined, same_process };
        let result = AttemptResult {
            request_finished: false,
            ..AttemptResult::from_outcome(Outcome::Rejected, evidence)
        };
        gateway.policy.on_attempt_finished(at_ms(1), index, 0, &result);
        assert_eq!(gateway.policy.route(at_ms(1), index), decision, "same process: {same_process}");
    }
}
