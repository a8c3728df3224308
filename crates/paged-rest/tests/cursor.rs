//! The cursor of a result and all results together against a plain model: any order of asks, engine pages, losses,
//! ends and time.

use larchfall_paged_rest::cursor::{Ask, Cursor, End, Settled, Window};
use larchfall_paged_rest::results::{Caps, Name, Results};
use larchfall_paged_rest::slug::{Key, Place};
use larchfall_policy::time::{Duration, Timestamp};
use proptest::prelude::*;
use std::collections::BTreeMap;

const WINDOW: Window = Window { pages: 3, bytes: 40, kept_for: Duration::from_millis(1000) };

fn ms(n: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000) + Duration::from_millis(n)
}

#[derive(Clone, Debug)]
enum Step {
    /// The engine has a page of so many rows.
    Rows(u8),
    End(End),
    Lost,
    /// A client asks for what it was last given, moved by this much.
    Ask(i8),
    WaitOver(i8),
    Leave,
    Time(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..4_u8).prop_map(Step::Rows),
        1 => prop_oneof![Just(End::Returned), Just(End::Errored), Just(End::PushedBack)].prop_map(Step::End),
        1 => Just(Step::Lost),
        8 => (-2..3_i8).prop_map(Step::Ask),
        2 => (-1..2_i8).prop_map(Step::WaitOver),
        1 => prop_oneof![9 => Just(Step::Time(0)), 1 => Just(Step::Leave)],
        2 => (0..700_u16).prop_map(Step::Time),
    ]
}

/// What a client saw under each token, and the rows that the engine made, in order.
#[derive(Default)]
struct Plain {
    seen: BTreeMap<u64, (Vec<u32>, Option<End>)>,
    made: Vec<u32>,
    next_row: u32,
    settled: Vec<Settled>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_order_of_steps_hands_out_each_row_once_and_settles_once(steps in prop::collection::vec(step(), 1..80)) {
        let caps = Caps { results: 2, making: 2, bytes: 60, window: WINDOW };
        let mut results: Results<Vec<u32>> = Results::new(caps);
        let (mut now, mut plain) = (0, Plain::default());
        let name = results.begin(ms(now)).unwrap();
        // The token that the client would ask for next, as its last document said.
        let mut next = 0_u64;
        let mut open = true;
        for step in steps {
            match step {
                Step::Rows(n) => {
                    if results.has_room(name) == Some(true) {
                        let rows: Vec<u32> = (0..u32::from(n)).map(|i| plain.next_row + i).collect();
                        let size = 10 * rows.len();
                        if results.push(name, rows.clone(), size, None) {
                            plain.next_row += u32::from(n);
                            plain.made.extend(rows);
                        }
                    }
                }
                Step::End(end) => _ = results.push(name, Vec::new(), 0, Some(end)),
                Step::Lost => {
                    let handed: Vec<u32> = plain.seen.values().flat_map(|(rows, _)| rows.clone()).collect();
                    if results.begin_anew(name) {
                        prop_assert!(handed.is_empty(), "{handed:?} were handed on and come again");
                        plain.made.clear();
                    }
                }
                Step::Ask(by) => {
                    let token = next.saturating_add_signed(by.into());
                    match results.ask(name, token, ms(now)) {
                        Ask::Page(page, settled) => {
                            prop_assert_eq!(page.token, token);
                            prop_assert!(token <= next, "{token} was never given out, {next} was");
                            let what = (page.body.clone(), page.end);
                            let before = plain.seen.entry(token).or_insert_with(|| what.clone());
                            prop_assert_eq!(&*before, &what, "token {} is another page now", token);
                            plain.settled.extend(settled);
                            if page.end.is_none() {
                                next = next.max(token + 1);
                            }
                        }
                        Ask::Wait => prop_assert!(token <= next && open),
                        Ask::Gone => prop_assert!(token < next),
                        Ask::Unknown => prop_assert!(token > next || !open),
                    }
                }
                Step::WaitOver(by) => results.wait_over(name, next.saturating_add_signed(by.into()), Vec::new()),
                Step::Leave => {
                    plain.settled.extend(results.leave(name).map(|left| left.settled()));
                    open = false;
                }
                Step::Time(by) => {
                    now += u64::from(by);
                    let left = results.expire(ms(now));
                    plain.settled.extend(left.iter().map(|l| l.settled()));
                    open &= results.is_kept(name);
                }
            }
            prop_assert!(results.bytes() <= caps.bytes.max(30) + 30, "{} bytes wait", results.bytes());
            prop_assert!(plain.settled.len() <= 1, "settled {:?}", plain.settled);
        }
        // What the client saw is what the engine made, from the first row on.
        let seen: Vec<u32> = plain.seen.values().flat_map(|(rows, _)| rows.clone()).collect();
        prop_assert_eq!(&seen[..], &plain.made[..seen.len()]);
        plain.settled.extend(results.expire(ms(now + 10_000)).iter().map(|l| l.settled()));
        prop_assert_eq!(plain.settled.len(), 1);
        prop_assert!(results.is_empty() && results.bytes() == 0, "all has left memory");
    }
}

