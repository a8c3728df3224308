//! Tests of the components of the membership crate with tables of cases, and property tests of datagram decoding.

use larchfall_membership::datagram::{Datagram, DatagramError, MAX_DATAGRAM_BYTES, Payload};
use larchfall_membership::fleet_size::{FleetSize, FleetSizeSettings, FleetView};
use larchfall_membership::gossip_queue::GossipQueue;
use larchfall_membership::local_health::{HealthEvent, LocalHealth};
use larchfall_membership::member_update::{MemberInfo, MemberState, MemberStatus, MemberUpdate, refutation};
use larchfall_membership::suspicion::Suspicion;
use larchfall_policy::time::{Duration, Timestamp};
use proptest::prelude::*;

fn seconds(n: u64) -> Duration {
    Duration::from_millis(n * 1000)
}

fn at(n: u64) -> Timestamp {
    Timestamp::default() + seconds(n)
}

fn status(generation: u64, incarnation: u32, state: MemberState) -> MemberStatus {
    MemberStatus { generation, incarnation, state }
}

#[test]
fn statuses_are_totally_ordered_by_precedence() {
    use MemberState::{Alive, Dead, Left, Suspected};
    let order = [
        status(1, 0, Alive),
        status(1, 0, Suspected),
        status(1, 1, Alive),
        status(1, 1, Suspected),
        status(1, 0, Dead),
        status(1, 0, Left),
        status(2, 0, Alive),
    ];
    for (i, left) in order.iter().enumerate() {
        for (j, right) in order.iter().enumerate() {
            assert_eq!(left.supersedes(*right), i > j, "{left:?} supersedes {right:?}");
        }
    }
    // The incarnation does not matter once a generation has ended.
    assert!(!status(1, 5, Dead).supersedes(status(1, 0, Dead)));
}

#[test]
fn a_gateway_refutes_claims_about_itself() {
    use MemberState::{Alive, Dead, Suspected};
    let own = status(3, 2, Alive);
    let cases = [
        (status(3, 2, Suspected), Some(status(3, 3, Alive))),
        (status(3, 1, Suspected), None),
        (status(3, 2, Alive), None),
        (status(3, 0, Dead), Some(status(4, 0, Alive))),
        (status(2, 9, Dead), None),
        // Claim about an earlier process with the same name and address, whose clock was ahead and gave it a higher
        // generation.
        (status(7, 0, Suspected), Some(status(8, 0, Alive))),
    ];
    for (claim, expected) in cases {
        assert_eq!(refutation(own, claim), expected, "{claim:?}");
    }
}

#[test]
fn each_distinct_reporter_shortens_the_suspicion_timeout() {
    let mut suspicion = Suspicion::new("a".into(), 15, seconds(1), at(0));
    // (reporter, whether the reporter is new, deadline in seconds). The minimum timeout is 3 rounds x log2(16) = 12 s, the
    // timeout with a single reporter four times as long.
    let cases = [
        ("a", false, 48),
        ("b", true, 30),
        ("b", false, 30),
        ("c", true, 19),
        ("d", true, 12),
        ("e", false, 12),
    ];
    for (reporter, is_new, deadline_s) in cases {
        assert_eq!(suspicion.add_reporter(reporter.into()), is_new, "reporter {reporter}");
        assert_eq!(suspicion.deadline().micros() / 1_000_000, deadline_s, "reporter {reporter}");
    }
    suspicion.postpone(seconds(5));
    assert_eq!(suspicion.deadline(), at(17));
}

#[test]
fn poor_local_health_lengthens_timeouts() {
    let mut health = LocalHealth::default();
    let events = [
        (HealthEvent::ProbeUnanswered, 2),
        (HealthEvent::Stalled, 4),
        (HealthEvent::ClaimRefuted, 5),
        (HealthEvent::ProbeAcked, 4),
    ];
    for (event, factor) in events {
        health.record(event);
        assert_eq!(health.scale_timeout(seconds(1)), seconds(factor), "after {event:?}");
    }
    (0..20).for_each(|_| health.record(HealthEvent::Stalled));
    assert_eq!(health.scale_timeout(seconds(1)), seconds(9));
}

#[test]
fn gossip_sends_updates_least_sent_first_and_a_limited_number_of_times() {
    let mut gossip = GossipQueue::default();
    gossip.enqueue("a");
    let take = |gossip: &mut GossipQueue, max_names: usize| {
        let mut names = Vec::new();
        gossip.take_batch(7, |name| {
            let fits = names.len() < max_names;
            names.extend(fits.then(|| name.to_owned()));
            fits
        });
        names
    };
    assert_eq!(take(&mut gossip, 1), ["a"]);
    gossip.enqueue("b");
    assert_eq!(take(&mut gossip, 1), ["b"]);
    // Each update is sent 3 x log2(8) = 9 times in a fleet of seven. One of the nine sends of "a" is counted above.
    let remaining_sends = (0..40).flat_map(|_| take(&mut gossip, 2)).filter(|name| name == "a").count();
    assert_eq!((remaining_sends, gossip.is_empty()), (8, true));
}

