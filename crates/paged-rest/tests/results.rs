//! Tests of the result store, of one result's cursor, and of page addresses. A property test compares a result with a
//! simple model under random sequences of client calls, engine pages, lost results, ends and time.

use larchfall_paged_rest::cursor::{PageLookup, ResultCursor, ResultEnd, ResultOutcome, ResultWindow};
use larchfall_paged_rest::page_address::{AddressKey, PageAddress};
use larchfall_paged_rest::results::{AbandonedResult, ResultId, ResultLimits, ResultStore};
use larchfall_policy::time::{Duration, Timestamp};
use proptest::prelude::*;
use std::collections::BTreeMap;

const WINDOW: ResultWindow =
    ResultWindow { max_pages: 3, max_bytes: 40, retention: Duration::from_millis(1000) };

fn ms(n: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000) + Duration::from_millis(n)
}

#[derive(Clone, Debug)]
enum Step {
    /// The engine returns a page with this number of rows.
    Rows(u8),
    /// The request ends.
    End(ResultEnd),
    /// The engine loses the result.
    ResultLost,
    /// The client calls for its next token plus this offset.
    Get(i8),
    /// A call for the next token plus this offset has waited as long as calls may wait.
    WaitEnded(i8),
    /// The client cancels the statement.
    Abandon,
    /// Time passes, in milliseconds.
    Time(u16),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..4_u8).prop_map(Step::Rows),
        1 => prop_oneof![Just(ResultEnd::Returned), Just(ResultEnd::Errored), Just(ResultEnd::Rejected)].prop_map(Step::End),
        1 => Just(Step::ResultLost),
        8 => (-2..3_i8).prop_map(Step::Get),
        2 => (-1..2_i8).prop_map(Step::WaitEnded),
        1 => prop_oneof![9 => Just(Step::Time(0)), 1 => Just(Step::Abandon)],
        2 => (0..700_u16).prop_map(Step::Time),
    ]
}

/// What the client received and what the engine returned.
#[derive(Default)]
struct Model {
    /// The rows and end that the client received with each token.
    received: BTreeMap<u64, (Vec<u32>, Option<ResultEnd>)>,
    /// The rows that the engine returned since the last restart, in order.
    returned: Vec<u32>,
    next_row: u32,
    outcomes: Vec<ResultOutcome>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_sequence_of_steps_delivers_each_row_once_and_has_one_outcome(
        steps in prop::collection::vec(any_step(), 1..80),
    ) {
        let limits = ResultLimits { max_results: 2, max_in_flight: 2, max_bytes: 60, window: WINDOW };
        let mut results: ResultStore<Vec<u32>> = ResultStore::new(limits);
        let mut now = 0;
        let mut model = Model::default();
        let id = results.open(ms(now)).unwrap();
        // The token that the client calls for next, from the last document it received.
        let mut next_token = 0_u64;
        let mut open = true;
        for step in steps {
            match step {
                Step::Rows(n) => {
                    if results.has_capacity(id) == Some(true) {
                        let rows: Vec<u32> = (0..u32::from(n)).map(|i| model.next_row + i).collect();
                        let size = 10 * rows.len();
                        if results.push(id, rows.clone(), size, None) {
                            model.next_row += u32::from(n);
                            model.returned.extend(rows);
                        }
                    }
                }
                Step::End(end) => _ = results.push(id, Vec::new(), 0, Some(end)),
                Step::ResultLost => {
                    let delivered: Vec<u32> = model.received.values().flat_map(|(rows, _)| rows.clone()).collect();
                    if results.restart(id) {
                        prop_assert!(delivered.is_empty(), "restarted after rows {delivered:?} were received");
                        model.returned.clear();
                    }
                }
                Step::Get(offset) => {
                    let token = next_token.saturating_add_signed(offset.into());
                    match results.get(id, token, ms(now)) {
                        PageLookup::Found { page, outcome } => {
                            prop_assert_eq!(page.token, token);
                            prop_assert!(token <= next_token, "token {token} is not announced; next: {next_token}");
                            let received = (page.content.clone(), page.end);
                            let first_received = model.received.entry(token).or_insert_with(|| received.clone());
                            prop_assert_eq!(&*first_received, &received, "the page of token {} changed", token);
                            model.outcomes.extend(outcome);
                            if page.end.is_none() {
                                next_token = next_token.max(token + 1);
                            }
                        }
                        PageLookup::NotReady => prop_assert!(token <= next_token && open),
                        PageLookup::Gone => prop_assert!(token < next_token),
                        PageLookup::Unknown => prop_assert!(token > next_token || !open),
                    }
                }
                Step::WaitEnded(offset) => {
                    results.push_empty_page(id, next_token.saturating_add_signed(offset.into()), Vec::new());
                }
                Step::Abandon => {
                    model.outcomes.extend(results.abandon(id).map(|abandoned| abandoned.outcome()));
                    open = false;
                }
                Step::Time(elapsed) => {
                    now += u64::from(elapsed);
                    let abandoned = results.expire(ms(now));
                    model.outcomes.extend(abandoned.iter().map(AbandonedResult::outcome));
                    open &= results.is_open(id);
                }
            }
            let buffered = results.buffered_bytes();
            prop_assert!(buffered <= limits.max_bytes.max(30) + 30, "{buffered} bytes are buffered");
            prop_assert!(model.outcomes.len() <= 1, "more than one outcome: {:?}", model.outcomes);
        }
        // The client received the first rows of the result, in order and without gaps.
        let received_rows: Vec<u32> = model.received.values().flat_map(|(rows, _)| rows.clone()).collect();
        prop_assert_eq!(&received_rows[..], &model.returned[..received_rows.len()]);
        model.outcomes.extend(results.expire(ms(now + 10_000)).iter().map(AbandonedResult::outcome));
        prop_assert_eq!(model.outcomes.len(), 1);
        prop_assert!(results.is_empty() && results.buffered_bytes() == 0, "an expired result is still in memory");
    }
}

