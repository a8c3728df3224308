//! When connections of clients close, and which of them close for others.

use larchfall_policy::client_connection::{
    ConnectionActivity, ConnectionEnd, ConnectionTimeouts, choose_evictions, places_to_free,
};
use larchfall_policy::time::{Duration, Timestamp};

const TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { idle: Duration::from_millis(5_000), message: Duration::from_millis(2_000) };

fn at_ms(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

/// A connection that was accepted at 0.
fn accepted() -> ConnectionActivity {
    ConnectionActivity::new(TIMEOUTS, at_ms(0))
}

#[test]
fn a_connection_closes_by_its_own_timeouts_and_never_while_it_is_busy() {
    let silent = accepted();
    assert_eq!(silent.end(at_ms(1999)), None);
    assert_eq!(silent.end(at_ms(2000)), Some(ConnectionEnd::IncompleteMessage));
    let mut served = accepted();
    served.record_transfer(at_ms(10));
    served.record_messages(true, false, at_ms(10));
    assert_eq!((served.end(at_ms(5009)), served.is_overdue(at_ms(5009))), (None, false));
    assert_eq!((served.end(at_ms(5010)), served.is_overdue(at_ms(5010))), (Some(ConnectionEnd::Idle), true));
    served.set_busy(true);
    assert_eq!(served.end(at_ms(9000)), None);
    // The rest of a message counts from its beginning, whatever comes of it.
    let mut slow = accepted();
    slow.record_messages(true, true, at_ms(1000));
    for ms in (1000..3000).step_by(100) {
        slow.record_transfer(at_ms(ms));
        slow.record_messages(false, true, at_ms(ms));
        assert_eq!(slow.end(at_ms(ms)), None);
    }
    assert_eq!(slow.end(at_ms(3000)), Some(ConnectionEnd::IncompleteMessage));
}

#[test]
fn a_request_to_close_is_withdrawn_once_the_connection_is_busy() {
    let mut connection = accepted();
    connection.request_close();
    assert_eq!(connection.end(at_ms(100)), Some(ConnectionEnd::Evicted));
    connection.set_busy(true);
    connection.set_busy(false);
    assert_eq!(connection.end(at_ms(100)), None);
}

/// The names of the connections that close when this many places are needed.
fn evicted<'a>(connections: &[(&'a str, ConnectionActivity)], needed: usize, ms: u64) -> Vec<&'a str> {
    choose_evictions(connections.iter().copied(), needed, at_ms(ms))
}

/// Guards against clients that write a little again and again and thus hold every place.
#[test]
fn connections_without_a_complete_message_close_first_for_others() {
    let mut idle = accepted();
    idle.record_messages(true, false, at_ms(1));
    let silent = accepted();
    let mut slow = accepted();
    for ms in (0..300).step_by(10) {
        slow.record_transfer(at_ms(ms));
        slow.record_messages(false, true, at_ms(ms));
    }
    assert!(evicted(&[("silent", silent)], 1, 49).is_empty(), "a client that may be about to send");
    assert_eq!(evicted(&[("idle", idle), ("silent", silent)], 2, 50), ["silent", "idle"]);
    let mut active = slow;
    active.record_messages(true, true, at_ms(290));
    assert!(evicted(&[("active", active)], 1, 299).is_empty(), "a message that has begun a moment ago");
    let all = [("idle", idle), ("slow", slow), ("active", active), ("silent", silent)];
    assert_eq!(evicted(&all, 4, 299), ["silent", "slow", "idle"]);
    assert_eq!(evicted(&all, 2, 299), ["silent", "slow"]);
    idle.set_busy(true);
    assert!(evicted(&[("idle", idle)], 1, 9000).is_empty());
}

/// Guards against connections of usual clients that close between two requests while silent ones come and go.
#[test]
fn a_served_client_keeps_its_connection_while_enough_others_await_a_message() {
    let mut served = accepted();
    served.record_messages(true, false, at_ms(1));
    let recent = ConnectionActivity::new(TIMEOUTS, at_ms(90));
    assert!(evicted(&[("served", served), ("recent", recent)], 1, 100).is_empty());
    assert_eq!(evicted(&[("served", served), ("recent", recent)], 2, 100), ["served"]);
}

#[test]
fn some_places_are_always_kept_free() {
    for max in 1..1000 {
        let free_from = (0..=max).find(|open| places_to_free(*open, max) > 0).unwrap();
        assert!(free_from < max, "{max}: only a full table makes room");
        assert!(places_to_free(max, max) <= max);
    }
}
