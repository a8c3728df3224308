//! The seven rules, case by case.

use crate::common::*;
use larchfall_policy::event::PolicyEvent;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{
    AfterAttempt, AttemptEvidence, AttemptResult, DeduplicationScope, Engine, EngineState, Idempotency,
    LastObservation, Outcome, PolicyConfig, Request, RetryBudgetConfig, RoutingDecision,
};

#[test]
fn rule_1_every_attempt_ends_before_the_deadline() {
    // (taken at ms, time limit at ms, sent at all)
    for (time, limit, sends) in
        [(0, 1000, true), (0, 20, true), (0, 15, false), (0, 5, false), (100, 50, false)]
    {
        let mut gateway = typical_config().start(2);
        let (_, decision) =
            gateway.admit(time, Request { deadline: at_ms(limit), work_hint: None, ..request(LOOKUP) });
        match decision {
            RoutingDecision::Send(d) => {
                assert!(sends && at_ms(time) + d.timeout + Duration::from_millis(5) < at_ms(limit));
            }
            other => assert!(
                !sends && matches!(other, RoutingDecision::Reject(Some(_))),
                "{time} {limit}: {other:?}"
            ),
        }
    }
}

#[test]
fn rule_1_a_request_waiting_for_its_key_is_checked_in_time() {
    // (asked at ms, time limit at ms, asked again at ms): its look, or the last safe moment
    for (time, limit, again) in [(0, 1000, 20), (0, 30, 15), (970, 1000, 985)] {
        let mut config = typical_config();
        config.classes[DATA_LOAD].in_order = true;
        let mut gateway = config.start(1);
        gateway.admit(0, Request { key: Some(1), work_hint: None, ..request(DATA_LOAD) });
        let waiting = Request { key: Some(1), deadline: at_ms(limit), work_hint: None, ..request(DATA_LOAD) };
        let (b, decision) = gateway.admit(time, waiting);
        assert_eq!(
            (decision, gateway.policy.next_route_time(at_ms(time), b)),
            (RoutingDecision::Wait, at_ms(again))
        );
        assert!(matches!(gateway.policy.route(at_ms(limit - 15), b), RoutingDecision::Reject(_)));
    }
}

