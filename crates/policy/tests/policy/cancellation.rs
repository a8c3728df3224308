//! Cancellation of attempts in flight.

use crate::common::*;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{Outcome, ProgressUpdate, Request, RoutingDecision};

#[test]
fn idempotent_attempts_that_are_silent_or_slower_than_estimated_are_cancelled() {
    // (class, fraction done after 1 s or `None` for a silent engine, whether the attempt is cancelled)
    for (class, fraction_done, cancelled) in [
        (REPORT, Some(0.01), true),
        (REPORT, Some(0.99), false),
        (DATA_LOAD, Some(0.01), false),
        (REPORT, None, true),
        (DATA_LOAD, None, false),
    ] {
        let mut gateway = typical_config().start(2);
        let (index, decision) =
            gateway.admit(0, Request { work_hint: Some(Duration::from_millis(2000)), ..request(class) });
        assert!(sent_to(decision).is_some());
        if let Some(fraction) = fraction_done {
            gateway.policy.on_progress(at_ms(1000), index, 0, ProgressUpdate::FractionDone(fraction));
        } else {
            for tick in 1..=10 {
                gateway.policy.tick(at_ms(tick * 250));
            }
        }
        let decision = gateway.policy.route(at_ms(if fraction_done.is_some() { 1001 } else { 2500 }), index);
        assert_eq!(
            decision == RoutingDecision::CancelAttempt(0),
            cancelled,
            "class {class}, fraction done {fraction_done:?}: {decision:?}"
        );
        if cancelled && fraction_done.is_some() {
            // The second attempt is as slow, so that the estimate was wrong: it is not cancelled again.
            gateway.finish_attempt(1002, index, 0, Outcome::Cancelled, 1002);
            assert!(sent_to(gateway.policy.route(at_ms(1002), index)).is_some());
            gateway.policy.on_progress(at_ms(2002), index, 1, ProgressUpdate::FractionDone(0.01));
            assert_eq!(gateway.policy.route(at_ms(2003), index), RoutingDecision::Wait);
        }
    }
}

#[test]
fn attempts_that_wait_for_a_lock_past_their_objective_are_cancelled_where_engines_swap() {
    // (whether engines swap, time in ms, whether the attempt is cancelled). The latency objective is 1.4 s.
    for (swaps_when_out_of_memory, time_ms, cancelled) in
        [(true, 1500, true), (true, 1300, false), (false, 1500, false)]
    {
        let mut config = typical_config();
        config.capabilities.swaps_when_out_of_memory = swaps_when_out_of_memory;
        let mut gateway = config.start(1);
        let (index, _) = gateway.admit(0, request(LOOKUP));
        gateway.policy.on_progress(at_ms(1000), index, 0, ProgressUpdate::WaitsForDataLock);
        assert_eq!(
            gateway.policy.route(at_ms(time_ms), index) == RoutingDecision::CancelAttempt(0),
            cancelled,
            "engines swap: {swaps_when_out_of_memory}, {time_ms} ms"
        );
    }
}

#[test]
fn attempts_of_a_disconnected_client_are_cancelled() {
    // (whether attempts can be cancelled, whether the attempt ended before the disconnection, cancelled attempts)
    for (can_cancel, ended, cancelled) in
        [(true, false, vec![0]), (false, false, vec![]), (true, true, vec![])]
    {
        let mut config = typical_config();
        config.capabilities.can_cancel = can_cancel;
        let mut gateway = config.start(1);
        let (index, _) = gateway.admit(0, request(DATA_LOAD));
        if ended {
            gateway.finish_attempt(10, index, 0, Outcome::Rejected, 10);
        }
        assert_eq!(
            gateway.policy.on_client_disconnected(index),
            cancelled,
            "can cancel: {can_cancel}, ended: {ended}"
        );
    }
}
