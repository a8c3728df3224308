//! The MessagePack-RPC codec for requests and responses of clients.

use larchfall_gateway::codec::client_request::ClientRequest;
use larchfall_gateway::codec::message_pack::{
    FrameScanner, MAX_MESSAGE_BYTES, Message, Response, decode, encode,
};
use larchfall_policy::time::Duration;
use larchfall_stub::client::request;
use rmpv::Value;

fn bytes(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    rmpv::encode::write_value(&mut out, value).unwrap();
    out
}

const ALL_FIELDS: &[(&str, &str)] = &[
    ("req", "9b1f03aa5c7e2d41"),
    ("timeout", "1500"),
    ("owner", "acme"),
    ("resent", "1"),
    ("opkey", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
    ("ms", "820.5"),
    ("est_mb", "96"),
    ("subject", "7f3a9c21e0b4d655"),
];

#[test]
fn a_request_is_decoded_only_when_complete() {
    let input = bytes(&request(7, "report", ALL_FIELDS, "select 1"));
    for length_received in 0..input.len() {
        assert_eq!(decode(&input[..length_received]), Ok(None), "truncated to {length_received} bytes");
        assert_eq!(
            FrameScanner::default().complete_length(&input[..length_received]),
            Ok(None),
            "truncated to {length_received} bytes"
        );
    }
    let twice = [&input[..], &input[..]].concat();
    let decoded = decode(&twice).unwrap().expect("a complete message");
    assert_eq!(decoded.length, input.len());
    let expected = ClientRequest {
        class: "report",
        id: "9b1f03aa5c7e2d41",
        id_number: 0x9b1f_03aa_5c7e_2d41,
        tenant: "acme",
        timeout: Some(Duration::from_millis(1500)),
        idempotency_key: Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        ordering_key: Some(0x7f3a_9c21_e0b4_d655),
        work_hint: Some(Duration::from_micros(820_500)),
        memory_hint_mb: Some(96.0),
        statement: b"select 1",
    };
    assert_eq!(decoded.value, Message::Request { message_id: 7, request: expected });
}

/// The expected result of decoding some bytes.
#[derive(Debug)]
enum Decoded<'a> {
    Message(Message<'a>),
    /// An invalid request with message id 9, answered with this reason.
    InvalidRequest(&'a str),
    /// Not a message of the protocol; the gateway closes the connection and logs this reason.
    Malformed(&'a str),
    Incomplete,
}

fn check(description: &str, input: &[u8], expected: Decoded) {
    match (decode(input), expected) {
        (Ok(Some(got)), Decoded::Message(expected)) => assert_eq!(got.value, expected, "{description}"),
        (Ok(Some(got)), Decoded::InvalidRequest(expected)) => {
            let Message::InvalidRequest { message_id: 9, reason } = got.value else {
                panic!("{description}: {got:?}")
            };
            assert_eq!(reason.to_string(), expected, "{description}");
        }
        (Ok(None), Decoded::Incomplete) => {}
        (Err(got), Decoded::Malformed(expected)) => assert_eq!(got.to_string(), expected, "{description}"),
        (got, expected) => panic!("{description}: {got:?}, expected {expected:?}"),
    }
}

#[test]
fn the_response_to_an_invalid_request_names_the_field() {
    let with = |changed: &str, value: &str| {
        let field = |(name, old)| if name == changed { (name, value) } else { (name, old) };
        let fields: Vec<(&str, &str)> = ALL_FIELDS.iter().copied().map(field).collect();
        bytes(&request(9, "report", &fields, ""))
    };
    let without = |omitted: &str| {
        let fields: Vec<_> = ALL_FIELDS.iter().copied().filter(|(name, _)| *name != omitted).collect();
        bytes(&request(9, "report", &fields, ""))
    };
    let cases = [
        ("no request id", without("req"), "req is missing or unusable"),
        (
            "a request id with a line break that would inject a header",
            with("req", "a\r\nX: 1"),
            "req is missing or unusable",
        ),
        ("no timeout", without("timeout"), "timeout is missing or unusable"),
        ("a timeout that is not a number", with("timeout", "soon"), "timeout is missing or unusable"),
        ("an infinite timeout", with("timeout", "inf"), "timeout is missing or unusable"),
        ("a request id of the wrong length", with("req", "9b1f"), "req is missing or unusable"),
        ("a timeout of zero", with("timeout", "0"), "timeout is missing or unusable"),
        ("a timeout above the maximum", with("timeout", "1e18"), "timeout is missing or unusable"),
        ("an ordering key with a sign", with("subject", "+3a"), "subject is unusable"),
        ("a memory hint that is not a number", with("est_mb", "NaN"), "est_mb is unusable"),
        ("a memory hint above the maximum", with("est_mb", "1e12"), "est_mb is unusable"),
        ("an idempotency key with a line break", with("opkey", "a\n"), "opkey is unusable"),
        ("an ordering key that is not hexadecimal", with("subject", "north"), "subject is unusable"),
        ("a negative work hint", with("ms", "-1"), "ms is unusable"),
    ];
    for (description, input, expected) in cases {
        check(description, &input, Decoded::InvalidRequest(expected));
    }
}

fn encoded_array(parts: Vec<Value>) -> Vec<u8> {
    bytes(&Value::Array(parts))
}

#[test]
fn a_request_of_the_wrong_structure_is_rejected_with_the_reason() {
    let cases = [
        (
            "a body that is a string",
            encoded_array(vec![
                0.into(),
                9.into(),
                "report".into(),
                vec![Value::Map(vec![]), "x".into()].into(),
            ]),
            "body is no bin",
        ),
        (
            "a request of three elements",
            encoded_array(vec![0.into(), 9.into(), "report".into()]),
            "a request has four parts",
        ),
        (
            "no body",
            encoded_array(vec![0.into(), 9.into(), "report".into(), vec![Value::Map(vec![])].into()]),
            "wanted fields and a body",
        ),
        (
            "a method that is an integer",
            encoded_array(vec![0.into(), 9.into(), 1.into(), Value::Array(vec![])]),
            "method is no text",
        ),
    ];
    for (description, input, expected) in cases {
        check(description, &input, Decoded::InvalidRequest(expected));
    }
}

#[test]
fn other_messages_are_decoded_and_malformed_ones_rejected() {
    let deeply_nested = [vec![0x91; 200], vec![0xc0]].concat();
    let cases = [
        (
            "ping",
            encoded_array(vec![0.into(), 8.into(), "ping".into(), Value::Array(vec![])]),
            Decoded::Message(Message::Ping { message_id: 8 }),
        ),
        (
            "abort",
            encoded_array(vec![2.into(), "abort".into(), vec![Value::from(7), Value::from(8)].into()]),
            Decoded::Message(Message::Abort { message_ids: vec![7, 8] }),
        ),
        (
            "an unknown notification",
            encoded_array(vec![2.into(), "hello".into(), Value::Array(vec![])]),
            Decoded::Malformed("unknown notification"),
        ),
        (
            "a response",
            encoded_array(vec![1.into(), 7.into(), Value::Nil, Value::Nil]),
            Decoded::Malformed("unknown message type"),
        ),
        (
            "a message id of more than 32 bits",
            encoded_array(vec![0.into(), (1u64 << 40).into(), "ping".into(), Value::Array(vec![])]),
            Decoded::Malformed("message id is not an unsigned 32-bit integer"),
        ),
        ("a map", bytes(&Value::Map(vec![])), Decoded::Malformed("message is not an array")),
        (
            "an HTTP request",
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            Decoded::Malformed("message is not an array"),
        ),
        ("a byte that MessagePack never uses", vec![0xc1], Decoded::Malformed("message is not an array")),
        ("deep nesting", deeply_nested, Decoded::Malformed("not MessagePack")),
        (
            "a byte string above the size limit, of which only the length has arrived",
            vec![0xc6, 0xff, 0xff, 0xff, 0xff],
            Decoded::Incomplete,
        ),
        (
            "a byte string above the size limit, with more than the limit received",
            [vec![0xc6, 0xff, 0xff, 0xff, 0xff], vec![0; MAX_MESSAGE_BYTES]].concat(),
            Decoded::Malformed("message too long"),
        ),
    ];
    for (description, input, expected) in cases {
        check(description, &input, expected);
    }
}

#[test]
fn responses_are_encoded_as_clients_expect() {
    let field = |name: &str, value: &str| Value::Map(vec![(name.into(), value.into())]);
    let none = || Value::Map(vec![]);
    let cases = [
        (Response::Returned(b"1\ta\n"), Value::Nil, vec![Value::Binary(b"1\ta\n".to_vec()), none()].into()),
        (Response::Rejected(None), vec!["Rejected".into(), none()].into(), Value::Nil),
        (
            Response::Rejected(Some(Duration::from_millis(500))),
            vec!["Rejected".into(), field("holdoff", "500")].into(),
            Value::Nil,
        ),
        (Response::Errored("x"), vec!["Errored".into(), field("reason", "x")].into(), Value::Nil),
        (Response::Pong, Value::Nil, vec![true.into(), none()].into()),
    ];
    for (response, error, result) in cases {
        let mut out = Vec::new();
        encode(&mut out, 70_000, &response);
        let expected = Value::Array(vec![1.into(), 70_000.into(), error, result]);
        assert_eq!(rmpv::decode::read_value(&mut &out[..]).unwrap(), expected);
    }
}

/// Guards against rescanning a partial message from its start whenever more bytes arrive: an endless message took all
/// processor time of the gateway.
#[test]
fn a_message_is_scanned_once_however_it_is_split() {
    let values = [
        Value::Nil,
        Value::from(-70_000),
        Value::from(u64::MAX),
        Value::F32(1.5),
        Value::F64(2.5),
        Value::from("text"),
        Value::from("t".repeat(300)),
        Value::Binary(vec![1; 70_000]),
        Value::Array(Vec::new()),
        Value::Array(vec![Value::from(1); 20]),
        Value::Map(vec![(Value::from("a"), Value::Array(vec![Value::Nil, Value::from(200)])); 17]),
        Value::Ext(3, vec![0; 4]),
        Value::Ext(3, vec![0; 300]),
    ];
    for value in values {
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, &value).unwrap();
        let length = bytes.len();
        bytes.extend([0xc0; 3]);
        for step in [1, 7, 4096] {
            let mut scanner = FrameScanner::default();
            for length_received in (0..length).step_by(step) {
                assert_eq!(
                    scanner.complete_length(&bytes[..length_received]),
                    Ok(None),
                    "{length} bytes truncated to {length_received}"
                );
            }
            assert_eq!(scanner.complete_length(&bytes), Ok(Some(length)));
        }
    }
    for bytes in [
        &[0xc1][..],
        &[0x91; 64],
        &[0xdd, 0, 2, 0, 1],
        &[0xc6, 3, 0x93, 0x87, 0],
        &[0xdf, 255, 255, 255, 255],
    ] {
        assert!(FrameScanner::default().complete_length(bytes).is_err(), "{bytes:?}");
    }
}
