//! The identities of requests in flight, and of those that may have had an effect.

use larchfall_policy::request_ids::{IdentityError, IdentityLimits, RequestIdentity, RequestIds};
use larchfall_policy::time::{Duration, Timestamp};

const LIMITS: IdentityLimits = IdentityLimits { max_kept: 3, retention: Duration::from_millis(1000) };

fn at_ms(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn identities(ids: &[u64]) -> Vec<RequestIdentity> {
    ids.iter().copied().map(RequestIdentity::from).collect()
}

/// Guards against an effect that happens twice, and against the refusal of a repetition that is safe.
#[test]
fn an_identity_comes_again_only_after_a_request_that_had_no_effect() {
    for (has_effect, may_have_run, second) in [
        (true, true, Err(IdentityError::MayHaveRun)),
        (true, false, Ok(())),
        (false, true, Ok(())),
        (false, false, Ok(())),
    ] {
        let mut ids = RequestIds::new(LIMITS);
        let held = ids.begin(at_ms(0), identities(&[1, 2]), has_effect).unwrap();
        let again = ids.begin(at_ms(1), identities(&[2]), has_effect);
        assert_eq!(again, Err(IdentityError::InFlight));
        ids.end(at_ms(2), held, may_have_run);
        let again = ids.begin(at_ms(100_000), identities(&[2, 3]), has_effect);
        assert_eq!(again.map(|_| ()), second, "effect: {has_effect}, may have run: {may_have_run}");
    }
}

#[test]
fn identities_are_kept_for_their_time_and_forgotten_for_new_ones_after_it() {
    let mut ids = RequestIds::new(LIMITS);
    for id in 1..=3 {
        let held = ids.begin(at_ms(id), identities(&[id]), true).unwrap();
        ids.end(at_ms(id), held, true);
    }
    assert_eq!(ids.begin(at_ms(1000), identities(&[4]), true), Err(IdentityError::TooMany));
    assert!(
        ids.begin(at_ms(1000), identities(&[5]), false).is_ok(),
        "a request without effect needs no place"
    );
    let held = ids.begin(at_ms(1001), identities(&[4]), true).unwrap();
    assert_eq!(ids.begin(at_ms(1001), identities(&[2]), true), Err(IdentityError::MayHaveRun));
    ids.end(at_ms(1001), held, false);
    assert!(ids.begin(at_ms(1001), identities(&[1]), true).is_ok(), "the oldest was forgotten");
}
