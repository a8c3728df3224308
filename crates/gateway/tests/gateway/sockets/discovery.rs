//! The connection to the discovery service: malformed frames, silence, replacement, and events that arrive late.

use super::{ID, NOW, engine, fields, pages, rows};
use crate::common::{Gateway, config, config_of, settings, wait_for, wait_until_seen};
use larchfall_fault_tests::proxy::{Proxies, ProxyMode};
use larchfall_stub::client::Answer;
use larchfall_stub::discovery::{Discovery, Endpoint, frame};
use larchfall_stub::engine::{Engine, EngineBehavior};
use std::time::{Duration, Instant};

#[test]
fn the_endpoint_list_is_kept_and_updated_across_malformed_frames_and_reconnects() {
    let old = engine(EngineBehavior::Serve(NOW, pages(&["old\n"])));
    let new = engine(EngineBehavior::Serve(NOW, pages(&["new\n"])));
    let gateway = Gateway::start(Some(old.address));
    let mut client = gateway.client();
    let mut query_engine = |expected: &str| {
        wait_for(expected, || {
            client.send("look", &fields(ID, "20000"), "").unwrap();
            (client.answer().unwrap().1 == rows(expected)).then_some(())
        });
    };
    query_engine("old\n");
    // A frame of an unknown kind closes the connection. The gateway keeps the list and watches from its revision again.
    let mut bad = frame(2, true, &[]);
    bad[12] = 9;
    gateway.discovery.say(2, bad);
    gateway.log.wait_for("reason: malformed");
    query_engine("old\n");
    // A full list removes the engines that it does not contain. Revision 3 changes only the address of engine 2.
    gateway.list(2, &[Endpoint::ready(2, new.address)]);
    query_engine("new\n");
    gateway.list(3, &[Endpoint::ready(2, old.address)]);
    query_engine("old\n");
}

#[test]
fn the_gateway_reconnects_to_a_silent_discovery_service() {
    let engine = engine(EngineBehavior::Serve(NOW, pages(&["ok\n"])));
    let discovery = Discovery::start_mute("127.0.0.1:0").unwrap();
    let gateway = Gateway::start_on("127.0.0.1:0", discovery, Some(engine.address), 256);
    let silent = || gateway.log.count("reason: silent");
    wait_for("the second connection to end for silence", || (silent() >= 2).then_some(()));
    let mut client = gateway.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"), "the endpoint list was not kept");
}

/// Guards against a gateway that SIGHUP terminates, and against one that stays connected to the discovery service of the
/// former configuration, which sends nothing more.
#[test]
fn a_reload_keeps_requests_in_flight_and_switches_the_discovery_service() {
    let old = engine(EngineBehavior::Serve(Duration::from_millis(400), pages(&["old\n"])));
    let new = engine(EngineBehavior::Serve(NOW, pages(&["new\n"])));
    let gateway =
        Gateway::start_on("127.0.0.1:0", Discovery::start("127.0.0.1:0").unwrap(), Some(old.address), 256);
    let mut client = gateway.client();
    let in_flight = client.send("once", &fields(ID, "20000"), "").unwrap();
    wait_until_seen(&old, "the query to start", |s| s.started.len() == 1);
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    discovery.say(2, frame(2, true, &[Endpoint::ready(2, new.address)]));
    gateway.reload("{\"board\":");
    gateway.log.wait_for("configuration rejected");
    gateway.reload(&config("127.0.0.1:0", discovery.address, Some(old.address), 256));
    gateway.log.wait_for("configuration reloaded");
    assert_eq!(client.answer().unwrap(), (in_flight, rows("old\n")), "a request in flight during the reload");
    wait_for("the engine that only the new discovery service lists", || {
        client.send("look", &fields(ID, "20000"), "").unwrap();
        (client.answer().unwrap().1 == rows("new\n")).then_some(())
    });
    gateway.log.wait_for("reason: replaced");
}

