//! Concurrency limits and the congestion signal.

use crate::common::*;
use larchfall_policy::event::PolicyEvent;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{AfterAttempt, LoadReport, Outcome, ProgressUpdate, Request, RoutingDecision};

/// Guards against a reply lost on the way being read as an engine that is slow.
#[test]
fn answers_late_by_a_cut_connection_are_no_congestion() {
    for (note, congested) in [(Some(ProgressUpdate::ConnectionLost), false), (None, true)] {
        let mut gateway = typical_config().start(1);
        let sent: Vec<usize> = (0..10).map(|_| gateway.admit(0, request(LOOKUP)).0).collect();
        for b in &sent {
            note.into_iter().for_each(|note| gateway.policy.on_progress(at_ms(1), *b, 0, note));
        }
        // Past the goal while out, and when answered.
        gateway.policy.tick(at_ms(9_000));
        let early = gateway.policy.take_events();
        sent.iter().for_each(|b| {
            assert_eq!(
                gateway.finish_attempt(9_001, *b, 0, Outcome::Returned, 9_001),
                AfterAttempt::Finished
            );
        });
        gateway.policy.tick(at_ms(9_250));
        let lines = [early, gateway.policy.take_events()].concat();
        assert_eq!(
            lines.iter().any(|e| matches!(e, PolicyEvent::OverloadStarted { .. })),
            congested,
            "{note:?}: {lines:?}"
        );
    }
}

#[test]
fn a_saturated_engine_rejects_immediately() {
    // One engine of 8 cores: (class, threads, most that may be out before the first is pushed back)
    for (class, most) in [(LOOKUP, 12), (REPORT, 3), (DATA_LOAD, 6)] {
        let mut gateway = typical_config().start(1);
        let mut out = 0;
        for _ in 0..40 {
            match gateway.admit(0, request(class)).1 {
                RoutingDecision::Send(_) => out += 1,
                other => assert_eq!(other, RoutingDecision::Reject(Some(Duration::from_millis(500)))),
            }
            gateway.policy.tick(at_ms(1));
        }
        assert_eq!(out, most, "class {class}");
    }
}

#[test]
fn observed_capacities_below_one_request_add_up_over_engines() {
    // (gateways, engines of 8 cores, class, its threads): out is an even share of all engines, at its peak three
    // times that and a request; once its mean has caught up, no more than one goes by its floor
    for (gateways, engines, class, threads) in [
        (24, 14, LOOKUP, 1.0),
        (24, 14, REPORT, 4.0),
        (100, 60, REPORT, 4.0),
        (150, 35, LOOKUP, 1.0),
        (600, 70, DATA_LOAD, 2.0),
    ] {
        let mut config = typical_config();
        config.topology.gateway_count = gateways;
        let mut gateway = config.start(engines);
        let fraction = engines as f64 * 12.0 / gateways as f64;
        let peak = gateway.count_sent(100, class) as f64 * threads;
        assert!(
            peak >= fraction && peak < fraction * 3.0 + threads,
            "{gateways} gateways, {engines} engines: {peak}"
        );
        (0..40).for_each(|_| gateway.policy.tick(at_ms(1)));
        assert!(gateway.count_sent(20, LOOKUP) <= 1, "{gateways} gateways, {engines} engines, class {class}");
    }
}

#[test]
fn the_observed_capacity_of_one_of_many_gateways_grows_without_late_answers_only() {
    // (gateways, engines of 8 cores, answers take ms, whether more is borne after ten full seconds); goals are
    // 1.4 s
    for (gateways, engines, took, grows) in
        [(24, 14, 200, true), (100, 60, 200, true), (100, 60, 2400, false), (150, 35, 200, true)]
    {
        let mut config = typical_config();
        config.topology.gateway_count = gateways;
        let mut gateway = config.start(engines);
        let mut peaks = Vec::new();
        for round in 0..40 {
            let time = round * 250;
            let mut out = Vec::new();
            while let (b, RoutingDecision::Send(_)) = gateway.admit(time, request(LOOKUP)) {
                out.push(b);
            }
            gateway.policy.tick(at_ms(time));
            peaks.push(out.len());
            for b in out {
                gateway.finish_attempt(time + 249, b, 0, Outcome::Returned, took);
            }
        }
        assert_eq!(peaks[39] > peaks[0], grows, "{gateways} gateways, {took} ms: {peaks:?}");
    }
}

