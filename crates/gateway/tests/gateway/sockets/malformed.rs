//! Messages that are malformed, incomplete or unusable.

use super::{ID, NOW, engine, fields, fields_of, pages, rows};
use crate::common::{Gateway, wait_for};
use larchfall_stub::client::{Answer, request};
use larchfall_stub::engine::EngineBehavior;
use std::time::Duration;

#[test]
fn what_is_no_message_ends_its_connection_and_no_other() {
    let engine = engine(EngineBehavior::Serve(NOW, pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut good = gateway.client();
    let twice = {
        let mut bytes = Vec::new();
        for _ in 0..2 {
            rmpv::encode::write_value(&mut bytes, &request(1, "look", &fields(ID, "5000"), "")).unwrap();
        }
        bytes
    };
    let cases: [(&[u8], &str); 5] = [
        (b"GET / HTTP/1.1\r\n\r\n", "reason: malformed, detail: message is not an array"),
        (&[0x91; 64], "reason: malformed, detail: not MessagePack"),
        (&[0x93, 0x02, 0xa1, b'x', 0x90], "reason: malformed, detail: unknown notification"),
        (&[0xc1; 8], "reason: malformed"),
        (&twice, "reason: id-used-twice"),
    ];
    for (bytes, reason) in cases {
        let mut bad = gateway.client();
        bad.raw(bytes).unwrap();
        if bytes == twice {
            // What it asked for before it broke the protocol is answered.
            assert_eq!(bad.answer().unwrap(), (1, rows("ok\n")));
        }
        assert!(bad.is_ended(), "{reason}");
        let parts: Vec<&str> = reason.split(", ").collect();
        wait_for(reason, || {
            parts.iter().all(|p| gateway.log.wait_for(p).contains("connection ended")).then_some(())
        });
        good.send("look", &fields(ID, "20000"), "").unwrap();
        assert_eq!(good.answer().unwrap().1, rows("ok\n"), "after {reason}");
    }
}

#[test]
fn a_client_without_a_complete_message_is_not_waited_for() {
    let gateway = Gateway::start(None);
    let complete = {
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, &request(1, "look", &fields(ID, "5000"), "")).unwrap();
        bytes
    };
    let half = [&complete[..], &complete[..9]].concat();
    // A body of 60 MB that is announced, and never comes.
    let huge = [&complete[..complete.len() - 2], &[0xc6, 3, 0x93, 0x87, 0]].concat();
    let (waits, long) = ("reason: no-whole-message", "detail: message too long");
    for (bytes, what, reason) in [
        (&b""[..], "nothing", waits),
        (&complete[..9], "a half", waits),
        (&half, "one and a half", waits),
        (&huge, "60 MB", long),
    ] {
        let mut client = gateway.client();
        let ended = gateway.log.count(reason) + 1;
        client.raw(bytes).unwrap();
        wait_for(what, || (gateway.log.count(reason) == ended).then_some(()));
        assert!(bytes.len() > complete.len() || client.is_ended(), "{what}");
    }
}

/// Guards against a request that no engine could use either: it would answer with an error and be blamed for it.
#[test]
fn an_unusable_request_is_answered_with_an_error_and_sent_to_no_engine() {
    let engine = engine(EngineBehavior::Serve(Duration::from_millis(300), pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    let errored = Answer::Error("Errored".into(), None);
    // The request class, and the one field that is changed or, without a value, left out.
    let cases = [
        ("nothing", ("req", Some(ID))),
        ("look", ("req", Some("a b"))),
        ("look", ("req", Some("9b1f03aa"))),
        ("look", ("timeout", Some("soon"))),
        ("look", ("timeout", Some("1e300"))),
        ("look", ("owner", Some("nobody"))),
        ("look", ("est_mb", Some("-5"))),
        ("load", ("opkey", None)),
        ("load", ("subject", None)),
    ];
    for (class, (name, value)) in cases {
        let mut fields = fields_of(class, ID, "20000");
        fields.retain(|(n, _)| *n != name);
        fields.extend(value.map(|v| (name, v)));
        let sent = client.send(class, &fields, "").unwrap();
        assert_eq!(client.answer().unwrap(), (sent, errored.clone()), "{class} {name} {value:?}");
    }
    // An id that is in flight, with another statement: only the first one counts.
    let first = client.send("look", &fields(ID, "20000"), "first").unwrap();
    let second = client.send("look", &fields(ID, "20000"), "second").unwrap();
    assert_eq!(client.answer().unwrap(), (second, errored));
    assert_eq!(client.answer().unwrap(), (first, rows("ok\n")));
    let statements: Vec<_> = engine.seen().started.into_iter().map(|c| c.statement).collect();
    assert_eq!(statements, [b"first"]);
}
