//! Engine selection: the engine to which a request is sent.

use crate::common::*;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{AttemptResult, Engine, LoadReport, Outcome, Request, RoutingDecision};

#[test]
fn a_class_restricted_to_one_engine_kind_leaves_other_kinds_to_other_classes() {
    // (gateways, requests of the report class that fill kind 1, data loads that are still sent, most of these
    // data loads that may go to kind 1). The report class is restricted to kind 1.
    for (gateways, reports, data_loads, max_to_kind_1) in [(24, 20, 2, 0), (60, 20, 1, 0), (24, 0, 2, 1)] {
        let mut config = typical_config();
        config.topology.gateway_count = gateways;
        config.classes[REPORT].allowed_kinds = Some(vec![1]);
        let mut gateway = config.start(8);
        (0..8).for_each(|offset| {
            gateway.policy.update_engine(at_ms(0), 8 + offset, Engine { kind: 1, ..ready_engine() });
        });
        assert!(reports == 0 || gateway.count_sent(reports, REPORT) < reports, "kind 1 is not full");
        let engines: Vec<_> =
            (0..data_loads).filter_map(|_| sent_to(gateway.admit(3, request(DATA_LOAD)).1)).collect();
        assert_eq!(engines.len(), data_loads, "{gateways} gateways, {reports} reports");
        assert!(
            engines.iter().filter(|engine| **engine >= 8).count() <= max_to_kind_1,
            "{gateways} gateways: {engines:?}"
        );
    }
}

#[test]
fn load_reports_and_slow_answers_move_requests_to_the_less_loaded_engine() {
    // (gateways, duration in ms of attempts at engine 0, busy fraction that engine 0 reports, delay in ms
    // before the measured requests, whether all of them go to engine 1). Attempts at engine 1 take 100 ms,
    // and where engine 0 reports a busy fraction, engine 1 reports 0.5. The reported work is 100 ms. Reports
    // that are 5 s old no longer count.
    for (gateways, duration_ms, busy_fraction, delay_ms, all_to_engine_1) in [
        (60, 800, None, 0, true),
        (60, 100, Some(1.0), 0, true),
        (60, 800, Some(1.0), 5000, false),
        (60, 100, None, 0, false),
    ] {
        let mut config = typical_config();
        config.topology.gateway_count = gateways;
        let mut gateway = config.start(2);
        let mut time = 0;
        for _ in 0..40 {
            time += 1000;
            let lookup = Request { deadline: at_ms(time + 5000), ..request(LOOKUP) };
            let (index, RoutingDecision::Send(parameters)) = gateway.admit(time, lookup) else { continue };
            let (duration_ms, busy_fraction) = if parameters.engine == 0 {
                (duration_ms, busy_fraction)
            } else {
                (100, busy_fraction.map(|_| 0.5))
            };
            let (duration, reported_work) =
                (Duration::from_millis(duration_ms), Some(Duration::from_millis(100)));
            let load_report = LoadReport { in_flight: None, busy_fraction };
            let result = AttemptResult {
                outcome: Outcome::Returned,
                duration,
                request_finished: true,
                evidence: ENDED_BY_ENGINE,
                reported_work,
                load_report,
            };
            gateway.policy.on_attempt_finished(at_ms(time) + duration, index, 0, &result);
            gateway.policy.tick(at_ms(time + 900));
        }
        let mut to_engine_1 = 0;
        for number in 0..8 {
            let now = time + 900 + delay_ms + number;
            // Each request has a data set of its own, so that none is cached, and ends before the next one
            // arrives.
            let lookup =
                Request { deadline: at_ms(now + 5000), data_set: 90 + number as u32, ..request(LOOKUP) };
            let (index, decision) = gateway.admit(now, lookup);
            to_engine_1 += usize::from(sent_to(decision) == Some(1));
            gateway.finish_attempt(now, index, 0, Outcome::Cancelled, 0);
            gateway.policy.on_client_disconnected(index);
        }
        assert_eq!(
            to_engine_1 == 8,
            all_to_engine_1,
            "{gateways} gateways, {duration_ms} ms, busy fraction {busy_fraction:?}: {to_engine_1} of 8"
        );
    }
}

#[test]
fn cached_data_sets_the_own_zone_and_idle_connections_break_near_ties() {
    // (zone of engine 1, whether all requests read the same data set, connection cost, lifetime of an idle
    // connection in ms, whether all requests go to the same engine)
    let cases = [
        (0, true, 0.0, 0, true),
        (1, false, 0.0, 0, true),
        (0, false, 0.0, 0, false),
        (0, false, 0.1, 10, true),
        (0, false, 0.0, 10, false),
        // The connection is closed before the next request arrives.
        (0, false, 0.1, 1, false),
    ];
    for (zone_1, same_data_set, connection_cost, lifetime_ms, same_engine) in cases {
        let mut config = typical_config();
        (config.capabilities.connection_cost, config.capabilities.idle_connection_lifetime) =
            (connection_cost, Duration::from_millis(lifetime_ms));
        let mut gateway = config.start(2);
        gateway.policy.update_engine(at_ms(1), 1, Engine { zone: zone_1, ..ready_engine() });
        let mut sent_to_0 = 0;
        for time in 0..20 {
            let data_set = if same_data_set { 5 } else { 100 + time as u32 };
            let (index, decision) = gateway.admit(3 * time, Request { data_set, ..request(LOOKUP) });
            sent_to_0 += usize::from(sent_to(decision) == Some(0));
            gateway.finish_attempt(3 * time, index, 0, Outcome::Returned, 1);
        }
        let case = format!(
            "zone {zone_1}, same data set {same_data_set}, cost {connection_cost}, lifetime {lifetime_ms} ms"
        );
        assert_eq!(sent_to_0 == 20 || sent_to_0 == 0, same_engine, "{case}: {sent_to_0} of 20 to engine 0");
    }
}

#[test]
fn requests_that_would_wait_for_a_data_lock_go_to_another_engine() {
    // (whether lookups wait for data locks, whether lookups read the locked data set). Lookups avoid the
    // engine with the lock only if both hold; otherwise some of them go there.
    for (waits, same_data_set) in [(true, true), (true, false), (false, true)] {
        let mut config = typical_config();
        (config.classes[LOOKUP].waits_for_data_lock, config.classes[DATA_LOAD].locks_data_set) =
            (waits, true);
        let mut gateway = config.start(2);
        let locked_engine = sent_to(gateway.admit(0, request(DATA_LOAD)).1);
        let data_set = if same_data_set { 0 } else { 5 };
        let sent_to_locked = (0..8)
            .filter(|_| sent_to(gateway.admit(1, Request { data_set, ..request(LOOKUP) }).1) == locked_engine)
            .count();
        assert_eq!(
            sent_to_locked == 0,
            waits && same_data_set,
            "waits {waits}, same data set {same_data_set}: {sent_to_locked} of 8"
        );
    }
}
