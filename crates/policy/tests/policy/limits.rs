//! Concurrency limits and the congestion signal.

use crate::common::*;
use larchfall_policy::event::PolicyEvent;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{AfterAttempt, LoadReport, Outcome, ProgressUpdate, Request, RoutingDecision};

/// Guards against treating an engine as congested because its answer was delayed by a lost connection.
#[test]
fn answers_delayed_by_a_lost_connection_are_not_congestion() {
    // (progress update of each attempt, whether the late answers count as overload)
    for (update, overloaded) in [(Some(ProgressUpdate::ConnectionLost), false), (None, true)] {
        let mut gateway = typical_config().start(1);
        let requests: Vec<usize> = (0..10).map(|_| gateway.admit(0, request(LOOKUP)).0).collect();
        for index in &requests {
            update.into_iter().for_each(|update| gateway.policy.on_progress(at_ms(1), *index, 0, update));
        }
        // The first tick finds the attempts past their latency objective while in flight, the second one
        // after their late answers.
        gateway.policy.tick(at_ms(9_000));
        let events_in_flight = gateway.policy.take_events();
        requests.iter().for_each(|index| {
            assert_eq!(
                gateway.finish_attempt(9_001, *index, 0, Outcome::Returned, 9_001),
                AfterAttempt::Finished
            );
        });
        gateway.policy.tick(at_ms(9_250));
        let events = [events_in_flight, gateway.policy.take_events()].concat();
        assert_eq!(
            events.iter().any(|event| matches!(event, PolicyEvent::OverloadStarted { .. })),
            overloaded,
            "{update:?}: {events:?}"
        );
    }
}

#[test]
fn a_saturated_engine_rejects_immediately() {
    // (class, requests that an engine of 8 cores, which is 12 threads, admits)
    for (class, capacity) in [(LOOKUP, 12), (REPORT, 3), (DATA_LOAD, 6)] {
        let mut gateway = typical_config().start(1);
        let mut sent = 0;
        for _ in 0..40 {
            match gateway.admit(0, request(class)).1 {
                RoutingDecision::Send(_) => sent += 1,
                decision => assert_eq!(decision, RoutingDecision::Reject(Some(Duration::from_millis(500)))),
            }
            gateway.policy.tick(at_ms(1));
        }
        assert_eq!(sent, capacity, "class {class}");
    }
}

#[test]
fn observed_capacities_below_one_request_add_up_over_engines() {
    // (gateways, engines of 8 cores, class, threads per request of the class). The threads in use at first
    // reach the even part of the gateway in the capacity of all engines, and stay below three times that part
    // plus one request. Once the mean of the threads in use has caught up, the lower bounds of the limits
    // admit at most one request more.
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
        let even_capacity = engines as f64 * 12.0 / gateways as f64;
        let peak = gateway.count_sent(100, class) as f64 * threads;
        assert!(
            peak >= even_capacity && peak < even_capacity * 3.0 + threads,
            "{gateways} gateways, {engines} engines: {peak} threads at an even part of {even_capacity}"
        );
        (0..40).for_each(|_| gateway.policy.tick(at_ms(1)));
        assert!(gateway.count_sent(20, LOOKUP) <= 1, "{gateways} gateways, {engines} engines, class {class}");
    }
}

#[test]
fn the_observed_capacity_of_one_of_many_gateways_grows_without_late_answers_only() {
    // (gateways, engines of 8 cores, duration of each attempt in ms, whether the gateway sends more requests
    // at once after 10 s at full capacity than at the start). The latency objective is 1.4 s.
    for (gateways, engines, duration_ms, grows) in
        [(24, 14, 200, true), (100, 60, 200, true), (100, 60, 2400, false), (150, 35, 200, true)]
    {
        let mut config = typical_config();
        config.topology.gateway_count = gateways;
        let mut gateway = config.start(engines);
        let mut peaks = Vec::new();
        for round in 0..40 {
            let time = round * 250;
            let mut in_flight = Vec::new();
            while let (index, RoutingDecision::Send(_)) = gateway.admit(time, request(LOOKUP)) {
                in_flight.push(index);
            }
            gateway.policy.tick(at_ms(time));
            peaks.push(in_flight.len());
            for index in in_flight {
                gateway.finish_attempt(time + 249, index, 0, Outcome::Returned, duration_ms);
            }
        }
        assert_eq!(peaks[39] > peaks[0], grows, "{gateways} gateways, {duration_ms} ms: {peaks:?}");
    }
}