/// Starts a gateway with one engine, and a proxy between the gateway and its discovery service.
fn with_proxied_discovery() -> (Gateway, Engine, Proxies) {
    let engine = engine(EngineBehavior::Serve(NOW, pages(&["ok\n"])));
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let proxies = Proxies::start(1, &[discovery.address]).unwrap();
    let text = config_of("127.0.0.1:0", proxies.address(0, 0), &[engine.address], 256, &settings());
    (Gateway::start_with(discovery, &text), engine, proxies)
}

/// Guards against a gateway that resumes after a stall, finds that its wait for the discovery service has timed out or the
/// connection is closed, and sends the requests that arrived during the stall before it has read the events that arrived
/// during the stall.
#[test]
fn requests_that_arrive_during_a_stall_are_routed_only_after_discovery_events() {
    // The duration of the stall, and whether the connection to the discovery service is cut during it.
    for (stall_ms, cut) in [(1_500, false), (3_200, false), (3_200, true), (1_500, true)] {
        let (gateway, engine, proxies) = with_proxied_discovery();
        let mut client = gateway.client();
        // The gateway applies an event before the stall.
        gateway.list(2, &[Endpoint::ready(1, engine.address)]);
        client.send("look", &fields(ID, "25000"), "").unwrap();
        assert_eq!(client.answer().unwrap().1, rows("ok\n"));
        wait_for("the discovery connection to be established", || {
            let heard = std::fs::read_to_string("/proc/net/tcp").unwrap();
            heard.contains(&format!(":{:04X} 01 ", proxies.address(0, 0).port())).then_some(())
        });
        gateway.suspend();
        let stall_start = Instant::now();
        if cut {
            proxies.set_mode(|_, _| true, ProxyMode::Cut);
            // Bytes already under way still arrive after the cut.
            std::thread::sleep(Duration::from_millis(200));
        }
        gateway.list(3, &[Endpoint::draining(1, engine.address)]);
        for n in 0..8 {
            client.send("look", &fields(&format!("{:016x}", n + 1), "25000"), "").unwrap();
        }
        wait_for("the stall to last long enough", || {
            (stall_start.elapsed() > Duration::from_millis(stall_ms)).then_some(())
        });
        gateway.resume();
        // The gateway cannot reconnect at first.
        std::thread::sleep(Duration::from_millis(200));
        proxies.set_mode(|_, _| true, ProxyMode::Forward);
        let rejected = Answer::Error("Rejected".into(), Some("500".into()));
        for _ in 0..8 {
            assert_eq!(client.answer().unwrap().1, rejected, "{stall_ms} ms, cut: {cut}");
        }
        assert_eq!(engine.seen().started.len(), 1, "{stall_ms} ms, cut: {cut}");
    }
}

/// Guards against a gateway that uses a possibly outdated endpoint list without end: a change counts as announced after
/// 7 s at the latest, and the drain grace of 2 s runs from then.
#[test]
fn a_gateway_without_discovery_sends_nothing_once_its_endpoint_list_expired() {
    let (gateway, engine, proxies) = with_proxied_discovery();
    let mut client = gateway.client();
    let mut query_engine = |n: u32| {
        client.send("look", &fields(&format!("{n:016x}"), "25000"), "").unwrap();
        client.answer().unwrap().1
    };
    proxies.set_mode(|_, _| true, ProxyMode::Stall);
    // Bytes already under way still arrive after the stall.
    std::thread::sleep(Duration::from_millis(200));
    let (announced, mut last_served, mut n) = (Instant::now(), Instant::now(), 0);
    gateway.list(2, &[Endpoint::draining(1, engine.address)]);
    wait_for("the endpoint list to expire", || {
        n += 1;
        let served = query_engine(n) == rows("ok\n");
        last_served = if served { Instant::now() } else { last_served };
        (!served).then_some(())
    });
    let after = last_served.duration_since(announced);
    assert!(
        after > Duration::from_secs(5) && after < Duration::from_secs(9),
        "served until {after:?} after the change"
    );
    gateway.log.wait_for("endpoint list expired");
    gateway.list(3, &[Endpoint::ready(1, engine.address)]);
    proxies.set_mode(|_, _| true, ProxyMode::Forward);
    wait_for("events to arrive again", || {
        n += 1;
        (query_engine(n) == rows("ok\n")).then_some(())
    });
    gateway.log.wait_for("endpoint list current again");
}