#[test]
fn a_page_asked_for_again_is_the_same_and_older_ones_are_gone() {
    let mut cursor = Cursor::new(WINDOW, ms(0));
    assert_eq!(cursor.ask(0, ms(0)), Ask::Wait);
    assert_eq!(cursor.ask(1, ms(0)), Ask::Unknown, "never given out");
    for text in ["a", "b"] {
        assert!(cursor.push(text, 10, None));
    }
    assert!(cursor.push("", 0, Some(End::Returned)));
    assert!(!cursor.push("c", 10, None), "after the end");
    let mut ask = |token| match cursor.ask(token, ms(1)) {
        Ask::Page(page, settled) => Ok((page.body, settled)),
        other => Err(other),
    };
    assert_eq!(ask(0), Ok(("a", None)));
    assert_eq!(ask(0), Ok(("a", None)), "after a dropped line");
    assert_eq!(ask(2), Err(Ask::Unknown), "one ahead");
    assert_eq!(ask(1), Ok(("b", None)));
    assert_eq!(ask(0), Err(Ask::Gone));
    assert_eq!(ask(2), Ok(("", Some(Settled::Answered(End::Returned)))));
    assert_eq!(ask(2), Ok(("", None)), "the final answer counts once");
    assert!(!cursor.leave(), "had its answer");
}

#[test]
fn a_wait_that_is_over_leaves_a_page_without_rows_and_the_next_rows_get_the_next_token() {
    let mut cursor = Cursor::new(WINDOW, ms(0));
    cursor.wait_over(1, "never given out");
    cursor.wait_over(0, "");
    cursor.wait_over(0, "twice");
    cursor.push("rows", 10, None);
    for (token, body) in [(0, ""), (1, "rows")] {
        assert!(matches!(cursor.ask(token, ms(1)), Ask::Page(p, None) if p.body == body), "{token}");
    }
}

#[test]
fn a_result_begins_anew_only_while_none_of_its_rows_were_handed_on() {
    // How many pages the client asked for, and whether the result may begin anew; the first has no rows.
    for (asked, anew) in [(0, true), (1, true), (2, false), (3, false)] {
        let mut cursor = Cursor::new(WINDOW, ms(0));
        cursor.push(0, 0, None);
        cursor.push(1, 10, None);
        cursor.push(2, 10, None);
        for token in 0..asked {
            assert!(matches!(cursor.ask(token, ms(1)), Ask::Page(..)));
        }
        assert_eq!(cursor.begin_anew(), anew, "{asked} asked for");
        assert_eq!(cursor.bytes() == 0, anew);
    }
}

#[test]
fn caps_over_all_results_leave_each_a_page_at_a_time() {
    let caps = Caps { results: 2, making: 2, bytes: 20, window: WINDOW };
    let mut results = Results::new(caps);
    let (a, b) = (results.begin(ms(0)).unwrap(), results.begin(ms(0)).unwrap());
    assert_eq!(results.begin(ms(0)), None, "as many as may be");
    results.push(a, "", 10, None);
    assert_eq!(results.has_room(a), Some(true));
    results.push(a, "", 10, None);
    assert_eq!((results.has_room(a), results.has_room(b)), (Some(false), Some(true)), "none stands still");
    results.push(b, "", 10, None);
    assert_eq!((results.has_room(b), results.bytes()), (Some(false), 30));
    results.is_made_by(a, 7);
    assert_eq!(results.leave(a).and_then(|l| l.request), Some(7), "its batch works for nobody");
    assert_eq!((results.leave(a), results.has_room(a), results.bytes()), (None, None, 10));
    let again = results.begin(ms(1)).unwrap();
    assert_eq!((again.number, again == a), (a.number, false), "an index serves again, under another era");
    assert_eq!(results.ask(a, 0, ms(1)), Ask::Unknown);
    // One that was read to its end makes room at once, and is not kept longer by who asks again.
    results.push(again, "", 0, Some(End::Returned));
    results.made(again);
    assert_eq!(results.unread(), 2);
    assert!(matches!(results.ask(again, 0, ms(1)), Ask::Page(_, Some(_))));
    assert_eq!((results.unread(), results.len()), (1, 2));
    let third = results.begin(ms(1)).unwrap();
    assert!(!results.is_kept(again) && results.is_kept(b) && results.begin(ms(1)).is_none());
    results.push(third, "", 0, Some(End::Returned));
    for now in [1, 600, 1000] {
        assert!(matches!(results.ask(third, 0, ms(now)), Ask::Page(..)), "at {now}");
    }
    results.expire(ms(1001));
    assert!(!results.is_kept(third));
}

#[test]
fn addresses_are_of_one_key_and_can_not_be_changed() {
    let (key, other) = (Key::new(&[1; 32]), Key::new(&[2; 32]));
    let place = Place { name: Name { number: 12, era: 70_000 }, token: 3 };
    let path = key.path(place);
    assert_eq!(key.read(&path), Some(place));
    assert_eq!(other.read(&path), None);
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
        assert_eq!(key.read(&path), None, "{path}");
    }
}

#[test]
fn only_so_many_results_are_in_the_making_at_a_time() {
    let caps = Caps { results: 9, making: 2, bytes: 100, window: WINDOW };
    let mut results: Results<()> = Results::new(caps);
    let names: Vec<Name> = (0..2).filter_map(|_| results.begin(ms(0))).collect();
    assert_eq!((names.len(), results.begin(ms(0))), (2, None));
    for _ in 0..2 {
        results.made(names[0]);
    }
    let third = results.begin(ms(0)).unwrap();
    assert_eq!(results.begin(ms(0)), None, "a batch that is over counts once");
    results.leave(third);
    assert!(results.begin(ms(0)).is_some(), "one that was left counts no more");
    results.expire(ms(2000));
    assert!(results.is_empty() && results.begin(ms(2000)).is_some() && results.begin(ms(2000)).is_some());
}
