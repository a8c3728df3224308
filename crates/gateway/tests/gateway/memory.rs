//! What memory keeps, part by part, without the program.

use crate::common;
use larchfall_gateway::engines::link::{Fault, Link, NoLink};
use larchfall_gateway::platform::unix_time;
use larchfall_gateway::state::alarms::Alarms;
use larchfall_gateway::state::clock::{Clock, wait};
use larchfall_gateway::state::counters::Counters;
use larchfall_gateway::state::due::Due;
use larchfall_gateway::state::engines::{Changes, Engines, Home};
use larchfall_gateway::state::limits::Limits;
use larchfall_gateway::state::peer::{MOST_OPEN, Opening, Peers};
use larchfall_gateway::state::permits::Permits;
use larchfall_gateway::state::pool::{Pool, RESTS};
use larchfall_gateway::state::stalls::Stalls;
use larchfall_gateway::wire::discovery::{Entry, Event};
use larchfall_gateway::wire::{http, rpc};
use larchfall_policy::interface::{EngineState, Outcome};
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_stub::engine::{Act, Engine};
use may::io::WaitIo;
use may::sync::Blocker;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration as StdDuration;

fn ms(n: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000) + Duration::from_millis(n)
}

#[test]
fn waits_are_never_rounded_down_to_none() {
    for (us, expected) in [(0, 0), (1, 1), (999, 1), (1000, 1), (1001, 2), (250_000, 250)] {
        assert_eq!(wait(Duration::from_micros(us)), StdDuration::from_millis(expected), "{us} us");
    }
}

#[test]
fn due_times_come_in_order_and_once() {
    let mut due = Due::default();
    assert!(due.insert(ms(20), 1));
    assert!(!due.insert(ms(30), 2));
    assert!(due.insert(ms(10), 3));
    assert!(!due.insert(ms(10), 4));
    due.remove(ms(30), 2);
    assert_eq!((due.first(), due.take(ms(9))), (Some(ms(10)), vec![]));
    assert_eq!((due.take(ms(10)), due.take(ms(10))), (vec![3, 4], vec![]));
    assert_eq!((due.take(ms(50)), due.first()), (vec![1], None));
}

#[test]
fn what_is_read_after_a_stall_may_be_as_old_as_the_stall() {
    // When the reader went to sleep and when it reads; the last beat was at 100, the next comes with the read.
    let cases = [
        ("asleep all through it", 50, 2100, 100),
        ("a short one", 50, 140, 100),
        ("a late timer", 50, 135, 135),
        ("since within it", 120, 2100, 120),
        ("a new connection", 0, 2100, 100),
    ];
    for (what, slept_since, now, expected) in cases {
        let stalls = Stalls::start(ms(100));
        assert_eq!(stalls.may_be_from(ms(slept_since), ms(now)), ms(expected), "{what}");
    }
    let stalls = Stalls::start(ms(100));
    [600, 700, 720].iter().for_each(|n| _ = stalls.beat(ms(*n)));
    assert_eq!(stalls.may_be_from(ms(50), ms(730)), ms(100), "one stall after the other");
    let stalls = Stalls::start(ms(0));
    assert!(stalls.beat(ms(2000)), "a long one");
    assert_eq!(stalls.may_be_from(ms(10), ms(2020)), ms(10), "woken by the stall's end");
    assert_eq!(stalls.may_be_from(ms(2030), ms(2040)), ms(2040), "went to sleep after it");
    for now in (2040..2400).step_by(20) {
        stalls.beat(ms(now));
    }
    assert_eq!(stalls.may_be_from(ms(10), ms(2400)), ms(2400), "long after it");
}

#[test]
fn after_a_long_stall_the_discovery_is_heard_first() {
    // Stood still until, asked at, the discovery service heard last at; how long nothing is sent yet.
    let cases = [
        ("none", 130, 140, 0, 0),
        ("a short one", 900, 910, 0, 0),
        ("not heard since", 2000, 2010, 100, 990),
        ("heard in the stall's first moment", 2000, 2010, 2000, 990),
        ("heard since", 2000, 2010, 2005, 50),
        ("heard since, and all was read", 2000, 2060, 2005, 0),
        ("a board that is not there", 2000, 3000, 100, 0),
    ];
    for (what, woke, now, heard, expected) in cases {
        let stalls = Stalls::start(ms(100));
        stalls.beat(ms(woke));
        (woke..now).step_by(20).for_each(|n| _ = stalls.beat(ms(n)));
        assert_eq!(stalls.deaf_for(ms(now), ms(heard)), Duration::from_millis(expected), "{what}");
    }
}

