//! Messages from clients that are malformed, incomplete or invalid.

use super::{ID, NOW, engine, fields, fields_of, pages, rows};
use crate::common::{Gateway, wait_for};
use larchfall_stub::client::{Answer, request};
use larchfall_stub::engine::EngineBehavior;
use std::time::Duration;

#[test]
fn a_malformed_message_closes_its_connection_and_no_other() {
    let engine = engine(EngineBehavior::Serve(NOW, pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut valid_client = gateway.client();
    let reused_id = {
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
        (&reused_id, "reason: id-used-twice"),
    ];
    for (bytes, reason) in cases {
        let mut faulty_client = gateway.client();
        faulty_client.raw(bytes).unwrap();
        if bytes == reused_id {
            // The request before the protocol violation is answered.
            assert_eq!(faulty_client.answer().unwrap(), (1, rows("ok\n")));
        }
        assert!(faulty_client.is_ended(), "{reason}");
        let parts: Vec<&str> = reason.split(", ").collect();
        wait_for(reason, || {
            parts.iter().all(|p| gateway.log.wait_for(p).contains("connection ended")).then_some(())
        });
        valid_client.send("look", &fields(ID, "20000"), "").unwrap();
        assert_eq!(valid_client.answer().unwrap().1, rows("ok\n"), "after {reason}");
    }
}

#[test]
fn a_connection_without_a_complete_message_is_closed() {
    let gateway = Gateway::start(None);
    let complete = {
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, &request(1, "look", &fields(ID, "5000"), "")).unwrap();
        bytes
    };
    let one_and_a_half = [&complete[..], &complete[..9]].concat();
    // The header of a 60 MB body that never arrives.
    let huge_body = [&complete[..complete.len() - 2], &[0xc6, 3, 0x93, 0x87, 0]].concat();
    let (incomplete, too_long) = ("reason: no-whole-message", "detail: message too long");
    for (bytes, description, reason) in [
        (&b""[..], "no bytes", incomplete),
        (&complete[..9], "half a message", incomplete),
        (&one_and_a_half, "one and a half messages", incomplete),
        (&huge_body, "the header of a 60 MB body", too_long),
    ] {
        let mut client = gateway.client();
        let expected_count = gateway.log.count(reason) + 1;
        client.raw(bytes).unwrap();
        wait_for(description, || (gateway.log.count(reason) == expected_count).then_some(()));
        assert!(bytes.len() > complete.len() || client.is_ended(), "{description}");
    }
}

/// Guards against sending an engine a request that no engine can process: the engine would reply with an error, which
/// would count against the engine.
#[test]
fn an_invalid_request_is_answered_with_an_error_and_sent_to_no_engine() {
    let engine = engine(EngineBehavior::Serve(Duration::from_millis(300), pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    let errored = Answer::Error("Errored".into(), None);
    // The request class, and the field that is changed, or omitted if it has no value.
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
    // A request with the id of one in flight is answered with an error; the first one is unaffected.
    let first = client.send("look", &fields(ID, "20000"), "first").unwrap();
    let second = client.send("look", &fields(ID, "20000"), "second").unwrap();
    assert_eq!(client.answer().unwrap(), (second, errored));
    assert_eq!(client.answer().unwrap(), (first, rows("ok\n")));
    let statements: Vec<_> = engine.seen().started.into_iter().map(|c| c.statement).collect();
    assert_eq!(statements, [b"first"]);
}
