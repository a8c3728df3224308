//! The components by tables of cases, and what must hold of any datagrams.

use larchfall_membership::datagram::{Datagram, DatagramError, MAX_DATAGRAM_BYTES, Payload};
use larchfall_membership::fleet_size::{FleetSize, FleetSizeSettings, FleetView};
use larchfall_membership::gossip_queue::GossipQueue;
use larchfall_membership::local_health::{HealthEvent, LocalHealth};
use larchfall_membership::member_update::{MemberInfo, MemberState, MemberStatus, MemberUpdate, refutation};
use larchfall_membership::suspicion::Suspicion;
use larchfall_policy::time::{Duration, Timestamp};
use proptest::prelude::*;

fn s(n: u64) -> Duration {
    Duration::from_millis(n * 1000)
}

fn at(n: u64) -> Timestamp {
    Timestamp::default() + s(n)
}

fn status(generation: u64, incarnation: u32, state: MemberState) -> MemberStatus {
    MemberStatus { generation, incarnation, state }
}

#[test]
fn statuses_in_order_of_precedence() {
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
    for (i, a) in order.iter().enumerate() {
        for (j, b) in order.iter().enumerate() {
            assert_eq!(a.supersedes(*b), i > j, "{a:?} over {b:?}");
        }
    }
    // Of an end the incarnation says nothing.
    assert!(!status(1, 5, Dead).supersedes(status(1, 0, Dead)));
}

#[test]
fn a_gateway_refutes_what_is_claimed_of_it() {
    use MemberState::{Alive, Dead, Suspected};
    let own = status(3, 2, Alive);
    let cases = [
        (status(3, 2, Suspected), Some(status(3, 3, Alive))),
        (status(3, 1, Suspected), None),
        (status(3, 2, Alive), None),
        (status(3, 0, Dead), Some(status(4, 0, Alive))),
        (status(2, 9, Dead), None),
        // An earlier process of its own name and address, whose clock was ahead.
        (status(7, 0, Suspected), Some(status(8, 0, Alive))),
    ];
    for (heard, answer) in cases {
        assert_eq!(refutation(own, heard), answer, "{heard:?}");
    }
}

#[test]
fn more_reporters_shorten_a_suspicion_and_each_counts_once() {
    let mut suspicion = Suspicion::new("a".into(), 15, s(1), at(0));
    // (who, whether that is new, when it ends): 3 rounds x log2(16) = 12 s at least, four times that alone.
    let cases = [
        ("a", false, 48),
        ("b", true, 30),
        ("b", false, 30),
        ("c", true, 19),
        ("d", true, 12),
        ("e", false, 12),
    ];
    for (who, new, ends) in cases {
        assert_eq!(suspicion.add_reporter(who.into()), new, "{who}");
        assert_eq!(suspicion.deadline().micros() / 1_000_000, ends, "{who}");
    }
    suspicion.postpone(s(5));
    assert_eq!(suspicion.deadline(), at(17));
}

#[test]
fn own_health_stretches_timeouts() {
    let mut health = LocalHealth::default();
    let events = [
        (HealthEvent::ProbeUnanswered, 2),
        (HealthEvent::Stalled, 4),
        (HealthEvent::ClaimRefuted, 5),
        (HealthEvent::ProbeAcked, 4),
    ];
    for (event, times) in events {
        health.record(event);
        assert_eq!(health.scale_timeout(s(1)), s(times), "{event:?}");
    }
    (0..20).for_each(|_| health.record(HealthEvent::Stalled));
    assert_eq!(health.scale_timeout(s(1)), s(9));
}

