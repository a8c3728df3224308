//! Ejection, probes and restoration of engines.

use crate::common::*;
use larchfall_policy::event::{HealthEvidence, PolicyEvent};
use larchfall_policy::types::{Engine, EngineHealth, Outcome, PolicyConfig, Request, SlowStartConfig};

#[test]
fn an_unhealthy_engine_is_ejected_until_its_probes_restore_it() {
    // Outcomes at engine 0 while engine 1 is sound, then whether engine 0 still gets its part.
    use Outcome::{
        Cancelled, ConnectFailed as C, Errored as E, Rejected, Reset as R, Returned as O, TimedOut as T,
    };
    for (outcomes, used) in [
        (vec![O, O, O], true),
        (vec![E, O, O, O, O], true),
        (vec![R, R], false),
        (vec![C, C], false),
        // Half errors, fast: what once looked like the emptiest engine of all.
        (vec![E, O, E, O, E, O], false),
        (vec![Rejected, Rejected, Cancelled, Cancelled], true),
        (vec![T, T], false),
        (vec![R, R, O], false),
        (vec![R, R, O, O, O, O], true),
    ] {
        let mut gateway = typical_config().start(1);
        for (i, outcome) in outcomes.iter().enumerate() {
            let time = 100 * i as u64;
            let (b, decision) = gateway.admit(time, request(LOOKUP));
            assert_eq!(sent_to(decision), Some(0));
            gateway.finish_attempt(time + 1, b, 0, *outcome, 1);
            gateway.policy.on_client_disconnected(b);
        }
        gateway.policy.update_engine(at_ms(700), 1, ready_engine());
        let sent_to_first =
            (0..40).filter(|_| sent_to(gateway.admit(700, request(LOOKUP)).1) == Some(0)).count();
        // One trial may be among them.
        assert_eq!(sent_to_first > 1, used, "{outcomes:?}: {sent_to_first} of 40");
    }
}

/// Guards against leaving sound engines out for what is cut on the way to all of them.
#[test]
fn failures_that_all_engines_share_eject_none() {
    // Share of bad outcomes at all of four engines, then at engine 0 alone; which of them are left out.
    for (bad_everywhere, bad_first, ejected) in [(0.0, 0.0, 0), (0.08, 0.0, 0), (0.0, 1.0, 1), (0.08, 1.0, 1)]
    {
        let mut gateway = typical_config().start(4);
        let (mut ended, mut bad) = (0, [0.0; 2]);
        for time in 0..2000 {
            let (b, decision) = gateway.admit(time, request(LOOKUP));
            let Some(e) = sent_to(decision) else { continue };
            ended += 1;
            bad[0] += bad_everywhere;
            bad[1] += if e == 0 && ended > 1500 { bad_first } else { 0.0 };
            let over = bad.iter().position(|b| *b >= 1.0);
            let outcome = if over.is_some() { Outcome::Reset } else { Outcome::Returned };
            over.into_iter().for_each(|i| bad[i] -= 1.0);
            gateway.finish_attempt(time, b, 0, outcome, 1);
            gateway.policy.on_client_disconnected(b);
        }
        let lines = gateway.policy.take_events();
        let ejected_count = lines.iter().filter(|e| matches!(e, PolicyEvent::EngineEjected { .. })).count();
        let restored = lines.iter().filter(|e| matches!(e, PolicyEvent::EngineRestored { .. })).count();
        assert_eq!(
            ejected_count - restored,
            ejected,
            "everywhere {bad_everywhere}, first {bad_first}: {lines:?}"
        );
        assert!(ejected_count <= ejected, "everywhere {bad_everywhere}, first {bad_first}: {lines:?}");
    }
}

