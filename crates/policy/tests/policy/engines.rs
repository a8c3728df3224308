//! Engines that come, start slowly and go, and health checks.

use crate::common::*;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{Engine, EngineState, Outcome, Request};

/// Guards against a list that grows for as long as engines come and go, and against an index used again while
/// something of it is out.
#[test]
fn a_gone_engine_is_forgotten_once_nothing_is_in_flight_there() {
    let gone = Engine { state: EngineState::Gone, ..ready_engine() };
    // State, whether a request is out, how long after it was told, and whether it is forgotten.
    let cases = [
        (gone, false, 60_000, true),
        (gone, false, 1_000, false),
        (gone, true, 60_000, false),
        (ready_engine(), false, 60_000, false),
    ];
    for (listed, out, after, forgotten) in cases {
        let mut gateway = typical_config().start(1);
        let (b, _) = gateway.admit(0, request(LOOKUP));
        gateway.policy.update_engine(at_ms(1), 0, listed);
        if !out {
            gateway.finish_attempt(2, b, 0, Outcome::Returned, 2);
        }
        assert_eq!(
            gateway.policy.remove_engine(at_ms(1 + after), 0),
            forgotten,
            "{listed:?} out {out} after {after}"
        );
        gateway.policy.update_engine(at_ms(70_000), 0, ready_engine());
        let next = Request { deadline: at_ms(90_000), ..request(LOOKUP) };
        assert_eq!(sent_to(gateway.admit(70_000, next).1), Some(0), "the index serves again");
        gateway.policy.tick(at_ms(70_001));
    }
}

#[test]
fn an_engine_in_slow_start_gets_a_little_of_each_of_many_gateways_by_slots() {
    // (gateways, work a request in ms, whether some go); the rule's budget is 2 x 0.32 x 8 cores x 2 s of work
    for (gateways, work, some) in
        [(8, 200, true), (24, 1000, true), (120, 200, true), (120, 4000, false), (300, 1000, true)]
    {
        let mut all = 0.0;
        for gateway_index in 0..gateways {
            let mut config = typical_config();
            (config.topology.gateway_count, config.topology.gateway_index) = (gateways, gateway_index);
            let mut gateway = config.start(0);
            gateway.policy.update_engine(
                at_ms(0),
                0,
                Engine { start_time: Some(at_ms(0)), ..ready_engine() },
            );
            let one = Request { work_hint: Some(Duration::from_millis(work)), ..request(LOOKUP) };
            (0..30).for_each(|_| gateway.policy.admit(at_ms(0), 9, one.clone()));
            // Turns go on within the rule's window, and all of them count against its budget.
            let sent = (0..8).flat_map(|turn| (0..9).map(move |n| (turn * 250, turn as usize * 9 + n)));
            let sent = sent.filter(|(time, b)| {
                gateway.policy.admit(at_ms(*time), *b, one.clone());
                sent_to(gateway.policy.route(at_ms(*time), *b)).is_some()
            });
            all += sent.count() as f64 * work as f64 / 1000.0;
        }
        // The rule allows N requests of this work and 3 x root of N + 3 on top, of which turns may take three quarters.
        let requests = 2.0 * 0.32 * 8.0 * 2.0 / (work as f64 / 1000.0);
        let slack = if requests < 30.0 { 3.0 * requests.sqrt() + 3.0 } else { 2.0 * requests.sqrt() + 2.0 };
        let most = requests + 0.75 * slack;
        let sent = all / (work as f64 / 1000.0);
        assert!((sent > 0.0 || !some) && sent <= most, "{gateways} gateways, work {work}: {sent} of {most}");
    }
}

#[test]
fn the_slow_start_budget_is_divided_by_the_gateways_that_count() {
    // (gateways named, gateways counted, part handed out, whether a request that is within a third of the allowance goes more
    // than by luck)
    let cases = [
        (3, None, None, true),
        (3, Some(3), None, true),
        (300, Some(3), None, true),
        (3, Some(300), None, false),
        (3, None, Some(0.34), true),
        (3, None, Some(0.003), false),
    ];
    for (named, counted, part, goes) in cases {
        let mut config = typical_config();
        config.topology.gateway_count = named;
        let mut gateway = config.start(0);
        counted.into_iter().for_each(|n| gateway.policy.set_gateway_count(n));
        gateway.policy.update_engine(at_ms(0), 0, Engine { start_time: Some(at_ms(0)), ..ready_engine() });
        gateway.policy.set_engine_quota(0, part, None);
        let sent = (0..4).filter(|n| sent_to(gateway.admit(n * 3_000, request(LOOKUP)).1).is_some()).count();
        assert_eq!(sent == 4, goes, "{named} named, {counted:?} counted, {part:?}: {sent}");
    }
}

#[test]
fn health_checks_cost_no_more_than_a_part_of_a_request() {
    // (what a probe costs, probes at least and at most after 4,000 requests of one of many gateways)
    for (price, least, most) in
        [(None, 0, 0), (Some(0.0), 1000, 2000), (Some(0.011), 1000, 2000), (Some(0.11), 100, 200)]
    {
        let mut config = typical_config();
        (config.topology.gateway_count, config.capabilities.health_check_cost) = (300, price);
        let mut gateway = config.start(2);
        let mut probes = 0;
        for time in 0..4_000 {
            let (b, _) = gateway.admit(time, request(LOOKUP));
            gateway.policy.on_client_disconnected(b);
            probes += gateway.policy.draw_health_checks().len();
        }
        assert!((least..=most).contains(&probes), "price {price:?}: {probes}");
    }
}
