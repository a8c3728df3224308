//! The discovery service: followed, lost, replaced and heard late.

use super::{ID, NOW, engine, fields, pages, rows};
use crate::common::{Gateway, config, config_of, settings, wait_for, wait_until_seen};
use larchfall_fault_tests::proxy::{Proxies, ProxyMode};
use larchfall_stub::client::Answer;
use larchfall_stub::discovery::{Discovery, Endpoint, frame};
use larchfall_stub::engine::{Engine, EngineBehavior};
use std::time::{Duration, Instant};

#[test]
fn the_discovery_service_is_followed_through_bad_frames_and_ends() {
    let old = engine(EngineBehavior::Serve(NOW, pages(&["old\n"])));
    let new = engine(EngineBehavior::Serve(NOW, pages(&["new\n"])));
    let gateway = Gateway::start(Some(old.address));
    let mut client = gateway.client();
    let mut ask = |wanted: &str| {
        wait_for(wanted, || {
            client.send("look", &fields(ID, "20000"), "").unwrap();
            (client.answer().unwrap().1 == rows(wanted)).then_some(())
        });
    };
    ask("old\n");
    // A frame of an unknown kind ends the connection; the list is kept, and its number is asked for again.
    let mut bad = frame(2, true, &[]);
    bad[12] = 9;
    gateway.discovery.say(2, bad);
    gateway.log.wait_for("reason: malformed");
    ask("old\n");
    // The full list drops the engine that it does not name, though the new one has another address only.
    gateway.list(2, &[Endpoint::ready(2, new.address)]);
    ask("new\n");
    gateway.list(3, &[Endpoint::ready(2, old.address)]);
    ask("old\n");
}

#[test]
fn a_silent_discovery_service_is_connected_to_again() {
    let engine = engine(EngineBehavior::Serve(NOW, pages(&["ok\n"])));
    let discovery = Discovery::start_mute("127.0.0.1:0").unwrap();
    let gateway = Gateway::start_on("127.0.0.1:0", discovery, Some(engine.address), 256);
    let silent = || gateway.log.count("reason: silent");
    wait_for("a second silence", || (silent() >= 2).then_some(()));
    let mut client = gateway.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"), "the list is kept");
}

/// Guards against a gateway that SIGHUP ends, and one that stays with a discovery service that sends nothing more.
#[test]
fn a_reloading_gateway_serves_on_and_follows_the_new_discovery_service() {
    let old = engine(EngineBehavior::Serve(Duration::from_millis(400), pages(&["old\n"])));
    let new = engine(EngineBehavior::Serve(NOW, pages(&["new\n"])));
    let gateway =
        Gateway::start_on("127.0.0.1:0", Discovery::start("127.0.0.1:0").unwrap(), Some(old.address), 256);
    let mut client = gateway.client();
    let held = client.send("once", &fields(ID, "20000"), "").unwrap();
    wait_until_seen(&old, "the query to start", |s| s.started.len() == 1);
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    discovery.say(2, frame(2, true, &[Endpoint::ready(2, new.address)]));
    gateway.reload("{\"board\":");
    gateway.log.wait_for("configuration rejected");
    gateway.reload(&config("127.0.0.1:0", discovery.address, Some(old.address), 256));
    gateway.log.wait_for("configuration reloaded");
    assert_eq!(client.answer().unwrap(), (held, rows("old\n")), "was in flight");
    wait_for("the new discovery service's engine", || {
        client.send("look", &fields(ID, "20000"), "").unwrap();
        (client.answer().unwrap().1 == rows("new\n")).then_some(())
    });
    gateway.log.wait_for("reason: replaced");
}

/// A gateway with one engine, and the proxy between it and its discovery service.
fn with_proxied_discovery() -> (Gateway, Engine, Proxies) {
    let engine = engine(EngineBehavior::Serve(NOW, pages(&["ok\n"])));
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let way = Proxies::start(1, &[discovery.address]).unwrap();
    let text = config_of("127.0.0.1:0", way.address(0, 0), &[engine.address], 256, &settings());
    (Gateway::start_with(discovery, &text), engine, way)
}

