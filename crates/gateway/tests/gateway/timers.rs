//! Deadline queue and timers: waiting coroutines are woken in time and continue on the worker thread.

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
fn deadlines_are_due_in_order_and_only_once() {
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

/// Guards against coroutines that wait on sockets outside the worker thread: a coroutine that the coroutine crate's own
/// timer wakes runs on that timer's thread.
#[test]
fn a_coroutine_continues_on_the_worker_after_a_sleep_and_a_park() {
    may::config().set_workers(1);
    let timers = timers();
    let this_thread = || thread::current().id();
    let handle = may::go!(move || {
        let thread_before = this_thread();
        timers.sleep(Duration::from_millis(3));
        let thread_after_sleep = this_thread();
        let deadline = timers.clock().now() + Duration::from_millis(3);
        timers.park_until(&Blocker::current(), deadline);
        (thread_before, thread_after_sleep, this_thread(), timers.waiting())
    });
    let (thread_before, thread_after_sleep, thread_after_park, waiting) = handle.join().unwrap();
    assert_eq!((thread_before, thread_before, 0), (thread_after_sleep, thread_after_park, waiting));
}

/// Guards against a wait that never ends: the coroutine crate's own park starts its timeout before it registers the
/// coroutine to wake. If the worker loses its core in between for longer than the timeout, the coroutine is never woken.
#[test]
fn every_wait_ends_on_an_overloaded_machine() {
    may::config().set_workers(1);
    let timers = timers();
    let (stopped, ended_sleeps) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let busy_thread_count = thread::available_parallelism().map_or(4, |n| n.get() * 4);
    let busy_threads: Vec<_> = (0..busy_thread_count)
        .map(|_| {
            let stopped = stopped.clone();
            thread::spawn(move || while !stopped.load(Ordering::Relaxed) {})
        })
        .collect();
    let (sleepers, sleeps_each) = (40, 25);
    for _ in 0..sleepers {
        let (timers, ended_sleeps) = (timers.clone(), ended_sleeps.clone());
        may::go!(move || {
            for _ in 0..sleeps_each {
                timers.sleep(Duration::from_millis(1));
                ended_sleeps.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    common::wait_for("all waits to end", || {
        (ended_sleeps.load(Ordering::Relaxed) == sleepers * sleeps_each).then_some(())
    });
    stopped.store(true, Ordering::Relaxed);
    busy_threads.into_iter().for_each(|thread| thread.join().unwrap());
}
