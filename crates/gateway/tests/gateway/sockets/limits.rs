//! Limits on client connections, requests per connection and engine connections.

use super::{FOREVER, ID, NOW, engine, fields, pages, rows};
use crate::common::{Gateway, wait_for, wait_until_seen};
use larchfall_stub::client::{Answer, Client};
use larchfall_stub::discovery::Discovery;
use larchfall_stub::engine::{Engine, EngineBehavior};
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Guards against idle connections that are kept without end while new ones wait in the listener's queue.
#[test]
fn idle_connections_are_closed_for_new_ones_and_those_with_a_request_stay() {
    let engine = engine(EngineBehavior::Serve(Duration::from_millis(1500), pages(&["ok\n"])));
    let gateway =
        Gateway::start_on("127.0.0.1:0", Discovery::start("127.0.0.1:0").unwrap(), Some(engine.address), 64);
    let mut busy = gateway.client();
    let sent = busy.send("look", &fields(ID, "20000"), "").unwrap();
    // The gateway reserves 16 of its 64 descriptors for clients.
    let _open_connections: Vec<Client> = (0..40)
        .map(|n| {
            let mut client = gateway.client();
            let ping = client.ping().unwrap();
            assert_eq!(client.answer().unwrap(), (ping, Answer::Pong), "connection {n}");
            client
        })
        .collect();
    assert_eq!(busy.answer().unwrap(), (sent, rows("ok\n")));
    assert!(
        gateway.log.count("reason: room-needed") >= 24,
        "fewer than 24 connections were closed to make room"
    );
}

/// Guards against silent connections that each held a client descriptor for 250 ms while others queued.
#[test]
fn a_flood_of_silent_connections_delays_other_clients_only_briefly() {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    // The gateway reserves 16 of its 64 descriptors for clients: at 250 ms each, the silent connections would take more
    // than 8 s.
    let gateway = Gateway::start_on("127.0.0.1:0", discovery, None, 64);
    let start = Instant::now();
    let _silent: Vec<Client> = (0..480).map(|_| gateway.client()).collect();
    let mut client = gateway.client();
    let ping = client.ping().unwrap();
    assert_eq!(client.answer().unwrap(), (ping, Answer::Pong));
    assert!(start.elapsed() < Duration::from_millis(6000), "{:?}", start.elapsed());
}

#[test]
fn requests_beyond_the_limit_of_a_connection_are_rejected() {
    let engine = engine(EngineBehavior::Serve(FOREVER, pages(&[""])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    for n in 0..33 {
        client.send("look", &fields(&format!("{n:016x}"), "20000"), "").unwrap();
    }
    assert_eq!(client.answer().unwrap(), (33, Answer::Error("Rejected".into(), Some("500".into()))));
}

#[test]
fn attempts_without_a_descriptor_are_rejected_and_do_not_count_against_the_engine() {
    let engine = Engine::start("127.0.0.1:0", |call| {
        let duration = if call.statement == b"long" { FOREVER } else { NOW };
        EngineBehavior::Serve(duration, pages(&["ok\n"]))
    })
    .unwrap();
    // The gateway reserves 4 of its 32 descriptors for connections to engines.
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let gateway = Gateway::start_on("127.0.0.1:0", discovery, Some(engine.address), 32);
    let mut client = gateway.client();
    for n in 0..4 {
        client.send("once", &fields(&format!("{n:016x}"), "25000"), "long").unwrap();
    }
    wait_until_seen(&engine, "four queries to run", |s| s.started.len() == 4);
    for n in 4..12 {
        let sent = client.send("once", &fields(&format!("{n:016x}"), "25000"), "").unwrap();
        assert_eq!(client.answer().unwrap(), (sent, Answer::Error("Rejected".into(), Some("500".into()))));
    }
    client.abort(1).unwrap();
    wait_until_seen(&engine, "one query to be cancelled", |s| s.cancelled.len() == 1);
    wait_for("a request to reach the engine again", || {
        client.send("once", &fields(ID, "25000"), "").unwrap();
        (client.answer().unwrap().1 == rows("ok\n")).then_some(())
    });
    // If the attempts were counted as failed connections, they would count against a healthy engine.
    gateway.signal("-USR1");
    let line = gateway.log.wait_for("class: once, admitted");
    assert!(line.contains("connect_failed: 0,") && !line.contains("attempts_not_sent: 0"), "{line}");
}

/// Guards against a worker that does not poll for events while any coroutine is ready: clients that sent without pause
/// delayed all other clients and every engine's reply for seconds.
#[test]
fn clients_that_never_pause_do_not_starve_others() {
    let engine = engine(EngineBehavior::Serve(Duration::from_millis(50), pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let stopped = Arc::new(AtomicBool::new(false));
    let abort = [0x93, 2, 0xa5, b'a', b'b', b'o', b'r', b't', 0x91, 77].repeat(3000);
    let floods: Vec<_> = (0..24)
        .map(|_| {
            let (stopped, abort, to) = (stopped.clone(), abort.clone(), gateway.address);
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(to).unwrap();
                while !stopped.load(Ordering::Relaxed) && stream.write_all(&abort).is_ok() {}
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let mut client = gateway.client();
    for n in 0..5 {
        let start = Instant::now();
        client.send("look", &fields(&format!("{n:016x}"), "20000"), "").unwrap();
        assert_eq!(client.answer().unwrap().1, rows("ok\n"));
        assert!(start.elapsed() < Duration::from_millis(2500), "{n}: {:?}", start.elapsed());
    }
    stopped.store(true, Ordering::Relaxed);
    floods.into_iter().for_each(|f| f.join().unwrap());
}