/// Guards against a gateway that wakes, finds that its wait for the discovery service is over (or the connection gone),
/// and sends requests that came meanwhile before it has read the events that came meanwhile.
#[test]
fn what_comes_during_a_stall_is_sent_once_discovery_was_heard() {
    // How long the gateway is stopped, and whether its connection to the discovery service is cut meanwhile.
    for (still_ms, cut) in [(1_500, false), (3_200, false), (3_200, true), (1_500, true)] {
        let (gateway, engine, way) = with_proxied_discovery();
        let mut client = gateway.client();
        // The gateway has an event of its discovery service.
        gateway.list(2, &[Endpoint::ready(1, engine.address)]);
        client.send("look", &fields(ID, "25000"), "").unwrap();
        assert_eq!(client.answer().unwrap().1, rows("ok\n"));
        wait_for("the discovery service to be heard", || {
            let heard = std::fs::read_to_string("/proc/net/tcp").unwrap();
            heard.contains(&format!(":{:04X} 01 ", way.address(0, 0).port())).then_some(())
        });
        gateway.suspend();
        let stopped = Instant::now();
        if cut {
            way.set_mode(|_, _| true, ProxyMode::Cut);
            // Bytes that are on their way now still arrive.
            std::thread::sleep(Duration::from_millis(200));
        }
        gateway.list(3, &[Endpoint::draining(1, engine.address)]);
        for n in 0..8 {
            client.send("look", &fields(&format!("{:016x}", n + 1), "25000"), "").unwrap();
        }
        wait_for("it to have been stopped for so long", || {
            (stopped.elapsed() > Duration::from_millis(still_ms)).then_some(())
        });
        gateway.resume();
        // It can't reconnect at once.
        std::thread::sleep(Duration::from_millis(200));
        way.set_mode(|_, _| true, ProxyMode::Forward);
        let refused = Answer::Error("Rejected".into(), Some("500".into()));
        for _ in 0..8 {
            assert_eq!(client.answer().unwrap().1, refused, "{still_ms} ms, cut: {cut}");
        }
        assert_eq!(engine.seen().started.len(), 1, "{still_ms} ms, cut: {cut}");
    }
}

/// Guards against a gateway that goes on for good by a list that its discovery service may have replaced: a change counts
/// as announced 7 s later, and the grace of 2 s runs from then.
#[test]
fn a_gateway_cut_off_from_discovery_sends_nothing_once_its_list_expired() {
    let (gateway, engine, way) = with_proxied_discovery();
    let mut client = gateway.client();
    let mut ask = |n: u32| {
        client.send("look", &fields(&format!("{n:016x}"), "25000"), "").unwrap();
        client.answer().unwrap().1
    };
    way.set_mode(|_, _| true, ProxyMode::Stall);
    // Bytes that are on their way now still arrive.
    std::thread::sleep(Duration::from_millis(200));
    let (announced, mut last, mut n) = (Instant::now(), Instant::now(), 0);
    gateway.list(2, &[Endpoint::draining(1, engine.address)]);
    wait_for("the list to expire", || {
        n += 1;
        let served = ask(n) == rows("ok\n");
        last = if served { Instant::now() } else { last };
        (!served).then_some(())
    });
    let after = last.duration_since(announced);
    assert!(after > Duration::from_secs(5) && after < Duration::from_secs(9), "served until {after:?} after");
    gateway.log.wait_for("endpoint list expired");
    gateway.list(3, &[Endpoint::ready(1, engine.address)]);
    way.set_mode(|_, _| true, ProxyMode::Forward);
    wait_for("events to arrive again", || {
        n += 1;
        (ask(n) == rows("ok\n")).then_some(())
    });
    gateway.log.wait_for("endpoint list current again");
}