#[test]
fn updates_are_passed_on_the_least_sent_first_and_not_for_ever() {
    let mut gossip = GossipQueue::default();
    gossip.enqueue("a");
    let take = |gossip: &mut GossipQueue, count: usize| {
        let mut taken = Vec::new();
        gossip.take_batch(7, |name| {
            let fits = taken.len() < count;
            taken.extend(fits.then(|| name.to_owned()));
            fits
        });
        taken
    };
    assert_eq!(take(&mut gossip, 1), ["a"]);
    gossip.enqueue("b");
    assert_eq!(take(&mut gossip, 1), ["b"]);
    // Nine times each among seven others: 3 x log2(8).
    let times = (0..40).flat_map(|_| take(&mut gossip, 2)).filter(|name| name == "a").count();
    assert_eq!((times, gossip.is_empty()), (8, true));
}

#[test]
fn the_number_of_gateways_goes_up_at_once_and_down_slowly_and_not_in_a_partition() {
    let settings = FleetSizeSettings { decrease_delay: s(10), decrease_interval: s(2), min_gateways: 2 };
    // (at, alive, fallen silent, counted)
    let steps = [
        (0, 1, 0, 2),
        (1, 12, 0, 12),
        // Seven die: those in sight are fewer than those who fell silent, which may be a side of a split.
        (2, 5, 7, 12),
        (60, 5, 7, 12),
        // Forgotten, or known to have left: then slowly down, and only after the time within which more lived.
        (61, 5, 0, 12),
        (69, 5, 0, 12),
        (70, 5, 0, 12),
        (71, 5, 0, 11),
        (72, 5, 0, 11),
        (73, 5, 0, 10),
        (75, 9, 0, 9),
        (76, 13, 0, 13),
        // A few of many.
        (77, 11, 2, 13),
        (90, 11, 2, 12),
        (92, 11, 2, 11),
        (99, 11, 2, 11),
        (100, 1, 0, 11),
    ];
    let mut fleet_size = FleetSize::new(settings, 2, at(0));
    for (t, live, dead, counted) in steps {
        assert_eq!(fleet_size.observe(FleetView { live, dead }, at(t)), counted, "at {t}");
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
fn what_is_corrupt_or_foreign_is_rejected_with_a_reason() {
    let bytes = datagram().encode();
    let flip = |i: usize| {
        let mut bytes = bytes.clone();
        bytes[i] ^= 4;
        bytes
    };
    let long = MemberUpdate { name: "x".repeat(60), ..update(1) };
    let dead = MemberUpdate { status: status(1, 0, MemberState::Dead), ..update(1) };
    let from = |sender| Datagram::new("toy", sender, Payload::Ping { sequence: 1 }).encode();
    let cases = [
        (bytes.clone(), "toy", Ok(())),
        (bytes.clone(), "other", Err(DatagramError::OtherCluster)),
        (bytes[..bytes.len() - 1].to_vec(), "toy", Err(DatagramError::Corrupt)),
        (flip(9), "toy", Err(DatagramError::Corrupt)),
        (flip(0), "toy", Err(DatagramError::Version(5))),
        (vec![1; MAX_DATAGRAM_BYTES + 1], "toy", Err(DatagramError::TooLong)),
        (Vec::new(), "toy", Err(DatagramError::Corrupt)),
        (from(long), "toy", Err(DatagramError::Malformed)),
        (from(dead), "toy", Err(DatagramError::Malformed)),
    ];
    for (n, (bytes, cluster, expected)) in cases.into_iter().enumerate() {
        assert_eq!(Datagram::decode(&bytes, cluster).map(|_| ()), expected, "case {n}");
    }
    assert_eq!(Datagram::decode(&bytes, "toy"), Ok(datagram()));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn only_whole_bytes_are_read_as_a_datagram(at in 0_usize..400, bit in 0_u8..8, cut in 0_usize..400) {
        let bytes = datagram().encode();
        let mut corrupt = bytes.clone();
        let at = at % corrupt.len();
        corrupt[at] ^= 1 << bit;
        prop_assert!(Datagram::decode(&corrupt, "toy").is_err());
        prop_assert!(Datagram::decode(&bytes[..cut.min(bytes.len() - 1)], "toy").is_err());
    }

    #[test]
    fn any_bytes_are_read_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..1300)) {
        prop_assert!(Datagram::decode(&bytes, "toy").is_err());
    }
}