/// Guards against many gateways that each try what is left out, each by hurting a request.
#[test]
fn an_ejected_engine_is_probed_by_the_holder_of_the_slot_alone() {
    // (whose turn is told, of requests after the wait for a trial those that go there)
    for (turns, tried) in
        [(&[][..], true), (&[true][..], true), (&[false][..], false), (&[false, true][..], true)]
    {
        let mut gateway = typical_config().start(3);
        (0..2).for_each(|_| gateway.policy.record_engine_outcome(at_ms(0), 2, true, HealthEvidence::Gossip));
        assert!(gateway.policy.engine_health(2).is_some_and(|health| health.ejected));
        turns.iter().for_each(|mine| gateway.policy.set_probe_slot(2, *mine));
        let met = (0..20).filter(|_| sent_to(gateway.admit(10_000, request(LOOKUP)).1) == Some(2)).count();
        assert_eq!(met > 0, tried, "{turns:?}: {met} of 20");
    }
}

/// Guards against a sound engine that thin traffic never comes back to: the others are freer, or warm, for ever.
#[test]
fn an_ejected_engine_is_probed_in_the_end_however_thin_the_traffic() {
    // (out at once, seconds by which a sound engine has its part again)
    for (out, within) in [(1, 20), (3, 20), (6, 20)] {
        let mut gateway = typical_config().start(3);
        // They are warm, and so is the net.
        (0..30).for_each(|i| {
            let (b, decision) = gateway.admit(i, request(LOOKUP));
            assert!(sent_to(decision).is_some());
            gateway.finish_attempt(i, b, 0, Outcome::Returned, 1);
        });
        (0..2)
            .for_each(|_| gateway.policy.record_engine_outcome(at_ms(100), 2, true, HealthEvidence::Gossip));
        gateway.policy.update_engine(at_ms(100), 2, Engine { zone: 1, ..ready_engine() });
        let back = (1..=1000).find(|tick| {
            let time = 100 + tick * 50;
            gateway.policy.tick(at_ms(time));
            let sent: Vec<_> = (0..out)
                .map(|_| gateway.admit(time, Request { deadline: at_ms(90_000), ..request(LOOKUP) }))
                .collect();
            sent.into_iter().filter(|(_, decision)| sent_to(*decision).is_some()).for_each(|(b, _)| {
                gateway.finish_attempt(time + 10, b, 0, Outcome::Returned, 10);
            });
            gateway.policy.engine_health(2) == Some(EngineHealth::default())
        });
        let back = back.map(|tick| tick * 50 / 1000);
        assert!(back.is_some_and(|s| s <= within), "{out} out: back after {back:?} s");
    }
}

#[test]
fn with_most_engines_unhealthy_none_is_ejected() {
    // (engines, of them unhealthy, whether those still get requests)
    for (engines, unhealthy, used) in [(4, 1, false), (4, 2, false), (4, 3, true), (4, 4, true)] {
        let mut gateway = typical_config().start(unhealthy);
        for time in 0..8 {
            for _ in 0..unhealthy {
                let (b, decision) = gateway.admit(time, request(LOOKUP));
                if sent_to(decision).is_some() {
                    gateway.finish_attempt(time, b, 0, Outcome::Reset, 1);
                    gateway.policy.on_client_disconnected(b);
                }
            }
        }
        (unhealthy..engines).for_each(|e| gateway.policy.update_engine(at_ms(50), e, ready_engine()));
        let sent = (0..20).filter_map(|_| sent_to(gateway.admit(50, request(LOOKUP)).1));
        assert_eq!(sent.filter(|e| *e < unhealthy).count() > 0, used, "{unhealthy} of {engines}");
    }
}

#[test]
fn a_new_start_restores_an_ejected_engine() {
    for (started, used) in [(None, false), (Some(at_ms(50)), true)] {
        let mut gateway =
            PolicyConfig { slow_start: SlowStartConfig::default(), ..typical_config() }.start(1);
        for time in 0..4 {
            let (b, _) = gateway.admit(time, request(LOOKUP));
            gateway.finish_attempt(time, b, 0, Outcome::Reset, 1);
            gateway.policy.on_client_disconnected(b);
        }
        gateway.policy.update_engine(at_ms(60), 1, ready_engine());
        gateway.policy.update_engine(at_ms(60), 0, Engine { start_time: started, ..ready_engine() });
        let sent_to_first =
            (0..10).filter(|_| sent_to(gateway.admit(60, request(LOOKUP)).1) == Some(0)).count();
        assert_eq!(sent_to_first > 0, used, "{started:?}: {sent_to_first} of 10");
    }
}
