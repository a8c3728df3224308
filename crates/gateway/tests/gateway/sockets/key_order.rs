//! Requests of one ordering key run one at a time, and the key cools down while an attempt may still run.

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
    for expected in 1..=6 {
        assert_eq!(client.answer().unwrap(), (expected, rows("ok\n")));
    }
    let order: Vec<String> = engine.seen().started.into_iter().map(|c| c.id).collect();
    assert_eq!(order, ids);
}

/// Guards against starting the next request of a key while an earlier one may still run: one that was not cancelled at its
/// engine, or whose call was cut off and may still arrive there. Either may run until the engine drops the query because
/// nobody polls it.
#[test]
fn a_key_cools_down_while_a_sent_attempt_may_still_run() {
    let id = |n: usize| format!("{n:016x}");
    // Whether the engine replies to later calls, and the timeout of the first request. The first call is always cut off.
    for (replies, timeout) in [(false, "900"), (true, "20000")] {
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
        client.send("load", &fields_of("load", &id(1), timeout), "").unwrap();
        let first = received.recv().unwrap();
        client.send("load", &fields_of("load", &id(2), "25000"), "").unwrap();
        // With replies, the first request is retried before the second starts.
        let next = wait_for("the next attempt", || received.recv().ok());
        assert!(
            replies || next - first > MIN_KEY_COOLDOWN,
            "started only {:?} after the first attempt",
            next - first
        );
        if replies {
            assert_eq!(client.answer().unwrap().0, 1);
            let last_attempt = received.try_iter().last().unwrap_or(next);
            let second = received.recv().unwrap();
            assert!(
                second - last_attempt > MIN_KEY_COOLDOWN,
                "started only {:?} after the last attempt",
                second - last_attempt
            );
        }
    }
}

/// Guards against taking a refused connection as proof that the query has ended: a draining engine accepts no connections
/// while its queries may still run.
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
    assert!(cut.elapsed() > MIN_KEY_COOLDOWN, "answered only {:?} after the cut", cut.elapsed());
}

/// Guards against losing the only connection on which a query can be cancelled at a draining engine: the engine accepts no
/// new connections and continues its queries, polled or not, while the next request of the key goes to another engine.
#[test]
fn a_timed_out_request_at_a_draining_engine_is_cancelled_on_its_open_connection() {
    let outcome_of = |_: &str, statement: &str| {
        StatementOutcome::Succeeds(if statement == "long" { FOREVER } else { NOW })
    };
    let mut stub_engines = StubEngines::start(&["127.0.0.1:0", "127.0.0.1:0"], outcome_of).unwrap();
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
    let process = wait_for("the first request to run", || {
        stub_engines.audit_log().executions.first().map(|r| r.process)
    });
    stub_engines.close(process);
    client.send("load", &fields_of("load", "00000000000000a2", "25000"), "short").unwrap();
    let rejected = Answer::Error("Rejected".into(), Some("500".into()));
    assert_eq!(client.answer().unwrap(), (1, rejected));
    assert_eq!(client.answer().unwrap(), (2, rows("ok\n")));
    let executions = stub_engines.audit_log().executions;
    let first_end = executions[0].ended.expect("the first execution has ended");
    assert!(
        first_end <= executions[1].started,
        "the second request started {:?} too early",
        first_end - executions[1].started
    );
    assert!(
        first_end - executions[0].started < SHUTDOWN_TIME,
        "the query was not cancelled before the engine's shutdown: it ran {:?}",
        first_end - executions[0].started
    );
    stub_engines.open(process);
}

/// Guards against a cooldown after a complete result only because its last page came on another connection than the first.
#[test]
fn a_key_does_not_cool_down_after_a_complete_result() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let gateway = Gateway::start(Some(engine.local_addr().unwrap()));
    std::thread::spawn(move || {
        for stream in engine.incoming().flatten() {
            std::thread::spawn(move || {
                let (mut stream, mut bytes) = (stream, [0; 2048]);
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    // The engine closes each connection after one reply.
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
    let start = Instant::now();
    for id in ["00000000000000a1", "00000000000000a2"] {
        client.send("load", &fields_of("load", id, "20000"), "").unwrap();
        assert_eq!(client.answer().unwrap().1, rows("1\n1\n"));
    }
    assert!(start.elapsed() < Duration::from_millis(2000), "{:?}", start.elapsed());
}