#[test]
fn a_repeated_call_returns_the_same_page_and_earlier_pages_are_gone() {
    let mut cursor = ResultCursor::new(WINDOW, ms(0));
    assert_eq!(cursor.get(0, ms(0)), PageLookup::NotReady);
    assert_eq!(cursor.get(1, ms(0)), PageLookup::Unknown, "token 1 was not announced");
    for text in ["a", "b"] {
        assert!(cursor.push(text, 10, None));
    }
    assert!(cursor.push("", 0, Some(ResultEnd::Returned)));
    assert!(!cursor.push("c", 10, None), "a page was added after the last page");
    let mut get = |token| match cursor.get(token, ms(1)) {
        PageLookup::Found { page, outcome } => Ok((page.content, outcome)),
        other => Err(other),
    };
    assert_eq!(get(0), Ok(("a", None)));
    assert_eq!(get(0), Ok(("a", None)), "repeated after a dropped connection");
    assert_eq!(get(2), Err(PageLookup::Unknown), "token 2 is buffered but not announced");
    assert_eq!(get(1), Ok(("b", None)));
    assert_eq!(get(0), Err(PageLookup::Gone));
    assert_eq!(get(2), Ok(("", Some(ResultOutcome::Delivered(ResultEnd::Returned)))));
    assert_eq!(get(2), Ok(("", None)), "the outcome is returned only once");
    assert!(!cursor.abandon(), "a delivered result can't be abandoned");
}

#[test]
fn an_expired_wait_adds_one_empty_page_and_later_rows_get_the_next_token() {
    let mut cursor = ResultCursor::new(WINDOW, ms(0));
    cursor.push_empty_page(1, "token 1 was not announced");
    cursor.push_empty_page(0, "");
    cursor.push_empty_page(0, "second empty page");
    cursor.push("rows", 10, None);
    for (token, content) in [(0, ""), (1, "rows")] {
        assert!(
            matches!(cursor.get(token, ms(1)), PageLookup::Found { page, outcome: None } if page.content == content),
            "page of token {token}"
        );
    }
}

#[test]
fn a_result_restarts_only_while_none_of_its_rows_were_delivered() {
    // Number of pages that the client received, and whether the result can restart. The first page has no rows.
    for (received, can_restart) in [(0, true), (1, true), (2, false), (3, false)] {
        let mut cursor = ResultCursor::new(WINDOW, ms(0));
        cursor.push(0, 0, None);
        cursor.push(1, 10, None);
        cursor.push(2, 10, None);
        for token in 0..received {
            assert!(matches!(cursor.get(token, ms(1)), PageLookup::Found { .. }));
        }
        assert_eq!(cursor.restart(), can_restart, "{received} pages received");
        assert_eq!(cursor.buffered_bytes() == 0, can_restart);
    }
}