#[test]
fn only_lateness_caused_by_load_decreases_the_observed_capacity() {
    // (outcome of each attempt at the only engine, duration in ms, whether the attempt waited for a data
    // lock, whether the gateway sends fewer requests at once afterwards)
    for (outcome, duration_ms, waited_for_lock, decreases) in [
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
                let (index, _) =
                    gateway.admit(time, Request { deadline: at_ms(time + 20_000), ..request(LOOKUP) });
                if waited_for_lock {
                    gateway.policy.on_progress(at_ms(time + 50), index, 0, ProgressUpdate::WaitsForDataLock);
                }
                gateway.finish_attempt(time + duration_ms, index, 0, outcome, duration_ms);
                gateway.policy.on_client_disconnected(index);
            }
            gateway.policy.tick(at_ms(time + duration_ms));
        }
        (0..60).for_each(|_| gateway.policy.tick(at_ms(70_000)));
        let lookup = Request { deadline: at_ms(100_000), ..request(LOOKUP) };
        let sent = (0..40).filter(|_| sent_to(gateway.admit(70_000, lookup.clone()).1).is_some()).count();
        assert_eq!(
            sent < 12,
            decreases,
            "{outcome:?} after {duration_ms} ms, waited for lock: {waited_for_lock}: {sent} sent"
        );
        assert!(sent > 1, "the limits of late answers that have decayed are still enforced");
    }
}

#[test]
fn attempts_in_flight_count_as_late_before_they_answer() {
    // (fraction done at 1 s, time of the tick in ms, whether a further request is rejected). The latency
    // objective is 3 s, and attempts with a predicted duration of 6 s or more are off their estimate, which
    // is no congestion.
    for (fraction_done, time, rejected) in [
        (None, 1200, false),
        (None, 3500, true),
        (Some(0.5), 1200, false),
        (Some(0.25), 1200, true),
        (Some(0.1), 1200, false),
    ] {
        let mut gateway = typical_config().start(1);
        let lookup = Request { work_hint: Some(Duration::from_millis(1000)), ..request(LOOKUP) };
        for _ in 0..4 {
            let (index, _) = gateway.admit(0, lookup.clone());
            if let Some(fraction) = fraction_done {
                gateway.policy.on_progress(at_ms(1000), index, 0, ProgressUpdate::FractionDone(fraction));
            }
        }
        gateway.policy.tick(at_ms(time));
        assert_eq!(
            sent_to(gateway.admit(time, lookup).1).is_none(),
            rejected,
            "fraction done {fraction_done:?}, tick at {time} ms"
        );
    }
}

#[test]
fn in_overload_lower_bounds_of_limits_shrink_and_retries_are_rejected() {
    // (gateways, data loads that are still sent while all six engines are congested)
    for (gateways, data_loads) in [(1, 6), (8, 1)] {
        let mut config = typical_config();
        config.topology.gateway_count = gateways;
        let mut gateway = config.start(6);
        // Each request has a data set of its own, so that the requests spread over the engines.
        let first = gateway.admit(0, request(LOOKUP)).0;
        for data_set in 1..6 {
            assert!(sent_to(gateway.admit(0, Request { data_set, ..request(LOOKUP) }).1).is_some());
        }
        (0..60).for_each(|_| gateway.policy.tick(at_ms(5000)));
        let sent = (0..20).filter(|_| sent_to(gateway.admit(5000, request(DATA_LOAD)).1).is_some()).count();
        assert_eq!(sent, data_loads, "{gateways} gateways");
        gateway.finish_attempt(5001, first, 0, Outcome::Rejected, 1);
        assert!(matches!(gateway.policy.route(at_ms(5001), first), RoutingDecision::Reject(_)));
    }
}

#[test]
fn the_observed_capacity_settles_slightly_above_the_gateways_fraction_of_the_traffic() {
    // (attempts in flight that the engine reports, divided by six; least and most attempts of this gateway
    // that are in flight at once after a long time without late answers)
    for (reported_multiple, min_sent, max_sent) in [(None, 7, 12), (Some(4.0), 5, 6), (Some(1.0), 10, 12)] {
        let mut config = typical_config();
        config.topology.gateway_count = 4;
        let mut gateway = config.start(1);
        let mut in_flight = Vec::new();
        for round in 0..400 {
            let time = round * 250;
            let lookup = Request { deadline: at_ms(time + 9000), ..request(LOOKUP) };
            for index in std::mem::take(&mut in_flight) {
                let report = LoadReport {
                    in_flight: reported_multiple.map(|multiple| multiple * 6.0),
                    ..LoadReport::default()
                };
                gateway.finish_with_load_report(time, index, Outcome::Returned, 100, report);
            }
            while let (index, RoutingDecision::Send(_)) = gateway.admit(time, lookup.clone()) {
                in_flight.push(index);
            }
            gateway.policy.tick(at_ms(time));
        }
        assert!(
            (min_sent..=max_sent).contains(&in_flight.len()),
            "reported multiple {reported_multiple:?}: {} in flight",
            in_flight.len()
        );
    }
}