#[test]
fn rule_2_what_may_have_run_is_neither_retried_nor_rejected() {
    let with_key = |scope| Idempotency::IdempotentWithKey { scope, window: Duration::from_millis(3000) };
    let cases = [
        // effect, outcome, at ms, sent again, else pushed back
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
    for (idempotency, outcome, time, again, rejects) in cases {
        let mut config = typical_config();
        config.classes[DATA_LOAD].idempotency = idempotency;
        let mut gateway = config.start(1);
        let (b, decision) = gateway.admit(0, request(DATA_LOAD));
        assert_eq!(sent_to(decision), Some(0));
        gateway.policy.update_engine(at_ms(1), 0, Engine { state: EngineState::Gone, ..ready_engine() });
        gateway.policy.update_engine(at_ms(1), 1, Engine { zone: 1, cell: 1, ..ready_engine() });
        assert_eq!(gateway.finish_attempt(time, b, 0, outcome, time), AfterAttempt::RouteAgain);
        let decision = gateway.policy.route(at_ms(time), b);
        assert_eq!(
            sent_to(decision).is_some(),
            again,
            "{idempotency:?} {outcome:?}, {time} ms: {decision:?}"
        );
        if !again {
            assert_eq!(
                matches!(decision, RoutingDecision::Reject(_)),
                rejects,
                "{idempotency:?} {outcome:?}: {decision:?}"
            );
        }
    }
}

/// Guards against a second copy where none is allowed: an outcome on the gateway's side is no end at the engine.
#[test]
fn rule_2_no_retry_beside_what_may_run_where_a_single_attempt_is_allowed() {
    let seen = |last, same_process| AttemptEvidence { last, same_process };
    let cases = [
        // (one at a time, what was seen of the first, sent again)
        (false, seen(LastObservation::Silent, true), true),
        (true, seen(LastObservation::Silent, true), false),
        (true, seen(LastObservation::Refused, true), false),
        (true, seen(LastObservation::Stopped, false), false),
        (true, seen(LastObservation::Stopped, true), true),
        (true, seen(LastObservation::Ended, true), true),
        (true, seen(LastObservation::NotSent, false), true),
    ];
    for (single_attempt, seen, again) in cases {
        let mut config = typical_config();
        config.capabilities.forbids_hedging = single_attempt;
        let mut gateway = config.start(3);
        let (b, decision) = gateway.admit(0, request(LOOKUP));
        assert!(sent_to(decision).is_some());
        let answer = AttemptResult {
            request_finished: false,
            ..AttemptResult::from_outcome(Outcome::Cancelled, seen)
        };
        assert_eq!(gateway.policy.on_attempt_finished(at_ms(100), b, 0, &answer), AfterAttempt::RouteAgain);
        let decision = gateway.policy.route(at_ms(100), b);
        assert_eq!(sent_to(decision).is_some(), again, "{single_attempt} {seen:?}: {decision:?}");
        assert!(again || matches!(decision, RoutingDecision::Reject(_)), "{decision:?}");
    }
}

#[test]
fn rules_3_and_6_only_ready_engines_that_the_class_allows_get_anything() {
    let gone = Engine { state: EngineState::Gone, ..ready_engine() };
    let draining = Engine { state: EngineState::Draining, ..ready_engine() };
    let (kind_1, zone_1) = (Engine { kind: 1, ..ready_engine() }, Engine { zone: 1, ..ready_engine() });
    let cases = [
        // engines, kinds and zones allowed, where it goes
        (vec![gone, ready_engine()], None, None, Some(1)),
        (vec![draining, gone], None, None, None),
        (vec![], None, None, None),
        (vec![ready_engine(), kind_1], Some(vec![1]), None, Some(1)),
        (vec![ready_engine(), Engine { state: EngineState::Draining, ..kind_1 }], Some(vec![1]), None, None),
        (vec![ready_engine(), zone_1], None, Some(vec![1]), Some(1)),
        (vec![ready_engine(), zone_1], Some(vec![1]), Some(vec![1]), None),
    ];
    for (i, (engines, kinds, zones, to)) in cases.into_iter().enumerate() {
        let mut config = typical_config();
        (config.classes[REPORT].allowed_kinds, config.classes[REPORT].allowed_zones) = (kinds, zones);
        let mut gateway = config.start(0);
        for (e, engine) in engines.into_iter().enumerate() {
            gateway.policy.update_engine(at_ms(0), e, engine);
        }
        assert_eq!(sent_to(gateway.admit(0, request(REPORT)).1), to, "case {i}");
    }
}

#[test]
fn rule_3_an_expired_endpoint_list_opens_no_engine() {
    let nine = Some(Duration::from_millis(9_000));
    // (how long a list holds, when it was heard of, taken at, whether it goes out, what the tick says)
    let cases = [
        (None, &[][..], 60_000, true, &[][..]),
        (nine, &[0][..], 8_999, true, &[]),
        (nine, &[0][..], 9_000, false, &[PolicyEvent::EndpointListExpired][..]),
        (nine, &[0, 5_000][..], 13_999, true, &[]),
        (nine, &[5_000, 0][..], 13_999, true, &[]),
        (nine, &[0, 10_000][..], 10_001, true, &[]),
    ];
    for (holds, heard, time, sends, events) in cases {
        let mut config = typical_config();
        config.capabilities.endpoint_list_lifetime = holds;
        let mut gateway = config.start(2);
        heard.iter().for_each(|time| gateway.policy.confirm_endpoint_list(at_ms(*time)));
        let one = Request { deadline: at_ms(90_000), ..request(LOOKUP) };
        let (_, decision) = gateway.admit(time, one.clone());
        assert_eq!(sent_to(decision).is_some(), sends, "{holds:?} {heard:?} {time}: {decision:?}");
        assert!(sends || matches!(decision, RoutingDecision::Reject(Some(_))), "{decision:?}");
        gateway.policy.tick(at_ms(time));
        assert_eq!(gateway.policy.take_events(), events);
        gateway.policy.confirm_endpoint_list(at_ms(time));
        assert!(sent_to(gateway.admit(time, one).1).is_some(), "heard again");
    }
}

#[test]
fn rule_4_all_gateways_send_an_engine_in_slow_start_no_more_than_its_budget() {
    // (gateways, age of the engine in ms, work a request in ms, most and least that all of them send at once); what is over
    // a gateway's share goes by turns, so that only the sum says anything
    let cases = [
        (1, 500, 1000, 1, 7),
        (4, 500, 1000, 1, 4),
        (8, 500, 4000, 0, 2),
        (4, 14_000, 1000, 12, 24),
        (1, 16_000, 1000, 99, 100),
    ];
    for (gateways, age, work, least, most) in cases {
        let mut sent = 0;
        for gateway_index in 0..gateways {
            let mut config = typical_config();
            (config.topology.gateway_count, config.topology.gateway_index) = (gateways, gateway_index);
            let mut gateway = config.start(0);
            // It has been there for longer than the engine: one that has not knows nothing of what was sent before it.
            gateway.policy.update_engine(at_ms(0), 9, Engine { state: EngineState::Gone, ..ready_engine() });
            gateway.policy.update_engine(
                at_ms(20_000),
                0,
                Engine { start_time: Some(at_ms(20_000 - age)), ..ready_engine() },
            );
            let one = Request {
                work_hint: Some(Duration::from_millis(work)),
                deadline: at_ms(60_000),
                ..request(LOOKUP)
            };
            for i in 0..100 {
                // Each returns in time, so that only the cold rule holds anything back.
                let (b, decision) = gateway.admit(20_000 + i, one.clone());
                if let Some(_e) = sent_to(decision) {
                    sent += 1;
                    gateway.finish_attempt(20_000 + i, b, 0, Outcome::Returned, work);
                }
            }
        }
        assert!((least..=most).contains(&sent), "{gateways} gateways, age {age}: {sent} sent");
    }
}

#[test]
fn rule_4_holds_for_the_first_requests_of_a_gateway() {
    // (estimate of the first in ms, most that a cold engine gets of them at once); the goal has room for 1 s
    // each
    for (work, most) in [(None, 7), (Some(1000), 7)] {
        let mut gateway = typical_config().start(0);
        gateway.policy.update_engine(at_ms(0), 0, Engine { start_time: Some(at_ms(0)), ..ready_engine() });
        let one = Request { work_hint: work.map(Duration::from_millis), ..request(LOOKUP) };
        let sent = (0..12).filter(|_| sent_to(gateway.admit(0, one.clone()).1).is_some()).count();
        assert!((1..=most).contains(&sent), "{work:?}: {sent} sent");
    }
}

#[test]
fn rule_5_requests_of_one_key_go_in_order_after_a_cooldown() {
    // outcome of the first, whether the client left it, then when the second may go: at the end, or after the
    // rest
    for (outcome, left, rests) in [
        (Outcome::Returned, false, false),
        (Outcome::TimedOut, true, true),
        (Outcome::Cancelled, true, true),
        (Outcome::Reset, true, true),
        (Outcome::Errored, true, false),
    ] {
        let mut config = PolicyConfig { key_cooldown: Duration::from_millis(300), ..typical_config() };
        config.classes[DATA_LOAD].in_order = true;
        let mut gateway = config.start(3);
        let keyed = |k| Request { key: Some(k), ..request(DATA_LOAD) };
        let (first, decision) = gateway.admit(0, keyed(9));
        assert!(sent_to(decision).is_some());
        let (second, decision) = gateway.admit(1, keyed(9));
        assert_eq!(decision, RoutingDecision::Wait);
        assert!(sent_to(gateway.admit(1, keyed(8)).1).is_some(), "another key is free");
        let unordered = Request { key: Some(9), ..request(LOOKUP) };
        assert!(sent_to(gateway.admit(1, unordered).1).is_some(), "its group asks for no order");
        if left {
            gateway.policy.on_client_disconnected(first);
            assert_eq!(
                gateway.policy.route(at_ms(60), second),
                RoutingDecision::Wait,
                "an attempt of the first is still out"
            );
        }
        gateway.finish_attempt(100, first, 0, outcome, 100);
        assert_eq!(sent_to(gateway.policy.route(at_ms(110), second)).is_none(), rests, "{outcome:?}");
        assert!(
            !rests || sent_to(gateway.policy.route(at_ms(401), second)).is_some(),
            "{outcome:?} after the rest"
        );
    }
}

#[test]
fn rule_7_retries_stay_within_the_budget() {
    // (free, a request, requests returned, how a flood of 200 ends, retries got)
    for (free, per_request, returned, flood, got) in [
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
            let b = gateway.admit(0, request(LOOKUP)).0;
            gateway.finish_attempt(5, b, 0, Outcome::Returned, 5);
        }
        // Taken back, be it before or after an engine has answered: none of it may widen the retry budget.
        for outcome in (0..200).filter_map(|_| flood) {
            let b = gateway.admit(6, request(LOOKUP)).0;
            gateway.policy.on_client_disconnected(b);
            gateway.finish_attempt(7, b, 0, outcome, 1);
        }
        let mut further = 0;
        for _ in 0..10 {
            let b = gateway.admit(9, request(LOOKUP)).0;
            gateway.finish_attempt(10, b, 0, Outcome::Rejected, 1);
            further += usize::from(sent_to(gateway.policy.route(at_ms(10), b)).is_some());
        }
        assert_eq!(further, got, "{free} + {per_request} a request of {returned}, {flood:?}");
    }
}

