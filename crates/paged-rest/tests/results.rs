//! One result and all results together against a simple model: any order of calls, engine pages, losses, ends and time.

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
    /// The engine has a page of so many rows.
    Rows(u8),
    End(ResultEnd),
    Lost,
    /// A client asks for what it was last given, moved by this much.
    Get(i8),
    WaitEnded(i8),
    Abandon,
    Time(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..4_u8).prop_map(Step::Rows),
        1 => prop_oneof![Just(ResultEnd::Returned), Just(ResultEnd::Errored), Just(ResultEnd::Rejected)].prop_map(Step::End),
        1 => Just(Step::Lost),
        8 => (-2..3_i8).prop_map(Step::Get),
        2 => (-1..2_i8).prop_map(Step::WaitEnded),
        1 => prop_oneof![9 => Just(Step::Time(0)), 1 => Just(Step::Abandon)],
        2 => (0..700_u16).prop_map(Step::Time),
    ]
}

/// What a client saw under each token, and the rows that the engine made, in order.
#[derive(Default)]
struct Model {
    seen: BTreeMap<u64, (Vec<u32>, Option<ResultEnd>)>,
    made: Vec<u32>,
    next_row: u32,
    outcomes: Vec<ResultOutcome>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_order_of_steps_delivers_each_row_once_and_answers_once(steps in prop::collection::vec(step(), 1..80)) {
        let limits = ResultLimits { max_results: 2, max_in_flight: 2, max_bytes: 60, window: WINDOW };
        let mut results: ResultStore<Vec<u32>> = ResultStore::new(limits);
        let mut now = 0;
        let mut model = Model::default();
        let id = results.open(ms(now)).unwrap();
        // The token that the client would ask for next, as its last document said.
        let mut next = 0_u64;
        let mut open = true;
        for step in steps {
            match step {
                Step::Rows(n) => {
                    if results.has_capacity(id) == Some(true) {
                        let rows: Vec<u32> = (0..u32::from(n)).map(|i| model.next_row + i).collect();
                        let size = 10 * rows.len();
                        if results.push(id, rows.clone(), size, None) {
                            model.next_row += u32::from(n);
                            model.made.extend(rows);
                        }
                    }
                }
                Step::End(end) => _ = results.push(id, Vec::new(), 0, Some(end)),
                Step::Lost => {
                    let delivered: Vec<u32> = model.seen.values().flat_map(|(rows, _)| rows.clone()).collect();
                    if results.restart(id) {
                        prop_assert!(delivered.is_empty(), "{delivered:?} were delivered and come again");
                        model.made.clear();
                    }
                }
                Step::Get(by) => {
                    let token = next.saturating_add_signed(by.into());
                    match results.get(id, token, ms(now)) {
                        PageLookup::Found { page, outcome } => {
                            prop_assert_eq!(page.token, token);
                            prop_assert!(token <= next, "{token} was never given out, {next} was");
                            let seen = (page.content.clone(), page.end);
                            let before = model.seen.entry(token).or_insert_with(|| seen.clone());
                            prop_assert_eq!(&*before, &seen, "token {} is another page now", token);
                            model.outcomes.extend(outcome);
                            if page.end.is_none() {
                                next = next.max(token + 1);
                            }
                        }
                        PageLookup::NotReady => prop_assert!(token <= next && open),
                        PageLookup::Gone => prop_assert!(token < next),
                        PageLookup::Unknown => prop_assert!(token > next || !open),
                    }
                }
                Step::WaitEnded(by) => results.push_empty_page(id, next.saturating_add_signed(by.into()), Vec::new()),
                Step::Abandon => {
                    model.outcomes.extend(results.abandon(id).map(|abandoned| abandoned.outcome()));
                    open = false;
                }
                Step::Time(by) => {
                    now += u64::from(by);
                    let abandoned = results.expire(ms(now));
                    model.outcomes.extend(abandoned.iter().map(AbandonedResult::outcome));
                    open &= results.is_open(id);
                }
            }
            prop_assert!(results.buffered_bytes() <= limits.max_bytes.max(30) + 30, "{} bytes wait", results.buffered_bytes());
            prop_assert!(model.outcomes.len() <= 1, "final answers {:?}", model.outcomes);
        }
        // What the client saw is what the engine made, from the first row on.
        let seen: Vec<u32> = model.seen.values().flat_map(|(rows, _)| rows.clone()).collect();
        prop_assert_eq!(&seen[..], &model.made[..seen.len()]);
        model.outcomes.extend(results.expire(ms(now + 10_000)).iter().map(AbandonedResult::outcome));
        prop_assert_eq!(model.outcomes.len(), 1);
        prop_assert!(results.is_empty() && results.buffered_bytes() == 0, "all has left memory");
    }
}

#[test]
fn a_page_asked_for_again_is_the_same_and_older_ones_are_gone() {
    let mut cursor = ResultCursor::new(WINDOW, ms(0));
    assert_eq!(cursor.get(0, ms(0)), PageLookup::NotReady);
    assert_eq!(cursor.get(1, ms(0)), PageLookup::Unknown, "never given out");
    for text in ["a", "b"] {
        assert!(cursor.push(text, 10, None));
    }
    assert!(cursor.push("", 0, Some(ResultEnd::Returned)));
    assert!(!cursor.push("c", 10, None), "after the end");
    let mut ask = |token| match cursor.get(token, ms(1)) {
        PageLookup::Found { page, outcome } => Ok((page.content, outcome)),
        other => Err(other),
    };
    assert_eq!(ask(0), Ok(("a", None)));
    assert_eq!(ask(0), Ok(("a", None)), "after a dropped connection");
    assert_eq!(ask(2), Err(PageLookup::Unknown), "one ahead");
    assert_eq!(ask(1), Ok(("b", None)));
    assert_eq!(ask(0), Err(PageLookup::Gone));
    assert_eq!(ask(2), Ok(("", Some(ResultOutcome::Delivered(ResultEnd::Returned)))));
    assert_eq!(ask(2), Ok(("", None)), "the final answer counts once");
    assert!(!cursor.abandon(), "it had its final answer");
}