#[test]
fn limits_follow_the_machine_and_leave_descriptors_over() {
    for (memory, sockets) in [(192, 1024), (2048, 4096), (64, 128), (16, 30)] {
        let l = Limits::new(memory, sockets).unwrap();
        assert!(l.clients + l.engine_links + 16 <= sockets, "{l:?}");
        assert!(l.clients * 3 >= (sockets - 24), "clients hold a third at most: {l:?}");
        assert!(l.unread <= memory << 18, "{l:?}");
    }
    for (memory, sockets) in [(192, 0), (192, 24), (0, 1024)] {
        assert_eq!(Limits::new(memory, sockets), None, "{memory} MB, {sockets} sockets");
    }
}

fn entry(id: u32, port: u16, state: EngineState) -> Entry {
    let address = SocketAddrV4::new([10, 0, 0, 1].into(), port);
    Entry { id, address, state, zone: 0, kind: 0, cell: 0, started_ms: 5 }
}

#[test]
fn engines_are_told_apart_by_id_and_each_number_counts_once() {
    use EngineState::{Gone, Ready};
    let event = |number, whole, entries: &[Entry]| Event { number, whole, entries: entries.to_vec() };
    // The event, then which engines it tells of, those that were not there as this process before, and among these
    // the ones that were there as another.
    type Step<'a> = (Event, [&'a [usize]; 3]);
    let steps: [Step; 6] = [
        (event(1, true, &[entry(7, 1, Ready), entry(8, 2, Ready)]), [&[0, 1], &[0, 1], &[]]),
        (event(1, true, &[entry(9, 3, Ready)]), [&[], &[], &[]]),
        (event(2, false, &[entry(8, 2, Gone)]), [&[1], &[], &[]]),
        (event(4, false, &[entry(9, 2, Ready)]), [&[2], &[2], &[]]),
        (event(3, true, &[]), [&[], &[], &[]]),
        (event(5, true, &[entry(9, 4, Ready)]), [&[2, 0], &[2], &[2]]),
    ];
    let mut engines = Engines::default();
    for (event, expected) in steps {
        let Changes { told: got, moved, new } = engines.follow(&event);
        let told: Vec<usize> = got.iter().map(|(e, _)| *e).collect();
        assert_eq!([&told[..], &new, &moved], expected, "{event:?}");
        assert!(got.iter().all(|(_, e)| e.started == Some(Timestamp::from_micros(5000))));
    }
    let port = |e| engines.home(e).map(|home: Home| home.address.port());
    assert_eq!((engines.seen(), port(2), port(1)), (5, Some(4), Some(2)));
    assert_eq!(engines.gone(), [0, 1]);
    // What is forgotten leaves its index to another, even at the same address, and is told apart from it.
    let before = engines.home(1);
    engines.forget(1);
    assert_eq!((engines.home(1), engines.gone()), (None, vec![0]));
    let (back, unheard) = (entry(8, 2, Ready), entry(11, 3, Gone));
    assert_eq!(
        engines.follow(&event(6, false, &[back, unheard])).told.len(),
        1,
        "gone before it was heard of"
    );
    assert_eq!(engines.home(1).map(|h| h.address), before.map(|h| h.address));
    assert_ne!(engines.home(1), before);
}

fn v4(address: SocketAddr) -> Home {
    Home { address: address.to_string().parse().unwrap(), era: 1 }
}

const SOON: StdDuration = StdDuration::from_secs(20);

/// Alarms and the timer that goes through them, for as long as somebody has them.
fn alarms() -> (Clock, Arc<Alarms>) {
    let clock = Clock::start(unix_time());
    let alarms = Arc::new(Alarms::new(clock));
    let all = Arc::downgrade(&alarms);
    thread::spawn(move || {
        let timer = Blocker::current();
        while let Some(alarms) = all.upgrade() {
            let next = alarms.ring(&timer);
            drop(alarms);
            let _ = timer
                .park(Some(next.map_or(SOON, |next| clock.left(next)).min(StdDuration::from_millis(20))));
        }
    });
    (clock, alarms)
}

