//! Encoding and decoding of datagrams, and compatibility of datagrams and voter records with earlier versions.

use larchfall_leases::fencing::Fenced;
use larchfall_leases::load_sharing::SharedLoadReport;
use larchfall_leases::messages::{
    Datagram, DatagramError, LeaseInfo, LeaseRequest, MemberId, Payload, RoleToken, Vote, paginate,
};
use larchfall_leases::voter_record::VoterRecord;
use larchfall_quotas::{QuotaDemand, QuotaGrant};
use std::collections::BTreeMap;

#[test]
fn datagrams_are_decoded_completely_or_rejected_with_a_reason() {
    let sender = MemberId { name: "n0".into(), generation: 7 };
    let datagram = Datagram::new("c", &sender, Payload::HandOver { role: "x".into(), token: 3 });
    let bytes = datagram.encode();
    assert_eq!(Datagram::decode(&bytes, "c"), Ok(datagram));
    assert_eq!(Datagram::decode(&bytes, "d"), Err(DatagramError::OtherCluster));
    for i in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[i] ^= 1;
        assert!(Datagram::decode(&flipped, "c").is_err(), "decoded with a flipped bit in byte {i}");
        assert!(Datagram::decode(&bytes[..i], "c").is_err(), "decoded although truncated to {i} bytes");
    }
    let malformed = Datagram::new("c", &sender, Payload::HandOver { role: "x".repeat(49), token: 3 });
    assert_eq!(Datagram::decode(&malformed.encode(), "c"), Err(DatagramError::Malformed));
    let entries: Vec<u64> = (0..1000).map(|n| n << 20).collect();
    let pages = paginate(entries.iter().copied(), 600);
    assert_eq!(pages.concat(), entries);
    let to_request = |token: &u64| LeaseRequest { role: "d".into(), token: *token, length_us: 1 };
    for page in paginate(entries.iter().copied(), 300) {
        let requests = page.iter().map(to_request).collect();
        let datagram = Datagram::new("c", &sender, Payload::RequestLeases { round: 1, requests });
        assert!(datagram.encode().len() <= 1200, "datagram has {} bytes", datagram.encode().len());
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|i| u8::from_str_radix(&hex[i..i + 2], 16).unwrap()).collect()
}

/// Payloads about leases and voters, each with the hexadecimal datagram that gateways of earlier versions send.
fn lease_payloads() -> Vec<(Payload, &'static str)> {
    let other = MemberId { name: "n1".into(), generation: 3 };
    let vote = |role: &str, token, granted, highest_token| Vote {
        role: role.into(),
        token,
        granted,
        highest_token,
        held_by_other: !granted,
    };
    let role_token = |role: &str, token| RoleToken { role: role.into(), token };
    vec![
        (
            Payload::RequestLeases {
                round: 300,
                requests: vec![LeaseRequest {
                    role: "probing:0".into(),
                    token: 1_700_000_000_000_001,
                    length_us: 3_000_000,
                }],
            },
            "0203746f79026e30bc0500ac02010970726f62696e673a308180f9c0c1c48203c08db7010798a4f0",
        ),
        (
            Payload::Votes { round: 300, votes: vec![vote("x", 5, true, 6), vote("y", 7, false, 8)] },
            "0203746f79026e30bc0501ac0202017805010600017907000801465b1966",
        ),
        (
            Payload::Release { tokens: vec![role_token("x", 5), role_token("y", 128)] },
            "0203746f79026e30bc0502020178050179800150dc4321",
        ),
        (Payload::HandOver { role: "x".into(), token: 9 }, "0203746f79026e30bc050301780915ad6ccc"),
        (Payload::ListLeases { after: Some("w".into()) }, "0203746f79026e30bc0504010177bd716339"),
        (
            Payload::Leases {
                after: None,
                leases: vec![LeaseInfo {
                    role: "x".into(),
                    token: 5,
                    holder: other,
                    remaining_us: 1_234_567,
                }],
                complete: true,
            },
            "0203746f79026e30bc05050001017805026e310387ad4b01da557191",
        ),
    ]
}

/// Payloads about load reports and quotas, each with the hexadecimal datagram that gateways of earlier versions send.
fn load_report_and_quota_payloads() -> Vec<(Payload, &'static str)> {
    let load_report = |engine, age_us, in_flight, busy_fraction| SharedLoadReport {
        engine,
        age_us,
        in_flight,
        busy_fraction,
    };
    vec![
        (
            Payload::LoadReports(Fenced {
                role: "probing:1".into(),
                token: 11,
                content: vec![
                    load_report(77, 50_000, Some(2.5), None),
                    load_report(300, 0, None, Some(0.25)),
                ],
            }),
            "0203746f79026e30bc05060970726f62696e673a310b024dd08603010000204000ac020000010000803e001d3a15",
        ),
        (
            Payload::RequestQuotas {
                role: "keeper:0".into(),
                round: 2,
                gateways: 24,
                length_us: 2_000_000,
                demands: vec![
                    QuotaDemand { capacity: 1 << 32 | 7, weight: 1.5 },
                    QuotaDemand { capacity: 9, weight: 0.05 },
                ],
            },
            "0203746f79026e30bc0507086b65657065723a30021880897a0287808080100000c03f09cdcc4c3d46a8db0d",
        ),
        (
            Payload::Quotas {
                round: 2,
                grants: Fenced {
                    role: "keeper:0".into(),
                    token: 12,
                    content: vec![
                        QuotaGrant { capacity: 1 << 32 | 7, fraction: 0.125 },
                        QuotaGrant { capacity: 9, fraction: 1.0 },
                    ],
                },
            },
            "0203746f79026e30bc050802086b65657065723a300c028780808010000000000000c03f09000000000000f03ffa2a3cac",
        ),
    ]
}

#[test]
fn datagrams_of_each_payload_have_the_encoding_of_earlier_versions() {
    let sender = MemberId { name: "n0".into(), generation: 700 };
    for (payload, expected) in lease_payloads().into_iter().chain(load_report_and_quota_payloads()) {
        let datagram = Datagram::new("toy", &sender, payload);
        assert_eq!(to_hex(&datagram.encode()), expected, "{datagram:?}");
        assert_eq!(Datagram::decode(&from_hex(expected), "toy"), Ok(datagram));
    }
}

#[test]
fn a_voter_record_has_the_encoding_of_earlier_versions() {
    let highest_tokens = BTreeMap::from([("probing:0".into(), 1_700_000_000_000_001), ("x".into(), 40)]);
    let record = VoterRecord { version: 4, longest_lease_us: 6_000_000, highest_tokens };
    let expected = "011f00000004809bee02020970726f62696e673a308180f9c0c1c48203017828109be86d";
    assert_eq!(to_hex(&record.encode()), expected);
    assert_eq!(VoterRecord::decode(&from_hex(expected)), Ok(record));
}
