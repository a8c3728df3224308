//! What of a key may still run: tables of how attempts end and how long a key rests.

use larchfall_policy::attempt_ledger::proves_end;
use larchfall_policy::key_order::KeyOrder;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{AttemptEvidence, LastObservation};

const KEY: u64 = 7;
/// How long the gateway expects an attempt to run that nobody observes.
const UNOBSERVED_LIFETIME: Duration = Duration::from_micros(7);

fn time_of(tick: u64) -> Timestamp {
    Timestamp::from_micros(1_000 + tick)
}

#[test]
fn each_way_to_end_proves_what_the_table_says() {
    use LastObservation::*;
    let over = [
        (NotSent, true),
        (NotSent, false),
        (Declined, true),
        (Ended, true),
        (Stopped, true),
        (Unknown, true),
    ];
    for last in [NotSent, Declined, Ended, Stopped, Unknown, Refused, Silent, Lost] {
        for same in [true, false] {
            let proof = proves_end(AttemptEvidence { last, same_process: same });
            assert_eq!(proof, over.contains(&(last, same)), "{last:?} {same}");
        }
    }
}

#[test]
fn an_index_that_serves_again_is_not_taken_for_the_one_before() {
    let mut key_order = KeyOrder::new(Duration::ZERO, UNOBSERVED_LIFETIME);
    key_order.admit(KEY, 0);
    key_order.on_attempt_started(KEY, 0, 0, 0);
    key_order.on_attempt_finished(
        KEY,
        0,
        0,
        AttemptEvidence { last: LastObservation::Lost, same_process: false },
        false,
        time_of(0),
    );
    key_order.remove_request(KEY, 0);
    key_order.admit(KEY, 0);
    let over = UNOBSERVED_LIFETIME.micros();
    assert!(!key_order.is_next(KEY, 0, time_of(over - 1)), "what may run is another request's");
    assert!(key_order.is_next(KEY, 0, time_of(over)));
    key_order.remove_request(KEY, 0);
    key_order.remove_idle_keys(time_of(over));
    assert_eq!(key_order, KeyOrder::new(Duration::ZERO, UNOBSERVED_LIFETIME), "nothing is left of the key");
}

#[test]
fn a_key_rests_after_all_that_was_not_the_engines_own_end() {
    use LastObservation::*;
    const COOLDOWN: u64 = 300_000;
    // (what was seen, whether the outcome itself asks for a rest, whether the key rests)
    let cases = [
        (Ended, false, false),
        (Declined, false, false),
        (NotSent, false, false),
        (Stopped, false, true),
        (Unknown, false, true),
        (Ended, true, true),
    ];
    for (last, unsure, rests) in cases {
        let mut key_order = KeyOrder::new(Duration::from_micros(COOLDOWN), UNOBSERVED_LIFETIME);
        key_order.admit(KEY, 0);
        key_order.on_attempt_started(KEY, 0, 0, 0);
        key_order.on_attempt_finished(
            KEY,
            0,
            0,
            AttemptEvidence { last, same_process: true },
            unsure,
            time_of(0),
        );
        key_order.remove_request(KEY, 0);
        key_order.admit(KEY, 1);
        assert_eq!(key_order.is_next(KEY, 1, time_of(COOLDOWN - 1)), !rests, "{last:?} {unsure}");
        assert!(key_order.is_next(KEY, 1, time_of(COOLDOWN)), "{last:?} {unsure}");
    }
}
