//! The parts by tables of cases, and what must hold of any letters.

use larchfall_membership::claim::{About, Claim, Rumour, Standing, refuted};
use larchfall_membership::count::{Count, Fleet, Settings};
use larchfall_membership::health::{Health, Sign};
use larchfall_membership::rumours::Rumours;
use larchfall_membership::suspicion::Suspicion;
use larchfall_membership::wire::{Letter, MOST_BYTES, Matter, Unreadable};
use larchfall_policy::time::{Duration, Timestamp};
use proptest::prelude::*;

fn s(n: u64) -> Duration {
    Duration::from_millis(n * 1000)
}

fn at(n: u64) -> Timestamp {
    Timestamp::default() + s(n)
}

fn claim(generation: u64, incarnation: u32, standing: Standing) -> Claim {
    Claim { generation, incarnation, standing }
}

#[test]
fn claims_from_the_weakest_to_the_strongest() {
    use Standing::*;
    let order = [
        claim(1, 0, Alive),
        claim(1, 0, Suspected),
        claim(1, 1, Alive),
        claim(1, 1, Suspected),
        claim(1, 0, Dead),
        claim(1, 0, Left),
        claim(2, 0, Alive),
    ];
    for (i, a) in order.iter().enumerate() {
        for (j, b) in order.iter().enumerate() {
            assert_eq!(a.beats(*b), i > j, "{a:?} over {b:?}");
        }
    }
    // Of an end the incarnation says nothing.
    assert!(!claim(1, 5, Dead).beats(claim(1, 0, Dead)));
}

#[test]
fn a_gateway_answers_what_is_claimed_of_it() {
    use Standing::*;
    let mine = claim(3, 2, Alive);
    let cases = [
        (claim(3, 2, Suspected), Some(claim(3, 3, Alive))),
        (claim(3, 1, Suspected), None),
        (claim(3, 2, Alive), None),
        (claim(3, 0, Dead), Some(claim(4, 0, Alive))),
        (claim(2, 9, Dead), None),
        // An earlier process of its own name and address, whose clock was ahead.
        (claim(7, 0, Suspected), Some(claim(8, 0, Alive))),
    ];
    for (heard, answer) in cases {
        assert_eq!(refuted(mine, heard), answer, "{heard:?}");
    }
}

#[test]
fn more_voices_shorten_a_suspicion_and_one_voice_counts_once() {
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
        assert_eq!(suspicion.confirm(who.into()), new, "{who}");
        assert_eq!(suspicion.ends().micros() / 1_000_000, ends, "{who}");
    }
    suspicion.put_off(s(5));
    assert_eq!(suspicion.ends(), at(17));
}

#[test]
fn own_health_stretches_what_is_waited_for() {
    let mut health = Health::default();
    let signs = [(Sign::NobodyAnswered, 2), (Sign::StoodStill, 4), (Sign::Refuted, 5), (Sign::Answered, 4)];
    for (sign, times) in signs {
        health.see(sign);
        assert_eq!(health.stretch(s(1)), s(times), "{sign:?}");
    }
    (0..20).for_each(|_| health.see(Sign::StoodStill));
    assert_eq!(health.stretch(s(1)), s(9));
}

#[test]
fn rumours_are_told_the_least_told_first_and_not_for_good() {
    let mut rumours = Rumours::default();
    rumours.add("a");
    let told = |rumours: &mut Rumours, most: usize| {
        let mut told = Vec::new();
        rumours.next(7, |name| {
            let fits = told.len() < most;
            told.extend(fits.then(|| name.to_owned()));
            fits
        });
        told
    };
    assert_eq!(told(&mut rumours, 1), ["a"]);
    rumours.add("b");
    assert_eq!(told(&mut rumours, 1), ["b"]);
    // Nine times each among seven others: 3 x log2(8).
    let times = (0..40).flat_map(|_| told(&mut rumours, 2)).filter(|name| name == "a").count();
    assert_eq!((times, rumours.is_empty()), (8, true));
}

#[test]
fn the_number_of_gateways_goes_up_at_once_and_down_slowly_and_not_in_a_split() {
    let settings = Settings { within: s(10), step: s(2), least: 2 };
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
    let mut count = Count::new(settings, 2, at(0));
    for (t, live, silent, counted) in steps {
        assert_eq!(count.see(Fleet { live, silent }, at(t)), counted, "at {t}");
    }
}

fn rumour(i: usize) -> Rumour {
    let address = std::net::SocketAddrV4::new([10, 0, 0, i as u8].into(), 7400);
    let about = About { address, zone: "east".into(), serves: 7 };
    Rumour { name: format!("n{i}"), claim: Claim::alive(1, 0), about, by: None }
}

fn letter() -> Letter {
    let mut letter = Letter::new("toy", &rumour(1), Matter::Ask { turn: 7 });
    letter.rumours = (2..20).map(rumour).collect();
    letter
}

#[test]
fn what_is_not_whole_or_not_ours_is_told_apart() {
    let bytes = letter().seal();
    let flip = |i: usize| {
        let mut bytes = bytes.clone();
        bytes[i] ^= 4;
        bytes
    };
    let long = Rumour { name: "x".repeat(60), ..rumour(1) };
    let dead = Rumour { claim: claim(1, 0, Standing::Dead), ..rumour(1) };
    let of = |me: &Rumour| Letter::new("toy", me, Matter::Ask { turn: 1 }).seal();
    let cases = [
        (bytes.clone(), "toy", Ok(())),
        (bytes.clone(), "other", Err(Unreadable::OtherCluster)),
        (bytes[..bytes.len() - 1].to_vec(), "toy", Err(Unreadable::Spoilt)),
        (flip(9), "toy", Err(Unreadable::Spoilt)),
        (flip(0), "toy", Err(Unreadable::Version(5))),
        (vec![1; MOST_BYTES + 1], "toy", Err(Unreadable::TooLong)),
        (Vec::new(), "toy", Err(Unreadable::Spoilt)),
        (of(&long), "toy", Err(Unreadable::Unsound)),
        (of(&dead), "toy", Err(Unreadable::Unsound)),
    ];
    for (n, (bytes, cluster, expected)) in cases.into_iter().enumerate() {
        assert_eq!(Letter::open(&bytes, cluster).map(|_| ()), expected, "case {n}");
    }
    assert_eq!(Letter::open(&bytes, "toy"), Ok(letter()));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_are_taken_for_a_letter_but_whole_ones(at in 0_usize..400, bit in 0_u8..8, cut in 0_usize..400) {
        let bytes = letter().seal();
        let mut spoilt = bytes.clone();
        let at = at % spoilt.len();
        spoilt[at] ^= 1 << bit;
        prop_assert!(Letter::open(&spoilt, "toy").is_err());
        prop_assert!(Letter::open(&bytes[..cut.min(bytes.len() - 1)], "toy").is_err());
    }

    #[test]
    fn any_bytes_are_read_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..1300)) {
        prop_assert!(Letter::open(&bytes, "toy").is_err());
    }
}
