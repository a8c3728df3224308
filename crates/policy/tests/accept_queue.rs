//! The queue of connections that wait to be accepted, against a model of the queue itself.

use larchfall_policy::accept_queue::AcceptQueue;
use larchfall_policy::time::Timestamp;
use proptest::prelude::*;
use std::collections::VecDeque;

const MAX_WAITING: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Connect,
    Accept,
    Look,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![3 => Just(Step::Connect), 2 => Just(Step::Accept), 1 => Just(Step::Look)]
}

proptest! {
    /// Guards against a request that counts as younger than it is.
    #[test]
    fn no_connection_is_older_than_its_earliest_arrival(steps in prop::collection::vec(any_step(), 1..200)) {
        let mut queue = AcceptQueue::new(MAX_WAITING, Timestamp::default());
        let mut waiting: VecDeque<Timestamp> = VecDeque::new();
        for (step, now) in steps.iter().zip((1..).map(Timestamp::from_micros)) {
            match step {
                Step::Connect if waiting.len() < MAX_WAITING => waiting.push_back(now),
                Step::Look if waiting.is_empty() => queue.record_empty(now),
                Step::Connect | Step::Look => {}
                Step::Accept => {
                    if let Some(arrived) = waiting.pop_front() {
                        prop_assert!(queue.record_accept(now) <= arrived);
                    }
                }
            }
        }
    }
}

/// Guards against an arrival that lies ever further back while the queue is never empty.
#[test]
fn the_earliest_arrival_follows_the_accepts_while_the_queue_is_never_empty() {
    let mut queue = AcceptQueue::new(MAX_WAITING, Timestamp::default());
    for second in 1..100 {
        let accepted = queue.record_accept(Timestamp::from_micros(second * 1_000_000));
        let accepted_before = second.saturating_sub(MAX_WAITING as u64 + 1);
        assert_eq!(accepted, Timestamp::from_micros(accepted_before * 1_000_000), "accept {second}");
    }
}