/// Runs this as the program does: on coroutines of one worker, which is what its connections are made for.
fn in_coroutine(run: impl FnOnce() + Send + 'static) {
    may::config().set_workers(1).set_stack_size(16 * 1024);
    may::go!(run).join().unwrap();
}

#[test]
fn idle_connections_are_used_again_only_while_they_are_good() {
    in_coroutine(|| {
        let engine = Engine::start("127.0.0.1:0", |_| Act::Decline).unwrap();
        let closing = TcpListener::bind("127.0.0.1:0").unwrap();
        let pool = Pool::new(2, Duration::from_millis(10_000));
        let open = |address| Link::open(v4(address), SOON).unwrap();
        pool.keep(0, open(engine.address), ms(0));
        assert!(pool.idle(1, v4(engine.address), ms(10)).is_none(), "of another engine");
        let (_, rested) = pool.idle(0, v4(engine.address), ms(10)).expect("fresh");
        assert_eq!(rested, ms(0) + RESTS, "a second answer may come on it until then");
        assert!(pool.idle(0, v4(engine.address), ms(10)).is_none(), "handed out once");
        pool.keep(0, open(engine.address), ms(0));
        assert!(pool.idle(0, v4(engine.address), ms(9_000)).is_none(), "near the engine's idle time");
        let link = open(closing.local_addr().unwrap());
        drop(closing.accept().unwrap());
        common::wait_for("the end to arrive", || (!link.is_quiet()).then_some(()));
        pool.keep(0, link, ms(0));
        assert!(pool.idle(0, v4(closing.local_addr().unwrap()), ms(1)).is_none(), "closed by the engine");
        pool.keep(0, open(engine.address), ms(0));
        let elsewhere = pool.idle(0, v4(closing.local_addr().unwrap()), ms(1));
        assert!(elsewhere.is_none(), "its engine has moved");
        pool.keep(0, open(engine.address), ms(0));
        let other = Home { era: 2, ..v4(engine.address) };
        assert!(pool.idle(0, other, ms(1)).is_none(), "of one that was there before");
        pool.keep(0, open(engine.address), ms(0));
        pool.forget(0);
        assert!(pool.idle(0, v4(engine.address), ms(1)).is_none(), "its engine is gone");
        let pool = Pool::new(4, Duration::from_millis(10_000));
        [0, 20, 100].iter().for_each(|at| pool.keep(0, open(engine.address), ms(*at)));
        let rested = |now| pool.idle(0, v4(engine.address), ms(now)).map(|(_, rested)| rested);
        assert_eq!(rested(110), Some(ms(20) + RESTS), "the youngest of those that have rested");
        assert_eq!(rested(60), Some(ms(0) + RESTS), "another one that has rested");
        assert_eq!(rested(110), Some(ms(100) + RESTS), "none has, and this one will have first");
    });
}

#[test]
fn permits_bound_all_connections_and_idle_ones_make_room() {
    in_coroutine(|| {
        let engine = Engine::start("127.0.0.1:0", |_| Act::Decline).unwrap();
        let pool = Pool::new(2, Duration::from_millis(10_000));
        let (clock, alarms) = alarms();
        assert!(pool.acquire(1, None) && pool.acquire(1, None));
        assert!(!pool.acquire(1, None), "all taken");
        assert!(!pool.acquire(1, Some((&alarms, clock.now() + Duration::from_millis(1)))), "none came free");
        for e in 0..4 {
            pool.keep(e, Link::open(v4(engine.address), SOON).unwrap(), ms(e as u64));
        }
        assert_eq!(pool.open(), (2, 1), "only the giver's own may stay beside two permits");
        pool.release();
        pool.release();
        assert!(pool.acquire(1, None));
        assert!(pool.idle(3, v4(engine.address), ms(5)).is_some(), "the youngest was kept");
    });
}

