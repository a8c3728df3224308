//! Responses to requests by the outcome of their attempts, cancellation, and deadlines passed on to engines.

use super::{FOREVER, ID, NOW, engine, fields, fields_of, pages, rows};
use crate::common::{Gateway, refusing_address, wait_until_seen};
use larchfall_stub::client::Answer;
use larchfall_stub::engine::EngineBehavior;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

#[test]
fn each_outcome_of_an_attempt_has_its_response() {
    let errored = Answer::Error("Errored".into(), None);
    let rejected = Answer::Error("Rejected".into(), Some("500".into()));
    // The engine's behavior, the request class, the response, and how often the engine received the statement (0: not
    // checked).
    let cases = [
        (EngineBehavior::Serve(NOW, pages(&["a\tb\n"])), "look", rows("a\tb\n"), 1),
        (EngineBehavior::Serve(NOW, pages(&["1\n", "2\n", "3\n"])), "look", rows("1\n2\n3\n"), 1),
        (EngineBehavior::Serve(NOW, pages(&[""])), "once", rows(""), 1),
        (EngineBehavior::Serve(Duration::from_millis(700), pages(&["late\n"])), "load", rows("late\n"), 1),
        (EngineBehavior::Hang(b"again\n".to_vec()), "once", rows("again\n"), 1),
        (EngineBehavior::Decline, "once", rejected.clone(), 0),
        (EngineBehavior::Decline, "look", rejected.clone(), 0),
        (EngineBehavior::Fail, "once", errored.clone(), 1),
        (EngineBehavior::Fail, "look", rejected.clone(), 0),
        (EngineBehavior::Cut, "once", errored.clone(), 1),
        (EngineBehavior::LosePage, "once", errored.clone(), 1),
        (EngineBehavior::WriteRaw(b"SSH-2.0-toy\r\n".to_vec()), "once", errored.clone(), 1),
        (
            EngineBehavior::WriteRaw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
            "once",
            errored,
            1,
        ),
    ];
    for (behavior, class, expected, expected_starts) in cases {
        let engine = engine(behavior.clone());
        let gateway = Gateway::start(Some(engine.address));
        let mut client = gateway.client();
        let sent = client.send(class, &fields_of(class, ID, "20000"), "select 1").unwrap();
        assert_eq!(client.answer().unwrap(), (sent, expected), "{behavior:?} for {class}");
        let started = engine.seen().started;
        assert!(
            expected_starts == 0 || started.len() == expected_starts,
            "{behavior:?} for {class}: started {}",
            started.len()
        );
        let call = &started[0];
        assert_eq!((call.id.as_str(), &call.statement[..]), (ID, &b"select 1"[..]));
        assert_eq!(call.head["x-profile"], class);
    }
}

#[test]
fn a_request_that_cannot_have_run_is_rejected() {
    let refusing = refusing_address();
    let gateway = Gateway::start(Some(refusing.address));
    let mut client = gateway.client();
    for class in ["once", "load", "look"] {
        let sent = client.send(class, &fields_of(class, ID, "5000"), "").unwrap();
        let rejected = Answer::Error("Rejected".into(), Some("500".into()));
        assert_eq!(client.answer().unwrap(), (sent, rejected), "{class}");
    }
}

#[test]
fn a_non_idempotent_request_that_a_dead_engine_may_have_run_is_not_rejected() {
    for (class, error_name) in [("once", "Errored"), ("load", "Rejected")] {
        let engine = TcpListener::bind("127.0.0.1:0").unwrap();
        let gateway = Gateway::start(Some(engine.local_addr().unwrap()));
        let mut client = gateway.client();
        client.send(class, &fields_of(class, ID, "20000"), "").unwrap();
        // The engine dies without replying to the call, and its address refuses connections from then on.
        let (mut stream, _) = engine.accept().unwrap();
        assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
        drop(engine);
        drop(stream);
        assert!(matches!(client.answer().unwrap().1, Answer::Error(n, _) if n == error_name), "{class}");
    }
}

#[test]
fn a_request_past_its_deadline_is_answered_and_cancelled() {
    let engine = engine(EngineBehavior::Serve(FOREVER, pages(&[""])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    let cases = [("look", "aaaa", "Rejected"), ("once", "bbbb", "Errored"), ("load", "cccc", "Rejected")];
    for (class, id, error_name) in cases {
        let id = &id.repeat(4);
        client.send(class, &fields_of(class, id, "700"), "").unwrap();
        assert!(matches!(client.answer().unwrap().1, Answer::Error(n, _) if n == error_name), "{class}");
        wait_until_seen(&engine, "the query to be cancelled", |s| s.cancelled.contains(&id.to_owned()));
    }
}

#[test]
fn an_aborted_request_is_cancelled_and_not_answered() {
    let engine = engine(EngineBehavior::Serve(FOREVER, pages(&[""])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    let sent = client.send("load", &fields_of("load", ID, "20000"), "").unwrap();
    wait_until_seen(&engine, "the query to start", |s| s.started.len() == 1);
    client.abort(sent).unwrap();
    client.abort(77).unwrap();
    wait_until_seen(&engine, "the query to be cancelled", |s| s.cancelled == [ID]);
    let ping = client.ping().unwrap();
    assert_eq!(client.answer().unwrap(), (ping, Answer::Pong));
}

#[test]
fn a_client_that_disconnects_cancels_its_requests() {
    let engine = engine(EngineBehavior::Serve(FOREVER, pages(&[""])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    wait_until_seen(&engine, "the query to start", |s| s.started.len() == 1);
    drop(client);
    wait_until_seen(&engine, "the query to be cancelled", |s| s.cancelled == [ID]);
    gateway.log.wait_for("reason: client-closed");
}

#[test]
fn the_deadline_passed_on_is_reduced_by_network_and_client_delays() {
    let engine = engine(EngineBehavior::Serve(NOW, pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    // A client may delay a request with an ordering key by up to 250 ms, and its timeout includes that delay.
    for (class, max_ms) in [("load", 20_000 - 310), ("look", 20_000 - 60)] {
        client.send(class, &fields_of(class, ID, "20000"), "").unwrap();
        assert_eq!(client.answer().unwrap().1, rows("ok\n"));
        let patience: u64 = engine.seen().started.last().unwrap().head["x-patience"].parse().unwrap();
        assert!(patience <= max_ms, "{class}: {patience} ms");
    }
}

#[test]
fn counters_are_logged_on_sigusr1() {
    let engine = engine(EngineBehavior::Serve(NOW, pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    client.answer().unwrap();
    gateway.signal("-USR1");
    let line = gateway.log.wait_for("class: look, admitted");
    assert!(
        line.contains("admitted: 1, returned: 1, rejected: 0, errored: 0, disconnected: 0, attempts: 1,"),
        "{line}"
    );
}