#[test]
fn at_the_memory_limit_each_result_buffers_one_page_at_a_time() {
    let limits = ResultLimits { max_results: 2, max_in_flight: 2, max_bytes: 20, window: WINDOW };
    let mut results = ResultStore::new(limits);
    let a = results.open(ms(0)).unwrap();
    let b = results.open(ms(0)).unwrap();
    assert_eq!(results.open(ms(0)), None, "the store is full");
    results.push(a, "", 10, None);
    assert_eq!(results.has_capacity(a), Some(true));
    results.push(a, "", 10, None);
    assert_eq!(
        (results.has_capacity(a), results.has_capacity(b)),
        (Some(false), Some(true)),
        "a result with an empty buffer can fetch a page at the memory limit"
    );
    results.push(b, "", 10, None);
    assert_eq!((results.has_capacity(b), results.buffered_bytes()), (Some(false), 30));
    results.set_request(a, 7);
    assert_eq!(
        results.abandon(a).and_then(|abandoned| abandoned.request),
        Some(7),
        "the request of an abandoned result is returned for cancellation"
    );
    assert_eq!((results.abandon(a), results.has_capacity(a), results.buffered_bytes()), (None, None, 10));
    let reused = results.open(ms(1)).unwrap();
    assert_eq!((reused.index, reused == a), (a.index, false), "the index is reused with another generation");
    assert_eq!(results.get(a, 0, ms(1)), PageLookup::Unknown);
    // A new result replaces a delivered result at once. Repeated calls don't extend the time that a delivered result is
    // kept.
    results.push(reused, "", 0, Some(ResultEnd::Returned));
    results.request_ended(reused);
    assert_eq!(results.undelivered_count(), 2);
    assert!(matches!(results.get(reused, 0, ms(1)), PageLookup::Found { outcome: Some(_), .. }));
    assert_eq!((results.undelivered_count(), results.len()), (1, 2));
    let third = results.open(ms(1)).unwrap();
    assert!(!results.is_open(reused) && results.is_open(b) && results.open(ms(1)).is_none());
    results.push(third, "", 0, Some(ResultEnd::Returned));
    for now in [1, 600, 1000] {
        assert!(matches!(results.get(third, 0, ms(now)), PageLookup::Found { .. }), "at {now} ms");
    }
    results.expire(ms(1001));
    assert!(!results.is_open(third));
}

#[test]
fn altered_addresses_and_addresses_of_another_key_are_invalid() {
    let key = AddressKey::new(&[1; 32]);
    let other_key = AddressKey::new(&[2; 32]);
    let address = PageAddress { result: ResultId { index: 12, generation: 70_000 }, token: 3 };
    let path = key.path(address);
    assert_eq!(key.parse(&path), Some(address));
    assert_eq!(other_key.parse(&path), None);
    let (prefix, token) = path.rsplit_once('/').unwrap();
    let altered_paths = [
        format!("{prefix}/4"),
        format!("{prefix}/03"),
        format!("{prefix}/{token}/"),
        path.replace("70000_12", "70000_13"),
        path.replace("70000_12", "70001_12"),
        path.replace("executing", "queued"),
        format!("{}/3", &prefix[..prefix.len() - 1]),
        "/v1/statement/executing/1_1//0".to_owned(),
        "/".to_owned(),
    ];
    for path in altered_paths {
        assert_eq!(key.parse(&path), None, "{path}");
    }
}

#[test]
fn results_in_flight_are_limited() {
    let limits = ResultLimits { max_results: 9, max_in_flight: 2, max_bytes: 100, window: WINDOW };
    let mut results: ResultStore<()> = ResultStore::new(limits);
    let ids: Vec<ResultId> = (0..2).filter_map(|_| results.open(ms(0))).collect();
    assert_eq!((ids.len(), results.open(ms(0))), (2, None));
    for _ in 0..2 {
        results.request_ended(ids[0]);
    }
    let third = results.open(ms(0)).unwrap();
    assert_eq!(results.open(ms(0)), None, "a request that ended twice was counted twice");
    results.abandon(third);
    assert!(results.open(ms(0)).is_some(), "an abandoned result still counts as in flight");
    results.expire(ms(2000));
    assert!(results.is_empty() && results.open(ms(2000)).is_some() && results.open(ms(2000)).is_some());
}

#[test]
fn a_result_tells_when_its_client_has_closed_the_last_of_its_connections() {
    let limits = ResultLimits { max_results: 2, max_in_flight: 2, max_bytes: 100, window: WINDOW };
    let mut store: ResultStore<u8> = ResultStore::new(limits);
    let result = store.open(ms(0)).unwrap();
    store.set_request(result, 7);
    assert_eq!(store.attach_connection(result), Some(7));
    assert_eq!(store.detach_connection(result), None, "another connection is open");
    assert_eq!(store.detach_connection(result), Some(7));
    assert_eq!(store.attach_connection(result), Some(7), "the client has come back");
    store.request_ended(result);
    assert_eq!(store.detach_connection(result), None, "the request has ended");
    store.abandon(result);
    assert_eq!((store.attach_connection(result), store.detach_connection(result)), (None, None));
}
