//! Stalls, shutdown and restart of the gateway.

use super::{FOREVER, ID, NOW, engine, fields, pages, rows};
use crate::common::{FullListener, Gateway, config_of, settings, wait_for, wait_until_seen};
use larchfall_stub::client::{Answer, Client};
use larchfall_stub::discovery::{Discovery, Endpoint};
use larchfall_stub::engine::{Engine, EngineBehavior};
use std::io::Read;
use std::time::{Duration, Instant};

#[test]
fn a_suspended_gateway_continues_when_resumed() {
    let engine = engine(EngineBehavior::Serve(Duration::from_millis(300), pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    client.send("look", &fields(ID, "25000"), "").unwrap();
    wait_until_seen(&engine, "the query to start", |s| s.started.len() == 1);
    gateway.suspend();
    client.send("once", &fields("aaaaaaaaaaaaaaaa", "25000"), "").unwrap();
    gateway.resume();
    let mut answers: Vec<_> = (0..2).map(|_| client.answer().unwrap()).collect();
    answers.sort_by_key(|(id, _)| *id);
    assert_eq!(answers, [(1, rows("ok\n")), (2, rows("ok\n"))]);
}

/// Guards against an attempt that is routed before a stall and sent after it, when its engine is draining and the drain
/// grace has passed.
#[test]
fn an_attempt_routed_before_a_stall_is_not_sent_to_an_engine_draining_after_it() {
    let engine = FullListener::start();
    let address = engine.address();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let slow_connect_settings =
        settings().replace(r#""connect_timeout":250000"#, r#""connect_timeout":20000000"#);
    let text = config_of("127.0.0.1:0", discovery.address, &[address], 256, &slow_connect_settings);
    let gateway = Gateway::start_with(discovery, &text);
    let mut client = gateway.client();
    client.send("look", &fields(ID, "25000"), "").unwrap();
    engine.wait_for_connect();
    let stall_start = Instant::now();
    gateway.suspend();
    gateway.list(2, &[Endpoint::draining(1, address)]);
    let mut stream = engine.accept_next();
    wait_for("the drain grace to pass", || {
        (stall_start.elapsed() > Duration::from_millis(2500)).then_some(())
    });
    gateway.resume();
    assert_eq!(client.answer().unwrap(), (1, Answer::Error("Rejected".into(), Some("500".into()))));
    stream.set_nonblocking(true).unwrap();
    let mut bytes = [0; 512];
    let length = stream.read(&mut bytes).unwrap_or(0);
    assert_eq!(length, 0, "{}", String::from_utf8_lossy(&bytes[..length]));
}

#[test]
fn during_shutdown_the_gateway_answers_all_requests_and_then_exits() {
    let slow = Engine::start("127.0.0.1:0", |call| {
        let duration = if call.statement == b"long" { FOREVER } else { Duration::from_millis(600) };
        EngineBehavior::Serve(duration, vec![b"ok\n".to_vec()])
    })
    .unwrap();
    let mut gateway = Gateway::start(Some(slow.address));
    let mut client = gateway.client();
    let in_flight = client.send("once", &fields("aaaaaaaaaaaaaaaa", "25000"), "").unwrap();
    let mut long_client = gateway.client();
    let long = long_client.send("once", &fields("bbbbbbbbbbbbbbbb", "25000"), "long").unwrap();
    wait_until_seen(&slow, "both to start", |s| s.started.len() == 2);
    gateway.signal("-TERM");
    gateway.log.wait_for("shutdown requested");
    let mut late_client = gateway.client();
    let after = late_client.send("once", &fields("cccccccccccccccc", "25000"), "").unwrap();
    assert_eq!(late_client.answer().unwrap(), (after, rows("ok\n")), "a request sent after the signal");
    assert_eq!(client.answer().unwrap(), (in_flight, rows("ok\n")), "a request in flight at the signal");
    assert_eq!(
        long_client.answer().unwrap(),
        (long, Answer::Error("Errored".into(), None)),
        "a request that outlasts the shutdown"
    );
    assert!(gateway.wait_for_exit().success());
    gateway.log.wait_for("reason: stopped");
    let line = gateway.log.wait_for("class: once, admitted");
    assert!(line.contains("admitted: 3, returned: 2, rejected: 0, errored: 1,"), "{line}");
}

/// Guards against a shutdown decided by time alone: a gateway that was stalled has not read its sockets yet.
#[test]
fn requests_that_arrive_during_a_stall_in_the_shutdown_are_answered() {
    let slow = engine(EngineBehavior::Serve(Duration::from_millis(400), pages(&["ok\n"])));
    for _ in 0..4 {
        let mut gateway = Gateway::start(Some(slow.address));
        let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
        gateway.signal("-TERM");
        gateway.log.wait_for("shutdown requested");
        let requested = Instant::now();
        gateway.suspend();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send("look", &fields(&format!("{:016x}", n + 1), "20000"), "").unwrap();
        }
        wait_for("the requests to arrive", || {
            (requested.elapsed() > Duration::from_millis(900)).then_some(())
        });
        gateway.resume();
        for client in &mut clients {
            assert_eq!(client.answer().unwrap().1, rows("ok\n"));
        }
        assert!(gateway.wait_for_exit().success());
    }
}

#[test]
fn a_killed_gateway_starts_again_on_its_address() {
    let engine = engine(EngineBehavior::Serve(NOW, pages(&["ok\n"])));
    let mut first = Gateway::start(Some(engine.address));
    let mut client = first.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"));
    first.signal("-KILL");
    assert!(!first.wait_for_exit().success());
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let second = Gateway::start_on(&first.address.to_string(), discovery, Some(engine.address), 256);
    let mut client = Client::connect(second.address).unwrap();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"));
}
