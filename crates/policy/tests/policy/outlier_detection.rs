//! Ejection, probing and restoration of engines.

use crate::common::*;
use larchfall_policy::event::{HealthEvidence, PolicyEvent};
use larchfall_policy::types::{Engine, EngineHealth, Outcome, PolicyConfig, Request, SlowStartConfig};

#[test]
fn an_unhealthy_engine_is_ejected_until_its_probes_restore_it() {
    // (outcomes at engine 0, whether engine 0 is still used once a healthy engine 1 is listed)
    use Outcome::{Cancelled, ConnectFailed, Errored, Rejected, Reset, Returned, TimedOut};
    for (outcomes, used) in [
        (vec![Returned, Returned, Returned], true),
        (vec![Errored, Returned, Returned, Returned, Returned], true),
        (vec![Reset, Reset], false),
        (vec![ConnectFailed, ConnectFailed], false),
        // An engine that quickly fails every other request has the fewest attempts in flight and would look idle.
        (vec![Errored, Returned, Errored, Returned, Errored, Returned], false),
        (vec![Rejected, Rejected, Cancelled, Cancelled], true),
        (vec![TimedOut, TimedOut], false),
        (vec![Reset, Reset, Returned], false),
        (vec![Reset, Reset, Returned, Returned, Returned, Returned], true),
    ] {
        let mut gateway = typical_config().start(1);
        for (i, outcome) in outcomes.iter().enumerate() {
            let time_ms = 100 * i as u64;
            let (index, decision) = gateway.admit(time_ms, request(LOOKUP));
            assert_eq!(sent_to(decision), Some(0));
            gateway.finish_attempt(time_ms + 1, index, 0, *outcome, 1);
            gateway.policy.on_client_disconnected(index);
        }
        gateway.policy.update_engine(at_ms(700), 1, ready_engine());
        let sent_to_first =
            (0..40).filter(|_| sent_to(gateway.admit(700, request(LOOKUP)).1) == Some(0)).count();
        // One of the requests may be a probe.
        assert_eq!(sent_to_first > 1, used, "{outcomes:?}: {sent_to_first} of 40");
    }
}

/// Guards against ejecting healthy engines when connections to all of them break.
#[test]
fn failures_that_all_engines_share_eject_none() {
    // (failure fraction at all four engines, additional failure fraction at engine 0, number of ejected engines)
    for (failed_everywhere, failed_first, ejected) in
        [(0.0, 0.0, 0), (0.08, 0.0, 0), (0.0, 1.0, 1), (0.08, 1.0, 1)]
    {
        let mut gateway = typical_config().start(4);
        let (mut ended, mut due_failures) = (0, [0.0; 2]);
        for time_ms in 0..2000 {
            let (index, decision) = gateway.admit(time_ms, request(LOOKUP));
            let Some(engine) = sent_to(decision) else { continue };
            ended += 1;
            due_failures[0] += failed_everywhere;
            due_failures[1] += if engine == 0 && ended > 1500 { failed_first } else { 0.0 };
            let failure = due_failures.iter().position(|due| *due >= 1.0);
            let outcome = if failure.is_some() { Outcome::Reset } else { Outcome::Returned };
            failure.into_iter().for_each(|i| due_failures[i] -= 1.0);
            gateway.finish_attempt(time_ms, index, 0, outcome, 1);
            gateway.policy.on_client_disconnected(index);
        }
        let events = gateway.policy.take_events();
        let ejections =
            events.iter().filter(|event| matches!(event, PolicyEvent::EngineEjected { .. })).count();
        let restorations =
            events.iter().filter(|event| matches!(event, PolicyEvent::EngineRestored { .. })).count();
        let case = format!("all engines {failed_everywhere}, engine 0 {failed_first}: {events:?}");
        assert_eq!(ejections - restorations, ejected, "{case}");
        assert!(ejections <= ejected, "{case}");
    }
}

/// Guards against many gateways that each probe an ejected engine: every probe risks a request.
#[test]
fn only_the_holder_of_the_probe_slot_probes_an_ejected_engine() {
    // (calls of `set_probe_slot`, whether the engine is probed once the probe interval has passed)
    for (holds_slot, probed) in
        [(&[][..], true), (&[true][..], true), (&[false][..], false), (&[false, true][..], true)]
    {
        let mut gateway = typical_config().start(3);
        (0..2).for_each(|_| gateway.policy.record_engine_outcome(at_ms(0), 2, true, HealthEvidence::Gossip));
        assert!(gateway.policy.engine_health(2).is_some_and(|health| health.ejected));
        holds_slot.iter().for_each(|holds| gateway.policy.set_probe_slot(2, *holds));
        let probes = (0..20).filter(|_| sent_to(gateway.admit(10_000, request(LOOKUP)).1) == Some(2)).count();
        assert_eq!(probes > 0, probed, "holds slot {holds_slot:?}: {probes} probes in 20 requests");
    }
}

