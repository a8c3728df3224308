//! Attempts that are cancelled while in flight.

use crate::common::*;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{Outcome, ProgressUpdate, Request, RoutingDecision};

#[test]
fn attempts_off_their_estimate_or_silent_are_cancelled_where_they_may_run_again() {
    // (class, share done after 1 s, heard from others since, call it off)
    for (class, done, off) in [
        (REPORT, Some(0.01), true),
        (REPORT, Some(0.99), false),
        (DATA_LOAD, Some(0.01), false),
        (REPORT, None, true),
        (DATA_LOAD, None, false),
    ] {
        let mut gateway = typical_config().start(2);
        let (b, decision) =
            gateway.admit(0, Request { work_hint: Some(Duration::from_millis(2000)), ..request(class) });
        assert!(sent_to(decision).is_some());
        if let Some(fraction) = done {
            gateway.policy.on_progress(at_ms(1000), b, 0, ProgressUpdate::FractionDone(fraction));
        } else {
            for tick in 1..=10 {
                gateway.policy.tick(at_ms(tick * 250));
            }
        }
        let decision = gateway.policy.route(at_ms(if done.is_some() { 1001 } else { 2500 }), b);
        assert_eq!(
            decision == RoutingDecision::CancelAttempt(0),
            off,
            "group {class}, done {done:?}: {decision:?}"
        );
        if off && done.is_some() {
            // What is as slow elsewhere was estimated wrong: once is enough.
            gateway.finish_attempt(1002, b, 0, Outcome::Cancelled, 1002);
            assert!(sent_to(gateway.policy.route(at_ms(1002), b)).is_some());
            gateway.policy.on_progress(at_ms(2002), b, 1, ProgressUpdate::FractionDone(0.01));
            assert_eq!(gateway.policy.route(at_ms(2003), b), RoutingDecision::Wait);
        }
    }
}

#[test]
fn attempts_that_wait_past_their_objective_are_cancelled_where_engines_swap() {
    // (engines page, asked at ms, call it off); the goal is 1.4 s
    for (swaps_when_out_of_memory, time, off) in
        [(true, 1500, true), (true, 1300, false), (false, 1500, false)]
    {
        let mut config = typical_config();
        config.capabilities.swaps_when_out_of_memory = swaps_when_out_of_memory;
        let mut gateway = config.start(1);
        let (b, _) = gateway.admit(0, request(LOOKUP));
        gateway.policy.on_progress(at_ms(1000), b, 0, ProgressUpdate::WaitsForDataLock);
        assert_eq!(
            gateway.policy.route(at_ms(time), b) == RoutingDecision::CancelAttempt(0),
            off,
            "{swaps_when_out_of_memory}, {time} ms"
        );
    }
}

#[test]
fn attempts_of_a_disconnected_client_are_cancelled() {
    // (may call off, outcome known before the client left, what is called off)
    for (may, ended, off) in [(true, false, vec![0]), (false, false, vec![]), (true, true, vec![])] {
        let mut config = typical_config();
        config.capabilities.can_cancel = may;
        let mut gateway = config.start(1);
        let (b, _) = gateway.admit(0, request(DATA_LOAD));
        if ended {
            gateway.finish_attempt(10, b, 0, Outcome::Rejected, 10);
        }
        assert_eq!(gateway.policy.on_client_disconnected(b), off, "{may} {ended}");
    }
}