#[test]
fn rule_7_a_returned_request_counts_from_its_admission() {
    let rule = RetryBudgetConfig {
        window: Duration::from_millis(1_000),
        free_retries: 0.0,
        retries_per_request: 1.0,
    };
    let mut gateway = PolicyConfig { retry_budget: Some(rule), ..typical_config() }.start(4);
    // A long one ends after a short one that was taken later.
    let (long, _) = gateway.admit(0, request(LOOKUP));
    let (short, _) = gateway.admit(500, request(LOOKUP));
    gateway.finish_attempt(600, short, 0, Outcome::Returned, 100);
    gateway.finish_attempt(900, long, 0, Outcome::Returned, 900);
    let mut further = |time, allowed| {
        let (b, _) = gateway.admit(time, request(LOOKUP));
        gateway.finish_attempt(time, b, 0, Outcome::Rejected, 1);
        assert_eq!(sent_to(gateway.policy.route(at_ms(time), b)).is_some(), allowed, "{time} ms");
    };
    further(999, true);
    further(1_100, false);
    further(1_600, false);
}

#[test]
fn rule_2_what_was_cut_off_and_then_rejected_may_have_run() {
    for (same_process, decision) in
        [(true, RoutingDecision::Reject(Some(Duration::from_millis(500)))), (false, RoutingDecision::Fail)]
    {
        let mut gateway =
            PolicyConfig { retry_budget: Some(RetryBudgetConfig::default()), ..typical_config() }.start(1);
        let (b, _) = gateway.admit(0, request(DATA_LOAD));
        let seen = AttemptEvidence { last: LastObservation::Declined, same_process };
        let answer =
            AttemptResult { request_finished: false, ..AttemptResult::from_outcome(Outcome::Rejected, seen) };
        gateway.policy.on_attempt_finished(at_ms(1), b, 0, &answer);
        assert_eq!(gateway.policy.route(at_ms(1), b), decision, "{same_process}");
    }
}