/// Guards against recovered engines that are never probed under little traffic because other engines always score
/// higher, by more headroom, cached data sets or open connections.
#[test]
fn an_ejected_engine_is_probed_and_restored_however_little_the_traffic() {
    // (requests in flight at once, maximum seconds until the recovered engine is restored)
    for (in_flight, max_secs) in [(1, 20), (3, 20), (6, 20)] {
        let mut gateway = typical_config().start(3);
        // Fills the engines' caches and opens connections to them.
        (0..30).for_each(|i| {
            let (index, decision) = gateway.admit(i, request(LOOKUP));
            assert!(sent_to(decision).is_some());
            gateway.finish_attempt(i, index, 0, Outcome::Returned, 1);
        });
        (0..2)
            .for_each(|_| gateway.policy.record_engine_outcome(at_ms(100), 2, true, HealthEvidence::Gossip));
        gateway.policy.update_engine(at_ms(100), 2, Engine { zone: 1, ..ready_engine() });
        let restored = (1..=1000).find(|tick| {
            let time_ms = 100 + tick * 50;
            gateway.policy.tick(at_ms(time_ms));
            let sent: Vec<_> = (0..in_flight)
                .map(|_| gateway.admit(time_ms, Request { deadline: at_ms(90_000), ..request(LOOKUP) }))
                .collect();
            sent.into_iter().filter(|(_, decision)| sent_to(*decision).is_some()).for_each(|(index, _)| {
                gateway.finish_attempt(time_ms + 10, index, 0, Outcome::Returned, 10);
            });
            gateway.policy.engine_health(2) == Some(EngineHealth::default())
        });
        let restored_secs = restored.map(|tick| tick * 50 / 1000);
        assert!(
            restored_secs.is_some_and(|secs| secs <= max_secs),
            "{in_flight} in flight: restored after {restored_secs:?} s"
        );
    }
}

#[test]
fn ejections_are_ignored_while_most_engines_are_unhealthy() {
    // (engines, unhealthy engines, whether the unhealthy engines still get requests)
    for (engines, unhealthy, used) in [(4, 1, false), (4, 2, false), (4, 3, true), (4, 4, true)] {
        let mut gateway = typical_config().start(unhealthy);
        for time_ms in 0..8 {
            for _ in 0..unhealthy {
                let (index, decision) = gateway.admit(time_ms, request(LOOKUP));
                if sent_to(decision).is_some() {
                    gateway.finish_attempt(time_ms, index, 0, Outcome::Reset, 1);
                    gateway.policy.on_client_disconnected(index);
                }
            }
        }
        (unhealthy..engines)
            .for_each(|engine| gateway.policy.update_engine(at_ms(50), engine, ready_engine()));
        let sent = (0..20).filter_map(|_| sent_to(gateway.admit(50, request(LOOKUP)).1));
        assert_eq!(
            sent.filter(|engine| *engine < unhealthy).count() > 0,
            used,
            "{unhealthy} of {engines} unhealthy"
        );
    }
}

#[test]
fn a_new_start_restores_an_ejected_engine() {
    // (start time in the new endpoint list entry, whether the ejected engine is used again)
    for (start_time, used) in [(None, false), (Some(at_ms(50)), true)] {
        let mut gateway =
            PolicyConfig { slow_start: SlowStartConfig::default(), ..typical_config() }.start(1);
        for time_ms in 0..4 {
            let (index, _) = gateway.admit(time_ms, request(LOOKUP));
            gateway.finish_attempt(time_ms, index, 0, Outcome::Reset, 1);
            gateway.policy.on_client_disconnected(index);
        }
        gateway.policy.update_engine(at_ms(60), 1, ready_engine());
        gateway.policy.update_engine(at_ms(60), 0, Engine { start_time, ..ready_engine() });
        let sent_to_first =
            (0..10).filter(|_| sent_to(gateway.admit(60, request(LOOKUP)).1) == Some(0)).count();
        assert_eq!(sent_to_first > 0, used, "start time {start_time:?}: {sent_to_first} of 10");
    }
}
