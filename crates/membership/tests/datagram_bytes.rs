//! Wire compatibility: datagrams of each kind encode to the bytes that earlier versions of the gateway send.

use larchfall_membership::datagram::{Datagram, Payload};
use larchfall_membership::member_update::{MemberInfo, MemberState, MemberStatus, MemberUpdate};
use std::net::{Ipv4Addr, SocketAddrV4};

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|i| u8::from_str_radix(&hex[i..i + 2], 16).unwrap()).collect()
}

fn info(port: u16, zone: &str) -> MemberInfo {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    MemberInfo { address, zone: zone.into(), requests_per_second: 250 }
}

fn sender() -> MemberUpdate {
    let status = MemberStatus::alive(700, 2);
    MemberUpdate { name: "n0".into(), status, info: info(7000, "z1"), reporter: None }
}

fn assert_wire_format(datagram: &Datagram, expected: &str) {
    assert_eq!(to_hex(&datagram.encode()), expected, "{datagram:?}");
    assert_eq!(Datagram::decode(&from_hex(expected), "toy").as_ref(), Ok(datagram));
}

#[test]
fn datagrams_of_each_kind_keep_their_wire_format() {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 9), 7001);
    let cases = [
        (Payload::Ping { sequence: 300 }, "0103746f79026e30bc0502007f000001d836027a31fa0100ac0200fac14e71"),
        (
            Payload::PingRequest { sequence: 300, name: "n1".into(), address },
            "0103746f79026e30bc0502007f000001d836027a31fa0101ac02026e310a000009d93600afcc476a",
        ),
        (Payload::Ack { sequence: 300 }, "0103746f79026e30bc0502007f000001d836027a31fa0102ac02007be229ce"),
        (Payload::Nack { sequence: 300 }, "0103746f79026e30bc0502007f000001d836027a31fa0103ac0200c3486c13"),
        (
            Payload::TablePage { after: Some("n1".into()), wants_reply: true },
            "0103746f79026e30bc0502007f000001d836027a31fa010401026e310100422ed358",
        ),
    ];
    for (payload, expected) in cases {
        assert_wire_format(&Datagram::new("toy", sender(), payload), expected);
    }
}

#[test]
fn updates_of_each_state_keep_their_wire_format() {
    let update = |name: &str, incarnation, state, port, reporter: Option<&str>| MemberUpdate {
        name: name.into(),
        status: MemberStatus { generation: 5, incarnation, state },
        info: info(port, ""),
        reporter: reporter.map(str::to_owned),
    };
    let mut datagram = Datagram::new("toy", sender(), Payload::TablePage { after: None, wants_reply: false });
    datagram.updates = vec![
        update("n1", 0, MemberState::Alive, 7001, None),
        update("n2", 1, MemberState::Suspected, 7002, Some("n9")),
        update("n3", 2, MemberState::Dead, 7003, None),
        update("n4", 3, MemberState::Left, 7004, None),
    ];
    assert_wire_format(
        &datagram,
        "0103746f79026e30bc0502007f000001d836027a31fa0104000004026e310500007f000001d93600fa0100026e320501017f000001da3600fa0101026e39026e330502027f000001db3600fa0100026e340503037f000001dc3600fa010090164105",
    );
}
