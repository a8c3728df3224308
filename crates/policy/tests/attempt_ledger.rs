//! The attempt ledger: which evidence proves the end of an attempt, and how long an attempt blocks its ordering key.

use larchfall_policy::attempt_ledger::proves_end;
use larchfall_policy::key_order::KeyOrder;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{AttemptEvidence, LastObservation};

const KEY: u64 = 7;
/// How long the policy expects an attempt to run on without being observed.
const UNOBSERVED_LIFETIME: Duration = Duration::from_micros(7);

fn time_of(micros: u64) -> Timestamp {
    Timestamp::from_micros(1_000 + micros)
}

#[test]
fn evidence_proves_the_end_of_an_attempt() {
    use LastObservation::*;
    let proofs = [
        (NotSent, true),
        (NotSent, false),
        (Declined, true),
        (Ended, true),
        (Stopped, true),
        (Unknown, true),
    ];
    for last in [NotSent, Declined, Ended, Stopped, Unknown, Refused, Silent, Lost] {
        for same_process in [true, false] {
            let proven = proves_end(AttemptEvidence { last, same_process });
            assert_eq!(
                proven,
                proofs.contains(&(last, same_process)),
                "{last:?}, same process: {same_process}"
            );
        }
    }
}

#[test]
fn a_reused_request_index_does_not_unblock_the_key() {
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
    let lifetime = UNOBSERVED_LIFETIME.micros();
    assert!(
        !key_order.is_next(KEY, 0, time_of(lifetime - 1)),
        "an attempt of the earlier request with this index may be running"
    );
    assert!(key_order.is_next(KEY, 0, time_of(lifetime)));
    key_order.remove_request(KEY, 0);
    key_order.remove_idle_keys(time_of(lifetime));
    assert_eq!(key_order, KeyOrder::new(Duration::ZERO, UNOBSERVED_LIFETIME), "the idle key was not removed");
}

#[test]
fn a_key_cools_down_unless_the_engine_itself_ended_or_never_ran_the_attempt() {
    use LastObservation::*;
    const COOLDOWN: u64 = 300_000;
    // (last observation, whether the outcome requests the cooldown, whether the key cools down)
    let cases = [
        (Ended, false, false),
        (Declined, false, false),
        (NotSent, false, false),
        (Stopped, false, true),
        (Unknown, false, true),
        (Ended, true, true),
    ];
    for (last, uncertain, cools_down) in cases {
        let mut key_order = KeyOrder::new(Duration::from_micros(COOLDOWN), UNOBSERVED_LIFETIME);
        key_order.admit(KEY, 0);
        key_order.on_attempt_started(KEY, 0, 0, 0);
        key_order.on_attempt_finished(
            KEY,
            0,
            0,
            AttemptEvidence { last, same_process: true },
            uncertain,
            time_of(0),
        );
        key_order.remove_request(KEY, 0);
        key_order.admit(KEY, 1);
        let case = format!("{last:?}, uncertain: {uncertain}");
        assert_eq!(key_order.is_next(KEY, 1, time_of(COOLDOWN - 1)), !cools_down, "{case}");
        assert!(key_order.is_next(KEY, 1, time_of(COOLDOWN)), "{case}");
    }
}
