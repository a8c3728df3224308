//! Which of several engines a request goes to.

use crate::common::*;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{AttemptResult, Engine, LoadReport, Outcome, Request, RoutingDecision};

#[test]
fn a_class_bound_to_one_kind_leaves_the_other_kinds_room() {
    // (gateways, reports bound to kind 1 that fill it, loads that still go, most of them to kind 1)
    for (gateways, reports, loads, to_1) in [(24, 20, 2, 0), (60, 20, 1, 0), (24, 0, 2, 1)] {
        let mut config = typical_config();
        config.topology.gateway_count = gateways;
        config.classes[REPORT].allowed_kinds = Some(vec![1]);
        let mut gateway = config.start(8);
        (0..8).for_each(|e| {
            gateway.policy.update_engine(at_ms(0), 8 + e, Engine { kind: 1, ..ready_engine() })
        });
        assert!(reports == 0 || gateway.count_sent(reports, REPORT) < reports, "kind 1 is full");
        let sent: Vec<_> =
            (0..loads).filter_map(|_| sent_to(gateway.admit(3, request(DATA_LOAD)).1)).collect();
        assert_eq!(sent.len(), loads, "{gateways} gateways, {reports} reports");
        assert!(sent.iter().filter(|e| **e >= 8).count() <= to_1, "{gateways} gateways: {sent:?}");
    }
}

#[test]
fn load_reports_steer_where_own_counts_show_little() {
    // (gateways, took ms at engine 0, its report's busy share, whether engine 1 gets all of the next eight);
    // engine 1 takes 100 ms and tells 0.5, work told is 100 ms, and 5 s later nothing told counts
    for (gateways, took, busy, later, all_to_1) in [
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
            let one = Request { deadline: at_ms(time + 5000), ..request(LOOKUP) };
            let (b, RoutingDecision::Send(d)) = gateway.admit(time, one) else { continue };
            let (took, busy) = if d.engine == 0 { (took, busy) } else { (100, busy.map(|_| 0.5)) };
            let (took, work) = (Duration::from_millis(took), Some(Duration::from_millis(100)));
            let report = LoadReport { in_flight: None, busy_fraction: busy };
            let answer = AttemptResult {
                outcome: Outcome::Returned,
                duration: took,
                request_finished: true,
                evidence: ENDED_BY_ENGINE,
                reported_work: work,
                load_report: report,
            };
            gateway.policy.on_attempt_finished(at_ms(time) + took, b, 0, &answer);
            gateway.policy.tick(at_ms(time + 900));
        }
        let mut to_1 = 0;
        for i in 0..8 {
            let now = time + 900 + later + i;
            // A data set of its own each, so that none is warm; each leaves before the next comes.
            let one = Request { deadline: at_ms(now + 5000), data_set: 90 + i as u32, ..request(LOOKUP) };
            let (b, decision) = gateway.admit(now, one);
            to_1 += usize::from(sent_to(decision) == Some(1));
            gateway.finish_attempt(now, b, 0, Outcome::Cancelled, 0);
            gateway.policy.on_client_disconnected(b);
        }
        assert_eq!(to_1 == 8, all_to_1, "{gateways} gateways, {took} ms, busy {busy:?}: {to_1}");
    }
}

#[test]
fn cached_data_sets_the_own_zone_and_idle_connections_break_near_ties() {
    // (zone of the second engine, all in one data set, price of a new connection, how long one is kept, whether all
    // go to one engine)
    let cases = [
        (0, true, 0.0, 0, true),
        (1, false, 0.0, 0, true),
        (0, false, 0.0, 0, false),
        (0, false, 0.1, 10, true),
        (0, false, 0.0, 10, false),
        // Let go before the next request came.
        (0, false, 0.1, 1, false),
    ];
    for (zone_1, one_set, connection_cost, kept, one_engine) in cases {
        let mut config = typical_config();
        (config.capabilities.connection_cost, config.capabilities.idle_connection_lifetime) =
            (connection_cost, Duration::from_millis(kept));
        let mut gateway = config.start(2);
        gateway.policy.update_engine(at_ms(1), 1, Engine { zone: zone_1, ..ready_engine() });
        let mut sent_to_first = 0;
        for time in 0..20 {
            let data_set = if one_set { 5 } else { 100 + time as u32 };
            let (b, decision) = gateway.admit(3 * time, Request { data_set, ..request(LOOKUP) });
            sent_to_first += usize::from(sent_to(decision) == Some(0));
            gateway.finish_attempt(3 * time, b, 0, Outcome::Returned, 1);
        }
        let case = format!("zone {zone_1}, one set {one_set}, price {connection_cost}, kept {kept}");
        assert_eq!(sent_to_first == 20 || sent_to_first == 0, one_engine, "{case}: {sent_to_first} of 20");
    }
}

#[test]
fn requests_that_would_wait_for_a_lock_go_elsewhere() {
    // (look-ups wait for holders, same data set, goes where the load runs more than by chance)
    for (waits, same) in [(true, true), (true, false), (false, true)] {
        let mut config = typical_config();
        (config.classes[LOOKUP].waits_for_data_lock, config.classes[DATA_LOAD].locks_data_set) =
            (waits, true);
        let mut gateway = config.start(2);
        let holder = sent_to(gateway.admit(0, request(DATA_LOAD)).1);
        let data_set = if same { 0 } else { 5 };
        let met = (0..8)
            .filter(|_| sent_to(gateway.admit(1, Request { data_set, ..request(LOOKUP) }).1) == holder)
            .count();
        assert_eq!(met == 0, waits && same, "{waits} {same}: {met}");
    }
}