#[test]
fn the_gateway_count_rises_at_once_and_falls_slowly_and_not_in_a_partition() {
    let settings =
        FleetSizeSettings { decrease_delay: seconds(10), decrease_interval: seconds(2), min_gateways: 2 };
    // (time in seconds, live members, dead members, expected count)
    let steps = [
        (0, 1, 0, 2),
        (1, 12, 0, 12),
        // Seven members are declared dead. They outnumber the live ones and may be the other side of a network partition, so
        // the count stays.
        (2, 5, 7, 12),
        (60, 5, 7, 12),
        // The dead members are removed from the table or known to have left. The count falls slowly, starting when
        // `decrease_delay` has passed since more members were live.
        (61, 5, 0, 12),
        (69, 5, 0, 12),
        (70, 5, 0, 12),
        (71, 5, 0, 11),
        (72, 5, 0, 11),
        (73, 5, 0, 10),
        (75, 9, 0, 9),
        (76, 13, 0, 13),
        // The dead members are a minority, so the count falls.
        (77, 11, 2, 13),
        (90, 11, 2, 12),
        (92, 11, 2, 11),
        (99, 11, 2, 11),
        (100, 1, 0, 11),
    ];
    let mut fleet_size = FleetSize::new(settings, 2, at(0));
    for (t, live, dead, expected_count) in steps {
        assert_eq!(fleet_size.observe(FleetView { live, dead }, at(t)), expected_count, "at {t} seconds");
    }
}

fn update(i: usize) -> MemberUpdate {
    let address = std::net::SocketAddrV4::new([10, 0, 0, i as u8].into(), 7400);
    let info = MemberInfo { address, zone: "east".into(), requests_per_second: 7 };
    MemberUpdate { name: format!("n{i}"), status: MemberStatus::alive(1, 0), info, reporter: None }
}

fn datagram() -> Datagram {
    let mut datagram = Datagram::new("toy", update(1), Payload::Ping { sequence: 7 });
    datagram.updates = (2..20).map(update).collect();
    datagram
}

#[test]
fn corrupt_and_foreign_datagrams_are_rejected_with_a_reason() {
    let bytes = datagram().encode();
    let flip_bit_in_byte = |i: usize| {
        let mut bytes = bytes.clone();
        bytes[i] ^= 4;
        bytes
    };
    let long_name = MemberUpdate { name: "x".repeat(60), ..update(1) };
    let dead = MemberUpdate { status: status(1, 0, MemberState::Dead), ..update(1) };
    let encode_from = |sender| Datagram::new("toy", sender, Payload::Ping { sequence: 1 }).encode();
    let cases = [
        (bytes.clone(), "toy", Ok(())),
        (bytes.clone(), "other", Err(DatagramError::OtherCluster)),
        (bytes[..bytes.len() - 1].to_vec(), "toy", Err(DatagramError::Corrupt)),
        (flip_bit_in_byte(9), "toy", Err(DatagramError::Corrupt)),
        (flip_bit_in_byte(0), "toy", Err(DatagramError::Version(5))),
        (vec![1; MAX_DATAGRAM_BYTES + 1], "toy", Err(DatagramError::TooLong)),
        (Vec::new(), "toy", Err(DatagramError::Corrupt)),
        (encode_from(long_name), "toy", Err(DatagramError::Malformed)),
        (encode_from(dead), "toy", Err(DatagramError::Malformed)),
    ];
    for (n, (bytes, cluster, expected)) in cases.into_iter().enumerate() {
        assert_eq!(Datagram::decode(&bytes, cluster).map(|_| ()), expected, "case {n}");
    }
    assert_eq!(Datagram::decode(&bytes, "toy"), Ok(datagram()));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn altered_and_truncated_datagrams_are_rejected(byte in 0_usize..400, bit in 0_u8..8, cut in 0_usize..400) {
        let bytes = datagram().encode();
        let mut corrupt = bytes.clone();
        let byte = byte % corrupt.len();
        corrupt[byte] ^= 1 << bit;
        prop_assert!(Datagram::decode(&corrupt, "toy").is_err());
        prop_assert!(Datagram::decode(&bytes[..cut.min(bytes.len() - 1)], "toy").is_err());
    }

    #[test]
    fn arbitrary_bytes_are_rejected_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..1300)) {
        prop_assert!(Datagram::decode(&bytes, "toy").is_err());
    }
}
