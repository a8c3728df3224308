//! Requests of one order key run one at a time, and the key cools down while an attempt may still run.

use super::{FOREVER, MIN_KEY_COOLDOWN, NOW, engine, fields_of, pages, rows};
use crate::common::{Gateway, config_of, settings, wait_for};
use larchfall_stub::client::Answer;
use larchfall_stub::discovery::Discovery;
use larchfall_stub::engine::EngineBehavior;
use larchfall_stub::stub_engines::{SHUTDOWN_TIME, StatementOutcome, StubEngines};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::{Duration, Instant};

#[test]
fn requests_of_one_key_run_one_after_the_other_in_order() {
    let engine = engine(EngineBehavior::Serve(Duration::from_millis(30), pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    let ids: Vec<String> = (0..6).map(|n| format!("{n:016x}")).collect();
    for id in &ids {
        client.send("load", &fields_of("load", id, "20000"), "").unwrap();
    }
    for wanted in 1..=6 {
        assert_eq!(client.answer().unwrap(), (wanted, rows("ok\n")));
    }
    let order: Vec<String> = engine.seen().started.into_iter().map(|c| c.id).collect();
    assert_eq!(order, ids);
}

/// Guards against the next request of a key beside one that was not cancelled at its engine, or whose call was cut off and
/// may still arrive there: neither is over before the engine drops it because nobody polls it.
#[test]
fn a_key_cools_down_while_what_was_sent_may_still_run() {
    let id = |n: usize| format!("{n:016x}");
    // Whether later calls have a reply, and the first request's timeout. The first call is cut off.
    for (replies, time) in [(false, "900"), (true, "20000")] {
        let engine = TcpListener::bind("127.0.0.1:0").unwrap();
        let gateway = Gateway::start(Some(engine.local_addr().unwrap()));
        let (posts, received) = mpsc::channel();
        std::thread::spawn(move || {
            for stream in engine.incoming().flatten() {
                let posts = posts.clone();
                std::thread::spawn(move || {
                    let (mut stream, mut bytes) = (stream, [0; 2048]);
                    while let Ok(n @ 1..) = stream.read(&mut bytes) {
                        let call = String::from_utf8_lossy(&bytes[..n]).into_owned();
                        if call.starts_with("POST") {
                            posts.send(Instant::now()).unwrap();
                            return;
                        }
                        if replies {
                            // The engine no longer knows the query.
                            let unknown = b"HTTP/1.1 500 Unknown\r\nContent-Length: 0\r\n\r\n";
                            stream.write_all(unknown).unwrap();
                        }
                    }
                });
            }
        });
        let mut client = gateway.client();
        client.send("load", &fields_of("load", &id(1), time), "").unwrap();
        let first = received.recv().unwrap();
        client.send("load", &fields_of("load", &id(2), "25000"), "").unwrap();
        // The first one's own retries have their turn; the second one's has not.
        let next = wait_for("the next attempt", || received.recv().ok());
        assert!(replies || next - first > MIN_KEY_COOLDOWN, "{:?} after", next - first);
        if replies {
            assert_eq!(client.answer().unwrap().0, 1);
            let after = received.try_iter().last().unwrap_or(next);
            let second = received.recv().unwrap();
            assert!(second - after > MIN_KEY_COOLDOWN, "{:?} after", second - after);
        }
    }
}

/// Guards against taking a refused connection for the end of what runs there: a draining engine accepts no connections,
/// and its query may still run.
#[test]
fn a_key_cools_down_after_an_engine_that_refuses_connections() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let gateway = Gateway::start(Some(engine.local_addr().unwrap()));
    let mut client = gateway.client();
    client.send("load", &fields_of("load", "00000000000000a1", "20000"), "").unwrap();
    let (mut stream, _) = engine.accept().unwrap();
    assert!(stream.read(&mut [0; 2048]).unwrap() > 0);
    client.send("load", &fields_of("load", "00000000000000a2", "25000"), "").unwrap();
    let cut = Instant::now();
    drop((engine, stream));
    let answers = [client.answer().unwrap().0, client.answer().unwrap().0];
    assert_eq!(answers, [1, 2]);
    assert!(cut.elapsed() > MIN_KEY_COOLDOWN, "{:?} after", cut.elapsed());
}

/// Guards against losing the one connection on which a query can be cancelled at a draining engine: the engine accepts no
/// new ones and runs its queries on, polled or not, while the next request of the key goes elsewhere.
#[test]
fn what_times_out_at_a_draining_engine_is_cancelled_on_the_open_connection() {
    let runs = |_: &str, statement: &str| {
        StatementOutcome::Succeeds(if statement == "long" { FOREVER } else { NOW })
    };
    let mut stub_engines = StubEngines::start(&["127.0.0.1:0", "127.0.0.1:0"], runs).unwrap();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text = config_of(
        "127.0.0.1:0",
        discovery.address,
        &[stub_engines.address(0), stub_engines.address(1)],
        256,
        &settings(),
    );
    let gateway = Gateway::start_with(discovery, &text);
    let mut client = gateway.client();
    client.send("load", &fields_of("load", "00000000000000a1", "1400"), "long").unwrap();
    let process =
        wait_for("the first to run", || stub_engines.audit_log().executions.first().map(|r| r.process));
    stub_engines.close(process);
    client.send("load", &fields_of("load", "00000000000000a2", "25000"), "short").unwrap();
    let rejected = Answer::Error("Rejected".into(), Some("500".into()));
    assert_eq!(client.answer().unwrap(), (1, rejected));
    assert_eq!(client.answer().unwrap(), (2, rows("ok\n")));
    let ran = stub_engines.audit_log().executions;
    let until = ran[0].ended.expect("shutdown requested");
    assert!(until <= ran[1].started, "the next began {:?} too early", until - ran[1].started);
    assert!(until - ran[0].started < SHUTDOWN_TIME, "not told before it ended: {:?}", until - ran[0].started);
    stub_engines.open(process);
}

/// Guards against a key that cools down after a complete result only because its last page came on another connection.
#[test]
fn a_key_does_not_cool_down_after_a_complete_result() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let gateway = Gateway::start(Some(engine.local_addr().unwrap()));
    std::thread::spawn(move || {
        for stream in engine.incoming().flatten() {
            std::thread::spawn(move || {
                let (mut stream, mut bytes) = (stream, [0; 2048]);
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    // Each reply is the last of its connection.
                    let first = !bytes[..n].starts_with(b"GET");
                    let page = if first { "Page-Count: 2" } else { "Page-No: 1" };
                    let reply = format!(
                        "HTTP/1.1 200 OK\r\n{page}\r\nConnection: close\r\nContent-Length: 2\r\n\r\n1\n"
                    );
                    if stream.write_all(reply.as_bytes()).is_err() || first {
                        return;
                    }
                }
            });
        }
    });
    let mut client = gateway.client();
    let began = Instant::now();
    for id in ["00000000000000a1", "00000000000000a2"] {
        client.send("load", &fields_of("load", id, "20000"), "").unwrap();
        assert_eq!(client.answer().unwrap().1, rows("1\n1\n"));
    }
    assert!(began.elapsed() < Duration::from_millis(2000), "{:?}", began.elapsed());
}