#[test]
fn permits_go_by_priority_then_in_turn() {
    in_coroutine(|| {
        let permits = Arc::new(Permits::new(1));
        let (clock, alarms) = alarms();
        let (all, within) = (alarms.clone(), move |wait| clock.now() + Duration::from_millis(wait));
        assert!(permits.take(1, None) && !permits.take(3, None));
        let order = Arc::new(Mutex::new(Vec::new()));
        let waiting: Vec<_> = [(1, 'a'), (3, 'b'), (1, 'c'), (2, 'd'), (3, 'e')]
            .into_iter()
            .map(|(priority, name)| {
                let before = permits.waiting();
                let (theirs, order, alarms) = (permits.clone(), order.clone(), alarms.clone());
                let waits = may::go!(move || {
                    let held = theirs.take(priority, Some((&alarms, within(20_000))));
                    order.lock().unwrap().push(name);
                    theirs.leave();
                    held
                });
                while permits.waiting() <= before {
                    may::coroutine::sleep(StdDuration::from_millis(1));
                }
                waits
            })
            .collect();
        permits.leave();
        assert!(waiting.into_iter().all(|w| w.join().unwrap()));
        assert_eq!(order.lock().unwrap().iter().collect::<String>(), "bedac");
        assert!(permits.take(1, None), "the last one left it free");
        assert!(!permits.take(1, Some((&all, within(1)))), "none came free");
        permits.leave();
        assert!(permits.take(1, None), "who gave up waiting holds none");
    });
}

#[test]
fn calls_on_a_connection_fail_by_what_is_known() {
    in_coroutine(|| {
        let clock = Clock::start(unix_time());
        let until = |ms| clock.now() + Duration::from_millis(ms);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = v4(listener.local_addr().unwrap());
        let mut late = Link::open(address, SOON).unwrap();
        assert_eq!(late.call(b"x", &clock, until(0)), Err(Fault::Unsent), "no time to send");
        assert_eq!(late.call(b"x", &clock, until(30)), Err(Fault::Late), "no reply");
        let mut cut = Link::open(address, SOON).unwrap();
        let _waiting = listener.accept().unwrap();
        let (mut stream, _) = listener.accept().unwrap();
        let cutter = std::thread::spawn(move || stream.read(&mut [0; 8]));
        assert_eq!(cut.call(b"x", &clock, until(20_000)), Err(Fault::Broken), "cut after the call");
        cutter.join().unwrap().unwrap();
        let nobody = common::nobody();
        assert_eq!(Link::open(v4(nobody.address), SOON).err(), Some(NoLink::Refused));
        assert_eq!(Link::open(address, StdDuration::ZERO).err(), Some(NoLink::Silent));
        let engine = Engine::start("127.0.0.1:0", |_| Act::Decline).unwrap();
        let mut link = Link::open(v4(engine.address), SOON).unwrap();
        for _ in 0..2 {
            let reply = link.call(&http::stats("h"), &clock, until(20_000)).unwrap();
            assert_eq!(reply.status, 200);
        }
    });
}

/// Guards against rows cut by a length that is too short, against the reply of one call taken for that of the
/// next, and against waiting for what stopped short as long as for news.
#[test]
fn replies_with_less_or_more_than_belongs_to_them_are_told() {
    let rows = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1\n";
    let nothing_new = "HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n";
    // What an engine writes, what the call brings, and whether the connection is of further use.
    let cases = [
        (rows.to_owned(), Ok(200), true),
        (format!("HTTP/1.1 103 Early\r\n\r\n{rows}"), Ok(200), true),
        (format!("{rows}2\n"), Err(Fault::Broken), false),
        (format!("{nothing_new}{nothing_new}"), Ok(202), false),
        (rows[..20].to_owned(), Err(Fault::Late), false),
        (rows[..rows.len() - 1].to_owned(), Err(Fault::Late), false),
    ];
    for (writes, brings, of_use) in cases {
        in_coroutine(move || {
            let clock = Clock::start(unix_time());
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let mut link = Link::open(v4(listener.local_addr().unwrap()), SOON).unwrap();
            let (mut engine, _) = listener.accept().unwrap();
            engine.write_all(writes.as_bytes()).unwrap();
            let got = link.call(b"x", &clock, clock.now() + Duration::from_millis(600_000)).map(|r| r.status);
            assert_eq!(got, brings, "{writes}");
            assert!(got.is_err() || link.is_quiet() == of_use, "{writes}");
        });
    }
}