#[test]
fn a_wait_that_ended_adds_a_page_without_rows_and_the_next_rows_get_the_next_token() {
    let mut cursor = ResultCursor::new(WINDOW, ms(0));
    cursor.push_empty_page(1, "never given out");
    cursor.push_empty_page(0, "");
    cursor.push_empty_page(0, "twice");
    cursor.push("rows", 10, None);
    for (token, content) in [(0, ""), (1, "rows")] {
        assert!(
            matches!(cursor.get(token, ms(1)), PageLookup::Found { page, outcome: None } if page.content == content),
            "{token}"
        );
    }
}

#[test]
fn a_result_restarts_only_while_none_of_its_rows_were_delivered() {
    // How many pages the client asked for, and whether the result may restart; the first has no rows.
    for (asked, may_restart) in [(0, true), (1, true), (2, false), (3, false)] {
        let mut cursor = ResultCursor::new(WINDOW, ms(0));
        cursor.push(0, 0, None);
        cursor.push(1, 10, None);
        cursor.push(2, 10, None);
        for token in 0..asked {
            assert!(matches!(cursor.get(token, ms(1)), PageLookup::Found { .. }));
        }
        assert_eq!(cursor.restart(), may_restart, "{asked} asked for");
        assert_eq!(cursor.buffered_bytes() == 0, may_restart);
    }
}

#[test]
fn limits_over_all_results_leave_each_one_page_at_a_time() {
    let limits = ResultLimits { max_results: 2, max_in_flight: 2, max_bytes: 20, window: WINDOW };
    let mut results = ResultStore::new(limits);
    let a = results.open(ms(0)).unwrap();
    let b = results.open(ms(0)).unwrap();
    assert_eq!(results.open(ms(0)), None, "as many as may be");
    results.push(a, "", 10, None);
    assert_eq!(results.has_capacity(a), Some(true));
    results.push(a, "", 10, None);
    assert_eq!(
        (results.has_capacity(a), results.has_capacity(b)),
        (Some(false), Some(true)),
        "none stands still"
    );
    results.push(b, "", 10, None);
    assert_eq!((results.has_capacity(b), results.buffered_bytes()), (Some(false), 30));
    results.set_request(a, 7);
    assert_eq!(
        results.abandon(a).and_then(|abandoned| abandoned.request),
        Some(7),
        "nobody waits for its request"
    );
    assert_eq!((results.abandon(a), results.has_capacity(a), results.buffered_bytes()), (None, None, 10));
    let again = results.open(ms(1)).unwrap();
    assert_eq!((again.index, again == a), (a.index, false), "an index serves again, under another era");
    assert_eq!(results.get(a, 0, ms(1)), PageLookup::Unknown);
    // One that was read to its end makes room at once, and is not kept longer by who asks again.
    results.push(again, "", 0, Some(ResultEnd::Returned));
    results.request_ended(again);
    assert_eq!(results.undelivered_count(), 2);
    assert!(matches!(results.get(again, 0, ms(1)), PageLookup::Found { outcome: Some(_), .. }));
    assert_eq!((results.undelivered_count(), results.len()), (1, 2));
    let third = results.open(ms(1)).unwrap();
    assert!(!results.is_open(again) && results.is_open(b) && results.open(ms(1)).is_none());
    results.push(third, "", 0, Some(ResultEnd::Returned));
    for now in [1, 600, 1000] {
        assert!(matches!(results.get(third, 0, ms(now)), PageLookup::Found { .. }), "at {now}");
    }
    results.expire(ms(1001));
    assert!(!results.is_open(third));
}

#[test]
fn addresses_are_of_one_key_and_can_not_be_changed() {
    let key = AddressKey::new(&[1; 32]);
    let other = AddressKey::new(&[2; 32]);
    let address = PageAddress { result: ResultId { index: 12, generation: 70_000 }, token: 3 };
    let path = key.path(address);
    assert_eq!(key.parse(&path), Some(address));
    assert_eq!(other.parse(&path), None);
    let (head, token) = path.rsplit_once('/').unwrap();
    let changed = [
        format!("{head}/4"),
        format!("{head}/03"),
        format!("{head}/{token}/"),
        path.replace("70000_12", "70000_13"),
        path.replace("70000_12", "70001_12"),
        path.replace("executing", "queued"),
        format!("{}/3", &head[..head.len() - 1]),
        "/v1/statement/executing/1_1//0".to_owned(),
        "/".to_owned(),
    ];
    for path in changed {
        assert_eq!(key.parse(&path), None, "{path}");
    }
}

#[test]
fn only_so_many_results_are_in_flight_at_a_time() {
    let limits = ResultLimits { max_results: 9, max_in_flight: 2, max_bytes: 100, window: WINDOW };
    let mut results: ResultStore<()> = ResultStore::new(limits);
    let ids: Vec<ResultId> = (0..2).filter_map(|_| results.open(ms(0))).collect();
    assert_eq!((ids.len(), results.open(ms(0))), (2, None));
    for _ in 0..2 {
        results.request_ended(ids[0]);
    }
    let third = results.open(ms(0)).unwrap();
    assert_eq!(results.open(ms(0)), None, "a request that ended counts once");
    results.abandon(third);
    assert!(results.open(ms(0)).is_some(), "one that was abandoned counts no more");
    results.expire(ms(2000));
    assert!(results.is_empty() && results.open(ms(2000)).is_some() && results.open(ms(2000)).is_some());
}