#[test]
fn only_lateness_that_shows_load_cuts_the_observed_capacity() {
    // Outcomes at a gateway's one engine: (outcome, took ms, stood behind a holder), then whether less gets out
    // later.
    for (outcome, took, stood, cut) in [
        (Outcome::Returned, 100, false, false),
        (Outcome::Returned, 5000, false, true),
        (Outcome::Returned, 5000, true, false),
        (Outcome::TimedOut, 5000, false, true),
        (Outcome::TimedOut, 5000, true, false),
    ] {
        let mut config = typical_config();
        config.classes[LOOKUP].waits_for_data_lock = true;
        let mut gateway = config.start(1);
        for time in (0..60_000).step_by(5000) {
            for _ in 0..4 {
                let (b, _) =
                    gateway.admit(time, Request { deadline: at_ms(time + 20_000), ..request(LOOKUP) });
                if stood {
                    gateway.policy.on_progress(at_ms(time + 50), b, 0, ProgressUpdate::WaitsForDataLock);
                }
                gateway.finish_attempt(time + took, b, 0, outcome, took);
                gateway.policy.on_client_disconnected(b);
            }
            gateway.policy.tick(at_ms(time + took));
        }
        (0..60).for_each(|_| gateway.policy.tick(at_ms(70_000)));
        let one = Request { deadline: at_ms(100_000), ..request(LOOKUP) };
        let out = (0..40).filter(|_| sent_to(gateway.admit(70_000, one.clone()).1).is_some()).count();
        assert_eq!(out < 12, cut, "{outcome:?} after {took}, stood {stood}: {out} out");
        assert!(out > 1, "one late answer, long faded, still binds");
    }
}

#[test]
fn attempts_in_flight_count_as_late_before_they_answer() {
    // (share done at 1 s, tick at ms, whether one more is pushed back); the goal is 3 s, astray from 6 s.
    for (done, time, bound) in [
        (None, 1200, false),
        (None, 3500, true),
        (Some(0.5), 1200, false),
        (Some(0.25), 1200, true),
        (Some(0.1), 1200, false),
    ] {
        let mut gateway = typical_config().start(1);
        let one = Request { work_hint: Some(Duration::from_millis(1000)), ..request(LOOKUP) };
        for _ in 0..4 {
            let (b, _) = gateway.admit(0, one.clone());
            if let Some(fraction) = done {
                gateway.policy.on_progress(at_ms(1000), b, 0, ProgressUpdate::FractionDone(fraction));
            }
        }
        gateway.policy.tick(at_ms(time));
        assert_eq!(sent_to(gateway.admit(time, one).1).is_none(), bound, "{done:?}, {time} ms");
    }
}

#[test]
fn floors_shrink_and_no_retry_goes_out_in_overload() {
    // (gateways, loads that still go out while all six engines read congested)
    for (gateways, loads) in [(1, 6), (8, 1)] {
        let mut config = typical_config();
        config.topology.gateway_count = gateways;
        let mut gateway = config.start(6);
        // Each in a data set of its own, so that they spread over the engines.
        let first = gateway.admit(0, request(LOOKUP)).0;
        for data_set in 1..6 {
            assert!(sent_to(gateway.admit(0, Request { data_set, ..request(LOOKUP) }).1).is_some());
        }
        (0..60).for_each(|_| gateway.policy.tick(at_ms(5000)));
        let sent = (0..20).filter(|_| sent_to(gateway.admit(5000, request(DATA_LOAD)).1).is_some()).count();
        assert_eq!(sent, loads, "{gateways} gateways");
        gateway.finish_attempt(5001, first, 0, Outcome::Rejected, 1);
        assert!(matches!(gateway.policy.route(at_ms(5001), first), RoutingDecision::Reject(_)));
    }
}

#[test]
fn the_observed_capacity_ends_a_little_over_the_gateways_part_of_the_traffic() {
    // (requests that the engine says it holds for each of this gateway's, most out after long calm)
    for (times, least, most) in [(None, 7, 12), (Some(4.0), 5, 6), (Some(1.0), 10, 12)] {
        let mut config = typical_config();
        config.topology.gateway_count = 4;
        let mut gateway = config.start(1);
        let mut out = Vec::new();
        for round in 0..400 {
            let time = round * 250;
            let one = Request { deadline: at_ms(time + 9000), ..request(LOOKUP) };
            for b in std::mem::take(&mut out) {
                let report = LoadReport { in_flight: times.map(|t| t * 6.0), ..LoadReport::default() };
                gateway.finish_with_load_report(time, b, Outcome::Returned, 100, report);
            }
            while let (b, RoutingDecision::Send(_)) = gateway.admit(time, one.clone()) {
                out.push(b);
            }
            gateway.policy.tick(at_ms(time));
        }
        assert!((least..=most).contains(&out.len()), "{times:?}: {} out", out.len());
    }
}
