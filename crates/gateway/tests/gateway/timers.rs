//! Deadlines and waits: whoever waits is woken in time, at the worker.

use crate::common;
use crate::in_process::{at_ms, timers};
use larchfall_gateway::state::clock::to_std_timeout;
use larchfall_gateway::state::deadline_queue::DeadlineQueue;
use larchfall_policy::time::Duration;
use may::sync::Blocker;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration as StdDuration;

#[test]
fn timeouts_are_never_rounded_down_to_zero() {
    for (us, expected) in [(0, 0), (1, 1), (999, 1), (1000, 1), (1001, 2), (250_000, 250)] {
        assert_eq!(to_std_timeout(Duration::from_micros(us)), StdDuration::from_millis(expected), "{us} us");
    }
}

#[test]
fn deadlines_come_due_in_order_and_once() {
    let mut queue = DeadlineQueue::default();
    assert!(queue.insert(at_ms(20), 1));
    assert!(!queue.insert(at_ms(30), 2));
    assert!(queue.insert(at_ms(10), 3));
    assert!(!queue.insert(at_ms(10), 4));
    queue.remove(at_ms(30), 2);
    assert_eq!((queue.earliest(), queue.take_due(at_ms(9))), (Some(at_ms(10)), vec![]));
    assert_eq!((queue.take_due(at_ms(10)), queue.take_due(at_ms(10))), (vec![3, 4], vec![]));
    assert_eq!((queue.take_due(at_ms(50)), queue.earliest()), (vec![1], None));
}

/// Guards against sockets that are waited on beside the worker: what the coroutine crate's own timer wakes runs on that
/// timer's thread.
#[test]
fn after_a_sleep_and_a_park_a_coroutine_goes_on_at_the_worker() {
    may::config().set_workers(1);
    let timers = timers();
    let this_thread = || thread::current().id();
    let handle = may::go!(move || {
        let before = this_thread();
        timers.sleep(Duration::from_millis(3));
        let slept = this_thread();
        let deadline = timers.clock().now() + Duration::from_millis(3);
        timers.park_until(&Blocker::current(), deadline);
        (before, slept, this_thread(), timers.waiting())
    });
    let (before, slept, parked, waiting) = handle.join().unwrap();
    assert_eq!((before, before, 0), (slept, parked, waiting));
}

/// Guards against a wait that never ends: the crate's own park sets its time before it has put the coroutine where that
/// time looks for it, and a worker that loses its core in between for so long leaves it there.
#[test]
fn every_wait_ends_however_busy_the_machine() {
    may::config().set_workers(1);
    let timers = timers();
    let (over, ended) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let busy = thread::available_parallelism().map_or(4, |n| n.get() * 4);
    let busy: Vec<_> = (0..busy)
        .map(|_| {
            let over = over.clone();
            thread::spawn(move || while !over.load(Ordering::Relaxed) {})
        })
        .collect();
    let (sleepers, sleeps) = (40, 25);
    for _ in 0..sleepers {
        let (timers, ended) = (timers.clone(), ended.clone());
        may::go!(move || {
            for _ in 0..sleeps {
                timers.sleep(Duration::from_millis(1));
                ended.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    common::wait_for("all waits to end", || {
        (ended.load(Ordering::Relaxed) == sleepers * sleeps).then_some(())
    });
    over.store(true, Ordering::Relaxed);
    busy.into_iter().for_each(|thread| thread.join().unwrap());
}