#[test]
fn a_request_has_one_answer_and_an_id_one_request() {
    in_coroutine(|| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = may::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let peers = Peers::new(40);
        let (place, peer) = peers.join(stream.waker(), ms(0));
        assert_eq!(
            (peer.opening(3), peer.opening(3), peer.opening(2)),
            (Opening::Open, Opening::UsedTwice, Opening::UsedTwice)
        );
        peer.open(3, 30);
        assert!(peer.answer(3, &rpc::Answer::Returned(b"rows")));
        assert!(!peer.answer(3, &rpc::Answer::Errored("again")), "one answer and no more");
        assert_eq!(peer.opening(4), Opening::Open);
        peer.open(4, 40);
        assert_eq!((peer.abort(4), peer.abort(4)), (Some(40), None));
        assert!(!peer.answer(4, &rpc::Answer::Pong), "nobody waits for it");
        let mut wrote = Vec::new();
        let take = |some: usize, wrote: &mut Vec<u8>| {
            peer.write(|bytes| {
                wrote.extend_from_slice(&bytes[..some.min(bytes.len())]);
                Ok::<_, ()>(some.min(bytes.len()))
            })
        };
        assert_eq!(take(2, &mut wrote), Ok(2));
        assert!(!peer.is_idle() && !peers.are_idle());
        take(100, &mut wrote).unwrap();
        let mut whole = Vec::new();
        rpc::encode(&mut whole, 3, &rpc::Answer::Returned(b"rows"));
        assert_eq!(wrote, whole);
        assert!(peer.is_idle() && peers.are_idle());
        // What nobody reads is bounded: past that, answers shrink to an error.
        peer.say(5, &rpc::Answer::Returned(&[0; 200]));
        let mut wrote = Vec::new();
        peer.say(6, &rpc::Answer::Returned(&[0; 200]));
        take(1000, &mut wrote).unwrap();
        assert!(wrote.len() < 300, "{} bytes", wrote.len());
        for id in 0..MOST_OPEN as u32 {
            assert_eq!(peer.opening(100 + id), Opening::Open);
            peer.open(100 + id, id as usize);
        }
        assert_eq!(peer.opening(200), Opening::TooMany);
        assert_eq!(peer.abort_all().len(), MOST_OPEN);
        peers.part(place);
        assert!(peers.is_empty());
    });
}

#[test]
fn counters_tell_classes_and_outcomes_apart() {
    let counters = Counters::new(2);
    counters.class(0, |c| c.taken += 2);
    counters.outcome(1, Outcome::Reset);
    counters.outcome(1, Outcome::Moot);
    counters.class(9, |c| c.taken += 1);
    let lines = counters.lines(&["a".into(), "b".into()]);
    assert!(
        lines[0].starts_with("request class counters, class: a, admitted: 2, returned: 0,"),
        "{}",
        lines[0]
    );
    assert!(
        lines[1].contains("attempts: 2,")
            && lines[1].contains("attempts_reset: 1,")
            && lines[1].contains("attempts_not_sent: 1")
    );
    assert_eq!(lines.len(), 3);
}

/// Guards against sockets that are waited on beside the worker: what the coroutine crate's own timer lets go on runs on that
/// timer's thread.
#[test]
fn after_a_rest_and_a_park_a_coroutine_goes_on_at_the_worker() {
    may::config().set_workers(1);
    let (clock, alarms) = alarms();
    let here = || thread::current().id();
    let at = may::go!(move || {
        let before = here();
        alarms.sleep(Duration::from_millis(3));
        let rested = here();
        alarms.park(&Blocker::current(), clock.now() + Duration::from_millis(3));
        (before, rested, here(), alarms.asleep())
    });
    let (before, rested, parked, asleep) = at.join().unwrap();
    assert_eq!((before, before, 0), (rested, parked, asleep));
}

/// Guards against a wait that never ends: the crate's own park sets its time before it has put the coroutine where that time
/// looks for it, and a worker that loses its core in between for so long leaves it there.
#[test]
fn every_wait_ends_however_busy_the_machine() {
    may::config().set_workers(1);
    let (_, alarms) = alarms();
    let (over, ended) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let busy = thread::available_parallelism().map_or(4, |n| n.get() * 4);
    let busy: Vec<_> = (0..busy)
        .map(|_| {
            let over = over.clone();
            thread::spawn(move || while !over.load(Ordering::Relaxed) {})
        })
        .collect();
    let (sleepers, times) = (40, 25);
    for _ in 0..sleepers {
        let (alarms, ended) = (alarms.clone(), ended.clone());
        may::go!(move || {
            for _ in 0..times {
                alarms.sleep(Duration::from_millis(1));
                ended.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    common::wait_for("all waits to end", || {
        (ended.load(Ordering::Relaxed) == sleepers * times).then_some(())
    });
    over.store(true, Ordering::Relaxed);
    busy.into_iter().for_each(|thread| thread.join().unwrap());
}
